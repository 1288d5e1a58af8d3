//! Ends that a worker reports after their runs were recorded as lost.
//!
//! A task whose run had ended well was started again, although its worker reported the end and was
//! told that the end is recorded. The worker's replies had not come through until its lease
//! expired, so the run was recorded as lost; then the worker answered and listed the end. The end
//! of a run that the owner no longer tracked was ignored and acknowledged. In the log, `run ended …
//! Lost` appeared for nine runs of a worker that was silent for 6.3 s; two of them had ended well,
//! and both tasks were started again after the worker answered.

use std::time::Duration;

use ashtiller::workflow::agents::EndReason;
use ashtiller::workflow::message::{Reply, State};
use ashtiller::workflow::record::{Outcome, Run};

use crate::driver::{Driver, MS, job, policy, step};
use crate::trial::long_running;

/// A silence that is longer than a lease.
const SILENCE: Duration = Duration::from_secs(8);

/// Returns one worker whose only run was started and recorded as lost while the worker was silent.
fn lose_run() -> (Driver, Run) {
    let mut driver = Driver::new(1, policy());
    driver.submit(job("1", vec![step(1)]));
    driver.run_for(200 * MS);
    let (id, run) = driver.starts()[0].clone();
    driver.silent = Some(id);
    driver.run_for(SILENCE);
    assert!(
        !driver.core.log_state().is_live(run),
        "its lease has expired"
    );
    (driver, run)
}

/// Makes the worker answer again and list how the run ended.
fn answer_with(driver: &mut Driver, run: Run, how: EndReason) {
    driver.reported_ends = driver.ends(run, how, 1);
    driver.silent = None;
    driver.run_for(1000 * MS);
}

#[test]
fn completed_work_counts_however_late_it_is_reported() {
    let (mut driver, run) = lose_run();
    answer_with(&mut driver, run, EndReason::Done);
    assert_eq!(driver.starts().len(), 1, "it is not started again");
    let state = driver.core.state("1");
    assert_eq!(state, Reply::State(State::Over(Outcome::Complete)));
}

#[test]
fn a_late_completion_stops_the_next_run() {
    let mut driver = Driver::new(2, policy());
    driver.submit(job("1", vec![step(1), step(1)]));
    driver.run_for(200 * MS);
    let (id, run) = driver.starts()[0].clone();
    driver.silent = Some(id);
    driver.run_for(SILENCE);
    let again = driver.starts();
    let again = again
        .iter()
        .find(|(_, it)| it.task == run.task && *it != run);
    let (_, again) = again.cloned().expect("a run elsewhere");
    answer_with(&mut driver, run, EndReason::Done);
    assert!(driver.stops().contains(&again), "its result is not needed");
}

#[test]
fn a_failure_counts_once_however_late_and_often_it_is_reported() {
    let (mut driver, run) = lose_run();
    answer_with(&mut driver, run, EndReason::Failed);
    let starts = driver.starts();
    assert_eq!(starts.len(), 2, "one failure of two is not the end");
    let failures = |driver: &Driver| {
        let (_, task) = driver.core.log_state().task(run.task).expect("the task");
        task.failures()
    };
    assert_eq!(failures(&driver), 1);
    driver.run_for(1000 * MS);
    assert_eq!(failures(&driver), 1, "it is reported repeatedly");
    let (id, last) = starts[1].clone();
    driver.reported_ends.clear();
    driver.end(&id, last, EndReason::Failed, 2);
    driver.run_for(300 * MS);
    let state = driver.core.state("1");
    assert_eq!(state, Reply::State(State::Over(Outcome::Failed)));
}

/// A long-running task is never done; whatever became of a lost run, the task must run.
#[test]
fn a_long_running_task_restarts_however_its_lost_run_ended() {
    let mut driver = Driver::new(1, policy());
    driver.submit(job("1", vec![long_running(1000)]));
    driver.run_for(200 * MS);
    let (id, run) = driver.starts()[0].clone();
    driver.silent = Some(id);
    driver.run_for(SILENCE);
    answer_with(&mut driver, run, EndReason::Done);
    driver.reported_ends.clear();
    driver.run_for(1000 * MS);
    assert_eq!(driver.starts().len(), 2);
}
