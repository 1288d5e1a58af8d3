//! Learned run times in the decisions of a log owner.

use std::time::Duration;

use ashtiller::workflow::agents::{Active, EndReason};
use ashtiller::workflow::job::{Policy, Step};
use ashtiller::workflow::record::{LogRecord, Run};
use ashtiller::workflow::switches::Switches;
use ashtiller::workflow::tuning::Tuning;

use crate::driver::{Driver, MS, job, policy, step};

const SECOND: Duration = Duration::from_secs(1);

/// A step whose tasks take a worker each and 0.5 s, by their estimate.
fn whole_worker(count: u32) -> Step {
    let mut step = step(count);
    step.needs.processors = 4000;
    step
}

fn tuning(learned_run_times: bool) -> Tuning {
    let switches = Switches {
        learned_run_times,
        ..Switches::default()
    };
    Tuning {
        switches,
        ..Tuning::default()
    }
}

/// Runs jobs one after the other, of `took` each.
fn run_jobs(driver: &mut Driver, jobs: u32, took: Duration) {
    for number in 0..jobs {
        driver.submit(job(&format!("before-{number}"), vec![whole_worker(1)]));
        driver.run_for(200 * MS);
        let (worker, run) = driver.starts().last().expect("a start").clone();
        driver.run_for(took.saturating_sub(200 * MS));
        driver.end(&worker, run, EndReason::Done, u64::from(number) + 1);
    }
}

fn expected(driver: &Driver) -> Duration {
    let queue = "jobs/q/".into();
    let models = driver.core.run_times();
    models.expected(&queue, &whole_worker(1), driver.now.at)
}

/// Guards against estimates that are taken for run times although runs take twice as long, and
/// against a new owner that has to learn that again.
#[test]
fn run_times_are_learned_recorded_and_known_to_the_next_owner() {
    let mut driver = Driver::new(1, policy());
    run_jobs(&mut driver, 20, SECOND);
    let learned = expected(&driver);
    assert!(learned > 800 * MS && learned < 1100 * MS, "{learned:?}");
    driver.run_for(4 * SECOND);
    let is_learned = |record: &&LogRecord| matches!(record, LogRecord::RunTimesLearned(_));
    let records = driver.records.iter().filter(is_learned).count();
    assert!(records > 0 && records < 12, "{records} in about 26 s");
    let next = Driver::replay(&driver.records, 1, policy());
    let known = expected(&next);
    assert!(known.abs_diff(learned) < 100 * MS, "{known:?}");
    let dump = next.core.dump(next.now);
    assert_eq!(dump["run_times"][0]["queue"], "jobs/q/");
    assert!(driver.core.drain_run_time_ratios().len() >= 20);
}

/// Guards against runs that were stopped, or resumed from a checkpoint, counting as whole ones.
#[test]
fn only_whole_runs_that_are_done_count() {
    let mut driver = Driver::new(1, policy());
    for number in 0..10u64 {
        let step = Step {
            checkpoints: true,
            ..whole_worker(1)
        };
        driver.submit(job(&format!("{number}"), vec![step]));
        for how in [EndReason::Stopped, EndReason::Done] {
            driver.run_for(200 * MS);
            let (worker, run) = driver.starts().last().expect("a start").clone();
            let number = 2 * number + u64::from(run.number);
            driver.end(&worker, run, how, number);
        }
    }
    assert_eq!(driver.core.counts().done, 10);
    assert_eq!(expected(&driver), 500 * MS);
}

/// Guards against an order by wrong estimates, and against learning while switched off: of two jobs
/// of the same age, the one whose task takes three times its estimate has less time left.
#[test]
fn the_job_with_the_longer_learned_chain_goes_first() {
    for learns in [true, false] {
        // On time within its chain and 250 ms, so that a longer chain does not buy time.
        let policy = Policy {
            extension: 0.5,
            ..policy()
        };
        let mut driver = Driver::with_tuning(&tuning(learns), &[], 1, policy);
        run_jobs(&mut driver, 20, 1500 * MS);
        driver.submit(job("holds", vec![whole_worker(1)]));
        driver.run_for(200 * MS);
        let known = driver.starts().len();
        let (worker, run) = driver.starts()[known - 1].clone();
        // No model knows this kind of step, so its estimate holds.
        let unknown = Step {
            estimate: 700 * MS,
            ..whole_worker(2)
        };
        driver.submit(job("unknown", vec![unknown]));
        driver.submit(job("known", vec![whole_worker(1)]));
        driver.run_for(100 * MS);
        driver.end(&worker, run, EndReason::Done, 100);
        driver.run_for(200 * MS);
        let (_, run) = driver.starts()[known];
        let first = &driver.core.log_state().jobs[&run.task.job].job.id;
        assert_eq!(&**first == "known", learns, "{first}");
        let is_learned = |record: &LogRecord| matches!(record, LogRecord::RunTimesLearned(_));
        assert_eq!(driver.records.iter().any(is_learned), learns);
    }
}

/// Guards against a stalled run of a short task that is found only after the limit for long ones, and
/// against the learned limit without knowledge.
#[test]
fn a_stalled_run_of_a_known_kind_is_stopped_sooner() {
    for known in [20, 2] {
        let mut driver = Driver::new(1, policy());
        run_jobs(&mut driver, known, 500 * MS);
        let before = driver.starts().len();
        driver.submit(job("stalls", vec![whole_worker(1)]));
        driver.run_for(100 * MS);
        let (_, run) = driver.starts()[before].clone();
        report(&mut driver, run, 30);
        let since = driver.now.at;
        while !driver.stops().contains(&run) && driver.now.at < since + 3 * SECOND {
            report(&mut driver, run, 30);
        }
        let took = driver.now.at.saturating_sub(since);
        let bounds = if known == 20 {
            450 * MS..750 * MS
        } else {
            SECOND..1400 * MS
        };
        assert!(bounds.contains(&took), "{known} known: {took:?}");
    }
}

/// Reports a run as active until its worker is polled next.
fn report(driver: &mut Driver, run: Run, percent: u32) {
    let (worker, _) = driver.starts()[0].clone();
    let name = driver.name(run);
    driver.running = vec![(
        worker,
        Active {
            name,
            run: run.number,
            checkpoint: "".into(),
            percent,
            figure: None,
        },
    )];
    driver.run_for(50 * MS);
}

/// Guards against jobs that wait for a run on a bad worker although their step allows copies.
#[test]
fn a_straggler_that_may_be_copied_is_copied_once_elsewhere() {
    for speculative in [true, false] {
        let mut driver = Driver::new(1, policy());
        run_jobs(&mut driver, 20, 500 * MS);
        let known = driver.starts().len();
        let step = Step {
            speculative,
            ..whole_worker(1)
        };
        driver.submit(job("slow", vec![step]));
        driver.run_for(100 * MS);
        let (bad, run) = driver.starts()[known].clone();
        driver
            .core
            .list_worker(crate::driver::listed(7), driver.now);
        // It works at a seventh of the usual speed.
        for percent in 2..30 {
            report(&mut driver, run, percent);
        }
        let starts = driver.starts();
        assert_eq!(starts.len(), known + 1 + usize::from(speculative));
        let copy = starts.last().expect("a start");
        assert!(!speculative || (copy.0 != bad && copy.1.task == run.task));
    }
}
