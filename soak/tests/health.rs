//! Guards against time bounds that are checked too early: an entry counts as healthy only 3 s
//! plus the slack after the last fault of its own or of the store.

use std::time::Duration;

use soak::health::{EntryHealth, SLACK};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn an_entry_is_healthy_three_seconds_after_the_last_fault() {
    let mut health = EntryHealth::new(2);
    health.change(0, 10 * SECOND, |_| {});
    assert!(!health.is_healthy(0, 13 * SECOND));
    assert!(health.is_healthy(0, 13 * SECOND + SLACK));
    assert!(
        health.is_healthy(1, 10 * SECOND),
        "the other was not struck"
    );
    health.change(0, 11 * SECOND, |state| state.frozen = true);
    assert!(!health.is_healthy(0, 60 * SECOND), "it is still frozen");
    health.change(0, 60 * SECOND, |state| state.frozen = false);
    assert!(health.is_healthy(0, 64 * SECOND));
}

#[test]
fn no_entry_is_healthy_while_the_store_is_disturbed() {
    let mut health = EntryHealth::new(1);
    health.change_store(10 * SECOND, true);
    assert!(!health.is_healthy(0, 60 * SECOND));
    health.change_store(60 * SECOND, false);
    assert!(!health.is_healthy(0, 63 * SECOND));
    assert!(health.is_healthy(0, 64 * SECOND));
}
