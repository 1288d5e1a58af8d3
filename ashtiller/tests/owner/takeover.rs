//! The start of a new owner from the log that it replays.

use std::sync::Arc;
use std::time::Duration;

use ashtiller::workflow::job::Step;
use ashtiller::workflow::record::{End, LogRecord, Run, Task};

use crate::driver::{Driver, MS, job, listed, policy, step};

fn run(number: u32) -> Run {
    let task = Task {
        job: 0,
        occurrence: 0,
        step: 0,
        index: 0,
    };
    Run { task, number }
}

/// Epoch of the owner that was replaced.
const FORMER: u64 = 4;

/// Returns a new owner that finds a long-running task on a worker that is gone.
fn replace_owner(known: &[LogRecord]) -> Driver {
    let long_running = Step {
        long_running: true,
        ..step(1)
    };
    let mut records = known.to_vec();
    records.extend([
        LogRecord::Accepted(Box::new(job("1", vec![long_running])), policy(), 1_000_000),
        placed(1, "gone"),
    ]);
    Driver::replay(&records, 1, policy())
}

/// Returns a new owner of a log with a long-running task on `w0`, beside `w1`. Both workers are
/// listed, and no earlier owner grants leases any more.
fn replace_owner_of_listed_workers(gone: &[&str]) -> Driver {
    let mut driver = Driver::replay(&records_of_task_on("w0"), 0, policy());
    for id in gone {
        driver.crash(&(*id).into());
    }
    driver.core.list_all(vec![listed(0), listed(1)], driver.now);
    driver.core.note_predecessor_ended(FORMER, driver.now);
    driver
}

fn records_of_task_on(worker: &str) -> [LogRecord; 3] {
    let long_running = Step {
        long_running: true,
        ..step(1)
    };
    [
        LogRecord::Cleared(FORMER),
        LogRecord::Accepted(Box::new(job("1", vec![long_running])), policy(), 1_000_000),
        placed(1, worker),
    ]
}

fn placed(number: u32, worker: &str) -> LogRecord {
    LogRecord::Placed(run(number), worker.into(), Arc::from(""))
}

/// The former owner placed a copy that it never started, or whose start did not succeed, and then
/// recorded that the first run was done.
#[test]
fn a_copy_of_a_task_that_is_done_is_not_started() {
    let copied = Step {
        speculative: true,
        ..step(2)
    };
    let records = [
        LogRecord::Accepted(Box::new(job("1", vec![copied])), policy(), 1_000_000),
        placed(1, "w0"),
        placed(2, "w1"),
        LogRecord::Ended(run(1), End::Done, Arc::from("")),
    ];
    let mut driver = Driver::replay(&records, 2, policy());
    driver.run_for(1000 * MS);
    let starts = driver.starts();
    assert!(
        starts.iter().all(|(_, it)| it.task.index != 0),
        "{starts:?}"
    );
    assert!(
        !driver.core.log_state().is_live(run(2)),
        "its stop is recorded"
    );
}

/// A run that an owner had taken over was never started, although its worker answered and the store
/// was back. The store became unavailable as the owner began, for longer than ownership holds; the
/// worker first answered then, and its start was held. Held starts were not reconsidered when
/// ownership was proved: none was sent in the 10 s after that.
#[test]
fn a_start_that_waits_for_proof_of_ownership_goes_out_with_it() {
    let records = [
        LogRecord::Accepted(Box::new(job("1", vec![step(1)])), policy(), 1_000_000),
        placed(1, "w0"),
    ];
    let mut driver = Driver::replay(&records, 0, policy());
    driver.store_available = false;
    driver.silent = Some("w0".into());
    driver.core.list_worker(listed(0), driver.now);
    driver.run_for(Duration::from_secs(12));
    driver.silent = None;
    driver.run_for(Duration::from_secs(2));
    assert!(driver.starts().is_empty(), "ownership is in doubt");
    driver.restore_store();
    driver.run_for(Duration::from_secs(10));
    assert_eq!(driver.starts(), [("w0".into(), run(1))]);
}

/// A long-running task waited for 17 s after a change of owner. Its worker stopped answering and
/// lost its entry; the store was unavailable, so the former owner could not record the end; a new
/// owner took over and knows no worker of that id. For a worker that has not been listed since, the
/// new owner assumed the longest lease that a former owner without the store may have granted,
/// although the former owner had reported that it ended. In the log, `run ended … Lost` appeared
/// for all such runs 17.296 s after the new owner began, and three long-running tasks were down
/// from 16.6 to 43.3 s, both before and after the fixes to trials.
///
/// The proof is that the former owner has ended, and that its log states the same of all owners
/// before it: starting within 9 s without this proof would let a task run twice.
#[test]
fn a_task_on_a_worker_that_is_gone_starts_soon_after_a_change_of_owner() {
    let mut driver = replace_owner(&[LogRecord::Cleared(FORMER)]);
    driver.core.note_predecessor_ended(FORMER, driver.now);
    // The longest lease, and what the platform allows beyond it.
    driver.run_for(9000 * MS);
    assert_eq!(driver.starts().len(), 1);
    assert!(
        driver.records.contains(&LogRecord::Cleared(5)),
        "for a later owner"
    );
}

