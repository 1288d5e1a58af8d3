//! Stops that are not answered.
//!
//! Symptom: for each run on a worker that is gone a stop goes out every 60 ms, and a line
//! in the log with it, until its lease is over; and a run that was to be stopped keeps its
//! room while its worker says in each report that it is not there.
//! Sequence: a job is cancelled or a worker drains, the stop gets no answer, the worker is
//! silent, or reports without the run.
//! Cause: unanswered orders were sent again after a fixed pause, whatever looks said; an end
//! that was never heard was taken from reports for runs that are to go on alone.
//! Settled by: 158 lines `stop unanswered` in 3 s for four runs on one worker that was gone.

use std::time::Duration;

use ashtiller::workflow::agents::Order;
use ashtiller::workflow::core::RequestToken;

use crate::driver::{Driver, MS, job, policy};
use crate::trial::{lasting, starts_of};

const SECOND: Duration = Duration::from_secs(1);

/// A lasting task that fills the only worker is cancelled, and its stop gets no answer.
fn cancel_unanswered() -> Driver {
    let mut driver = Driver::new(1, policy());
    driver.submit(job("lasts", vec![lasting(4000)]));
    driver.pass(SECOND);
    driver.deaf = Some("w0".into());
    driver
        .core
        .cancel("lasts", RequestToken(driver.ticket), driver.now);
    driver
}

fn count_stops(driver: &Driver) -> usize {
    let stops = driver.orders.iter();
    stops
        .filter(|(_, _, order)| matches!(order, Order::Stop(..)))
        .count()
}

#[test]
fn stops_to_a_worker_that_says_nothing_do_not_pile_up() {
    let mut driver = cancel_unanswered();
    driver.silent = Some("w0".into());
    driver.pass(SECOND);
    let before = count_stops(&driver);
    driver.pass(3 * SECOND);
    let stops = count_stops(&driver) - before;
    // Looks go out each 150 ms, and a stop has no better chance.
    assert!(stops <= 20, "{stops} stops in 3 s");
    let (_, run) = starts_of(&driver, "lasts")[0].clone();
    assert!(
        driver.core.log_state().is_live(run),
        "its lease is not over"
    );
    driver.silent = None;
    driver.pass(200 * MS);
    assert!(
        !driver.core.log_state().is_live(run),
        "the first report ends it"
    );
}

#[test]
fn a_run_that_is_to_be_stopped_and_is_not_there_gives_back_its_room() {
    let mut driver = cancel_unanswered();
    driver.submit(job("next", vec![lasting(4000)]));
    driver.pass(3 * SECOND);
    assert!(!starts_of(&driver, "next").is_empty());
}
