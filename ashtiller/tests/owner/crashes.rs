//! Tasks that crash the workers that start them.
//!
//! Two tasks were started 33 times each within two minutes, and each start ended their worker; 273
//! runs were lost with those workers in the first half minute. A run was started, its worker's
//! process ended within 10 ms and was back some seconds later under another id; all runs of that
//! worker were recorded as lost and queued again at once. A run whose worker crashed was recorded
//! like one whose lease had expired, which does not count as an attempt, and nothing else counted
//! or limited crashes. In the log, `worker's incarnation has ended … came back under another id …
//! runs 14` was followed by `run ended … Lost` for runs 1 to 6 of one task on six workers, under
//! one owner.

use std::collections::BTreeSet;
use std::time::Duration;

use ashtiller::workflow::agents::Active;
use ashtiller::workflow::blame::LostRun;
use ashtiller::workflow::config::ListedWorker;
use ashtiller::workflow::incarnation::Incarnation;
use ashtiller::workflow::job::{Job, Step};
use ashtiller::workflow::message::{Reply, State};
use ashtiller::workflow::record::{End, LogRecord, Outcome, Run, Task};

use crate::driver::{Driver, MS, job, listed, policy, step};

/// Time between a crash and the worker's next incarnation.
const RESTART_DELAY: Duration = Duration::from_millis(2800);
/// Crashes after which a task may be started at most twice more.
const CRASHES_MAX: usize = 3;

/// Workers that crash when they start a task of the job `bad`.
pub struct CrashingWorkers {
    pub driver: Driver,
    /// Workers as the platform lists them.
    workers: Vec<ListedWorker>,
    /// Runs that crashed their worker, in order.
    pub crashed: Vec<Run>,
    starts_seen: usize,
}

impl CrashingWorkers {
    pub fn new(workers: u16) -> Self {
        let workers = (0..workers).map(listed).collect();
        Self::replay(&[], workers)
    }

    /// Creates the same workers under an owner that replays the log.
    pub fn replay(records: &[LogRecord], workers: Vec<ListedWorker>) -> Self {
        let mut driver = Driver::replay(records, 0, policy());
        driver.core.list_all(workers.clone(), driver.now);
        Self {
            driver,
            workers,
            crashed: Vec::new(),
            starts_seen: 0,
        }
    }

    fn is_crashing(&self, run: Run) -> bool {
        let job = &self.driver.core.log_state().jobs[&run.task.job];
        job.job.id.starts_with("bad")
    }

    /// Advances time by `span`; every worker that starts a task of the job `bad` crashes and
    /// restarts after a delay.
    pub fn run_for(&mut self, span: Duration) {
        let end = self.driver.now.at + span;
        while self.driver.now.at < end {
            self.driver.run_for(10 * MS);
            if let Some(id) = self.crash_next() {
                self.driver.run_for(RESTART_DELAY);
                self.restart_worker(&id);
            }
        }
    }

    /// Crashes the worker that last started a task of the job `bad`, if there is one.
    pub fn crash_next(&mut self) -> Option<Incarnation> {
        let starts = self.driver.starts();
        let new = starts[self.starts_seen..].to_vec();
        self.starts_seen = starts.len();
        let (id, run) = new.into_iter().find(|(_, run)| self.is_crashing(*run))?;
        self.crashed.push(run);
        self.driver.crash(&id);
        Some(id)
    }

    /// Lists the worker under another id.
    pub fn restart_worker(&mut self, id: &Incarnation) {
        let incarnation = self
            .workers
            .iter_mut()
            .find(|incarnation| incarnation.incarnation == *id);
        let incarnation = incarnation.expect("a worker that was listed");
        incarnation.incarnation = format!("{id}x").into();
        let incarnation = incarnation.clone();
        self.driver.relist_as(id, incarnation);
    }

    pub fn state(&self, id: &str) -> Reply {
        self.driver.core.state(id)
    }
}

pub fn crashing_job(steps: Vec<Step>) -> Job {
    job("bad", steps)
}

fn failed() -> Reply {
    Reply::State(State::Over(Outcome::Failed))
}

