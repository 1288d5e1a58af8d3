//! Bursts of submissions to one queue, drawn from a seed, and the faults that accompany them.
//! They have a random generator of their own, so that seeds without them play as before.

use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use ashtiller::resources::Resources;
use hyper::StatusCode;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use serde_json::Value;
use tokio::time;

use crate::proxy::Path;
use crate::refusals;
use crate::standin::job::{wire_job, wire_step};
use crate::standin::store::Mode;
use crate::world::World;

/// Prefix of the queue whose traffic comes in bursts.
pub(crate) const QUEUE: &str = "/burst/";
/// Mixed into the seed so that these draws are independent of those of the other faults.
const SALT: u64 = 0x6275_7273;
/// Time of the first burst: by then the entries have elected an owner and jobs run.
const FIRST: Duration = Duration::from_millis(1500);
/// Largest number of times that a caller repeats a submission. Some callers give up earlier, so that
/// jobs are refused for good.
const REPEATS_MAX: usize = 4;
/// First numbers of the jobs of bursts and of the long-running jobs in their ids.
const BURST_NUMBERS: u32 = 0x8000_0000;
const LONG_RUNNING_NUMBERS: u32 = 0xc000_0000;
/// Tasks of a long-running job. Two of its tasks fit beside a task of [`Shape::Large`].
const LONG_RUNNING_TASKS: u16 = 2;
/// Run time of long-running tasks: they run until their job is cancelled.
const ENDLESS: Duration = Duration::from_hours(1);

/// Tasks of the jobs of a burst.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shape {
    /// Tasks of one processor, which fill all workers.
    Small,
    /// Tasks of more than half a worker, which leave room for long-running tasks.
    Large,
    /// Best-effort tasks.
    Fills,
}

/// What happens during a burst.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Companion {
    /// Nothing else.
    Calm,
    /// The store changes its behavior.
    Store(Mode),
    /// The owner of the log is killed.
    OwnerKilled,
    /// The owner of the log is told to stop.
    OwnerStopped,
    /// The owner of the log is suspended.
    OwnerSuspended,
    /// Answers of one entry to clients are withheld.
    AnswersLost(usize),
    /// The open connections of clients are silenced.
    ClientsSilenced,
}

/// A burst of submissions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Burst {
    /// Begin, counted from the begin of the faults.
    pub from: Duration,
    /// End.
    pub until: Duration,
    /// Jobs submitted for each one of the usual traffic.
    pub factor: u32,
    /// Tasks of its jobs.
    pub shape: Shape,
    /// What accompanies it.
    pub companion: Companion,
    /// When that begins; it ends with the burst.
    pub strikes: Duration,
}

/// Draws the bursts of a seed, in order.
#[must_use]
pub fn draw(seed: u64, span: Duration, entries: usize) -> Vec<Burst> {
    let mut rng = Pcg64::seed_from_u64(seed ^ SALT);
    let mut bursts = Vec::new();
    let mut from = FIRST;
    while from < span {
        let until = from + Duration::from_millis(rng.random_range(2500..4000));
        let shape = match rng.random_range(0..5) {
            0..2 => Shape::Small,
            2..4 => Shape::Large,
            _ => Shape::Fills,
        };
        // Large tasks run one at a time on a worker.
        let factor = match shape {
            Shape::Large => rng.random_range(3..6),
            _ => rng.random_range(5..9),
        };
        let companion = match rng.random_range(0..12) {
            0..3 => Companion::Calm,
            3 => Companion::Store(Mode::Unresponsive),
            4 => Companion::Store(Mode::Unavailable),
            5 => Companion::Store(Mode::LosesAnswers),
            6 | 7 => Companion::OwnerKilled,
            8 => Companion::OwnerStopped,
            9 => Companion::OwnerSuspended,
            10 => Companion::AnswersLost(rng.random_range(0..entries)),
            _ => Companion::ClientsSilenced,
        };
        bursts.push(Burst {
            from,
            until,
            factor,
            shape,
            companion,
            strikes: from + Duration::from_millis(rng.random_range(0..1500)),
        });
        from = until + Duration::from_millis(rng.random_range(1000..4000));
    }
    bursts
}

/// Bursts of a seed and how far they have been played.
pub struct Bursts {
    rng: Pcg64,
    left: Vec<Burst>,
    struck: bool,
    begun: bool,
    bursty_jobs: u32,
    long_running_jobs: u32,
}

impl Bursts {
    /// Draws the bursts of a seed.
    #[must_use]
    pub fn new(seed: u64, span: Duration, entries: usize) -> Self {
        let mut left = draw(seed, span, entries);
        left.reverse();
        Self {
            rng: Pcg64::seed_from_u64(seed.rotate_left(32) ^ SALT),
            left,
            struck: false,
            begun: false,
            bursty_jobs: 0,
            long_running_jobs: 0,
        }
    }
}

