//! Workers whose capacity shrinks and grows while they run.

use std::time::Duration;

use ashtiller::workflow::agents::EndReason;
use ashtiller::workflow::config::ListedWorker;
use ashtiller::workflow::incarnation::Incarnation;
use ashtiller::workflow::message::{Reply, State};
use ashtiller::workflow::record::{LogRecord, Run};

use crate::driver::{Driver, MS, job, listed, policy, step};

/// Returns a worker with this many processors, of the four that it had.
fn shrunk(number: u16, processors: u64) -> ListedWorker {
    let mut entry = listed(number);
    entry.capacity.processors = 1000 * processors;
    entry
}

/// Returns the runs on one worker that were ordered to start and not to stop.
fn active_runs(driver: &Driver, id: &Incarnation) -> Vec<Run> {
    let stops = driver.stops();
    let starts = driver.starts().into_iter();
    let active = starts.filter(|(at, run)| at == id && !stops.contains(run));
    active.map(|(_, run)| run).collect()
}

#[test]
fn starts_that_do_not_fit_any_more_are_not_sent() {
    let mut driver = Driver::new(1, policy());
    driver.store_available = false;
    driver.submit(job("1", vec![step(4)]));
    driver.run_for(200 * MS);
    assert!(driver.starts().is_empty(), "nothing is durable");
    driver.core.list_worker(shrunk(0, 2), driver.now);
    driver.restore_store();
    driver.run_for(Duration::from_secs(1));
    assert_eq!(driver.starts().len(), 2);
    driver.core.list_worker(listed(0), driver.now);
    driver.run_for(Duration::from_secs(1));
    assert_eq!(
        active_runs(&driver, &"w0".into()).len(),
        4,
        "the capacity has grown again"
    );
}

#[test]
fn a_start_in_doubt_is_not_sent_again_where_it_does_not_fit() {
    let mut driver = Driver::new(1, policy());
    driver.drops_orders = Some("w0".into());
    driver.submit(job("1", vec![step(1)]));
    driver.run_for(60 * MS);
    let before = driver.starts().len();
    assert!(before > 0);
    driver.core.list_worker(shrunk(0, 0), driver.now);
    driver.run_for(Duration::from_secs(1));
    assert_eq!(driver.starts().len(), before);
}

#[test]
fn active_runs_are_not_stopped_for_a_smaller_capacity_and_count_in_full() {
    let mut driver = Driver::new(1, policy());
    driver.submit(job("1", vec![step(3)]));
    driver.run_for(200 * MS);
    let starts = driver.starts();
    assert_eq!(starts.len(), 3);
    driver.core.list_worker(shrunk(0, 2), driver.now);
    driver.submit(job("2", vec![step(1)]));
    driver.run_for(500 * MS);
    assert!(driver.stops().is_empty());
    let (id, run) = starts[0].clone();
    driver.end(&id, run, EndReason::Done, 1);
    driver.run_for(300 * MS);
    assert_eq!(driver.starts().len(), 3, "two are left and use all of it");
    let (id, run) = starts[1].clone();
    driver.end(&id, run, EndReason::Done, 2);
    driver.run_for(300 * MS);
    assert_eq!(driver.starts().len(), 4);
}

/// The next owner knows only the current capacity.
#[test]
fn runs_of_an_earlier_owner_count_against_a_capacity_that_is_too_small_for_them() {
    let mut first = Driver::new(1, policy());
    first.submit(job("1", vec![step(4)]));
    first.run_for(200 * MS);
    assert_eq!(first.starts().len(), 4);
    let records: Vec<LogRecord> = first.records;
    let mut driver = Driver::replay(&records, 0, policy());
    driver.core.list_worker(shrunk(0, 2), driver.now);
    driver.submit(job("2", vec![step(1)]));
    driver.run_for(Duration::from_secs(1));
    let job: u32 = driver.core.log_state().find("2").unwrap();
    let starts = driver.starts();
    assert!(starts.iter().all(|(_, run)| run.task.job != job));
}

#[test]
fn work_that_fits_on_no_worker_waits_until_one_grows() {
    let mut driver = Driver::new(2, policy());
    for number in 0..2 {
        driver.core.list_worker(shrunk(number, 0), driver.now);
    }
    driver.submit(job("1", vec![step(1)]));
    driver.run_for(Duration::from_secs(5));
    assert_eq!(driver.core.state("1"), Reply::State(State::Queued));
    driver.core.list_worker(listed(1), driver.now);
    driver.run_for(300 * MS);
    let starts: Vec<Incarnation> = driver.starts().into_iter().map(|(id, _)| id).collect();
    assert_eq!(starts, ["w1".into()]);
}
