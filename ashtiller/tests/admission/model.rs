//! A model of one service whose tasks use one processor each: the decisions of admission and
//! triage, without the rest of the owner.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use ashtiller::resources::Resources;
use ashtiller::workflow::admission::backlog::{JobWork, Standing};
use ashtiller::workflow::admission::control::{ClassKey, Control, JobPart, Newcomer, Verdict};
use ashtiller::workflow::admission::triage::{self, WORTH_OBJECTIVES};
use ashtiller::workflow::load::account::WorkClass;

pub const MS: Duration = Duration::from_millis(1);
const TICK: Duration = Duration::from_millis(10);
const TASK: Resources = Resources {
    processors: 1000,
    memory: 1 << 20,
    accelerators: 0,
};
/// Processors of the service.
pub const PROCESSORS: u32 = 100;
/// Number of times that a refused caller returns.
const RETRIES: u32 = 4;

/// Longest time objective of a job.
const LONGEST: Duration = Duration::from_millis(4750);

/// A deterministic series of numbers.
pub struct Draw(pub u64);

impl Draw {
    /// Returns the next number below `limit`.
    fn below(&mut self, limit: u32) -> u32 {
        let multiplier = 6_364_136_223_846_793_005;
        self.0 = self.0.wrapping_mul(multiplier);
        self.0 = self.0.wrapping_add(1_442_695_040_888_963_407);
        u32::try_from(((self.0 >> 33) * u64::from(limit)) >> 31).unwrap()
    }

    /// Returns the next number from 0 to 1.
    fn share(&mut self) -> f64 {
        f64::from(self.below(1 << 31)) / f64::from(1_u32 << 31)
    }
}

#[derive(Clone)]
pub struct ModelJob {
    pub id: String,
    /// Number of tasks and estimate of each step; each depends on the one before.
    pub steps: Vec<(u32, Duration)>,
    pub first: Duration,
    attempts: u32,
    /// Waiting and unfinished tasks of the current step.
    step: usize,
    waiting: u32,
    left: u32,
    pub begun: bool,
}

/// What an order may depend on.
pub struct View {
    pub begun: bool,
    /// Milliseconds until the current step must start for the job to be in time.
    pub slack: i64,
    pub remaining: f64,
    pub accepted: u64,
}

impl ModelJob {
    fn new(id: String, steps: Vec<(u32, Duration)>, first: Duration) -> Self {
        let count = steps[0].0;
        Self {
            id,
            steps,
            first,
            attempts: 0,
            step: 0,
            waiting: count,
            left: count,
            begun: false,
        }
    }

    fn chain(&self, from: usize) -> Duration {
        self.steps[from..]
            .iter()
            .map(|(_, estimate)| *estimate)
            .sum()
    }

    pub fn objective(&self) -> Duration {
        self.chain(0).mul_f64(1.5) + 250 * MS
    }

    pub fn work(&self) -> f64 {
        let steps = self.steps.iter();
        steps
            .map(|(count, it)| f64::from(*count) * it.as_secs_f64())
            .sum()
    }

    fn remaining(&self) -> f64 {
        let later = self.steps[self.step + 1..].iter();
        let later: f64 = later
            .map(|(count, it)| f64::from(*count) * it.as_secs_f64())
            .sum();
        later + f64::from(self.waiting) * self.steps[self.step].1.as_secs_f64()
    }

    /// Returns the lateness class and the slack in milliseconds.
    fn lateness(&self, now: Duration) -> (u8, i64) {
        let millis = |time: Duration| i64::try_from(time.as_millis()).unwrap();
        let used = millis(now.saturating_sub(self.first)) + millis(self.chain(self.step));
        let slack = millis(self.objective()) - used;
        let late_slack = millis(self.objective() * WORTH_OBJECTIVES) - used;
        let class = u8::from(slack < 0) + u8::from(late_slack < 0);
        (class, slack)
    }
}

pub type Order = fn(&View) -> (u8, i64);

/// Totals of a run of the model.
#[derive(Default)]
pub struct Totals {
    /// Share of the capacity spent on jobs that ended in time.
    pub goodput: f64,
    pub accepted: u32,
    pub refused: u32,
    pub ended: u32,
    /// Largest share of the bound on its end that an accepted job has taken.
    pub bound_used: f64,
    /// Refusals by the second of the run.
    pub refusals: BTreeMap<u64, u32>,
    /// The same of jobs that were not refused before.
    pub first_refusals: BTreeMap<u64, u32>,
}