#[test]
fn a_task_that_crashes_its_workers_fails() {
    let mut cluster = CrashingWorkers::new(6);
    cluster.driver.submit(crashing_job(vec![step(1)]));
    cluster.run_for(Duration::from_secs(30));
    let starts = cluster.crashed.len();
    assert!(starts <= CRASHES_MAX, "started {starts} times");
    assert_eq!(cluster.state("bad"), failed());
}

/// Follows each crash by another owner that replays the log, `after` the crashed worker was listed
/// again. Returns how often the task was started.
fn start_under_many_owners(after: Duration) -> usize {
    let mut cluster = CrashingWorkers::new(6);
    cluster.driver.submit(crashing_job(vec![step(1)]));
    let mut records = Vec::new();
    let mut starts = 0;
    for _ in 0..8 {
        for _ in 0..3000 {
            cluster.driver.run_for(10 * MS);
            if let Some(id) = cluster.crash_next() {
                starts += 1;
                cluster.driver.run_for(RESTART_DELAY);
                cluster.restart_worker(&id);
                cluster.driver.run_for(after);
                break;
            }
        }
        records.append(&mut cluster.driver.records);
        cluster = CrashingWorkers::replay(&records, cluster.workers);
    }
    assert_eq!(cluster.state("bad"), failed());
    starts
}

#[test]
fn crashes_count_across_owners() {
    let starts = start_under_many_owners(50 * MS);
    assert!(starts <= CRASHES_MAX, "started {starts} times");
}

/// An owner that ends before it learns of the crash records nothing of it; the next one finds a run
/// on a worker that is not listed.
#[test]
fn crashes_count_across_owners_that_never_observed_them() {
    let starts = start_under_many_owners(Duration::ZERO);
    assert!(starts <= CRASHES_MAX + 2, "started {starts} times");
}

/// Twelve long-running tasks share the workers and are lost with each crash there.
#[test]
fn neighbours_of_a_task_that_crashes_workers_do_not_fail() {
    let mut cluster = CrashingWorkers::new(6);
    for number in 0..12 {
        let long_running = Step {
            long_running: true,
            ..step(1)
        };
        cluster
            .driver
            .submit(job(&format!("{number}"), vec![long_running]));
    }
    cluster.driver.run_for(500 * MS);
    cluster.driver.submit(crashing_job(vec![step(1)]));
    cluster.run_for(Duration::from_secs(30));
    assert_eq!(cluster.state("bad"), failed());
    let lost: BTreeSet<u32> = (0..12)
        .filter(|number| cluster.state(&number.to_string()) != Reply::State(State::Running))
        .collect();
    assert!(lost.is_empty(), "failed: {lost:?}");
}

/// On a full fleet a long-running task that had failed did not run for 14 s, although three workers
/// had capacity for it. 14 workers had crashed, and the long-running tasks that ran there were
/// suspected. They were tried one after the other on the same three workers, which accept nothing
/// else for 4 s during a trial, and the next trial began in the same round in which the previous
/// one ended: at 24.3, 28.3, 32.3, 36.3 and 40.3 s on one worker, and likewise on the other two.
/// Long-running steps that have waited long are placed first, older jobs before newer ones, so the
/// suspects of older jobs came before the task. `lasting task waits` was logged with
/// `"shut_with_room":"tried 3"` at 30.8, 35.8 and 40.8 s.
#[test]
fn trials_leave_capacity_for_tasks_that_are_not_suspected() {
    let long_running = |count| Step {
        long_running: true,
        ..step(count)
    };
    let task = |index| Task {
        job: 0,
        occurrence: 0,
        step: 0,
        index,
    };
    let runs = [0, 1, 2].map(|index| Run {
        task: task(index),
        number: 1,
    });
    let lost_runs = runs.map(|run| LostRun {
        run,
        age: 8000,
        weight: 2,
        begun: true,
    });
    let accepted = LogRecord::Accepted(
        Box::new(job("suspects", vec![long_running(3)])),
        policy(),
        1_000_000,
    );
    let mut records = vec![accepted];
    records.extend(runs.map(|run| LogRecord::Placed(run, "w9".into(), "".into())));
    records.push(LogRecord::Crashed("w9".into(), lost_runs.to_vec()));
    records.extend(runs.map(|run| LogRecord::Ended(run, End::Lost, "".into())));
    let mut driver = Driver::replay(&records, 1, policy());
    driver.submit(job("plain", vec![long_running(1)]));
    driver.run_for(Duration::from_secs(9));
    let starts = driver.starts();
    let plain = starts.iter().filter(|(_, run)| run.task.job == 1).count();
    assert_eq!(plain, 1, "{starts:?}");
    driver.run_for(Duration::from_secs(12));
    assert_eq!(
        driver.starts().len(),
        4,
        "the suspects are tried all the same"
    );
}

