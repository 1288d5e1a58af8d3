//! Long-running tasks that had been stopped for 10 s counted as lost while there was capacity for
//! them: a job of 27 tasks had been cancelled, its runs ended between 28.3 and 28.7 s, and the
//! tasks waiting for that capacity started 100 to 250 ms after it was free (8 to 35 tasks in seven
//! of thirteen comparable test runs; those that are named started within 0.25 s). The owner ran a
//! placement round at most once every 0.1 ms per waiting step, so 10 times a second with 1,000
//! waiting steps, and capacity that became free in between stayed unused until the next round.

use std::time::Duration;

use ashtiller::workflow::agents::{EndReason, Order};
use ashtiller::workflow::job::Step;

use crate::driver::{Driver, MS, job, policy, step};

/// Time of at most two log entries: one in flight, and the one that records the placement.
const START_MAX: Duration = Duration::from_millis(60);

fn long_running(count: u32) -> Step {
    Step {
        long_running: true,
        ..step(count)
    }
}

#[test]
fn a_long_running_task_starts_immediately_however_much_waits() {
    let mut driver = Driver::new(2, policy());
    driver.submit(job("old", vec![long_running(8)]));
    driver.run_for(500 * MS);
    assert_eq!(driver.starts().len(), 8, "both workers are full");
    driver.submit(job("new", vec![long_running(8)]));
    for number in 0..1500 {
        driver.submit(job(&format!("{number:016x}"), vec![step(2)]));
    }
    // By now it is placed before short tasks.
    driver.run_for(4500 * MS);
    assert_eq!(driver.starts().len(), 8);
    // The start must follow as quickly at any moment within the rounds of placement.
    for (number, moment) in (1..=4u64).zip([0, 35, 70, 105]) {
        driver.run_for(500 * MS + moment * MS);
        let (incarnation, run) = driver.starts()[usize::try_from(number).unwrap() - 1].clone();
        driver.end(&incarnation, run, EndReason::Stopped, number);
        let ended = driver.now.at;
        let known = driver.starts().len();
        while driver.starts().len() == known {
            driver.run_for(5 * MS);
            let waited = driver.now.at.saturating_sub(ended);
            assert!(
                waited <= START_MAX,
                "no start {waited:?} after the capacity was freed"
            );
        }
        let lasts = |order: &Order| matches!(order, Order::Start(start) if !start.name.job.starts_with("00"));
        let (_, _, order) = driver.orders.last().expect("an order");
        assert!(lasts(order), "{order:?}");
    }
}

/// A long-running task started 70 ms after there was capacity for it. The end of the previous run
/// had waited up to 30 ms for the next log entry, so that other records could share it.
#[test]
fn a_long_running_task_does_not_wait_for_a_shared_entry() {
    let mut driver = Driver::new(1, policy());
    driver.submit(job("old", vec![long_running(4)]));
    driver.run_for(500 * MS);
    driver.submit(job("new", vec![long_running(4)]));
    driver.run_for(4500 * MS);
    for (number, moment) in (1..=4u64).zip([0, 10, 20, 30]) {
        driver.run_for(500 * MS + moment * MS);
        let (incarnation, run) = driver.starts()[usize::try_from(number).unwrap() - 1].clone();
        driver.end(&incarnation, run, EndReason::Stopped, number);
        let known = driver.starts().len();
        driver.run_for(15 * MS);
        assert_eq!(
            driver.starts().len(),
            known + 1,
            "capacity freed at {moment} ms"
        );
    }
}
