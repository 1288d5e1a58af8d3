//! How old the list of workers may be when a run starts.

use std::sync::Arc;
use std::time::Duration;

use ashtiller::workflow::config::ListedWorker;
use ashtiller::workflow::core::RequestToken;
use ashtiller::workflow::incarnation::Incarnation;
use ashtiller::workflow::job::Step;
use ashtiller::workflow::record::{LogRecord, Run, Task};

use crate::driver::{Driver, MS, job, listed, policy, step};

fn count_placed(driver: &Driver) -> usize {
    let records = driver.records.iter();
    records
        .filter(|record| matches!(record, LogRecord::Placed(..)))
        .count()
}

/// Returns a driver that has placed one run, whose record waits for the store, and the worker of
/// that run.
fn with_pending_record(workers: u16) -> (Driver, Incarnation) {
    let mut driver = Driver::new(workers, policy());
    driver.store_available = false;
    driver.submit(job("1", vec![step(1)]));
    driver.run_for(100 * MS);
    let worker = placed_on(&driver);
    (driver, worker)
}

/// Returns the worker of the first run that was placed.
fn placed_on(driver: &Driver) -> Incarnation {
    let worker = driver.records.iter().find_map(|record| match record {
        LogRecord::Placed(_, worker, _) => Some(worker.clone()),
        _ => None,
    });
    worker.expect("a run was placed")
}

/// Returns the entry of a worker that drains.
fn draining_entry(id: &Incarnation) -> ListedWorker {
    ListedWorker {
        draining: true,
        remaining: Some(Duration::from_secs(3)),
        ..listed(id.id()[1..].parse().unwrap())
    }
}

fn starts_at(driver: &Driver, id: &Incarnation) -> usize {
    let starts = driver.starts();
    starts.iter().filter(|(worker, _)| worker == id).count()
}

/// A run started on a draining worker more than two seconds after the store held the notice. The
/// run is placed, the connection of the watch goes silent, the worker drains, and the record of the
/// run becomes durable. Orders did not check the age of the list of workers: with a list from 2 s
/// before, and 0.35 s for the order, the start arrived 2.35 s after the notice.
#[test]
fn a_start_waits_while_the_list_of_workers_is_old() {
    for (age, started) in [(1600, 1), (1700, 0)] {
        let (mut driver, _) = with_pending_record(2);
        driver.listing_fresh = false;
        driver.run_for(age * MS);
        driver.restore_store();
        driver.run_for(20 * MS);
        assert_eq!(driver.starts().len(), started, "list of {age} ms ago");
        driver.run_for(Duration::from_secs(1));
        assert_eq!(
            driver.starts().len(),
            started,
            "list of {age} ms ago, and 1 s"
        );
        driver.listing_fresh = true;
        driver.run_for(20 * MS);
        assert_eq!(driver.starts().len(), 1, "with a new list");
    }
}

/// Runs accumulate on workers that may be leaving. The connection of the watch goes silent while
/// jobs are submitted. Placement did not check the age of the list: a run was placed 2 s after it.
#[test]
fn nothing_is_placed_while_the_list_of_workers_is_old() {
    let mut driver = Driver::new(2, policy());
    driver.listing_fresh = false;
    driver.run_for(Duration::from_secs(2));
    driver.submit(job("1", vec![step(1)]));
    driver.run_for(Duration::from_secs(1));
    assert_eq!(count_placed(&driver), 0);
    driver.listing_fresh = true;
    driver.run_for(100 * MS);
    assert_eq!(driver.starts().len(), 1);
}

#[test]
fn runs_continue_and_can_be_stopped_while_the_list_of_workers_is_old() {
    let mut driver = Driver::new(2, policy());
    driver.submit(job("1", vec![step(1)]));
    driver.run_for(200 * MS);
    driver.listing_fresh = false;
    driver.run_for(Duration::from_secs(15));
    assert_eq!(driver.core.counts().lost, 0);
    assert_eq!(driver.stops().len(), 0);
    driver.last_token += 1;
    driver
        .core
        .cancel("1", RequestToken(driver.last_token), driver.now);
    driver.run_for(100 * MS);
    assert_eq!(driver.stops().len(), 1);
}

/// A run started on a worker that had announced long before that it leaves. The run's record
/// becomes durable, or its retry is due, in the same step of the core that processes the notice,
/// while leaving workers are emptied only every 20 ms. Orders did not check whether their worker
/// leaves: in three steps of four a start was sent after the notice.
#[test]
fn no_start_is_ordered_once_its_worker_drains() {
    for offset in 0..8 {
        let (mut driver, worker) = with_pending_record(2);
        driver.run_for(offset * 5 * MS);
        driver.core.list_worker(draining_entry(&worker), driver.now);
        driver.restore_store();
        driver.run_for(Duration::from_secs(1));
        assert_eq!(starts_at(&driver, &worker), 0, "recorded, {offset}");
        assert_eq!(driver.starts().len(), 1, "it starts elsewhere");
    }
    for offset in 0..16 {
        let mut driver = Driver::new(1, policy());
        driver.drops_orders = Some("w0".into());
        driver.run_for(offset * 5 * MS);
        driver.submit(job("1", vec![step(1)]));
        while driver.starts().is_empty() {
            driver.run_for(5 * MS);
        }
        // The start is sent again after 60 ms.
        driver.run_for(55 * MS);
        let before = driver.starts().len();
        assert!(before > 0, "a start went out, {offset}");
        driver
            .core
            .list_worker(draining_entry(&"w0".into()), driver.now);
        driver.run_for(Duration::from_secs(1));
        assert_eq!(driver.starts().len(), before, "again, {offset}");
    }
}