/// A crash must not be attributed to a run that had already ended. A harmless job failed after two
/// crashes: its worker had been unreachable for 0.46 s before its process ended, and the task had
/// completed in between (run 2 of `23.0.0.0`: last reported at 70.88 s, done at 71.31 s, end of the
/// process at 71.35 s, `job failed: workers crash under one of its tasks` with `crashes=2`). The
/// owner took the moment at which the worker stopped answering, when the run was certainly active,
/// as the time of the crash.
#[test]
fn a_run_that_may_have_ended_unobserved_does_not_certainly_belong_to_the_crash() {
    for (silence, certain) in [(Duration::ZERO, true), (400 * MS, false)] {
        let mut driver = Driver::new(2, policy());
        driver.submit(job("1", vec![step(1)]));
        driver.run_for(100 * MS);
        let (incarnation, run) = driver.starts()[0].clone();
        let row = Active {
            name: driver.name(run),
            run: run.number,
            checkpoint: "".into(),
            percent: 4,
            figure: None,
        };
        driver.running.push((incarnation.clone(), row));
        driver.run_for(100 * MS);
        driver.timing_out = Some(incarnation.clone());
        driver.run_for(silence);
        driver.timing_out = None;
        driver.crash(&incarnation);
        driver.run_for(200 * MS);
        let machine = driver.core.workers()[&incarnation].listed.clone();
        let next = ListedWorker {
            incarnation: "next".into(),
            ..machine
        };
        driver.relist_as(&incarnation, next);
        driver.run_for(500 * MS);
        let lost_runs = driver.records.iter().filter_map(|record| match record {
            LogRecord::Crashed(of, lost_runs) if *of == incarnation => Some(lost_runs),
            _ => None,
        });
        let lost_run = lost_runs.flatten().find(|lost_run| lost_run.run == run);
        let lost_run = lost_run.expect("its worker crashed");
        assert_eq!(
            lost_run.begun, certain,
            "unreachable for {silence:?} before"
        );
    }
}

/// Returns the log of a job whose task was lost three times with its worker, where it may not have
/// run any more.
fn lost_three_times() -> Vec<LogRecord> {
    let task = Task {
        job: 0,
        occurrence: 0,
        step: 0,
        index: 0,
    };
    let accepted = LogRecord::Accepted(Box::new(job("1", vec![step(1)])), policy(), 1_000_000);
    let mut records = vec![accepted];
    for number in 1..=3 {
        let run = Run { task, number };
        let lost_run = LostRun {
            run,
            age: 2000,
            weight: 1,
            begun: false,
        };
        records.push(LogRecord::Placed(run, "w9".into(), "".into()));
        records.push(LogRecord::Crashed("w9".into(), vec![lost_run]));
        records.push(LogRecord::Ended(run, End::Lost, "".into()));
    }
    records
}

