//! Lasting tasks that had been away for 10 s were counted as lost while there was room for them:
//! a job of 27 had been cancelled, its runs ended between 28.3 and 28.7 s, and the tasks that
//! waited for their room began 100 to 250 ms after it was free (8 to 35 tasks in seven of
//! thirteen plays alike; those that are named began within 0.25 s). The owner made a round of
//! placing at most once in 0.1 ms for each waiting step, so 10 times a second with 1,000 of them,
//! and room that was left in between stood empty until the next one.

use std::time::Duration;

use ashtiller::workflow::agents::{EndReason, Order};
use ashtiller::workflow::job::Step;

use crate::driver::{Driver, MS, job, policy, step};

/// Two entries of the log at most: one under way, and the one that says where a task goes.
const LIMIT: Duration = Duration::from_millis(60);

fn lasting(count: u32) -> Step {
    Step {
        long_running: true,
        ..step(count)
    }
}

#[test]
fn a_lasting_task_gets_room_at_once_however_much_waits() {
    let mut driver = Driver::new(2, policy());
    driver.submit(job("old", vec![lasting(8)]));
    driver.pass(500 * MS);
    assert_eq!(driver.starts().len(), 8, "both workers are full");
    driver.submit(job("new", vec![lasting(8)]));
    for number in 0..1500 {
        driver.submit(job(&format!("{number:016x}"), vec![step(2)]));
    }
    // By then it goes before short ones.
    driver.pass(4500 * MS);
    assert_eq!(driver.starts().len(), 8);
    // The next one follows the rounds as closely as that of others, at any moment of theirs.
    for (number, moment) in (1..=4u64).zip([0, 35, 70, 105]) {
        driver.pass(500 * MS + moment * MS);
        let (life, run) = driver.starts()[usize::try_from(number).unwrap() - 1].clone();
        driver.end(&life, run, EndReason::Stopped, number);
        let ended = driver.now.at;
        let known = driver.starts().len();
        while driver.starts().len() == known {
            driver.pass(5 * MS);
            let waited = driver.now.at.saturating_sub(ended);
            assert!(
                waited <= LIMIT,
                "no start {waited:?} after the room was left"
            );
        }
        let lasts = |order: &Order| matches!(order, Order::Start(start) if !start.name.job.starts_with("00"));
        let (_, _, order) = driver.orders.last().expect("an order");
        assert!(lasts(order), "{order:?}");
    }
}

/// A lasting task began 70 ms after there was room for it. The end had waited up to 30 ms for the
/// next entry of the log, so that others would share it.
#[test]
fn room_for_a_lasting_task_waits_for_no_shared_entry() {
    let mut driver = Driver::new(1, policy());
    driver.submit(job("old", vec![lasting(4)]));
    driver.pass(500 * MS);
    driver.submit(job("new", vec![lasting(4)]));
    driver.pass(4500 * MS);
    for (number, moment) in (1..=4u64).zip([0, 10, 20, 30]) {
        driver.pass(500 * MS + moment * MS);
        let (life, run) = driver.starts()[usize::try_from(number).unwrap() - 1].clone();
        driver.end(&life, run, EndReason::Stopped, number);
        let known = driver.starts().len();
        driver.pass(15 * MS);
        assert_eq!(driver.starts().len(), known + 1, "room left at {moment} ms");
    }
}
