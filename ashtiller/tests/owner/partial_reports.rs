//! Replies of workers that list a part of their ends.
//!
//! Guards against runs that counted as lost because they were neither active nor among the first ends of
//! a worker that had been cut off: their tasks started again although they were done.

use std::time::Duration;

use ashtiller::workflow::agents::{Active, EndReason, Finished};
use ashtiller::workflow::config::ListedWorker;
use ashtiller::workflow::core::RequestToken;
use ashtiller::workflow::job::Step;
use ashtiller::workflow::message::{Reply, State};
use ashtiller::workflow::record::{End, LogRecord, Outcome, Run, Task};

use crate::driver::{Driver, MS, job, listed, policy, step};

const SECOND: Duration = Duration::from_secs(1);
/// Time within which the rest of the ends is read: less than the pause after ends that are not durable.
const NEXT_POLL_TIME: Duration = Duration::from_millis(100);

fn run(index: u16, number: u32) -> Run {
    let task = Task {
        job: 0,
        occurrence: 0,
        step: 0,
        index,
    };
    Run { task, number }
}

/// Returns an owner with two runs on the only worker, `w0`.
fn start_two(step: Step) -> Driver {
    let mut driver = Driver::new(1, policy());
    driver.submit(job("1", vec![Step { count: 2, ..step }]));
    driver.run_for(SECOND);
    assert_eq!(driver.starts().len(), 2);
    driver
}

/// Returns the ends of both runs, in the order of their numbers.
fn both_ends(driver: &Driver) -> Vec<Finished> {
    let first = driver.ends(run(0, 1), EndReason::Done, 1);
    let second = driver.ends(run(1, 1), EndReason::Done, 2);
    [first, second].concat()
}

/// Makes the worker list this part of the ends, and no active run.
fn list_part(driver: &mut Driver, ends: &[Finished]) {
    driver.hides_runs = true;
    driver.more_ends = true;
    driver.reported_ends = ends.to_vec();
}

/// Makes the worker list all these ends, and no active run.
fn list_all(driver: &mut Driver, ends: &[Finished]) {
    driver.hides_runs = true;
    driver.more_ends = false;
    driver.reported_ends = ends.to_vec();
}

fn assert_complete(driver: &Driver) {
    let complete = Reply::State(State::Over(Outcome::Complete));
    assert_eq!(driver.core.state("1"), complete);
}

#[test]
fn a_run_whose_end_is_not_told_yet_is_not_lost() {
    let mut driver = start_two(step(1));
    let ends = both_ends(&driver);
    list_part(&mut driver, &ends[..1]);
    driver.run_for(5 * SECOND);
    assert!(driver.core.log_state().is_live(run(1, 1)));
    list_all(&mut driver, &ends);
    driver.run_for(SECOND);
    assert_complete(&driver);
    assert_eq!(driver.starts().len(), 2, "no task starts again");
}

/// Once all ends are told, a run that is missing is lost as before.
#[test]
fn a_run_that_is_missing_from_all_ends_is_lost() {
    let mut driver = start_two(step(1));
    let ends = both_ends(&driver);
    list_part(&mut driver, &ends[..1]);
    driver.run_for(SECOND);
    list_all(&mut driver, &ends[..1]);
    driver.run_for(SECOND);
    let lost = LogRecord::Ended(run(1, 1), End::Lost, "".into());
    assert!(driver.records.contains(&lost));
}

/// The run ended before the stop arrived.
#[test]
fn a_confirmed_stop_does_not_end_a_run_whose_end_is_not_told_yet() {
    let mut driver = start_two(step(1));
    let ends = both_ends(&driver);
    list_part(&mut driver, &ends[..1]);
    let draining = ListedWorker {
        draining: true,
        remaining: Some(MS),
        ..listed(0)
    };
    driver.core.list_worker(draining, driver.now);
    driver.core.list_worker(listed(1), driver.now);
    driver.run_for(SECOND);
    assert!(driver.stops().contains(&run(1, 1)));
    assert!(driver.core.log_state().is_live(run(1, 1)));
    list_all(&mut driver, &ends);
    driver.run_for(SECOND);
    assert_complete(&driver);
    assert_eq!(driver.starts().len(), 2, "no task starts again");
}

