//! What runs on silent workers wait for, as operators see it.

use std::time::Duration;

use ashtiller::workflow::core::lease_waits::{HeldRuns, LeaseHold, LeaseWait};
use ashtiller::workflow::incarnation::Incarnation;
use ashtiller::workflow::job::Step;
use ashtiller::workflow::lease;
use ashtiller::workflow::record::{LogRecord, Run, Task};
use ashtiller::workflow::tuning::{LEASE_MAX, Tuning};
use ashtiller::workflow::worker::LATE_MAX;

use crate::driver::{Driver, MS, job, listed, policy, step};

/// Returns a new owner of a log with a long-running and a short task on one worker.
fn replace_owner(worker: &Incarnation) -> Driver {
    let long_running = Step {
        long_running: true,
        ..step(1)
    };
    let steps = vec![long_running, step(1)];
    let placed = |step| {
        let task = Task {
            job: 0,
            occurrence: 0,
            step,
            index: 0,
        };
        LogRecord::Placed(Run { task, number: 1 }, worker.clone(), "".into())
    };
    let records = [
        LogRecord::Accepted(Box::new(job("1", steps)), policy(), 1_000_000),
        placed(0),
        placed(1),
    ];
    Driver::replay(&records, 0, policy())
}

fn held(driver: &Driver) -> Vec<(LeaseHold, HeldRuns)> {
    driver.core.held_runs(driver.now).into_iter().collect()
}

/// Asserts that one wait of a long-running task has ended, after about this time.
fn assert_waited(driver: &mut Driver, hold: LeaseHold, expected: Duration) {
    let waits = driver.core.drain_lease_waits();
    let [
        LeaseWait {
            hold: found,
            waited,
            tasks,
        },
    ] = waits[..]
    else {
        panic!("{waits:?}");
    };
    assert_eq!((found, tasks), (hold, 1));
    assert!(
        waited >= expected && waited < expected + 500 * MS,
        "{waited:?}"
    );
}

#[test]
fn runs_on_unlisted_workers_wait_for_earlier_owners() {
    let mut driver = replace_owner(&"gone".into());
    let [(LeaseHold::EarlierOwners, sum)] = held(&driver)[..] else {
        panic!("{:?}", held(&driver));
    };
    assert_eq!((sum.runs, sum.long_running), (2, 1));
    driver.run_for(Duration::from_secs(18));
    assert!(held(&driver).is_empty());
    let longest = Tuning::default().horizon + lease::worst_case_elapsed(LEASE_MAX);
    assert_waited(&mut driver, LeaseHold::EarlierOwners, longest);
}

#[test]
fn runs_on_workers_that_have_answered_wait_for_their_lease() {
    let mut driver = replace_owner(&"w0".into());
    driver.core.list_all(vec![listed(0)], driver.now);
    driver.run_for(1000 * MS);
    assert!(held(&driver).is_empty(), "the worker answers");
    driver.crash(&"w0".into());
    driver.run_for(2000 * MS);
    let [(LeaseHold::Lease, sum)] = held(&driver)[..] else {
        panic!("{:?}", held(&driver));
    };
    assert_eq!((sum.workers, sum.runs, sum.long_running), (1, 2, 1));
    driver.run_for(Duration::from_secs(6));
    assert!(held(&driver).is_empty());
    assert_waited(&mut driver, LeaseHold::Lease, LEASE_MAX);
}

/// The worker's next incarnation is listed and never answers.
#[test]
fn runs_on_workers_that_were_replaced_wait_for_late_starts() {
    let former = Incarnation::new("w0", Some(1));
    let mut driver = replace_owner(&former);
    let mut next = listed(0);
    next.incarnation = Incarnation::new("w0", Some(2));
    driver.crash(&former);
    driver.crash(&next.incarnation);
    driver.core.list_all(vec![next], driver.now);
    driver.core.note_predecessor_ended(0, driver.now);
    driver.run_for(Duration::from_secs(10));
    let [(LeaseHold::LateStarts, sum)] = held(&driver)[..] else {
        panic!("{:?}", held(&driver));
    };
    assert_eq!((sum.workers, sum.runs, sum.long_running), (1, 2, 1));
    driver.run_for(Duration::from_secs(14));
    assert!(held(&driver).is_empty());
    let longest = LATE_MAX + lease::worst_case_elapsed(Tuning::default().hold);
    assert_waited(&mut driver, LeaseHold::LateStarts, longest);
}