#[test]
fn a_task_waits_for_the_longest_lease_if_the_former_owner_may_be_active() {
    let mut driver = replace_owner(&[LogRecord::Cleared(FORMER)]);
    driver.run_for(17_000 * MS);
    assert!(
        driver.starts().is_empty(),
        "the former owner may still be active"
    );
    driver.run_for(1000 * MS);
    assert_eq!(driver.starts().len(), 1);
}

/// Guards against a proof that makes tasks wait longer: the lease of an owner that may be active
/// was counted from the proof, also where the longest time for which it may have continued without
/// the store ends earlier.
#[test]
fn a_late_proof_of_the_end_of_the_former_owner_does_not_prolong_the_wait() {
    let mut driver = replace_owner(&[LogRecord::Cleared(FORMER)]);
    driver.run_for(16_000 * MS);
    driver.core.note_predecessor_ended(FORMER, driver.now);
    driver.run_for(2000 * MS);
    assert_eq!(driver.starts().len(), 1);
}

#[test]
fn the_end_of_the_former_owner_does_not_prove_the_end_of_those_before_it() {
    let mut driver = replace_owner(&[LogRecord::Cleared(FORMER - 1)]);
    driver.core.note_predecessor_ended(FORMER, driver.now);
    driver.run_for(17_000 * MS);
    assert!(
        driver.starts().is_empty(),
        "an earlier owner may still be active"
    );
    driver.run_for(1000 * MS);
    assert_eq!(driver.starts().len(), 1);
}

/// Guards against long-running tasks that stay away for 23 s because their worker was lost just
/// before a change of owner. The new owner took each listed worker with runs of the former owner
/// for one that had restarted under its id, whose next incarnation may still carry out starts.
#[test]
fn a_task_on_a_worker_lost_before_a_change_of_owner_starts_soon() {
    let mut driver = replace_owner_of_listed_workers(&["w0"]);
    driver.run_for(1100 * MS);
    driver.core.unlist_worker(&"w0".into(), driver.now);
    driver.run_for(7900 * MS);
    assert_eq!(driver.starts(), [("w1".into(), run(2))]);
}

/// As above, but the worker has answered the new owner before it is lost, which bounds its lease.
#[test]
fn a_task_on_a_worker_lost_after_a_change_of_owner_starts_soon() {
    let mut driver = replace_owner_of_listed_workers(&[]);
    driver.run_for(1500 * MS);
    assert_eq!(driver.starts(), [("w0".into(), run(1))]);
    driver.crash(&"w0".into());
    driver.run_for(1100 * MS);
    driver.core.unlist_worker(&"w0".into(), driver.now);
    driver.run_for(7900 * MS);
    assert_eq!(
        driver.starts(),
        [("w0".into(), run(1)), ("w1".into(), run(2))]
    );
}

/// Earlier owners may end in any order. The log names the oldest one that may be active, so that a
/// later owner need not ask those before it again.
#[test]
fn each_earlier_owner_that_ends_is_recorded_once_all_before_it_have_ended() {
    let mut driver = replace_owner(&[LogRecord::Cleared(2)]);
    driver.core.set_predecessors(&[FORMER, 3, 2]);
    let cleared = |driver: &mut Driver, ended: u64| {
        driver.core.note_predecessor_ended(ended, driver.now);
        driver.run_for(100 * MS);
        driver.core.log_state().cleared
    };
    assert_eq!(cleared(&mut driver, 3), 2);
    assert_eq!(cleared(&mut driver, 2), FORMER);
    assert_eq!(cleared(&mut driver, FORMER), 5);
    driver.run_for(9000 * MS);
    assert_eq!(driver.starts().len(), 1);
}

/// An owner of which there is no record may still be active, although all others have ended.
#[test]
fn the_end_of_all_known_owners_does_not_prove_the_end_of_unknown_ones() {
    let mut driver = replace_owner(&[LogRecord::Cleared(1)]);
    driver.core.set_predecessors(&[FORMER, 3, 2]);
    for epoch in [2, 3, FORMER] {
        driver.core.note_predecessor_ended(epoch, driver.now);
    }
    driver.run_for(17_000 * MS);
    assert_eq!(driver.core.log_state().cleared, 1);
    assert!(driver.starts().is_empty(), "an unknown owner may be active");
    driver.run_for(1000 * MS);
    assert_eq!(driver.starts().len(), 1);
}

/// Guards against an owner that was replaced during a long replay and acts for 11 s after it, while
/// its successor expects that from its own beginning.
#[test]
fn an_owner_acts_without_the_store_from_its_last_proof_on() {
    let records = [
        LogRecord::Accepted(Box::new(job("1", vec![step(1)])), policy(), 1_000_000),
        placed(1, "w0"),
    ];
    let mut driver = Driver::replay(&records, 0, policy());
    driver.store_available = false;
    driver
        .core
        .note_ownership_proof(driver.now.at.saturating_sub(Duration::from_secs(12)));
    driver.core.list_worker(listed(0), driver.now);
    driver.run_for(2000 * MS);
    assert!(driver.starts().is_empty(), "ownership is in doubt");
    driver.restore_store();
    driver.run_for(2000 * MS);
    assert_eq!(driver.starts(), [("w0".into(), run(1))]);
}