/// A run started on a worker whose entry had disappeared. The worker drains and leaves while the
/// watch history is dropped; the next list lacks it, so the notice that it leaves is never read.
/// Orders did not check whether their worker is listed, and a run that had never been active was
/// kept on it because its step allows no missing tasks: one start was sent there.
#[test]
fn no_start_is_ordered_while_its_worker_is_not_listed() {
    let long_running = Step {
        long_running: true,
        away_max: Some(0),
        ..step(1)
    };
    for wanted in [step(1), long_running] {
        let mut driver = Driver::new(2, policy());
        driver.store_available = false;
        driver.submit(job("1", vec![wanted]));
        driver.run_for(100 * MS);
        let rest: Vec<ListedWorker> = (0..2).map(listed).collect();
        let worker = placed_on(&driver);
        let rest = rest.into_iter().filter(|other| other.incarnation != worker);
        driver.core.list_all(rest.collect(), driver.now);
        driver.restore_store();
        driver.run_for(Duration::from_secs(2));
        assert_eq!(starts_at(&driver, &worker), 0);
        assert_eq!(driver.starts().len(), 1, "it starts elsewhere");
    }
}

#[test]
fn a_start_goes_out_when_its_worker_is_listed_again() {
    let (mut driver, worker) = with_pending_record(1);
    driver.core.unlist_worker(&worker, driver.now);
    driver.restore_store();
    driver.run_for(200 * MS);
    driver.core.list_worker(listed(0), driver.now);
    driver.run_for(20 * MS);
    assert_eq!(starts_at(&driver, &worker), 1);
}

/// Pages of a list are no snapshot: a watch from the revision of the first page may report entries
/// that a later page had already replaced.
#[test]
fn an_older_entry_does_not_undo_draining() {
    let (mut driver, worker) = with_pending_record(1);
    driver
        .core
        .list_all(vec![draining_entry(&worker)], driver.now);
    driver.core.list_worker(listed(0), driver.now);
    driver.restore_store();
    driver.run_for(Duration::from_secs(1));
    assert!(driver.starts().is_empty());
}

/// The log has a run on a worker; whether the former owner started it is unknown.
#[test]
fn a_new_owner_starts_nothing_on_workers_that_drain_or_are_not_listed() {
    let task = Task {
        job: 0,
        occurrence: 0,
        step: 0,
        index: 0,
    };
    let records = [
        LogRecord::Accepted(Box::new(job("1", vec![step(1)])), policy(), 1_000_000),
        LogRecord::Placed(Run { task, number: 1 }, "w0".into(), Arc::from("")),
    ];
    for offset in 0..8 {
        let mut driver = Driver::replay(&records, 0, policy());
        driver.run_for(offset * 5 * MS);
        driver.core.list_worker(listed(1), driver.now);
        driver.run_for(offset * 5 * MS);
        driver
            .core
            .list_worker(draining_entry(&"w0".into()), driver.now);
        driver.run_for(Duration::from_secs(1));
        assert_eq!(starts_at(&driver, &"w0".into()), 0, "{offset}");
        assert_eq!(starts_at(&driver, &"w1".into()), 1, "it starts elsewhere");
    }
}

/// The store was unavailable, and entries expired meanwhile: a missing worker gets runs for 2.5 s.
/// One that is not listed by then has left.
#[test]
fn no_start_is_ordered_when_a_missing_worker_has_not_come_back() {
    for offset in 0..8 {
        let mut driver = Driver::new(1, policy());
        driver.store_available = false;
        driver.run_for(Duration::from_secs(1));
        driver.core.unlist_worker(&"w0".into(), driver.now);
        driver.restore_store();
        driver.drops_orders = Some("w0".into());
        driver.run_for((2400 + 5 * offset) * MS);
        driver.submit(job("1", vec![step(1)]));
        driver.run_for((95 - 5 * offset) * MS);
        let before = driver.starts().len();
        assert!(before > 0, "it may come back, {offset}");
        driver.run_for(Duration::from_secs(1));
        assert_eq!(driver.starts().len(), before, "{offset}");
    }
}

#[test]
fn copies_and_gangs_do_not_go_to_workers_that_drain() {
    let copied = Step {
        speculative: true,
        ..step(1)
    };
    let gang = Step {
        gang: true,
        ..step(6)
    };
    let mut driver = Driver::new(2, policy());
    driver.submit(job("1", vec![copied]));
    driver.run_for(200 * MS);
    let (first, _) = driver.starts()[0].clone();
    let other = if first.id() == "w0" { "w1" } else { "w0" };
    driver
        .core
        .list_worker(draining_entry(&other.into()), driver.now);
    driver.silent = Some(first);
    driver.submit(job("2", vec![gang]));
    driver.run_for(Duration::from_secs(2));
    assert_eq!(driver.starts().len(), 1);
}