impl World {
    /// Plays what is due of the bursts at a step of the faults. Returns the number of faults.
    pub fn play_bursts(&mut self, at: Duration) -> anyhow::Result<usize> {
        let Some(mut bursts) = self.bursts.take() else {
            return Ok(0);
        };
        let mut faults = 0;
        if bursts.long_running_jobs == 0 && at >= FIRST / 2 {
            self.submit_long_running(&mut bursts);
        }
        if let Some(burst) = bursts.left.last().copied() {
            if at >= burst.from && !std::mem::replace(&mut bursts.begun, true) {
                self.note(&format!("{burst:?}"));
                self.submit_long_running(&mut bursts);
            }
            if at >= burst.strikes && !std::mem::replace(&mut bursts.struck, true) {
                self.begin_companion(burst.companion)?;
                faults += usize::from(burst.companion != Companion::Calm);
            }
            if at >= burst.until {
                self.end_companion(burst.companion)?;
                bursts.left.pop();
                (bursts.begun, bursts.struck) = (false, false);
            } else if at >= burst.from {
                for _ in 0..burst.factor {
                    self.submit_bursty(&mut bursts, burst.shape);
                }
            }
        }
        self.bursts = Some(bursts);
        Ok(faults)
    }

    fn submit_bursty(&mut self, bursts: &mut Bursts, shape: Shape) {
        let (count, millis, cpu) = match shape {
            Shape::Small | Shape::Fills => (12..24, 100..300, 1000),
            Shape::Large => (6..10, 60..120, 5000),
        };
        let (count, millis) = (
            bursts.rng.random_range::<u32, _>(count),
            bursts.rng.random_range::<u64, _>(millis),
        );
        let mut step = wire_step(count, millis, &[]);
        step["cpu"] = cpu.into();
        step["fills"] = (shape == Shape::Fills).into();
        // A best-effort task reserves no processors.
        let processors = if shape == Shape::Fills { 0 } else { cpu };
        let number = BURST_NUMBERS + bursts.bursty_jobs;
        bursts.bursty_jobs += 1;
        let first = bursts.rng.random_range(0..self.sites.len());
        let run_time = Duration::from_millis(millis);
        let repeats = bursts.rng.random_range(0..=REPEATS_MAX);
        let attempts = first..=first + repeats;
        self.call(QUEUE, number, &step, (processors, run_time), attempts);
    }

    fn submit_long_running(&mut self, bursts: &mut Bursts) {
        let mut step = wire_step(LONG_RUNNING_TASKS.into(), 1000, &[]);
        step["long_running"] = true.into();
        let number = LONG_RUNNING_NUMBERS + bursts.long_running_jobs;
        bursts.long_running_jobs += 1;
        let first = bursts.rng.random_range(0..self.sites.len());
        let attempts = first..=first + REPEATS_MAX;
        let id = self.call("/q/", number, &step, (1000, ENDLESS), attempts);
        let mut seen = self.checks.seen.lock();
        seen.long_running
            .insert(id, (LONG_RUNNING_TASKS, needs(1000)));
    }

    /// Submits a job of one step as the platform's clients do, at the entries in turn.
    fn call(
        &self,
        queue: &'static str,
        number: u32,
        step: &Value,
        (processors, run_time): (u64, Duration),
        attempts: RangeInclusive<usize>,
    ) -> Arc<str> {
        let id: Arc<str> = format!("{:08x}{number:08x}", self.plan.seed).into();
        let profile = (needs(processors), run_time);
        self.profiles.lock().insert((id.clone(), 0), profile);
        let body = wire_job(std::slice::from_ref(step));
        let addresses = self.client_addresses();
        let (checks, name) = (self.checks.clone(), id.clone());
        tokio::spawn(async move {
            for attempt in attempts {
                let entry = attempt % addresses.len();
                let to = (entry, addresses[entry]);
                match checks.submit(to, queue, &name, body.clone()).await {
                    (Some(StatusCode::OK), _) => return,
                    (Some(status), delay) if refusals::is_refusal(status) => {
                        time::sleep(delay).await;
                    }
                    _ => {}
                }
            }
        });
        id
    }

    fn begin_companion(&mut self, companion: Companion) -> anyhow::Result<()> {
        let (now, owner) = (self.now(), self.checks.find_owner());
        let owner = owner.map_or(0, |(_, owner)| owner);
        self.note(&format!("{companion:?}, owner {owner}"));
        match companion {
            Companion::Calm => {}
            Companion::Store(mode) => {
                self.checks.health.lock().change_store(now, true);
                self.checks.store.set_mode(mode);
            }
            Companion::OwnerKilled => self.kill(owner)?,
            Companion::OwnerStopped => self.stop(owner)?,
            Companion::OwnerSuspended => self.suspend(owner)?,
            Companion::AnswersLost(entry) => {
                self.sites[entry].clients.set_path(Path::OneWay);
            }
            Companion::ClientsSilenced => {
                for site in &self.sites {
                    site.clients.silence();
                }
            }
        }
        Ok(())
    }

    fn end_companion(&mut self, companion: Companion) -> anyhow::Result<()> {
        match companion {
            Companion::Store(_) => self.heal_store(),
            Companion::OwnerSuspended => self.thaw()?,
            Companion::AnswersLost(entry) => self.sites[entry].clients.set_path(Path::Open),
            _ => {}
        }
        Ok(())
    }
}

fn needs(processors: u64) -> Resources {
    Resources {
        processors,
        memory: 1 << 30,
        accelerators: 0,
    }
}