/// A new owner knows nothing of the ends that were told before.
#[test]
fn a_new_owner_takes_no_run_for_lost_by_a_part_of_the_ends() {
    let records = start_two(step(1)).records;
    let mut driver = Driver::replay(&records, 0, policy());
    let ends = both_ends(&driver);
    list_part(&mut driver, &ends[..1]);
    driver.core.note_predecessor_ended(4, driver.now);
    driver.core.list_all(vec![listed(0), listed(1)], driver.now);
    driver.run_for(5 * SECOND);
    assert!(driver.core.log_state().is_live(run(1, 1)));
    list_all(&mut driver, &ends);
    driver.run_for(SECOND);
    assert_complete(&driver);
    let elsewhere = driver.starts().iter().any(|(id, _)| *id == "w1".into());
    assert!(!elsewhere, "no task starts again");
}

/// A run that the log does not place there is told to stop. It may have ended before, and its end may be
/// among the rest.
#[test]
fn a_task_waits_for_the_end_of_a_run_that_is_not_listed_any_more() {
    let mut driver = start_two(step(1));
    let name = driver.name(run(1, 1));
    driver.crash(&"w0".into());
    driver.core.unlist_worker(&"w0".into(), driver.now);
    driver.run_for(10 * SECOND);
    assert!(
        !driver.core.log_state().is_live(run(1, 1)),
        "it is given up"
    );
    driver.crashed.clear();
    let ends = both_ends(&driver);
    list_part(&mut driver, &ends[..1]);
    let active = Active {
        name,
        run: 1,
        checkpoint: "".into(),
        percent: 99,
        figure: None,
    };
    driver.running = vec![("w0".into(), active)];
    driver.core.list_worker(listed(0), driver.now);
    driver.run_for(100 * MS);
    assert!(driver.running.is_empty(), "the run was stopped");
    driver.core.list_worker(listed(1), driver.now);
    driver.run_for(3 * SECOND);
    let starts = driver.starts();
    let again = starts.iter().filter(|(_, it)| it.task == run(1, 1).task);
    assert_eq!(again.count(), 1, "its end may follow");
    list_all(&mut driver, &ends);
    driver.run_for(3 * SECOND);
    assert_complete(&driver);
}

/// A start of an earlier owner got no answer, and the run was given up. It was carried out all the same,
/// and its end is among the rest. The next run may only be placed on that worker, once it has listed what
/// became of the first one.
#[test]
fn a_part_of_the_ends_does_not_show_what_became_of_an_unanswered_start() {
    let records = [
        LogRecord::Accepted(Box::new(job("1", vec![step(1)])), policy(), 1_000_000),
        LogRecord::Placed(run(0, 1), "w0".into(), "".into()),
        LogRecord::StartUnconfirmed(run(0, 1), "w0".into()),
        LogRecord::Ended(run(0, 1), End::Lost, "".into()),
    ];
    let mut driver = Driver::replay(&records, 0, policy());
    driver.core.note_predecessor_ended(4, driver.now);
    let ends = driver.ends(run(0, 1), EndReason::Done, 2);
    list_part(&mut driver, &[]);
    driver.core.list_all(vec![listed(0), listed(1)], driver.now);
    driver.run_for(3 * SECOND);
    assert!(driver.starts().is_empty(), "its end may follow");
    list_all(&mut driver, &ends);
    driver.run_for(SECOND);
    assert_complete(&driver);
    assert!(driver.starts().is_empty());
}

/// The rest is read as soon as the worker can be told that the first part is recorded.
#[test]
fn the_rest_of_the_ends_is_read_at_once() {
    let mut driver = start_two(step(1));
    let ends = both_ends(&driver);
    list_part(&mut driver, &ends[..1]);
    let told = |driver: &Driver| driver.core.log_state().is_live(run(0, 1));
    while told(&driver) {
        driver.run_for(5 * MS);
    }
    list_all(&mut driver, &ends);
    driver.run_for(NEXT_POLL_TIME);
    assert_complete(&driver);
}

/// Cancelled jobs have runs whose ends may follow as well.
#[test]
fn a_cancelled_run_is_kept_until_all_ends_are_told() {
    let mut driver = start_two(step(1));
    let ends = both_ends(&driver);
    list_part(&mut driver, &ends[..1]);
    driver.core.cancel("1", RequestToken(9), driver.now);
    driver.run_for(SECOND);
    assert!(driver.core.log_state().is_live(run(1, 1)));
    list_all(&mut driver, &ends);
    driver.run_for(SECOND);
    assert!(!driver.core.log_state().is_live(run(1, 1)));
}
