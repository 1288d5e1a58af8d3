//! Ends that a worker reports after their runs were given up.
//!
//! Symptom: a task whose run had ended well was started again, although its worker told of
//! the end, and was told that the end is recorded.
//! Sequence: a run is started, its worker's answers do not come through until its lease is
//! over, the run is recorded as lost; then the worker answers and lists the end.
//! Cause: the end of a run that the owner no longer had was passed over and acknowledged.
//! Settled by: `run ended … Lost` for nine runs of a worker that was silent for 6.3 s, two of
//! which had ended well; both tasks were started again after it answered.

use std::time::Duration;

use ashtiller::workflow::agents::EndReason;
use ashtiller::workflow::message::{Reply, State};
use ashtiller::workflow::record::{Outcome, Run};

use crate::driver::{Driver, MS, job, policy, step};
use crate::trial::lasting;

/// Longer than a lease.
const SILENCE: Duration = Duration::from_secs(8);

/// One worker whose only run was started, and was lost to its silence.
fn lose_run() -> (Driver, Run) {
    let mut driver = Driver::new(1, policy());
    driver.submit(job("1", vec![step(1)]));
    driver.pass(200 * MS);
    let (id, run) = driver.starts()[0].clone();
    driver.silent = Some(id);
    driver.pass(SILENCE);
    assert!(!driver.core.log_state().is_live(run), "its lease is over");
    (driver, run)
}

/// The worker answers again, and lists how the run ended.
fn answer_with(driver: &mut Driver, run: Run, how: EndReason) {
    driver.listed_ends = driver.ends(run, how, 1);
    driver.silent = None;
    driver.pass(1000 * MS);
}

#[test]
fn work_that_is_done_counts_however_late_it_is_told() {
    let (mut driver, run) = lose_run();
    answer_with(&mut driver, run, EndReason::Done);
    assert_eq!(driver.starts().len(), 1, "it is not started again");
    let state = driver.core.state("1");
    assert_eq!(state, Reply::State(State::Over(Outcome::Complete)));
}

#[test]
fn work_that_is_done_after_all_stops_its_next_run() {
    let mut driver = Driver::new(2, policy());
    driver.submit(job("1", vec![step(1), step(1)]));
    driver.pass(200 * MS);
    let (id, run) = driver.starts()[0].clone();
    driver.silent = Some(id);
    driver.pass(SILENCE);
    let again = driver.starts();
    let again = again
        .iter()
        .find(|(_, it)| it.task == run.task && *it != run);
    let (_, again) = again.cloned().expect("a run elsewhere");
    answer_with(&mut driver, run, EndReason::Done);
    assert!(driver.stops().contains(&again), "nobody needs it");
}

#[test]
fn a_failure_counts_once_however_late_and_often_it_is_told() {
    let (mut driver, run) = lose_run();
    answer_with(&mut driver, run, EndReason::Failed);
    let starts = driver.starts();
    assert_eq!(starts.len(), 2, "one failure of two is not the end");
    let failures = |driver: &Driver| {
        let (_, task) = driver.core.log_state().task(run.task).expect("the task");
        task.failures()
    };
    assert_eq!(failures(&driver), 1);
    driver.pass(1000 * MS);
    assert_eq!(failures(&driver), 1, "it is told again and again");
    let (id, last) = starts[1].clone();
    driver.listed_ends.clear();
    driver.end(&id, last, EndReason::Failed, 2);
    driver.pass(300 * MS);
    let state = driver.core.state("1");
    assert_eq!(state, Reply::State(State::Over(Outcome::Failed)));
}

/// A task that lasts is never done; whatever became of a lost run, it is needed.
#[test]
fn a_lasting_task_is_started_again_whatever_is_told_of_a_lost_run() {
    let mut driver = Driver::new(1, policy());
    driver.submit(job("1", vec![lasting(1000)]));
    driver.pass(200 * MS);
    let (id, run) = driver.starts()[0].clone();
    driver.silent = Some(id);
    driver.pass(SILENCE);
    answer_with(&mut driver, run, EndReason::Done);
    driver.listed_ends.clear();
    driver.pass(1000 * MS);
    assert_eq!(driver.starts().len(), 2);
}