/// Three runs of a harmless task were lost with their workers, and none of them certainly ran
/// there. The fourth was stopped because its worker drained, and the job failed, since any three
/// crashes left one more start, however that ended.
#[test]
fn a_task_whose_crashes_are_uncertain_starts_again_after_its_worker_drains() {
    let mut driver = Driver::replay(&lost_three_times(), 2, policy());
    driver.run_for(100 * MS);
    let (worker, run) = driver.starts()[0].clone();
    assert_eq!(run.number, 4);
    let leaving = driver.core.workers()[&worker].listed.clone();
    let leaving = ListedWorker {
        draining: true,
        remaining: Some(Duration::ZERO),
        ..leaving
    };
    driver.core.list_worker(leaving, driver.now);
    driver.run_for(Duration::from_secs(2));
    assert_ne!(driver.core.state("1"), failed());
    let starts = driver.starts();
    assert!(starts.iter().any(|(_, run)| run.number == 5), "{starts:?}");
}

/// A task that crashes its workers when it is nearly done may have ended before each crash, so that
/// none is certain. If they only counted toward the wider limit, it would be started too often. Its
/// worker answers until its connections are refused.
#[test]
fn a_fourth_crash_on_a_worker_that_answered_until_then_fails_the_job() {
    let mut driver = Driver::replay(&lost_three_times(), 2, policy());
    driver.run_for(100 * MS);
    let (worker, run) = driver.starts()[0].clone();
    let row = Active {
        name: driver.name(run),
        run: run.number,
        checkpoint: "".into(),
        percent: 97,
        figure: None,
    };
    driver.running.push((worker.clone(), row));
    driver.run_for(100 * MS);
    driver.crash(&worker);
    driver.run_for(200 * MS);
    let next = ListedWorker {
        incarnation: "next".into(),
        ..driver.core.workers()[&worker].listed.clone()
    };
    driver.relist_as(&worker, next);
    driver.run_for(500 * MS);
    assert_eq!(driver.core.state("1"), failed());
}

/// A task may crash its worker before the start is answered, so that no crash is certain. Such a
/// task is limited all the same.
#[test]
fn a_task_that_crashes_its_workers_before_they_answer_fails() {
    let mut cluster = CrashingWorkers::new(1);
    cluster.driver.submit(crashing_job(vec![step(1)]));
    cluster.driver.drops_orders = Some("w0".into());
    for _ in 0..6000 {
        cluster.driver.run_for(10 * MS);
        if let Some(id) = cluster.crash_next() {
            cluster.driver.run_for(RESTART_DELAY);
            cluster.restart_worker(&id);
            cluster.driver.drops_orders = Some(format!("{id}x").into());
        }
    }
    let starts = cluster.crashed.len();
    assert!(starts <= CRASHES_MAX + 2, "started {starts} times");
    assert_eq!(cluster.state("bad"), failed());
}

/// A worker reported a run once, at 64 percent after 0.3 s, and then fell silent; its connections
/// were refused 0.36 s later. By its speed since the start the run was done before that, but the
/// owner took the speed from two reports only, so the crash counted as certain.
#[test]
fn one_report_shows_that_a_run_may_have_ended_before_the_crash() {
    for (percent, certain) in [(64, false), (10, true)] {
        let mut driver = Driver::new(2, policy());
        driver.submit(job("1", vec![step(1)]));
        driver.long_polls = true;
        driver.run_for(300 * MS);
        let (incarnation, run) = driver.starts()[0].clone();
        let row = Active {
            name: driver.name(run),
            run: run.number,
            checkpoint: "".into(),
            percent,
            figure: None,
        };
        driver.report(&incarnation, vec![row], Vec::new());
        driver.run_for(360 * MS);
        driver.crash(&incarnation);
        driver.run_for(200 * MS);
        let machine = driver.core.workers()[&incarnation].listed.clone();
        let next = ListedWorker {
            incarnation: "next".into(),
            ..machine
        };
        driver.relist_as(&incarnation, next);
        driver.run_for(Duration::from_secs(1));
        let lost_runs = driver.records.iter().filter_map(|record| match record {
            LogRecord::Crashed(of, lost_runs) if *of == incarnation => Some(lost_runs),
            _ => None,
        });
        let lost_run = lost_runs.flatten().find(|lost_run| lost_run.run == run);
        let lost_run = lost_run.expect("its worker crashed");
        assert_eq!(lost_run.begun, certain, "reported at {percent} percent");
    }
}
