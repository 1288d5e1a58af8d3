//! Behavior of the owner of a log while orders wait or workers are silent.

use std::time::Duration;

use ashtiller::failure::Failure;
use ashtiller::workflow::agents::ORDER_TIMEOUT_MIN;
use ashtiller::workflow::core::Effect;
use ashtiller::workflow::incarnation::Incarnation;
use ashtiller::workflow::message::Reply;

use crate::driver::{Driver, MS, job, policy, step};

/// The number of waiting jobs was reported as 0 while 6 had waited for 5 s. They were placed, but
/// their starts had to wait or were not answered; a job counted as started once it was placed.
#[test]
fn a_job_whose_starts_are_unanswered_is_reported_as_waiting() {
    let mut driver = Driver::new(1, policy());
    driver.drops_orders = Some("w0".into());
    driver.submit(job("1", vec![step(2)]));
    driver.run_for(200 * MS);
    assert!(!driver.starts().is_empty(), "a start is in flight");
    assert_eq!(driver.core.count_pending("jobs/q/"), Reply::Pending(1));
    driver.drops_orders = None;
    driver.run_for(1000 * MS);
    assert_eq!(driver.core.count_pending("jobs/q/"), Reply::Pending(0));
}

/// Most workers of a fleet are silent; that does not prove congestion on the way to the others.
#[test]
fn silent_workers_do_not_extend_the_timeouts_of_others() {
    let mut driver = Driver::new(40, policy());
    driver.run_for(500 * MS);
    let mut late: Vec<(Duration, Incarnation)> = Vec::new();
    for _ in 0..2000 {
        driver.now.at += 5 * MS;
        driver.core.note_complete_listing(driver.now.at);
        for effect in driver.core.advance(driver.now) {
            match effect {
                // Drops the polls of about thirty of the forty workers.
                Effect::Poll(target, poll)
                    if !target.incarnation.id().ends_with('0')
                        && target.incarnation.id().len() > 2 =>
                {
                    late.push((
                        driver.now.at + poll.wait + target.timeout,
                        target.incarnation,
                    ));
                }
                other => driver.carry_out(other),
            }
        }
        let (due, rest) = late.into_iter().partition(|(at, _)| *at <= driver.now.at);
        late = rest;
        let due: Vec<(Duration, Incarnation)> = due;
        for (_, id) in due {
            let failure = Failure::unknown_effect("look", &id, "no answer");
            driver.core.handle_poll_reply(&id, Err(failure), driver.now);
        }
    }
    let pressure = driver.core.congestion();
    assert!(!pressure.is_congested(), "{:?}", pressure.usual());
    assert_eq!(
        pressure.timeout(ORDER_TIMEOUT_MIN, 800 * MS),
        ORDER_TIMEOUT_MIN
    );
}
