//! Workers that answer polls and refuse starts.
//!
//! A task was placed on one worker again and again and ran nowhere, although another worker was
//! idle. It was not reported as waiting, because it always had a worker. The worker refused the
//! start, the run was stopped there, and the task was placed again on the same worker, which still
//! had the lowest cost. The owner learned about workers only from the ends that they list; a
//! refusal was forgotten with its run. In 10 s, 39 starts were refused as busy, 334 for lack of
//! capacity and 334 as invalid, and none was sent to the idle worker.

use std::time::Duration;

use ashtiller::workflow::agents::Refusal;

use crate::driver::{Driver, job, policy};
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
