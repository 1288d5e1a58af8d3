//! Stops that are not answered.
//!
//! For every run on a worker that was gone, a stop was sent and logged every 60 ms until the lease
//! expired; and a run to be stopped kept its capacity although every report of its worker showed
//! that it was not there. A job is cancelled or a worker drains, the stop is not answered, and the
//! worker is silent or reports without the run. Unanswered orders were sent again after a fixed
//! pause, whatever polls showed, and reports were used to detect a missed end only for runs that
//! are to continue. In the log, `stop unanswered` appeared 158 times in 3 s for four runs on one
//! worker that was gone.

use std::time::Duration;

use ashtiller::workflow::agents::Order;
use ashtiller::workflow::core::RequestToken;

use crate::driver::{Driver, MS, job, policy};
use crate::trial::{long_running, starts_of};

const SECOND: Duration = Duration::from_secs(1);

/// Cancels a long-running task that fills the only worker, and drops its stop.
fn cancel_unanswered() -> Driver {
    let mut driver = Driver::new(1, policy());
    driver.submit(job("lasts", vec![long_running(4000)]));
    driver.run_for(SECOND);
    driver.drops_orders = Some("w0".into());
    driver
        .core
        .cancel("lasts", RequestToken(driver.last_token), driver.now);
    driver
}

fn count_stops(driver: &Driver) -> usize {
    let stops = driver.orders.iter();
    stops
        .filter(|(_, _, order)| matches!(order, Order::Stop(..)))
        .count()
}

#[test]
fn stops_to_a_silent_worker_do_not_accumulate() {
    let mut driver = cancel_unanswered();
    driver.silent = Some("w0".into());
    driver.run_for(SECOND);
    let before = count_stops(&driver);
    driver.run_for(3 * SECOND);
    let stops = count_stops(&driver) - before;
    // Polls are sent every 150 ms, and a stop has no better chance of arriving.
    assert!(stops <= 20, "{stops} stops in 3 s");
    let (_, run) = starts_of(&driver, "lasts")[0].clone();
    assert!(
        driver.core.log_state().is_live(run),
        "its lease has not expired"
    );
    driver.silent = None;
    driver.run_for(200 * MS);
    assert!(
        !driver.core.log_state().is_live(run),
        "the first report ends it"
    );
}

#[test]
fn a_run_to_be_stopped_that_is_not_there_releases_its_capacity() {
    let mut driver = cancel_unanswered();
    driver.submit(job("next", vec![long_running(4000)]));
    driver.run_for(3 * SECOND);
    assert!(!starts_of(&driver, "next").is_empty());
}
