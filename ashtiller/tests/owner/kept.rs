//! The worker that is reserved for a long-running task that does not fit anywhere.
//!
//! A long-running task waited for tens of seconds beside a stream of short tasks that never left
//! enough free capacity at one moment, although a worker of its own would have had enough. Workers
//! were full of short tasks; one that was about to leave, was failing, lacked the label of the step
//! or already ran as many of its tasks as allowed had capacity that no task could use. The search
//! for a worker to reserve, and the check whether any worker had capacity, considered capacity
//! alone. So the reserved worker was one that gets no runs, or no worker was reserved because
//! unusable capacity counted. In the log: `lasting task waits … workers "open 51, silent 9,
//! draining 5, trial 1" … kept` a draining worker, and `waited_ms 23052 … workers "open 40" …
//! with_room 2` for a step limited to one task per worker.

use std::time::Duration;

use ashtiller::workflow::agents::EndReason;
use ashtiller::workflow::config::ListedWorker;
use ashtiller::workflow::job::{Advice, Policy, Step};

use crate::driver::{Driver, MS, job, listed, policy};
use crate::trial::{long_running, short, starts_of};

const SECOND: Duration = Duration::from_secs(1);

/// Ends small tasks one after the other, so that at most one processor is free at a time, until a
/// job has this many starts or 8 s have passed.
fn end_small_tasks(driver: &mut Driver, id: &str, starts: usize) {
    let end = driver.now.at + 8 * SECOND;
    for number in 0.. {
        if driver.now.at >= end || starts_of(driver, id).len() >= starts {
            return;
        }
        let (worker, run) = starts_of(driver, "small")[number].clone();
        driver.end(&worker, run, EndReason::Done, number as u64 + 1);
        driver.run_for(200 * MS);
    }
}

/// Fills a worker with short tasks of one processor, beside another worker that is about to leave
/// or is otherwise unsuitable, and submits the long-running step.
fn run_beside_small_tasks(leaving: ListedWorker, wanted: Step) -> Driver {
    let mut driver = Driver::new(1, policy());
    driver.core.list_worker(leaving, driver.now);
    let small = Step {
        label: wanted.label.clone(),
        ..short(1000)
    };
    driver.submit(job("small", vec![Step { count: 60, ..small }]));
    driver.run_for(SECOND);
    driver.submit(job("lasts", vec![wanted]));
    end_small_tasks(&mut driver, "lasts", 1);
    driver
}

#[test]
fn a_worker_that_gets_no_runs_is_not_reserved_for_a_long_running_task() {
    let leaving = ListedWorker {
        draining: true,
        remaining: Some(Duration::from_mins(1)),
        ..listed(7)
    };
    let driver = run_beside_small_tasks(leaving, long_running(3000));
    assert_eq!(starts_of(&driver, "lasts").len(), 1);
}

#[test]
fn capacity_that_a_long_running_task_may_not_use_does_not_count() {
    check_label();
    check_spread();
}

/// Checks capacity on a worker without the label.
fn check_label() {
    let other = ListedWorker {
        labels: ["b".into()].into(),
        ..listed(7)
    };
    let wanted = Step {
        label: Some("r0".into()),
        ..long_running(3000)
    };
    let driver = run_beside_small_tasks(other, wanted);
    assert_eq!(starts_of(&driver, "lasts").len(), 1);
}

/// Checks capacity on a worker that runs as many tasks of the step as allowed.
fn check_spread() {
    let mut driver = Driver::new(1, policy());
    driver.core.list_worker(listed(7), driver.now);
    // One of its two tasks may run on a worker; the first takes w7, whose remaining capacity only
    // the second could use.
    let wanted = Step {
        count: 2,
        spread: 1,
        ..long_running(2000)
    };
    let small = Step {
        label: Some("r0".into()),
        ..short(1000)
    };
    driver.submit(job("small", vec![Step { count: 60, ..small }]));
    driver.run_for(SECOND);
    driver.submit(job("lasts", vec![wanted]));
    end_small_tasks(&mut driver, "lasts", 2);
    assert_eq!(starts_of(&driver, "lasts").len(), 2);
}

/// The advisor allows only the first worker, on which short tasks run.
#[test]
fn capacity_that_the_advisor_excludes_does_not_count() {
    let advised = Policy {
        advice: Some(Advice {
            decide: 10 * MS,
            each: MS,
            valid: Duration::from_secs(5),
        }),
        ..policy()
    };
    let mut driver = Driver::new(1, advised);
    driver.submit(job(
        "small",
        vec![Step {
            count: 60,
            ..short(1000)
        }],
    ));
    driver.run_for(SECOND);
    driver.core.list_worker(listed(7), driver.now);
    driver.advised_worker = Some("w0".into());
    driver.submit(job("lasts", vec![long_running(3000)]));
    end_small_tasks(&mut driver, "lasts", 1);
    assert_eq!(starts_of(&driver, "lasts").len(), 1);
}

#[test]
fn a_step_that_no_worker_can_free_capacity_for_does_not_block_others() {
    let mut driver = Driver::new(1, policy());
    driver.submit(job("stays", vec![long_running(1000)]));
    driver.run_for(SECOND);
    // Beside the running long-running task there is never capacity for this one.
    driver.submit(job("whole", vec![long_running(4000)]));
    driver.submit(job(
        "small",
        vec![Step {
            count: 60,
            ..short(1000)
        }],
    ));
    driver.run_for(SECOND);
    driver.submit(job("lasts", vec![long_running(3000)]));
    end_small_tasks(&mut driver, "lasts", 1);
    assert_eq!(starts_of(&driver, "lasts").len(), 1);
}
