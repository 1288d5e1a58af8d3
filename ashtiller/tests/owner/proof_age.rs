//! How long after its last proof of ownership an owner sends starts, and what its successor makes of
//! that. An owner that was replaced may read the store without being able to write to it.

use std::sync::Arc;
use std::time::Duration;

use ashtiller::workflow::agents::Refusal;
use ashtiller::workflow::config::ListedWorker;
use ashtiller::workflow::record::{End, LogRecord, Run, Task};
use ashtiller::workflow::tuning::Tuning;
use ashtiller::workflow::worker::LATE_MAX;

use crate::driver::{Driver, MS, job, listed, policy, step};

const SECOND: Duration = Duration::from_secs(1);
/// Time in which an owner that may send starts does so.
const START_TIME: Duration = Duration::from_millis(200);

/// Epoch of the owner that was replaced; it knew that all earlier ones had ended.
const FORMER: u64 = 4;

fn run(number: u32) -> Run {
    let task = Task {
        job: 0,
        occurrence: 0,
        step: 0,
        index: 0,
    };
    Run { task, number }
}

/// Returns the log of an owner that placed a task on `w0`.
fn log_with_run() -> Vec<LogRecord> {
    vec![
        LogRecord::Accepted(Box::new(job("1", vec![step(1)])), policy(), 1_000_000),
        LogRecord::Placed(run(1), "w0".into(), Arc::from("")),
    ]
}

/// Returns an owner whose worker refuses a start again and again. The store takes no entries any
/// more, but answers reads.
fn refuse_starts() -> Driver {
    let mut driver = Driver::new(1, policy());
    driver.refusing_worker = Some(("w0".into(), Refusal::Late));
    driver.submit(job("1", vec![step(1)]));
    driver.run_for(SECOND);
    driver.store_available = false;
    driver
}

#[test]
fn no_start_is_sent_long_after_the_last_proof_of_ownership() {
    let mut driver = refuse_starts();
    driver.run_for(SECOND);
    assert!(driver.refused.len() > 100, "it is sent again at once");
    driver.run_for(Tuning::default().drain);
    let sent = driver.refused.len();
    driver.run_for(8 * SECOND);
    assert_eq!(driver.refused.len(), sent);
    assert!(driver.starts().is_empty());
}

#[test]
fn starts_go_out_once_ownership_is_proved_again() {
    let mut driver = refuse_starts();
    driver.run_for(4 * SECOND);
    driver.refusing_worker = None;
    driver.run_for(START_TIME);
    assert!(driver.starts().is_empty());
    driver.restore_store();
    driver.run_for(START_TIME);
    assert_eq!(driver.starts(), [("w0".into(), run(1))]);
}

/// A replay may take seconds, and the proof of ownership dates from its begin. The first start must
/// not wait for the next entry that is due anyway.
#[test]
fn an_owner_with_a_slow_replay_proves_its_ownership_at_once() {
    let mut driver = Driver::replay(&log_with_run(), 0, policy());
    let proved_at = driver.now.at.saturating_sub(5 * SECOND);
    driver.core.note_ownership_proof(proved_at);
    driver.core.list_worker(listed(0), driver.now);
    driver.run_for(START_TIME);
    assert_eq!(driver.starts(), [("w0".into(), run(1))]);
}

/// Returns a new owner of a log with an unanswered start, and the time at which it began. The worker of
/// the start drains, so its task needs another one.
fn find_unconfirmed_start() -> (Driver, Duration) {
    let mut records = vec![LogRecord::Cleared(FORMER)];
    records.extend(log_with_run());
    records.extend([
        LogRecord::StartUnconfirmed(run(1), "w0".into()),
        LogRecord::Ended(run(1), End::Lost, Arc::from("")),
    ]);
    let mut driver = Driver::replay(&records, 0, policy());
    let draining = ListedWorker {
        draining: true,
        remaining: Some(60 * SECOND),
        ..listed(0)
    };
    let began = driver.now.at.saturating_sub(100 * MS);
    driver.core.list_all(vec![draining, listed(1)], driver.now);
    (driver, began)
}

/// Asserts that the task starts elsewhere at this time, and no sooner.
fn assert_starts_at(driver: &mut Driver, at: Duration) {
    driver.run_for(at.saturating_sub(driver.now.at + START_TIME));
    assert!(driver.starts().is_empty(), "it may still be carried out");
    driver.run_for(SECOND);
    assert_eq!(driver.starts(), [("w1".into(), run(2))]);
}

/// The former owner is not known to have ended, and may send other starts for a while. The time in
/// which they are carried out counts from the last one.
#[test]
fn an_unconfirmed_start_is_in_doubt_until_the_former_owner_cannot_send_another() {
    let (mut driver, began) = find_unconfirmed_start();
    let last = Tuning::default().drain;
    assert_starts_at(&mut driver, began + last + LATE_MAX);
}

#[test]
fn an_unconfirmed_start_counts_from_the_known_end_of_the_former_owner() {
    let (mut driver, _) = find_unconfirmed_start();
    driver.run_for(300 * MS);
    driver.core.note_predecessor_ended(FORMER, driver.now);
    let ended = driver.now.at;
    assert_starts_at(&mut driver, ended + LATE_MAX);
}
