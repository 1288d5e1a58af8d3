//! Entries of other writers below the workers' prefix.

use std::time::Duration;

use ashtiller::workflow::config::ListedWorker;
use ashtiller::workflow::incarnation::Incarnation;
use ashtiller::workflow::record::Run;

use crate::driver::{Driver, MS, job, listed, policy, step};

/// Returns an entry that names the machine and the address of another worker.
fn foreign_entry(number: u16) -> ListedWorker {
    ListedWorker {
        incarnation: "stranger".into(),
        ..listed(number)
    }
}

/// Returns a driver with two workers, one of which has a run.
fn with_run() -> (Driver, Incarnation, Run, u16) {
    let mut driver = Driver::new(2, policy());
    driver.submit(job("1", vec![step(1)]));
    driver.run_for(200 * MS);
    let (id, run) = driver.starts()[0].clone();
    let number = id.id()[1..].parse().unwrap();
    (driver, id, run, number)
}

#[test]
fn an_entry_alone_does_not_end_a_worker_that_is_cut_off() {
    let (mut driver, id, run, number) = with_run();
    driver.silent = Some(id);
    driver.crashed.insert("stranger".into());
    driver.core.list_worker(foreign_entry(number), driver.now);
    driver.run_for(Duration::from_secs(4));
    assert!(
        driver.core.log_state().is_live(run),
        "its lease has not expired"
    );
    assert_eq!(driver.starts().len(), 1);
}

#[test]
fn an_absent_incarnation_does_not_affect_the_active_one() {
    let (mut driver, _, run, number) = with_run();
    driver.displaced.insert("stranger".into());
    // A list of all workers arrives several times a second.
    for _ in 0..100 {
        let all = vec![listed(0), listed(1), foreign_entry(number)];
        driver.core.list_all(all, driver.now);
        driver.run_for(100 * MS);
    }
    assert!(driver.core.log_state().is_live(run));
    let polls = driver.poll_counts["stranger"];
    assert!(polls <= 4, "polled {polls} times in 10 s");
}

#[test]
fn an_incarnation_that_answers_ends_the_one_before() {
    let (mut driver, id, run, number) = with_run();
    driver.crash(&id);
    driver.core.list_worker(foreign_entry(number), driver.now);
    driver.run_for(100 * MS);
    assert!(!driver.core.log_state().is_live(run));
    assert_eq!(driver.starts().len(), 2);
}

#[test]
fn a_worker_whose_entry_cannot_be_read_is_unchanged() {
    let (mut driver, id, run, number) = with_run();
    let other = listed(1 - number);
    driver
        .core
        .list_all_except_unreadable(vec![other], &[id.id().into()], driver.now);
    driver.run_for(Duration::from_secs(12));
    assert!(driver.core.log_state().is_live(run));
    assert!(driver.stops().is_empty());
}