impl Totals {
    fn check_bound(&mut self, job: &ModelJob, now: Duration) {
        let own = Duration::from_secs_f64(job.work() / f64::from(PROCESSORS));
        let bound = triage::end_bound(job.objective(), LONGEST, own, 1.0);
        let used = now.saturating_sub(job.first).div_duration_f64(bound);
        self.bound_used = self.bound_used.max(used);
    }
}

pub struct Model {
    /// Processors, and work that arrives as a multiple of [`PROCESSORS`], by the time since the
    /// beginning.
    pub processors: fn(Duration) -> u32,
    pub load: fn(Duration) -> f64,
    pub order: Order,
    /// Estimates are off by up to this share, and one in 200 tasks takes 4 times as long.
    pub error: f64,
    pub seed: u64,
}

/// A run of a task.
#[derive(Clone, Copy)]
struct TaskRun {
    job: u64,
    began: Duration,
    estimate: Duration,
}

/// State of a run of the model.
struct State<'a> {
    model: &'a Model,
    draw: Draw,
    control: Control,
    class: ClassKey,
    /// Time since the beginning.
    now: Duration,
    jobs: BTreeMap<u64, ModelJob>,
    /// Runs by the time of their end.
    running: BTreeMap<(Duration, u64), TaskRun>,
    /// Refused callers by the time of their return.
    returning: BTreeMap<(Duration, u64), ModelJob>,
    serial: u64,
    /// Work that has arrived less that of the jobs made of it.
    owed: f64,
    totals: Totals,
}

impl Model {
    /// Runs for `span`, of which the first third does not count for goodput.
    pub fn run(&self, span: Duration) -> Totals {
        let mut state = State {
            model: self,
            draw: Draw(self.seed),
            control: Control::default(),
            class: (Arc::from("fleet"), WorkClass::Short),
            now: Duration::ZERO,
            jobs: BTreeMap::new(),
            running: BTreeMap::new(),
            returning: BTreeMap::new(),
            serial: 0,
            owed: 0.0,
            totals: Totals::default(),
        };
        let mut good = 0.0;
        while state.now < span {
            state.now += TICK;
            let work = state.end_runs();
            good += if state.now > span / 3 { work } else { 0.0 };
            for job in state.arrivals() {
                state.submit(job);
            }
            if state.now.as_millis().is_multiple_of(50) {
                state.place();
            }
        }
        for job in state.jobs.values() {
            state.totals.check_bound(job, state.now);
        }
        state.totals.goodput = good / (f64::from(PROCESSORS) * (span * 2 / 3).as_secs_f64());
        state.totals
    }
}

