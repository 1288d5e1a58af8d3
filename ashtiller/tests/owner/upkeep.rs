//! Waves of upkeep whose orders or whose emptying do not go as planned.
//!
//! A machine that does not take its upkeep. Symptom: its worker is well and gets no run any
//! more. Sequence: the worker is emptied, the order is refused for good, the wave goes on
//! without the machine. Cause: the worker was marked as held when its emptying began, and
//! nothing took the mark back. Settled by: no start in 3 s after the wave was over, on a
//! worker with nothing to do.

use std::time::Duration;

use ashtiller::workflow::machines::{Done, Wave};

use crate::driver::{Driver, job, policy};
use crate::trial::{lasting, starts_of};

/// Time within which a lasting task starts where there is room.
const START: Duration = Duration::from_secs(3);

/// Time within which a new owner gives its first order to a machine.
const FIRST_ORDER: Duration = Duration::from_secs(10);

/// Asks for a wave over so many machines, one at a time.
fn ask_wave(driver: &mut Driver, machines: u16) {
    let wave = Wave {
        number: 3,
        machines: (0..machines).map(|it| format!("m{it}").into()).collect(),
        duration: Duration::from_mins(1),
        most: 1,
    };
    driver.core.set_wave(wave, driver.now);
}

fn is_over(driver: &Driver) -> bool {
    driver.core.wave_states().get(&3) == Some(&true)
}

#[test]
fn a_worker_whose_machine_does_not_take_the_upkeep_gets_runs_again() {
    let mut driver = Driver::new(1, policy());
    driver.says = Some(Done::Never);
    ask_wave(&mut driver, 1);
    driver.pass(FIRST_ORDER);
    assert_eq!(driver.duties.len(), 1);
    assert!(is_over(&driver));
    driver.submit(job("lasts", vec![lasting(1000)]));
    driver.pass(START);
    assert_eq!(starts_of(&driver, "lasts").len(), 1);
}
