//! Which worker is kept for a lasting task that finds no room.
//!
//! Symptom: a lasting task waits for tens of seconds beside a stream of short ones that
//! never leave it enough room at once, although it would find it on a worker of its own.
//! Sequence: workers are full of short work; one that is about to leave, fails or lacks the
//! step's label, or carries as many of its tasks as it may, has room that nobody can use.
//! Cause: the search for a worker to keep, and the question whether there is room, looked
//! at room alone. The worker that was kept was one that gets nothing; room that the step may
//! not take counted as room, so that no worker was kept at all.
//! Settled by: `lasting task waits … workers "open 51, silent 9, draining 5, trial 1" …
//! kept` one of those that drain, and `waited_ms 23052 … workers "open 40" … with_room 2` for
//! a step that may have one task on a worker.

use std::time::Duration;

use ashtiller::workflow::agents::EndReason;
use ashtiller::workflow::config::ListedWorker;
use ashtiller::workflow::job::{Advice, Policy, Step};

use crate::driver::{Driver, MS, job, listed, policy};
use crate::trial::{lasting, short, starts_of};

const SECOND: Duration = Duration::from_secs(1);

/// Small tasks end one after the other, so that no more than one processor is free at a
/// time, until a job has this many starts or 8 s have gone.
fn pass_small(driver: &mut Driver, id: &str, starts: usize) {
    let end = driver.now.at + 8 * SECOND;
    for number in 0.. {
        if driver.now.at >= end || starts_of(driver, id).len() >= starts {
            return;
        }
        let (worker, run) = starts_of(driver, "small")[number].clone();
        driver.end(&worker, run, EndReason::Done, number as u64 + 1);
        driver.pass(200 * MS);
    }
}

/// Short tasks of one processor fill a worker; another is about to leave.
fn stream_beside(leaving: ListedWorker, wants: Step) -> Driver {
    let mut driver = Driver::new(1, policy());
    driver.core.list_worker(leaving, driver.now);
    let small = Step {
        label: wants.label.clone(),
        ..short(1000)
    };
    driver.submit(job("small", vec![Step { count: 60, ..small }]));
    driver.pass(SECOND);
    driver.submit(job("lasts", vec![wants]));
    pass_small(&mut driver, "lasts", 1);
    driver
}

#[test]
fn a_worker_that_may_not_get_runs_is_not_kept_for_a_lasting_task() {
    let leaving = ListedWorker {
        draining: true,
        remaining: Some(Duration::from_mins(1)),
        ..listed(7)
    };
    let driver = stream_beside(leaving, lasting(3000));
    assert_eq!(starts_of(&driver, "lasts").len(), 1);
}

#[test]
fn room_that_a_lasting_task_may_not_take_is_no_room() {
    check_label();
    check_spread();
}

/// Room on a worker without the label.
fn check_label() {
    let other = ListedWorker {
        labels: ["b".into()].into(),
        ..listed(7)
    };
    let wants = Step {
        label: Some("r0".into()),
        ..lasting(3000)
    };
    let driver = stream_beside(other, wants);
    assert_eq!(starts_of(&driver, "lasts").len(), 1);
}

/// Room beside as many tasks of the step as a worker may have.
fn check_spread() {
    let mut driver = Driver::new(1, policy());
    driver.core.list_worker(listed(7), driver.now);
    // One of its two tasks may run on a worker; the first takes w7, where room is left that
    // only the second could use.
    let wants = Step {
        count: 2,
        spread: 1,
        ..lasting(2000)
    };
    let small = Step {
        label: Some("r0".into()),
        ..short(1000)
    };
    driver.submit(job("small", vec![Step { count: 60, ..small }]));
    driver.pass(SECOND);
    driver.submit(job("lasts", vec![wants]));
    pass_small(&mut driver, "lasts", 2);
    assert_eq!(starts_of(&driver, "lasts").len(), 2);
}

/// The advisor lets the step run on the first worker alone, on which short tasks run.
#[test]
fn room_that_the_advisor_forbids_is_no_room() {
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
    driver.pass(SECOND);
    driver.core.list_worker(listed(7), driver.now);
    driver.advises = Some("w0".into());
    driver.submit(job("lasts", vec![lasting(3000)]));
    pass_small(&mut driver, "lasts", 1);
    assert_eq!(starts_of(&driver, "lasts").len(), 1);
}

#[test]
fn a_step_that_no_worker_can_make_room_for_does_not_stop_others() {
    let mut driver = Driver::new(1, policy());
    driver.submit(job("stays", vec![lasting(1000)]));
    driver.pass(SECOND);
    // Beside the one that stays there is never room for this.
    driver.submit(job("whole", vec![lasting(4000)]));
    driver.submit(job(
        "small",
        vec![Step {
            count: 60,
            ..short(1000)
        }],
    ));
    driver.pass(SECOND);
    driver.submit(job("lasts", vec![lasting(3000)]));
    pass_small(&mut driver, "lasts", 1);
    assert_eq!(starts_of(&driver, "lasts").len(), 1);
}
