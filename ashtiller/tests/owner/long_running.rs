//! Long-running tasks run until their job is cancelled: they are started again however they end.

use std::collections::BTreeSet;
use std::time::Duration;

use ashtiller::workflow::agents::EndReason;
use ashtiller::workflow::job::Step;
use ashtiller::workflow::log_state::LogState;
use ashtiller::workflow::message::{Reply, State};
use ashtiller::workflow::record::{End, LogRecord, Run, Task};
use ashtiller::workflow::snapshot;

use crate::driver::{Driver, MS, job, policy, step};

const SECOND: Duration = Duration::from_secs(1);
/// Time without a run after which a long-running task counts as lost.
const ABSENCE_MAX: Duration = Duration::from_secs(9);

fn long_running(count: u32) -> Step {
    Step {
        long_running: true,
        ..step(count)
    }
}

fn task(index: u16) -> Task {
    Task {
        job: 0,
        occurrence: 0,
        step: 0,
        index,
    }
}

fn run(index: u16, number: u32) -> Run {
    Run {
        task: task(index),
        number,
    }
}

/// Returns the records of a job with two long-running tasks, of which an earlier version recorded
/// the first as done.
fn records_of_a_done_task() -> Vec<LogRecord> {
    let job = job("1", vec![long_running(2)]);
    vec![
        LogRecord::Accepted(Box::new(job), policy(), 1_000_000),
        LogRecord::Placed(run(0, 1), "w0".into(), "".into()),
        LogRecord::Placed(run(1, 1), "w1".into(), "".into()),
        LogRecord::Ended(run(0, 1), End::Done, "".into()),
    ]
}

/// A long-running task whose run ended `done` was never started again, while its job was shown as
/// running.
#[test]
fn a_long_running_task_that_ends_done_is_started_again() {
    let mut driver = Driver::new(3, policy());
    driver.submit(job("1", vec![long_running(2)]));
    driver.run_for(5 * SECOND);
    let (id, first) = driver.starts()[0].clone();
    driver.end(&id, first, EndReason::Done, 1);
    driver.run_for(500 * MS);
    let starts = driver.starts();
    assert_eq!(starts.len(), 3, "{starts:?}");
    assert_eq!(starts[2].1.task, first.task);
    assert_eq!(driver.core.state("1"), Reply::State(State::Running));
    let ends = driver.records.iter().filter_map(|record| match record {
        LogRecord::Ended(run, end, _) => Some((*run, *end)),
        _ => None,
    });
    // Owners of earlier versions would take `Done` for the end of the task.
    assert_eq!(ends.collect::<Vec<_>>(), [(first, End::Stopped)]);
}

/// A job whose only long-running task ended `done` was closed as complete.
#[test]
fn a_job_of_one_long_running_task_is_not_complete_when_that_ends() {
    let mut driver = Driver::new(1, policy());
    driver.submit(job("1", vec![long_running(1)]));
    driver.run_for(5 * SECOND);
    let (id, first) = driver.starts()[0].clone();
    driver.end(&id, first, EndReason::Done, 1);
    driver.run_for(500 * MS);
    assert_eq!(driver.starts().len(), 2);
    assert_eq!(driver.core.state("1"), Reply::State(State::Running));
}

/// One end `done` stood for all members of a long-running gang, and none was started again.
#[test]
fn a_long_running_gang_that_ends_done_is_started_again() {
    let gang = Step {
        gang: true,
        ..long_running(2)
    };
    let mut driver = Driver::new(2, policy());
    driver.submit(job("1", vec![gang]));
    driver.run_for(5 * SECOND);
    let (id, first) = driver.starts()[0].clone();
    driver.end(&id, first, EndReason::Done, 1);
    driver.run_for(SECOND);
    let again: BTreeSet<Run> = driver.starts()[2..].iter().map(|(_, run)| *run).collect();
    assert_eq!(again, BTreeSet::from([run(0, 2), run(1, 2)]));
}

/// An entry in which an earlier version recorded a long-running task as done ended that task for
/// every later owner.
#[test]
fn a_recorded_end_of_a_long_running_task_does_not_complete_it() {
    let mut driver = Driver::replay(&records_of_a_done_task(), 2, policy());
    driver.run_for(500 * MS);
    let starts: Vec<Run> = driver.starts().iter().map(|(_, run)| *run).collect();
    assert!(starts.contains(&run(0, 2)), "{starts:?}");
}

/// The same in a snapshot that an earlier version wrote.
#[test]
fn a_long_running_task_that_a_snapshot_holds_as_done_waits_again() {
    let mut state = LogState::default();
    for record in records_of_a_done_task() {
        state.apply(&record, Duration::ZERO);
    }
    let step = &mut state.jobs.get_mut(&0).unwrap().occurrences.get_mut(&0);
    let step = &mut step.as_mut().unwrap().steps[0];
    step.tasks[0].done = true;
    step.left = 1;
    step.waiting = 0;
    let mut state = snapshot::decode(&snapshot::encode(&state).unwrap()).unwrap();
    state.index(Duration::ZERO);
    let step = &state.jobs[&0].occurrences[&0].steps[0];
    assert!(step.tasks[0].waits());
    assert_eq!((step.left, step.waiting), (2, 1));
}

/// Tasks that end as soon as they have started were started again at once, without limit, and took
/// the rounds and the log of their owner from other jobs.
#[test]
fn restarts_of_tasks_that_end_at_once_are_paced() {
    let mut driver = Driver::new(1, policy());
    driver.submit(job("1", vec![long_running(1)]));
    let mut started = Vec::new();
    let end = driver.now.at + 30 * SECOND;
    while driver.now.at < end {
        driver.run_for(10 * MS);
        let starts = driver.starts();
        if starts.len() > started.len() {
            started.push(driver.now.at);
            let (id, latest) = starts.last().unwrap().clone();
            driver.end(&id, latest, EndReason::Done, started.len() as u64);
        }
    }
    let gaps = started.windows(2).map(|it| it[1].saturating_sub(it[0]));
    let gaps: Vec<Duration> = gaps.collect();
    assert!(
        gaps[0] < 500 * MS,
        "the first restart is not delayed: {gaps:?}"
    );
    assert!(started.len() < 30, "{} starts in 30 s", started.len());
    let longest = gaps.into_iter().max().unwrap();
    assert!(longest < ABSENCE_MAX, "{longest:?}");
}

/// A task that runs for a while before it ends is not delayed, however often it has ended.
#[test]
fn restarts_of_tasks_that_run_for_a_while_are_not_paced() {
    let mut driver = Driver::new(1, policy());
    driver.submit(job("1", vec![long_running(1)]));
    for number in 1..=6 {
        driver.run_for(5 * SECOND);
        let starts = driver.starts();
        assert_eq!(starts.len(), number);
        let (id, latest) = starts.last().unwrap().clone();
        driver.end(&id, latest, EndReason::Done, number as u64);
        driver.run_for(500 * MS);
        assert_eq!(driver.starts().len(), number + 1);
    }
}
