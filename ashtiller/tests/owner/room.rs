//! Distribution of capacity among short and long-running steps.

use std::sync::Arc;
use std::time::Duration;

use ashtiller::resources::Resources;
use ashtiller::workflow::agents::EndReason;
use ashtiller::workflow::incarnation::Incarnation;
use ashtiller::workflow::job::Step;
use ashtiller::workflow::record::Run;

use crate::driver::{Driver, MS, job, policy, step};

const SECOND: Duration = Duration::from_secs(1);

fn whole_worker() -> Step {
    Step {
        needs: Resources {
            processors: 4000,
            memory: 1 << 20,
            accelerators: 0,
        },
        ..step(1)
    }
}

fn long_running() -> Step {
    Step {
        long_running: true,
        ..whole_worker()
    }
}

/// Returns the newest start, with the id of its job.
fn newest(driver: &Driver) -> (Incarnation, Run, Arc<str>) {
    let (id, run) = driver.starts().last().expect("a start").clone();
    let job = driver.core.log_state().jobs[&run.task.job].job.id.clone();
    (id, run, job)
}

#[test]
fn a_short_job_does_not_wait_behind_long_running_ones() {
    let mut driver = Driver::new(1, policy());
    driver.submit(job("first", vec![whole_worker()]));
    driver.run_for(SECOND);
    let (id, run, _) = newest(&driver);
    for number in 0..5 {
        driver.submit(job(&format!("lasts-{number}"), vec![long_running()]));
    }
    driver.run_for(100 * MS);
    driver.submit(job("short", vec![whole_worker()]));
    driver.run_for(100 * MS);
    driver.end(&id, run, EndReason::Done, 1);
    driver.run_for(300 * MS);
    assert_eq!(&*newest(&driver).2, "short");
}

#[test]
fn a_late_short_job_still_runs_before_long_running_ones() {
    let mut driver = Driver::new(1, policy());
    driver.submit(job("first", vec![whole_worker()]));
    driver.run_for(SECOND);
    let (id, run, _) = newest(&driver);
    driver.submit(job("short", vec![whole_worker()]));
    driver.submit(job("lasts", vec![long_running()]));
    // Three times its target of 1.25 s has passed.
    driver.run_for(3900 * MS);
    driver.end(&id, run, EndReason::Done, 1);
    driver.run_for(300 * MS);
    assert_eq!(&*newest(&driver).2, "short");
}

#[test]
fn a_long_running_task_starts_in_time_beside_a_stream_of_short_jobs() {
    let mut driver = Driver::new(1, policy());
    driver.submit(job("short-0", vec![whole_worker()]));
    driver.submit(job("short-1", vec![whole_worker()]));
    driver.run_for(SECOND);
    driver.submit(job("lasts", vec![long_running()]));
    let began = driver.now.at;
    for number in 2..40 {
        let (id, run, running) = newest(&driver);
        if &*running == "lasts" {
            break;
        }
        driver.submit(job(&format!("short-{number}"), vec![whole_worker()]));
        driver.end(&id, run, EndReason::Done, number);
        driver.run_for(200 * MS);
    }
    assert_eq!(&*newest(&driver).2, "lasts");
    let waited = driver.now.at.saturating_sub(began);
    assert!(waited < 3 * SECOND, "{waited:?}");
}

#[test]
fn a_large_long_running_task_starts_beside_a_stream_of_small_short_jobs() {
    let mut driver = Driver::new(1, policy());
    let large = Step {
        needs: Resources {
            processors: 3000,
            ..step(1).needs
        },
        ..long_running()
    };
    driver.submit(job("small", vec![step(40)]));
    driver.run_for(SECOND);
    driver.submit(job("lasts", vec![large]));
    let began = driver.now.at;
    let mut ended = 0;
    while driver.now.at < began + 8 * SECOND && &*newest(&driver).2 != "lasts" {
        // Tasks end one after the other, so that at most one processor is free at a time.
        let (id, run) = driver.starts()[ended].clone();
        ended += 1;
        driver.end(&id, run, EndReason::Done, ended as u64);
        driver.run_for(200 * MS);
    }
    assert_eq!(&*newest(&driver).2, "lasts");
}

#[test]
fn the_time_spent_waiting_is_reported_when_a_job_ends() {
    let mut driver = Driver::new(1, policy());
    driver.submit(job("first", vec![whole_worker()]));
    driver.run_for(SECOND);
    let (id, run, _) = newest(&driver);
    driver.submit(job("second", vec![whole_worker()]));
    driver.run_for(SECOND);
    driver.end(&id, run, EndReason::Done, 1);
    driver.run_for(300 * MS);
    let (id, run, _) = newest(&driver);
    driver.end(&id, run, EndReason::Done, 2);
    driver.run_for(300 * MS);
    let times = driver.core.drain_job_times();
    assert_eq!(times.len(), 2);
    assert!(times[0].waiting < 100 * MS, "{times:?}");
    assert!(times[1].waiting >= SECOND, "{times:?}");
    assert!(times[0].work >= SECOND, "{times:?}");
    assert!(driver.core.drain_job_times().is_empty());
}

#[test]
fn no_job_starves_while_newer_ones_keep_coming() {
    // More than twice the work that the workers can do, with pseudo-random sizes.
    for seed in 1..=4_u64 {
        let mut driver = Driver::new(2, policy());
        let mut ended = 0;
        let mut draw = seed;
        for round in 0..120 {
            for number in 0..8 {
                draw = draw
                    .wrapping_mul(6_364_136_223_846_793_005)
                    .wrapping_add(seed);
                let needs = Resources {
                    processors: 1000 + (draw >> 33) % 3000,
                    ..step(1).needs
                };
                driver.submit(job(
                    &format!("{round}-{number}"),
                    vec![Step { needs, ..step(1) }],
                ));
            }
            driver.run_for(150 * MS);
            let starts = driver.starts();
            for (id, run) in &starts[ended..] {
                driver.end(id, *run, EndReason::Done, run.task.job.into());
            }
            ended = starts.len();
        }
        let state = driver.core.log_state();
        let oldest = state.open().iter().next().copied().unwrap_or(state.next);
        assert!(oldest > 10, "seed {seed}: {oldest} of {} waits", state.next);
    }
}
