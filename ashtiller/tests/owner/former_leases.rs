//! From which earlier owner a new one counts the leases of a silent worker, and what it records itself.
//!
//! Guards against a wait of 17.3 s that each owner of a series began anew, and against a lease from an
//! owner of which the log says that it has granted none.

use std::sync::Arc;
use std::time::Duration;

use ashtiller::workflow::agents::EndReason;
use ashtiller::workflow::config::ListedWorker;
use ashtiller::workflow::incarnation::Incarnation;
use ashtiller::workflow::job::Step;
use ashtiller::workflow::lease;
use ashtiller::workflow::log_state::LogState;
use ashtiller::workflow::message::{Reply, State};
use ashtiller::workflow::record::{LogRecord, Outcome, Run, Task};
use ashtiller::workflow::snapshot;
use ashtiller::workflow::tuning::Tuning;

use crate::driver::{Driver, MS, job, listed, policy, step};

const SECOND: Duration = Duration::from_secs(1);
/// Epoch of the owner that placed the run.
const FIRST: u64 = 3;
/// Epoch of the immediate predecessor, which never heard the worker of the run.
const LAST: u64 = 4;
/// For how long the immediate predecessor has been known as the new one begins.
const KNOWN_FOR: Duration = Duration::from_secs(10);
/// Time within which a start follows once nothing holds it.
const START_TIME: Duration = Duration::from_millis(500);

fn run() -> Run {
    let task = Task {
        job: 0,
        occurrence: 0,
        step: 0,
        index: 0,
    };
    Run { task, number: 1 }
}

fn long_running() -> Step {
    Step {
        long_running: true,
        ..step(1)
    }
}

/// Returns the log of the first owner, with a run on `w0`.
fn log_with_run() -> Vec<LogRecord> {
    vec![
        LogRecord::Cleared(FIRST),
        LogRecord::Accepted(
            Box::new(job("1", vec![long_running()])),
            policy(),
            1_000_000,
        ),
        LogRecord::Placed(run(), "w0".into(), Arc::from("")),
    ]
}

fn silent() -> LogRecord {
    LogRecord::WorkersSilent(LAST, vec!["w0".into()])
}

/// Returns a new owner of a log with these records after those of the run, and the time at which it
/// began. `w0` does not answer it.
fn begin(more: &[LogRecord], predecessors: &[u64]) -> (Driver, Duration) {
    begin_with(more, predecessors, vec![listed(0), listed(1)])
}

/// The same with this list of workers.
fn begin_with(
    more: &[LogRecord],
    predecessors: &[u64],
    workers: Vec<ListedWorker>,
) -> (Driver, Duration) {
    let records = [&log_with_run()[..], more].concat();
    let mut driver = Driver::replay(&records, 0, policy());
    let began = driver.now.at.saturating_sub(100 * MS);
    driver.silent = Some("w0".into());
    let known = vec![(LAST, KNOWN_FOR)];
    driver.core.set_known_owners(known, driver.now);
    driver.core.set_predecessors(predecessors);
    driver.core.list_all(workers, driver.now);
    (driver, began)
}

/// Returns the time after the beginning of a later owner by which the leases of an earlier one have
/// ended.
fn full_wait() -> Duration {
    let tuning = Tuning::default();
    tuning.horizon + lease::worst_case_elapsed(tuning.lease)
}

/// Asserts that the task starts elsewhere at this time, and no sooner.
fn assert_starts_at(driver: &mut Driver, at: Duration) {
    driver.run_for(at.saturating_sub(driver.now.at + 20 * MS));
    assert!(driver.starts().is_empty(), "a lease may be active");
    driver.run_for(START_TIME);
    let workers: Vec<String> = driver
        .starts()
        .iter()
        .map(|(id, _)| id.to_string())
        .collect();
    assert_eq!(workers, ["w1"]);
}

#[test]
fn the_wait_for_leases_counts_from_the_owner_after_the_last_one_that_granted() {
    let (mut driver, began) = begin(&[silent()], &[FIRST, LAST]);
    assert_starts_at(&mut driver, began + full_wait().saturating_sub(KNOWN_FOR));
}

