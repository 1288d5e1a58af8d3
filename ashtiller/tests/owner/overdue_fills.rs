//! Best-effort tasks that the services beside them keep waiting.
//!
//! What a best-effort image takes from services is learned while both run side by side. A job whose
//! tasks were estimated to take too much everywhere waited for good, with most of the room free.

use std::time::Duration;

use ashtiller::resources::Resources;
use ashtiller::workflow::interference::LearnedFactor;
use ashtiller::workflow::job::Step;
use ashtiller::workflow::record::LogRecord;

use crate::driver::{Driver, MS, job, policy};
use crate::sharing::{fill, processors, service, set_tail_latency};

const SECOND: Duration = Duration::from_secs(1);
/// Time within which a job with room has a run.
const RUN_WITHIN: Duration = Duration::from_secs(3);
/// Time within which jobs are finished once no more come.
const FINISH_WITHIN: Duration = Duration::from_secs(14);

/// Returns a driver whose two workers have two services each, all within their target. `image` is
/// known to take this factor of their headroom.
fn serving(image: &str, factor: f64) -> Driver {
    let learned = |fills: &str, factor| LearnedFactor {
        serves: "serves".into(),
        fills: fills.into(),
        factor,
        variance: 0.0001,
    };
    let factors = vec![learned("", 2.65), learned(image, factor)];
    let mut driver = Driver::replay(&[LogRecord::Learned(factors)], 2, policy());
    let services = Step {
        needs: processors(1900),
        ..service(4, 50 * MS)
    };
    driver.submit(job("services", vec![services]));
    driver.run_for(SECOND);
    let services = driver.starts();
    assert_eq!(services.len(), 4);
    set_tail_latency(&mut driver, &services, 19);
    driver.run_for(2 * SECOND);
    driver
}

/// Returns the time until the next start, at most `limit`.
fn wait_start(driver: &mut Driver, limit: Duration) -> Option<Duration> {
    let (known, since) = (driver.starts().len(), driver.now.at);
    while driver.now.at < since + limit {
        driver.run_for(10 * MS);
        if driver.starts().len() > known {
            return Some(driver.now.at.saturating_sub(since));
        }
    }
    None
}

#[test]
fn a_job_that_leaves_services_within_their_targets_does_not_wait_for_good() {
    let mut driver = serving("fills", 1.2);
    driver.submit(job("1", vec![fill(3, 1500)]));
    assert!(wait_start(&mut driver, RUN_WITHIN).is_some());
    // The others wait until services have reported how little they lose.
    assert_eq!(wait_start(&mut driver, 300 * MS), None);
    assert!(wait_start(&mut driver, RUN_WITHIN).is_some());
}

#[test]
fn a_job_that_fits_beside_no_service_does_not_wait_for_good() {
    let mut driver = serving("fills", 5.0);
    driver.submit(job("1", vec![fill(3, 1500)]));
    let waited = wait_start(&mut driver, FINISH_WITHIN);
    assert!(
        waited.is_some_and(|waited| waited > RUN_WITHIN),
        "{waited:?}"
    );
}

/// A best-effort job fits beside no service. The next one has more memory, work and slack, and comes
/// after it; it was passed over, as best-effort tasks reserve memory only.
#[test]
fn a_small_task_is_tried_although_a_larger_one_of_its_image_fits_nowhere() {
    let mut driver = serving("fills", 5.0);
    driver.submit(job("1", vec![fill(1, 1500)]));
    driver.run_for(2 * SECOND);
    let small = Step {
        needs: Resources {
            memory: 2 << 20,
            ..processors(20)
        },
        estimate: 1000 * SECOND,
        ..fill(1, 20)
    };
    driver.submit(job("2", vec![small]));
    assert!(wait_start(&mut driver, RUN_WITHIN).is_some());
    let (_, run) = driver.starts().pop().expect("a start");
    let job = &driver.core.log_state().jobs[&run.task.job].job;
    assert_eq!(&*job.id, "2");
}
