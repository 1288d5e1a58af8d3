//! What the owner of a log does while orders wait, or workers are silent.

use std::time::Duration;

use ashtiller::failure::Failure;
use ashtiller::workflow::agents::ORDER_TIMEOUT_MIN;
use ashtiller::workflow::core::Effect;
use ashtiller::workflow::incarnation::Incarnation;
use ashtiller::workflow::message::Reply;

use crate::driver::{Driver, MS, job, policy, step};

/// Symptom: 0 jobs were said to wait while 6 had waited for 5 s. Sequence: placed, and the
/// starts had to wait or got no answer. Cause: a job counted as begun once it was placed.
#[test]
fn a_job_whose_starts_have_not_come_through_is_said_to_wait() {
    let mut driver = Driver::new(1, policy());
    driver.deaf = Some("w0".into());
    driver.submit(job("1", vec![step(2)]));
    driver.pass(200 * MS);
    assert!(!driver.starts().is_empty(), "a start is under way");
    assert_eq!(driver.core.count_pending("jobs/q/"), Reply::Pending(1));
    driver.deaf = None;
    driver.pass(1000 * MS);
    assert_eq!(driver.core.count_pending("jobs/q/"), Reply::Pending(0));
}

/// Most workers of a fleet are silent: that says nothing of the way to the others.
#[test]
fn workers_that_are_silent_make_nobody_wait_longer_for_the_others() {
    let mut driver = Driver::new(40, policy());
    driver.pass(500 * MS);
    let mut late: Vec<(Duration, Incarnation)> = Vec::new();
    for _ in 0..2000 {
        driver.now.at += 5 * MS;
        driver.core.note_complete_listing(driver.now.at);
        for effect in driver.core.advance(driver.now) {
            match effect {
                // Thirty of forty.
                Effect::Poll(target, look)
                    if !target.incarnation.id().ends_with('0')
                        && target.incarnation.id().len() > 2 =>
                {
                    late.push((
                        driver.now.at + look.wait + target.timeout,
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
            let nothing = Failure::unknown_effect("look", &id, "no answer");
            driver.core.handle_poll_reply(&id, Err(nothing), driver.now);
        }
    }
    let pressure = driver.core.congestion();
    assert!(!pressure.is_congested(), "{:?}", pressure.usual());
    assert_eq!(
        pressure.timeout(ORDER_TIMEOUT_MIN, 800 * MS),
        ORDER_TIMEOUT_MIN
    );
}