#[test]
fn the_wait_counts_from_there_also_for_a_worker_that_is_not_listed() {
    let (mut driver, began) = begin_with(&[silent()], &[FIRST, LAST], vec![listed(1)]);
    assert_starts_at(&mut driver, began + full_wait().saturating_sub(KNOWN_FOR));
}

#[test]
fn an_owner_that_recorded_nothing_may_have_granted_a_lease() {
    let (mut driver, began) = begin(&[], &[FIRST, LAST]);
    assert_starts_at(&mut driver, began + full_wait());
}

#[test]
fn an_owner_that_heard_the_worker_later_may_have_granted_a_lease() {
    let heard = LogRecord::WorkerHeard(LAST, "w0".into());
    let (mut driver, began) = begin(&[silent(), heard], &[FIRST, LAST]);
    assert_starts_at(&mut driver, began + full_wait());
}

/// For example an owner of a version without these records.
#[test]
fn the_last_owner_may_have_granted_a_lease_although_one_before_it_has_not() {
    let records = [LogRecord::WorkersSilent(FIRST, vec!["w0".into()])];
    let (mut driver, began) = begin(&records, &[FIRST, LAST]);
    assert_starts_at(&mut driver, began + full_wait());
}

/// The lead key was written by other means, so that owners between them may be unknown.
#[test]
fn an_owner_that_no_record_links_to_its_successor_is_not_counted() {
    let (mut driver, began) = begin(&[silent()], &[]);
    assert_starts_at(&mut driver, began + full_wait());
}

#[test]
fn the_log_keeps_silent_workers_in_snapshots() {
    let mut state = LogState::default();
    let heard = LogRecord::WorkerHeard(LAST, "w1".into());
    let silent = LogRecord::WorkersSilent(LAST, vec!["w0".into(), "w1".into()]);
    state.apply(&silent, SECOND);
    state.apply(&heard, SECOND);
    let state = snapshot::decode(&snapshot::encode(&state).unwrap()).unwrap();
    assert!(state.silent_workers().contains(LAST, "w0"));
    assert!(!state.silent_workers().contains(LAST, "w1"));
}

/// Returns an owner that has recorded that `w0` is silent, without a store from then on, and that
/// `w0` answers again.
fn answer_without_store() -> Driver {
    let (mut driver, _) = begin(&[], &[FIRST, LAST]);
    driver.run_for(3 * SECOND);
    let epoch = driver.core.epoch();
    let recorded = driver
        .core
        .log_state()
        .silent_workers()
        .contains(epoch, "w0");
    assert!(recorded, "{:?}", driver.records);
    driver.store_available = false;
    driver.silent = None;
    driver.granted.clear();
    driver.run_for(2 * SECOND);
    driver
}

/// A later owner would not know of the lease, and start the task beside the run.
#[test]
fn a_worker_that_was_silent_gets_no_lease_before_that_is_recorded() {
    let mut driver = answer_without_store();
    assert!(driver.granted.iter().all(|id| *id != "w0".into()));
    driver.restore_store();
    driver.run_for(SECOND);
    assert!(driver.granted.contains(&"w0".into()));
    let heard = LogRecord::WorkerHeard(driver.core.epoch(), "w0".into());
    assert!(driver.records.contains(&heard));
}

/// A start carries a lease as well. A step that allows copies needs no record before its start.
#[test]
fn a_worker_that_was_silent_gets_no_start_before_that_is_recorded() {
    let copies = Step {
        speculative: true,
        ..step(1)
    };
    let mut records = log_with_run();
    records.extend([
        LogRecord::Accepted(Box::new(job("2", vec![copies])), policy(), 1_000_000),
        LogRecord::Placed(
            Run {
                task: Task {
                    job: 1,
                    ..run().task
                },
                number: 1,
            },
            "w0".into(),
            Arc::from(""),
        ),
    ]);
    let mut driver = Driver::replay(&records, 0, policy());
    driver.silent = Some("w0".into());
    driver.core.set_predecessors(&[FIRST, LAST]);
    driver.core.list_all(vec![listed(0), listed(1)], driver.now);
    driver.run_for(3 * SECOND);
    driver.store_available = false;
    driver.silent = None;
    driver.run_for(SECOND);
    assert!(driver.starts().is_empty());
    driver.restore_store();
    driver.run_for(SECOND);
    assert!(
        driver
            .starts()
            .iter()
            .any(|(id, run)| *id == "w0".into() && run.task.job == 1)
    );
}

