//! The course of jobs: accepted, rejected, run step by step, repeated, failed.

use std::time::Duration;

use ashtiller::workflow::admission::refusals;
use ashtiller::workflow::agents::EndReason;
use ashtiller::workflow::job::{Schedule, Step};
use ashtiller::workflow::message::{Reply, State};
use ashtiller::workflow::record::{LogRecord, Outcome};

use crate::driver::{Driver, MS, job, policy, step};

#[test]
fn an_accepted_job_is_answered_when_it_is_durable() {
    let mut driver = Driver::new(2, policy());
    let token = driver.submit(job("1", vec![step(2)]));
    assert!(driver.replies.is_empty());
    driver.run_for(100 * MS);
    assert_eq!(driver.replies, [(token, Reply::Accepted)]);
    assert_eq!(driver.starts().len(), 2);
    // Submitting the same id again refers to the same job.
    let again = driver.submit(job("1", vec![step(2)]));
    driver.run_for(100 * MS);
    assert_eq!(driver.replies[1], (again, Reply::Accepted));
    assert_eq!(driver.starts().len(), 2);
}

#[test]
fn nothing_starts_before_its_record_is_durable() {
    let mut driver = Driver::new(2, policy());
    driver.store_available = false;
    driver.submit(job("1", vec![step(2)]));
    driver.run_for(300 * MS);
    assert!(driver.starts().is_empty());
    assert!(driver.replies.is_empty());
}

#[test]
fn jobs_are_refused_immediately_while_the_store_is_unavailable() {
    let mut driver = Driver::new(2, policy());
    driver.store_available = false;
    driver.run_for(Duration::from_secs(2));
    let token = driver.submit(job("1", vec![step(1)]));
    driver.run_for(10 * MS);
    // The delay differs between jobs, so that their callers do not all return at one moment.
    let retry = refusals::millis(refusals::spread_delay("1", 1000 * MS));
    assert!((1000..1500).contains(&retry), "{retry}");
    assert_eq!(driver.replies, [(token, Reply::Refused(retry))]);
    let known = driver
        .records
        .iter()
        .any(|record| matches!(record, LogRecord::Accepted(..)));
    assert!(!known, "a refused job is not recorded");
    assert_eq!(driver.core.state("1"), Reply::Missing);
}

/// The same job is submitted twice, just before and just after the store counts as unavailable;
/// then the store answers. The second request was refused, which promises that the job never runs,
/// while the first was recorded: jobs waiting to be recorded were checked last.
#[test]
fn a_job_that_waits_to_be_recorded_is_not_refused() {
    let mut driver = Driver::new(2, policy());
    driver.store_available = false;
    driver.submit(job("1", vec![step(1)]));
    driver.run_for(100 * MS);
    let first = driver.submit(job("2", vec![step(1)]));
    driver.now.at += 400 * MS;
    let again = driver.submit(job("2", vec![step(1)]));
    driver.restore_store();
    driver.run_for(100 * MS);
    for token in [first, again] {
        let answer = (token, Reply::Accepted);
        assert!(driver.replies.contains(&answer), "{:?}", driver.replies);
    }
}

#[test]
fn a_step_waits_for_those_it_depends_on() {
    let mut driver = Driver::new(2, policy());
    let second = Step {
        depends_on: vec![0],
        ..step(1)
    };
    driver.submit(job("1", vec![step(1), second]));
    driver.run_for(200 * MS);
    let starts = driver.starts();
    assert_eq!(starts.len(), 1);
    let (id, run) = starts[0].clone();
    driver.end(&id, run, EndReason::Done, 1);
    driver.run_for(200 * MS);
    let starts = driver.starts();
    assert_eq!(starts.len(), 2);
    assert_eq!(starts[1].1.task.step, 1);
    let (id, run) = starts[1].clone();
    driver.end(&id, run, EndReason::Done, 2);
    driver.run_for(200 * MS);
    assert_eq!(
        driver.core.state("1"),
        Reply::State(State::Over(Outcome::Complete))
    );
}

#[test]
fn a_task_that_fails_too_often_ends_its_job() {
    let mut driver = Driver::new(2, policy());
    driver.submit(job("1", vec![step(1)]));
    for attempt in 1..=2 {
        driver.run_for(300 * MS);
        let (id, run) = driver.starts().last().unwrap().clone();
        assert_eq!(run.number, attempt);
        driver.end(&id, run, EndReason::Failed, u64::from(attempt));
    }
    driver.run_for(200 * MS);
    assert_eq!(
        driver.core.state("1"),
        Reply::State(State::Over(Outcome::Failed))
    );
    assert_eq!(driver.starts().len(), 2);
}

#[test]
fn a_repeated_job_starts_at_its_times() {
    let mut driver = Driver::new(2, policy());
    let mut repeated = job("1", vec![step(1)]);
    repeated.schedule = Some(Schedule {
        first: driver.now.wall + 1000,
        interval: 1000,
        times: 2,
    });
    driver.submit(repeated);
    driver.run_for(900 * MS);
    assert!(driver.starts().is_empty());
    driver.run_for(400 * MS);
    assert_eq!(driver.starts().len(), 1);
    driver.run_for(1000 * MS);
    let times: Vec<u32> = driver
        .starts()
        .iter()
        .map(|(_, run)| run.task.occurrence)
        .collect();
    assert_eq!(times, [0, 1]);
}
