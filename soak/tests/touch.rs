//! When an entry counts as in touch.

use std::time::Duration;

use soak::touch::{SLACK, Touch};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn an_entry_is_in_touch_three_seconds_after_the_last_fault() {
    let mut touch = Touch::new(2);
    touch.change(0, 10 * SECOND, |_| {});
    assert!(!touch.holds(0, 13 * SECOND));
    assert!(touch.holds(0, 13 * SECOND + SLACK));
    assert!(touch.holds(1, 10 * SECOND), "the other was not struck");
    touch.change(0, 11 * SECOND, |harm| harm.frozen = true);
    assert!(!touch.holds(0, 60 * SECOND), "it is still frozen");
    touch.change(0, 60 * SECOND, |harm| harm.frozen = false);
    assert!(touch.holds(0, 64 * SECOND));
}

#[test]
fn nobody_is_in_touch_while_the_store_is_disturbed() {
    let mut touch = Touch::new(1);
    touch.change_store(10 * SECOND, true);
    assert!(!touch.holds(0, 60 * SECOND));
    touch.change_store(60 * SECOND, false);
    assert!(!touch.holds(0, 63 * SECOND));
    assert!(touch.holds(0, 64 * SECOND));
}