/// A worker that answers at once, as most do, needs no record.
#[test]
fn a_worker_that_answers_soon_gets_a_lease_without_a_record() {
    let (mut driver, _) = begin(&[], &[FIRST, LAST]);
    driver.run_for(500 * MS);
    driver.silent = None;
    driver.store_available = false;
    driver.run_for(2 * SECOND);
    assert!(driver.granted.contains(&"w0".into()));
}

/// A record that is made after a lease would be wrong.
#[test]
fn a_worker_with_a_lease_is_not_recorded_as_silent() {
    let (mut driver, _) = begin(&[], &[FIRST, LAST]);
    driver.silent = None;
    driver.run_for(500 * MS);
    assert!(driver.granted.contains(&"w0".into()));
    driver.silent = Some("w0".into());
    driver.run_for(5 * SECOND);
    let epoch = driver.core.epoch();
    assert!(
        !driver
            .core
            .log_state()
            .silent_workers()
            .contains(epoch, "w0")
    );
}

/// The worker's process is replaced after it got a lease, and the next one does not answer. A call meant
/// for the former one may still reach it.
#[test]
fn a_worker_whose_former_process_has_a_lease_is_not_recorded_as_silent() {
    let [former, next] = [1000, 2000].map(|born| Incarnation::new("w0", Some(born)));
    let records = [
        LogRecord::Accepted(
            Box::new(job("1", vec![long_running()])),
            policy(),
            1_000_000,
        ),
        LogRecord::Placed(run(), former.clone(), Arc::from("")),
    ];
    let mut driver = Driver::replay(&records, 0, policy());
    driver.core.set_predecessors(&[FIRST, LAST]);
    let entry = ListedWorker {
        incarnation: former.clone(),
        ..listed(0)
    };
    driver.core.list_all(vec![entry], driver.now);
    driver.run_for(SECOND);
    assert!(driver.granted.contains(&former));
    driver.silent = Some(next.clone());
    driver.restarted.insert(former, next.clone());
    driver.run_for(5 * SECOND);
    assert!(
        !driver.core.workers()[&next].runs.is_empty(),
        "its start is in doubt"
    );
    let silent = driver.core.log_state().silent_workers();
    assert!(!silent.contains(driver.core.epoch(), "w0"));
}

/// All leases of the worker have ended before the new owner began, which reaches it. It tells what became
/// of its run, and a task that is done does not start again.
#[test]
fn a_worker_that_is_reached_again_is_heard_before_its_runs_are_given_up() {
    let records = [
        LogRecord::Accepted(Box::new(job("1", vec![step(1)])), policy(), 1_000_000),
        LogRecord::Placed(run(), "w0".into(), Arc::from("")),
        silent(),
    ];
    let mut driver = Driver::replay(&records, 0, policy());
    driver.reported_ends = driver.ends(run(), EndReason::Done, 1);
    let known = vec![(LAST, 10 * KNOWN_FOR)];
    driver.core.set_known_owners(known, driver.now);
    driver.core.set_predecessors(&[FIRST, LAST]);
    driver.core.list_all(vec![listed(0), listed(1)], driver.now);
    driver.silent = Some("w0".into());
    driver.run_for(400 * MS);
    driver.silent = None;
    driver.run_for(5 * SECOND);
    assert!(driver.starts().is_empty());
    let complete = Reply::State(State::Over(Outcome::Complete));
    assert_eq!(driver.core.state("1"), complete);
}
