//! Workers that answer polls and refuse starts.
//!
//! A task was placed on one worker again and again and ran nowhere, although another worker was
//! idle. It was not reported as waiting, because it always had a worker. The worker refused the
//! start, the run was stopped there, and the task was placed again on the same worker, which still
//! had the lowest cost. The owner learned about workers only from the ends that they list; a
//! refusal was forgotten with its run. In 10 s, 39 starts were refused as busy, 334 for lack of
//! capacity and 334 as invalid, and none was sent to the idle worker.

use std::time::Duration;

use ashtiller::workflow::agents::{EndReason, Refusal};
use ashtiller::workflow::message::Reply;

use crate::driver::{Driver, MS, job, policy, step};
use crate::trial::{long_running, starts_of};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn a_task_that_a_worker_refuses_is_tried_at_another() {
    for refusal in [Refusal::Busy, Refusal::Room, Refusal::Invalid] {
        let mut driver = Driver::new(2, policy());
        driver.refusing_worker = Some(("w0".into(), refusal));
        driver.submit(job("lasts", vec![long_running(1000)]));
        driver.run_for(3 * SECOND);
        assert!(!driver.refused.is_empty(), "{refusal:?}");
        assert_eq!(starts_of(&driver, "lasts").len(), 1, "{refusal:?}");
    }
}

/// A job whose only run was refused and withdrawn was not counted as pending, although none of its tasks
/// had begun.
#[test]
fn a_job_whose_starts_are_refused_is_pending_until_a_task_begins() {
    let mut driver = Driver::new(1, policy());
    driver.refusing_worker = Some(("w0".into(), Refusal::Busy));
    driver.submit(job("1", vec![step(1)]));
    for _ in 0..40 {
        driver.run_for(250 * MS);
        assert_eq!(driver.core.count_pending("jobs/q/"), Reply::Pending(1));
    }
    assert!(driver.refused.len() > 4, "a run was withdrawn");
    driver.refusing_worker = None;
    driver.run_for(5 * SECOND);
    assert_eq!(driver.starts().len(), 1);
    assert_eq!(driver.core.count_pending("jobs/q/"), Reply::Pending(0));
}

/// A task that has failed has begun, also while it waits for its next run.
#[test]
fn a_job_whose_task_has_failed_is_not_pending() {
    let mut driver = Driver::new(1, policy());
    driver.submit(job("1", vec![step(1)]));
    driver.run_for(SECOND);
    driver.refusing_worker = Some(("w0".into(), Refusal::Busy));
    let (id, run) = driver.starts()[0].clone();
    driver.end(&id, run, EndReason::Failed, 1);
    for _ in 0..20 {
        driver.run_for(250 * MS);
        assert_eq!(driver.core.count_pending("jobs/q/"), Reply::Pending(0));
    }
}
