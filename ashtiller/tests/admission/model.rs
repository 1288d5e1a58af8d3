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

/// A deterministic series of numbers from 0 to 1.
pub struct Draw(pub u64);

impl Draw {
    pub fn next(&mut self) -> f64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        f64::from(u32::try_from(self.0 >> 33).unwrap()) / f64::from(1_u32 << 31)
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
        let used = millis(now - self.first) + millis(self.chain(self.step));
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
        let used = (now - job.first).div_duration_f64(bound);
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
}

impl Model {
    /// Runs for `span`, of which the first third does not count.
    pub fn run(&self, span: Duration) -> Totals {
        let mut draw = Draw(7);
        let mut control = Control::default();
        let class: ClassKey = (Arc::from("fleet"), WorkClass::Short);
        let mut jobs: BTreeMap<u64, ModelJob> = BTreeMap::new();
        let mut running: BTreeMap<(Duration, u64), (u64, Duration, Duration)> = BTreeMap::new();
        let mut returning: BTreeMap<(Duration, u64), ModelJob> = BTreeMap::new();
        let (mut totals, mut good, mut serial) = (Totals::default(), 0.0, 0);
        let mut owed = 0.0;
        let mut now = Duration::from_secs(1);
        let (start, begin, end) = (now, now + span / 3, now + span);
        while now < end {
            now += TICK;
            while let Some(((at, _), (number, began, estimate))) = running.pop_first() {
                if at > now {
                    serial += 1;
                    running.insert((at, serial), (number, began, estimate));
                    break;
                }
                let occupied = (now - began).as_secs_f64();
                control.note_end(&class, occupied, Some(estimate.as_secs_f64()), now);
                let job = jobs.get_mut(&number).unwrap();
                job.left -= 1;
                if job.left > 0 {
                    continue;
                }
                if job.step + 1 < job.steps.len() {
                    job.step += 1;
                    job.waiting = job.steps[job.step].0;
                    job.left = job.waiting;
                    continue;
                }
                if now > begin {
                    let in_time = now - job.first <= job.objective();
                    good += if in_time { job.work() } else { 0.0 };
                }
                totals.ended += 1;
                totals.check_bound(job, now);
                jobs.remove(&number);
            }
            let mut arrivals = Vec::new();
            while let Some(entry) = returning.first_entry()
                && entry.key().0 <= now
            {
                arrivals.push(entry.remove());
            }
            owed += (self.load)(now - start) * f64::from(PROCESSORS) * TICK.as_secs_f64();
            while owed > 0.0 {
                serial += 1;
                let mut step = || {
                    let count = 2 + (draw.next() * 8.0) as u32;
                    (count, MS * (500 + (draw.next() * 500.0) as u32))
                };
                let mut steps = vec![step()];
                for _ in 0..serial % 3 {
                    steps.push(step());
                }
                let job = ModelJob::new(format!("job-{serial}"), steps, now);
                owed -= job.work();
                arrivals.push(job);
            }
            for mut job in arrivals {
                let newcomer = Newcomer {
                    id: &job.id.clone(),
                    service: class.0.clone(),
                    priority: 0,
                    objective: job.objective(),
                    chain: job.chain(0),
                    parts: vec![JobPart {
                        class: class.1,
                        work: job.work(),
                        needs: vec![TASK],
                    }],
                    exempt: false,
                };
                serial += 1;
                match control.decide(&newcomer, |_| running.len() as f64, now) {
                    Verdict::Admit { .. } => {
                        totals.accepted += 1;
                        control.forget(&job.id);
                        jobs.insert(serial, job);
                    }
                    Verdict::Refuse(refusal) => {
                        totals.refused += 1;
                        *totals.refusals.entry((now - start).as_secs()).or_insert(0) += 1;
                        if job.attempts == 0 {
                            let second = (now - start).as_secs();
                            *totals.first_refusals.entry(second).or_insert(0) += 1;
                        }
                        job.attempts += 1;
                        if job.attempts <= RETRIES {
                            returning.insert((now + refusal.retry + 4 * MS, serial), job);
                        }
                    }
                }
            }
            if now.as_millis() % 50 == 0 {
                let processors = (self.processors)(now - start);
                self.place(
                    processors,
                    &mut control,
                    &class,
                    &mut jobs,
                    &mut running,
                    &mut serial,
                    &mut draw,
                    now,
                );
            }
        }
        for job in jobs.values() {
            totals.check_bound(job, now);
        }
        totals.goodput = good / (f64::from(PROCESSORS) * (end - begin).as_secs_f64());
        totals
    }

    #[allow(clippy::too_many_arguments)]
    fn place(
        &self,
        processors: u32,
        control: &mut Control,
        class: &ClassKey,
        jobs: &mut BTreeMap<u64, ModelJob>,
        running: &mut BTreeMap<(Duration, u64), (u64, Duration, Duration)>,
        serial: &mut u64,
        draw: &mut Draw,
        now: Duration,
    ) {
        let short = control.is_short(class);
        let waiting = jobs.iter().filter(|(_, job)| job.waiting > 0);
        let mut waiting: Vec<((u8, u8, i64), u64)> = waiting
            .map(|(number, job)| {
                let (late, slack) = job.lateness(now);
                let view = View {
                    begun: job.begun,
                    slack,
                    remaining: job.remaining(),
                    accepted: *number,
                };
                let (band, key) = if late == 0 && short {
                    (self.order)(&view)
                } else {
                    (0, slack)
                };
                ((late, band, key), *number)
            })
            .collect();
        let worthless: Vec<usize> = (0..waiting.len())
            .filter(|it| waiting[*it].0.0 == 2)
            .collect();
        let work: Vec<f64> = worthless
            .iter()
            .map(|it| jobs[&waiting[*it].1].remaining())
            .collect();
        let mut promoted = Vec::new();
        if short {
            for chosen in control.choose_worthless(class, &work, now) {
                let step = &mut waiting[worthless[chosen]];
                step.0 = (0, 0, i64::MIN);
                promoted.push(step.1);
            }
        }
        waiting.sort_unstable();
        control.begin_reading();
        for (_, number) in waiting {
            let job = jobs.get_mut(&number).unwrap();
            let estimate = job.steps[job.step].1;
            let free = processors.saturating_sub(u32::try_from(running.len()).unwrap());
            let placed = job.waiting.min(free);
            for _ in 0..placed {
                let mut factor = 1.0 + self.error * (2.0 * draw.next() - 1.0);
                if draw.next() < 0.005 && self.error > 0.0 {
                    factor = 4.0;
                }
                *serial += 1;
                running.insert(
                    (now + estimate.mul_f64(factor), *serial),
                    (number, now, estimate),
                );
                job.begun = true;
            }
            job.waiting -= placed;
            if placed > 0 {
                let work = f64::from(placed) * estimate.as_secs_f64();
                control.note_placed(class, work, promoted.contains(&number), now);
            }
            if job.waiting > 0 {
                control.note_unplaced(class, &TASK, job.lateness(now).0 == 2);
            }
        }
        let works = jobs.values().map(|job| {
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
            (class.clone(), work)
        });
        control.end_reading(&works.collect::<Vec<_>>(), now);
    }
}
