//! Jobs: steps of like tasks that depend on each other.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::resources::Resources;

/// Steps of one job.
pub const STEPS_MAX: usize = 64;
/// Tasks of one job, over all of its steps.
pub const TASKS_MAX: u32 = 10_000;
/// Bytes of the text that a job hands to its tasks.
pub const PAYLOAD_MAX: usize = 4_000;

/// What a task does to others on its worker, and they to it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum Sharing {
    /// It keeps to what it asked for.
    #[default]
    Apart,
    /// It answers requests of its own, whose tail latency is to stay below this.
    Serves(Duration),
    /// It takes processors that others leave unused, and may disturb them.
    Fills,
}

/// Some like tasks of a job.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a choice of the client's"
)]
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// What one task needs.
    pub needs: Resources,
    /// The client's rough guess of a task's run time.
    pub estimate: Duration,
    /// Earlier steps that must have ended first.
    pub after: Vec<u16>,
    /// Whether its tasks write checkpoints.
    pub checkpoints: bool,
    /// Whether its tasks run only all together.
    pub gang: bool,
    /// Whether a gang is slow when spread over racks.
    pub one_rack: bool,
    /// Label that a worker must have.
    pub label: Option<Arc<str>>,
    /// Rack that holds the data.
    pub rack: Option<Arc<str>>,
    /// Most tasks of the step on one worker; 0 for no bound.
    pub spread: u32,
    /// Whether copies of a task may run side by side.
    pub speculative: bool,
    /// Whether its tasks run until the job is cancelled.
    pub long_running: bool,
    /// What its tasks run; tasks of one image behave alike.
    pub image: Option<Arc<str>>,
    /// How its tasks share a worker.
    pub sharing: Sharing,
    /// Tasks that may be away at once by this system's doing.
    pub away_max: Option<u32>,
}

impl Step {
    /// Whether its tasks run in what others leave unused.
    #[must_use]
    pub fn fills(&self) -> bool {
        self.sharing == Sharing::Fills
    }

    /// Latency target of a step that serves.
    #[must_use]
    pub fn target(&self) -> Option<Duration> {
        match self.sharing {
            Sharing::Serves(target) => Some(target),
            _ => None,
        }
    }

    /// What a task takes of its worker's room.
    #[must_use]
    pub fn room(&self) -> Resources {
        if self.fills() {
            Resources {
                processors: 0,
                ..self.needs
            }
        } else {
            self.needs
        }
    }
}

/// When a job runs more than once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Schedule {
    /// First time, in milliseconds since the Unix epoch.
    pub first: u64,
    /// Milliseconds between two times.
    pub interval: u64,
    /// Number of times.
    pub times: u32,
}

impl Schedule {
    /// When time `number` is due, in milliseconds since the Unix epoch.
    #[must_use]
    pub fn due(&self, number: u32) -> u64 {
        self.first
            .saturating_add(self.interval.saturating_mul(number.into()))
    }
}

/// A job as a client submits it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Job {
    /// Id chosen by the client; the same id is the same job.
    pub id: Arc<str>,
    /// Queue.
    pub queue: Arc<str>,
    /// Text that its tasks get.
    pub payload: Arc<str>,
    /// Steps.
    pub steps: Vec<Step>,
    /// Times, for a job that is repeated.
    pub schedule: Option<Schedule>,
}

impl Job {
    /// Number of times that it runs.
    #[must_use]
    pub fn times(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.times)
    }

    /// Finds the first fault that makes a job impossible to carry out.
    ///
    /// # Errors
    /// What is wrong with it, in words for the client.
    pub fn check(&self) -> Result<(), &'static str> {
        if self.steps.is_empty() || self.steps.len() > STEPS_MAX {
            return Err("a job has 1 to 64 steps");
        }
        if self.payload.len() > PAYLOAD_MAX {
            return Err("the text for the tasks has over 4,000 bytes");
        }
        if self.steps.iter().any(|step| step.count == 0) {
            return Err("a step has no tasks");
        }
        let tasks = self
            .steps
            .iter()
            .map(|step| u64::from(step.count))
            .sum::<u64>();
        if tasks > u64::from(TASKS_MAX) {
            return Err("a job has at most 10,000 tasks");
        }
        let forward = |(number, step): (usize, &Step)| {
            step.after
                .iter()
                .any(|earlier| usize::from(*earlier) >= number)
        };
        if self.steps.iter().enumerate().any(forward) {
            return Err("a step depends on itself or on a later one");
        }
        Ok(())
    }

    /// Longest chain of estimates from the start of each step to the end of the job.
    #[must_use]
    pub fn chains(&self) -> Vec<Duration> {
        let mut left = vec![Duration::ZERO; self.steps.len()];
        for (number, step) in self.steps.iter().enumerate().rev() {
            left[number] += step.estimate;
            let behind = left[number];
            for earlier in &step.after {
                let chain = &mut left[usize::from(*earlier)];
                // Holds the longest chain behind the step until its own turn comes.
                *chain = (*chain).max(behind);
            }
        }
        left
    }
}

/// How a queue's jobs are treated; taken from the configuration at acceptance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Policy {
    /// Service whose workers run them.
    pub service: Arc<str>,
    /// Priority; 0 comes first.
    pub priority: u32,
    /// Runs of a task that may fail.
    pub attempts: u32,
    /// Factor on the longest chain within which a job is on time.
    pub extension: f64,
    /// Time beyond that within which it is on time.
    pub target: Duration,
    /// Limits on which workers may run a step, known to the advisor only.
    pub advice: Option<Advice>,
}

/// What asking the advisor costs and yields.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Advice {
    /// Time of one call.
    pub decide: Duration,
    /// Further time for each worker named.
    pub each: Duration,
    /// How long a ticket holds.
    pub valid: Duration,
}
