//! Tasks that crash their workers where several workers are lost at once.
//!
//! Losses of most workers of an availability zone or a label at the same time count against no
//! task. These tests guard against a task that crashes its workers and is started again and again
//! since its crashes look like such a loss: it crashes them late, in a small fleet, together with
//! the tasks of its step or of other jobs, or without a connection that breaks.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ashtiller::workflow::agents::{Active, PollReply};
use ashtiller::workflow::config::ListedWorker;
use ashtiller::workflow::incarnation::Incarnation;
use ashtiller::workflow::job::Step;
use ashtiller::workflow::message::{Reply, State};
use ashtiller::workflow::record::{Outcome, Run, Task};

use crate::driver::{Driver, MS, job, listed, policy, step};

/// Largest number of starts of a task that crashes its workers: three crashes, and two more.
const STARTS_MAX: usize = 3 + 2;
/// Time between a crash and the worker's next incarnation.
const RESTART_DELAY: Duration = Duration::from_millis(2800);
/// The same for a worker whose lease expires first.
const REPAIR_DELAY: Duration = Duration::from_secs(15);
/// Run time of a task, which none of the crashing ones reaches.
const LENGTH: Duration = Duration::from_secs(20);
/// Age of the runs at a crash: just begun, or well past that.
const EARLY: Duration = Duration::from_millis(10);
const LATE: Duration = Duration::from_secs(5);
/// Time that is played; each of the allowed starts fits with a late crash and an expired lease.
const PLAY: Duration = Duration::from_mins(2);

/// How a worker is lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Loss {
    /// Its connections are refused, and it comes back under another id.
    Refused,
    /// It answers nothing, and comes back under another id before its lease expires.
    Silent,
    /// It answers nothing, and comes back under another id long after its lease has expired.
    Lapsed,
    /// It comes back at once under its id with another start time.
    Replaced,
}

/// Workers that are lost some time after they start a task of a job whose id begins with `bad`.
struct Fleet {
    driver: Driver,
    workers: BTreeMap<Incarnation, ListedWorker>,
    age: Duration,
    /// Additional age at the crash by number of the task.
    stagger: Duration,
    loss: Loss,
    starts_seen: usize,
    /// Bad runs that have not crashed their worker yet, and since when they run.
    active: Vec<(Incarnation, Run, Duration)>,
    returns: Vec<(Duration, Incarnation)>,
    starts: BTreeMap<Task, usize>,
    lives: u64,
}

/// Lists a worker; all share the label `a`.
fn in_place(number: u16, zone: u16, rack: u16) -> ListedWorker {
    ListedWorker {
        incarnation: Incarnation::new(&format!("w{number}"), Some(1000)),
        zone: format!("z{zone}").into(),
        labels: ["a".into(), format!("r{rack}").into()].into(),
        ..listed(number)
    }
}

/// A fleet with a single zone and racks of four.
fn one_zone(workers: u16) -> Vec<ListedWorker> {
    let workers = (0..workers).map(|number| in_place(number, 0, number / 4));
    workers.collect()
}

/// Tasks of which each needs most of a worker.
fn large_step(count: u32) -> Step {
    let mut step = step(count);
    step.needs.processors = 3000;
    step.estimate = LENGTH;
    step
}

impl Fleet {
    fn new(workers: Vec<ListedWorker>, loss: Loss, age: Duration) -> Self {
        let mut driver = Driver::new(0, policy());
        driver.core.list_all(workers.clone(), driver.now);
        driver.run_for(200 * MS);
        let workers = workers.into_iter();
        Self {
            driver,
            workers: workers
                .map(|worker| (worker.incarnation.clone(), worker))
                .collect(),
            age,
            stagger: Duration::ZERO,
            loss,
            starts_seen: 0,
            active: Vec::new(),
            returns: Vec::new(),
            starts: BTreeMap::new(),
            lives: 1000,
        }
    }

    fn run_for(&mut self, span: Duration) {
        let end = self.driver.now.at + span;
        while self.driver.now.at < end {
            self.driver.run_for(5 * MS);
            self.note_starts();
            self.crash_due();
            self.return_due();
            self.report_progress();
        }
    }

    fn note_starts(&mut self) {
        let starts = self.driver.starts();
        let new = starts[self.starts_seen..].to_vec();
        self.starts_seen = starts.len();
        for (id, run) in new {
            let job = &self.driver.core.log_state().jobs[&run.task.job];
            if job.job.id.starts_with("bad") && self.workers.contains_key(&id) {
                *self.starts.entry(run.task).or_default() += 1;
                self.active.push((id, run, self.driver.now.at));
            }
        }
    }