impl State<'_> {
    /// Ends the runs that are over; returns the work of the jobs that ended in time.
    fn end_runs(&mut self) -> f64 {
        let mut good = 0.0;
        while let Some(entry) = self.running.first_entry()
            && entry.key().0 <= self.now
        {
            let run = entry.remove();
            let occupied = self.now.saturating_sub(run.began).as_secs_f64();
            let work = Some(run.estimate.as_secs_f64());
            self.control.note_end(&self.class, occupied, work, self.now);
            let job = self.jobs.get_mut(&run.job).unwrap();
            job.left -= 1;
            if job.left == 0 && job.step + 1 < job.steps.len() {
                job.step += 1;
                job.waiting = job.steps[job.step].0;
                job.left = job.waiting;
            } else if job.left == 0 {
                let in_time = self.now.saturating_sub(job.first) <= job.objective();
                good += if in_time { job.work() } else { 0.0 };
                self.totals.ended += 1;
                self.totals.check_bound(job, self.now);
                self.jobs.remove(&run.job);
            }
        }
        good
    }

    /// Returns the callers that return and the new ones.
    fn arrivals(&mut self) -> Vec<ModelJob> {
        let mut arrivals = Vec::new();
        while let Some(entry) = self.returning.first_entry()
            && entry.key().0 <= self.now
        {
            arrivals.push(entry.remove());
        }
        self.owed += (self.model.load)(self.now) * f64::from(PROCESSORS) * TICK.as_secs_f64();
        while self.owed > 0.0 {
            self.serial += 1;
            let steps = (0..=self.serial % 3).map(|_| {
                let count = 2 + self.draw.below(8);
                (count, MS * (500 + self.draw.below(500)))
            });
            let job = ModelJob::new(format!("job-{}", self.serial), steps.collect(), self.now);
            self.owed -= job.work();
            arrivals.push(job);
        }
        arrivals
    }

    fn submit(&mut self, mut job: ModelJob) {
        let newcomer = Newcomer {
            id: &job.id,
            service: self.class.0.clone(),
            priority: 0,
            objective: job.objective(),
            chain: job.chain(0),
            parts: vec![JobPart {
                class: self.class.1,
                work: job.work(),
                needs: vec![TASK],
            }],
            exempt: false,
        };
        let running = f64::from(u32::try_from(self.running.len()).unwrap());
        self.serial += 1;
        match self.control.decide(&newcomer, |_| running, self.now) {
            Verdict::Admit { .. } => {
                self.totals.accepted += 1;
                self.control.forget(&job.id);
                self.jobs.insert(self.serial, job);
            }
            Verdict::Refuse(refusal) => {
                let (totals, second) = (&mut self.totals, self.now.as_secs());
                totals.refused += 1;
                *totals.refusals.entry(second).or_insert(0) += 1;
                if job.attempts == 0 {
                    *totals.first_refusals.entry(second).or_insert(0) += 1;
                }
                job.attempts += 1;
                if job.attempts <= RETRIES {
                    let returns = self.now + refusal.retry + 4 * MS;
                    self.returning.insert((returns, self.serial), job);
                }
            }
        }
    }

    /// Returns the waiting jobs in their order, and those that the share of the worthless places.
    fn order(&self) -> (Vec<u64>, Vec<u64>) {
        let short = self.control.is_short(&self.class);
        let waiting = self.jobs.iter().filter(|(_, job)| job.waiting > 0);
        let ranked = waiting.map(|(number, job)| {
            let (late, slack) = job.lateness(self.now);
            let view = View {
                begun: job.begun,
                slack,
                remaining: job.remaining(),
                accepted: *number,
            };
            let (band, key) = if late == 0 && short {
                (self.model.order)(&view)
            } else {
                (0, slack)
            };
            ((late, band, key), *number)
        });
        let mut ranked: Vec<((u8, u8, i64), u64)> = ranked.collect();
        let worthless = ranked.iter().filter(|(rank, _)| rank.0 == 2);
        let worthless: Vec<u64> = worthless.map(|(_, number)| *number).collect();
        let work = worthless.iter().map(|number| self.jobs[number].remaining());
        let work: Vec<f64> = work.collect();
        let chosen = if short {
            self.control.choose_worthless(&self.class, &work, self.now)
        } else {
            Vec::new()
        };
        let promoted: Vec<u64> = chosen.iter().map(|index| worthless[*index]).collect();
        for (rank, number) in &mut ranked {
            if promoted.contains(number) {
                *rank = (0, 0, i64::MIN);
            }
        }
        ranked.sort_unstable();
        let order = ranked.into_iter().map(|(_, number)| number);
        (order.collect(), promoted)
    }

    /// Makes a placement round.
    fn place(&mut self) {
        let (order, promoted) = self.order();
        let processors = (self.model.processors)(self.now);
        let now = self.now;
        self.control.begin_reading();
        for number in order {
            let job = self.jobs.get_mut(&number).unwrap();
            let estimate = job.steps[job.step].1;
            let free = processors.saturating_sub(u32::try_from(self.running.len()).unwrap());
            let placed = job.waiting.min(free);
            for _ in 0..placed {
                let mut factor = 1.0 + self.model.error * (2.0 * self.draw.share() - 1.0);
                if self.draw.share() < 0.005 && self.model.error > 0.0 {
                    factor = 4.0;
                }
                self.serial += 1;
                let run = TaskRun {
                    job: number,
                    began: now,
                    estimate,
                };
                let end = (now + estimate.mul_f64(factor), self.serial);
                self.running.insert(end, run);
                job.begun = true;
            }
            job.waiting -= placed;
            if placed > 0 {
                let work = f64::from(placed) * estimate.as_secs_f64();
                let promoted = promoted.contains(&number);
                self.control.note_placed(&self.class, work, promoted, now);
            }
            if job.waiting > 0 {
                let worthless = job.lateness(now).0 == 2;
                self.control.note_unplaced(&self.class, &TASK, worthless);
            }
        }
        let works = self.jobs.values().map(|job| {
            let standing = match (job.lateness(now).0, job.begun) {
                (0, true) => Standing::Begun,
                (0, false) => Standing::Fresh,
                (1, _) => Standing::Late,
                _ => Standing::Worthless,
            };
            let work = JobWork {
                priority: 0,
                objective: job.objective(),
                standing,
                work: job.remaining(),
            };
            (self.class.clone(), work)
        });
        let works: Vec<(ClassKey, JobWork)> = works.collect();
        self.control.end_reading(&works, now);
    }
}
