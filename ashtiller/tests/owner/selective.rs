//! Latency-sensitive services whose load varies close to their target, and jobs of many short
//! best-effort tasks beside them all the time, most with seconds to spare. A step waits up to a
//! second for workers whose services tolerate it well; when its tasks were placed immediately, they
//! pushed services over their targets.

use std::time::Duration;

use ashtiller::workflow::agents::EndReason;
use ashtiller::workflow::job::Step;

use crate::driver::{Driver, MS, job, policy, step};
use crate::sharing::{fill, processors, service, set_tail_latency};

const SECOND: Duration = Duration::from_secs(1);

/// Returns a best-effort step of the usual length.
fn short(thousandths: u64) -> Step {
    Step {
        estimate: 1700 * MS,
        ..fill(1, thousandths)
    }
}

/// Returns a driver whose worker has a service with a tail latency of `tail` ms for a target of 50
/// ms, and of 18 ms when it runs alone.
fn serving(tail: u64) -> Driver {
    let mut driver = Driver::new(1, policy());
    driver.submit(job("1", vec![service(1, 50 * MS)]));
    driver.run_for(SECOND);
    let services = driver.starts();
    set_tail_latency(&mut driver, &services, 18);
    driver.run_for(20 * SECOND);
    set_tail_latency(&mut driver, &services, tail);
    driver.run_for(100 * MS);
    driver
}

/// Advances time until the next start and returns how long it took.
fn wait_start(driver: &mut Driver) -> Duration {
    let (known, since) = (driver.starts().len(), driver.now.at);
    while driver.starts().len() == known && driver.now.at < since + 10 * SECOND {
        driver.run_for(5 * MS);
    }
    driver.now.at.saturating_sub(since)
}

#[test]
fn a_best_effort_step_waits_a_second_at_most_for_a_better_worker() {
    // At 30 ms the service has 0.37 of its usual headroom, and the best-effort task takes 0.25.
    let mut driver = serving(30);
    driver.submit(job("2", vec![short(1000)]));
    let waited = wait_start(&mut driver);
    assert!(waited > 300 * MS, "it waits: {waited:?}");
    assert!(waited < 1300 * MS, "no longer than a second: {waited:?}");
    // With all its headroom the step does not wait.
    let mut driver = serving(18);
    driver.submit(job("2", vec![short(1000)]));
    let waited = wait_start(&mut driver);
    assert!(waited < 150 * MS, "{waited:?}");
}

#[test]
fn a_step_that_waits_takes_the_better_worker_when_there_is_one() {
    let mut driver = Driver::new(2, policy());
    driver.submit(job("1", vec![service(1, 50 * MS)]));
    driver.run_for(SECOND);
    let services = driver.starts();
    set_tail_latency(&mut driver, &services, 18);
    driver.run_for(20 * SECOND);
    let whole = Step {
        needs: processors(3900),
        ..step(1)
    };
    driver.submit(job("2", vec![whole]));
    driver.run_for(SECOND);
    let (other, taken) = driver.starts()[1].clone();
    assert_ne!(other, services[0].0);
    set_tail_latency(&mut driver, &services, 30);
    driver.run_for(100 * MS);
    driver.submit(job("3", vec![short(1000)]));
    driver.run_for(200 * MS);
    assert_eq!(driver.starts().len(), 2, "it waits");
    driver.end(&other, taken, EndReason::Done, 1);
    driver.run_for(300 * MS);
    let starts = driver.starts();
    assert_eq!(starts.len(), 3);
    assert_eq!(starts[2].0, other);
}