    fn crash_due(&mut self) {
        let (now, age, stagger) = (self.driver.now.at, self.age, self.stagger);
        let stops = self.driver.stops();
        self.active.retain(|(_, run, _)| !stops.contains(run));
        let active = self.active.iter();
        let due = active
            .filter(|(_, run, since)| now >= *since + age + stagger * u32::from(run.task.index));
        let due: BTreeSet<Incarnation> = due.map(|(id, _, _)| id.clone()).collect();
        self.active.retain(|(id, _, _)| !due.contains(id));
        for id in due {
            self.lose(id);
        }
    }

    fn lose(&mut self, id: Incarnation) {
        let after = match self.loss {
            Loss::Refused => {
                self.driver.crash(&id);
                RESTART_DELAY
            }
            Loss::Silent => {
                self.driver.unreachable.insert(id.clone());
                RESTART_DELAY
            }
            Loss::Lapsed => {
                self.driver.unreachable.insert(id.clone());
                REPAIR_DELAY
            }
            Loss::Replaced => Duration::ZERO,
        };
        self.returns.push((self.driver.now.at + after, id));
    }

    fn return_due(&mut self) {
        let now = self.driver.now.at;
        let (due, rest) = std::mem::take(&mut self.returns)
            .into_iter()
            .partition(|(at, _)| now >= *at);
        self.returns = rest;
        let due: Vec<(Duration, Incarnation)> = due;
        for (_, id) in due {
            self.begin_next_life(&id);
        }
    }

    fn begin_next_life(&mut self, former: &Incarnation) {
        let worker = self.workers.remove(former).expect("a worker of the fleet");
        self.lives += 1;
        let id = if self.loss == Loss::Replaced {
            former.id().to_owned()
        } else {
            format!("{}x", former.id())
        };
        let next = ListedWorker {
            incarnation: Incarnation::new(&id, Some(self.lives)),
            ..worker
        };
        self.workers.insert(next.incarnation.clone(), next.clone());
        if self.loss != Loss::Replaced {
            return self.driver.relist_as(former, next);
        }
        let (id, now) = (next.incarnation.clone(), self.driver.now);
        self.driver.restarted.insert(former.clone(), id.clone());
        self.driver.core.list_worker(next, now);
        // Answers the poll that is in flight.
        let reply = Ok(PollReply::OtherIncarnation(Some(id)));
        self.driver.core.handle_poll_reply(former, reply, now);
    }

    /// Lets workers report the progress that fits the age of their runs.
    fn report_progress(&mut self) {
        let driver = &self.driver;
        let rows = self.active.iter().map(|(id, run, since)| {
            let spent = driver.now.at.saturating_sub(*since);
            let percent = spent.as_millis() * 100 / LENGTH.as_millis();
            let row = Active {
                name: driver.name(*run),
                run: run.number,
                checkpoint: "".into(),
                percent: u32::try_from(percent).expect("a run that is not over"),
                figure: None,
            };
            (id.clone(), row)
        });
        let rows = rows.collect();
        self.driver.running = rows;
    }

    /// Plays until all bad jobs are given up or a task was started too often. Returns what is wrong.
    fn find_fault(mut self, jobs: u32) -> Option<String> {
        let end = self.driver.now.at + PLAY;
        while self.most_starts() <= STARTS_MAX
            && self.count_open(jobs) > 0
            && self.driver.now.at < end
        {
            self.run_for(500 * MS);
        }
        let (most, open) = (self.most_starts(), self.count_open(jobs));
        let counts = self.driver.core.counts();
        (most > STARTS_MAX || open > 0).then(|| {
            format!(
                "a task was started {most} times, {open} of {jobs} bad jobs are not given up after \
                 {:?} ({} crashes, {} losses explained)",
                (self.driver.now.at + PLAY).saturating_sub(end),
                counts.crashes,
                counts.explained
            )
        })
    }

    fn most_starts(&self) -> usize {
        self.starts.values().copied().max().unwrap_or(0)
    }

    fn count_open(&self, jobs: u32) -> usize {
        let failed = Reply::State(State::Over(Outcome::Failed));
        let states = (0..jobs).map(|number| self.driver.core.state(&format!("bad{number}")));
        states.filter(|state| *state != failed).count()
    }
}

/// Jobs with tasks that crash their workers, and the fleet that they run on.
struct Case {
    name: String,
    fleet: Vec<ListedWorker>,
    /// The step of each job.
    steps: Vec<Step>,
    stagger: Duration,
}

