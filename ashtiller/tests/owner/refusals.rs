//! Workers that answer looks and refuse starts.
//!
//! Symptom: a task is placed at one worker again and again and runs nowhere, although
//! another worker is idle. Nothing says that it waits: it always has a worker.
//! Sequence: the worker refuses the start, the run is stopped there, the task is placed
//! again, and by the same costs the same worker is chosen.
//! Cause: the owner learned about workers from the ends that they list alone; a refusal was
//! forgotten with its run.
//! Settled by: 39 starts refused for the moment, and 334 each for want of room and as
//! not understood, in 10 s, and none tried at the idle worker.

use std::time::Duration;

use ashtiller::workflow::agents::Refusal;

use crate::driver::{Driver, job, policy};
use crate::trial::{lasting, starts_of};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn a_task_that_a_worker_refuses_is_tried_at_another() {
    for refusal in [Refusal::Busy, Refusal::Room, Refusal::Invalid] {
        let mut driver = Driver::new(2, policy());
        driver.refuses = Some(("w0".into(), refusal));
        driver.submit(job("lasts", vec![lasting(1000)]));
        driver.pass(3 * SECOND);
        assert!(!driver.refused.is_empty(), "{refusal:?}");
        assert_eq!(starts_of(&driver, "lasts").len(), 1, "{refusal:?}");
    }
}
