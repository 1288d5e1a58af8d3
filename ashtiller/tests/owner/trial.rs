//! Workers that were quarantined, and the tasks that wait for them.
//!
//! Long-running tasks that were lost with their workers ran nowhere for tens of seconds although
//! workers had capacity; the next owner of the log started them within a second. Some workers fail
//! short tasks for a few seconds while long-running tasks run there; they are quarantined for 1.5 s
//! and then work again; other workers stop answering, and their long-running tasks wait beside more
//! short work than the remaining workers can do.
//!
//! A worker after quarantine is on probation: it gets one run to show that it works. It counted as
//! busy with that run while any run was active there. Long-running tasks never end, so the worker
//! stayed closed for good, and the worker reserved for a waiting task was one of these. In a
//! reproducible run of another deployment the log showed `lasting task waits … waited_ms 28109 …
//! workers "open 53, trial 4" … with_room 0 … kept` one of the four, each with three or four
//! long-running tasks beside unused capacity. On the first deployment, long-running tasks were lost
//! on 24 of 36 days modelled on the reported one before the fix, and on 1 with this fix alone.

use std::time::Duration;

use ashtiller::resources::Resources;
use ashtiller::workflow::agents::{Active, EndReason};
use ashtiller::workflow::incarnation::Incarnation;
use ashtiller::workflow::job::{Policy, Step};
use ashtiller::workflow::record::Run;

use crate::driver::{Driver, MS, job, policy, step};

const SECOND: Duration = Duration::from_secs(1);

/// Time within which a long-running task starts where there is capacity.
const START: Duration = Duration::from_secs(3);

pub fn long_running(processors: u64) -> Step {
    Step {
        long_running: true,
        ..short(processors)
    }
}

pub fn short(processors: u64) -> Step {
    Step {
        needs: Resources {
            processors,
            memory: 1 << 20,
            accelerators: 0,
        },
        ..step(1)
    }
}

pub fn starts_of(driver: &Driver, id: &str) -> Vec<(Incarnation, Run)> {
    let state = driver.core.log_state();
    let mut starts = driver.starts();
    starts.retain(|(_, run)| {
        let job = state.jobs.get(&run.task.job);
        job.is_some_and(|job| *job.job.id == *id)
    });
    starts
}

fn show_running(driver: &mut Driver, id: &str) {
    let (worker, run) = starts_of(driver, id)[0].clone();
    let row = Active {
        name: driver.name(run),
        run: run.number,
        checkpoint: "".into(),
        percent: 100,
        figure: None,
    };
    driver.running.push((worker, row));
}

/// Makes the next polls report that a run ended, beside everything that still runs there.
fn end(driver: &mut Driver, run: Run, how: EndReason, number: u64) {
    driver.reported_ends = driver.ends(run, how, number);
    driver.run_for(200 * MS);
    driver.reported_ends.clear();
}

/// Returns a worker with an active long-running task that was quarantined for two failures.
fn quarantined_beside_long_running_task() -> Driver {
    let once = Policy {
        attempts: 1,
        ..policy()
    };
    let mut driver = Driver::new(1, once);
    driver.submit(job("lasts", vec![long_running(1000)]));
    driver.run_for(SECOND);
    show_running(&mut driver, "lasts");
    driver.run_for(SECOND);
    for number in 1..=2 {
        let id = format!("fails-{number}");
        driver.submit(job(&id, vec![short(1000)]));
        driver.run_for(200 * MS);
        let run = starts_of(&driver, &id)[0].1;
        end(&mut driver, run, EndReason::Failed, number);
    }
    // The first quarantine lasts 1.5 s.
    driver.run_for(2 * SECOND);
    driver
}

#[test]
fn a_worker_with_long_running_tasks_gets_its_run_on_probation() {
    let mut driver = quarantined_beside_long_running_task();
    driver.submit(job("next", vec![long_running(1000)]));
    driver.run_for(START);
    assert_eq!(starts_of(&driver, "next").len(), 1);
}

#[test]
fn probation_beside_long_running_tasks_is_one_run_until_it_succeeds() {
    let mut driver = quarantined_beside_long_running_task();
    driver.submit(job("trial", vec![short(1000)]));
    driver.submit(job("behind", vec![short(1000)]));
    driver.run_for(SECOND);
    let run = starts_of(&driver, "trial")[0].1;
    assert!(
        starts_of(&driver, "behind").is_empty(),
        "beside the run on probation"
    );
    end(&mut driver, run, EndReason::Done, 3);
    driver.run_for(SECOND);
    assert_eq!(starts_of(&driver, "behind").len(), 1);
}

#[test]
fn a_run_on_probation_that_makes_progress_does_not_keep_its_worker_closed() {
    let mut driver = quarantined_beside_long_running_task();
    let long = Step {
        estimate: 20 * SECOND,
        ..short(1000)
    };
    driver.submit(job("long", vec![long]));
    driver.run_for(SECOND);
    driver.submit(job("next", vec![long_running(1000)]));
    driver.run_for(2 * START);
    assert_eq!(starts_of(&driver, "next").len(), 1);
}