impl Case {
    fn new(name: String, fleet: Vec<ListedWorker>, steps: Vec<Step>) -> Self {
        Self {
            name,
            fleet,
            steps,
            stagger: Duration::ZERO,
        }
    }

    fn find_fault(self, loss: Loss, age: Duration) -> Option<String> {
        let mut fleet = Fleet::new(self.fleet, loss, age);
        fleet.stagger = self.stagger;
        let jobs = self.steps.len();
        for (number, step) in self.steps.into_iter().enumerate() {
            fleet
                .driver
                .submit(job(&format!("bad{number}"), vec![step]));
        }
        let fault = fleet.find_fault(u32::try_from(jobs).expect("a few jobs"))?;
        Some(format!("{}: {fault}", self.name))
    }
}

/// Plays all cases, so that a failure names each case that breaks the bound.
#[track_caller]
fn check(cases: Vec<Case>, loss: Loss, age: Duration) {
    let faults = cases
        .into_iter()
        .filter_map(|case| case.find_fault(loss, age));
    let faults: Vec<String> = faults.collect();
    assert!(faults.is_empty(), "{faults:#?}");
}

/// One bad task, with nothing beside it.
fn single_task() -> Vec<Case> {
    let sizes = [1, 3, 4, 5, 12].into_iter();
    let case = |workers| {
        let name = format!("{workers} workers");
        Case::new(name, one_zone(workers), vec![large_step(1)])
    };
    sizes.map(case).collect()
}

/// A step of bad tasks that takes a small fleet as a whole.
fn step_on_small_fleet() -> Vec<Case> {
    let sizes = [3_u16, 4, 5].into_iter();
    let case = |workers: u16| {
        let name = format!("{workers} workers");
        Case::new(name, one_zone(workers), vec![large_step(workers.into())])
    };
    sizes.map(case).collect()
}

/// The same where workers have only their common label in common.
fn step_under_common_label() -> Vec<Case> {
    let fleet = (0..5).map(|number| in_place(number, number, number));
    let name = "5 workers in 5 zones".to_owned();
    vec![Case::new(name, fleet.collect(), vec![large_step(5)])]
}

/// Bad tasks that run on one rack of a larger fleet: a step and a gang.
fn step_on_rack() -> Vec<Case> {
    let on_rack = |gang| Step {
        gang,
        label: Some("r0".into()),
        ..large_step(4)
    };
    let case = |gang: bool| {
        let name = format!("gang {gang}");
        Case::new(name, one_zone(12), vec![on_rack(gang)])
    };
    vec![case(false), case(true)]
}

/// A step whose tasks crash one after the other, 300 ms apart.
fn staggered_step() -> Vec<Case> {
    let mut cases = step_on_small_fleet();
    for case in &mut cases {
        case.stagger = 300 * MS;
    }
    cases
}

/// Several bad jobs of one task each that come at once, on a small fleet and on one rack.
fn jobs_at_once() -> Vec<Case> {
    let sizes = [3_u16, 4, 5].into_iter();
    let small = sizes.map(|workers| {
        let steps = vec![large_step(1); workers.into()];
        Case::new(format!("{workers} workers"), one_zone(workers), steps)
    });
    let mut cases: Vec<Case> = small.collect();
    let on_rack = Step {
        label: Some("r0".into()),
        ..large_step(1)
    };
    cases.push(Case::new("rack".into(), one_zone(12), vec![on_rack; 4]));
    cases
}

/// Defines a test for each way in which workers are lost and each age of the runs.
macro_rules! for_each_loss {
    ($($cases:ident)*) => { $(
        mod $cases {
            use super::{EARLY, LATE, Loss, check};

            #[test]
            fn refused_early() {
                check(super::$cases(), Loss::Refused, EARLY);
            }

            #[test]
            fn refused_late() {
                check(super::$cases(), Loss::Refused, LATE);
            }

            #[test]
            fn silent_early() {
                check(super::$cases(), Loss::Silent, EARLY);
            }

            #[test]
            fn silent_late() {
                check(super::$cases(), Loss::Silent, LATE);
            }

            #[test]
            fn lapsed_early() {
                check(super::$cases(), Loss::Lapsed, EARLY);
            }

            #[test]
            fn lapsed_late() {
                check(super::$cases(), Loss::Lapsed, LATE);
            }

            #[test]
            fn replaced_early() {
                check(super::$cases(), Loss::Replaced, EARLY);
            }

            #[test]
            fn replaced_late() {
                check(super::$cases(), Loss::Replaced, LATE);
            }
        }
    )* };
}

for_each_loss! {
    single_task
    step_on_small_fleet
    step_under_common_label
    step_on_rack
    staggered_step
    jobs_at_once
}
