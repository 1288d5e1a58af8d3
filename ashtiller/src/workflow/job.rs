//! Jobs: steps of identical tasks with dependencies between the steps.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::resources::Resources;

/// Largest number of steps of one job.
pub const STEPS_MAX: usize = 64;
/// Largest number of tasks of one job, over all steps.
pub const TASKS_MAX: u32 = 10_000;
/// Size limit of a job's payload in bytes.
pub const PAYLOAD_MAX: usize = 4_000;
/// Size limit of the label, rack or image of a step in bytes.
const NAME_MAX: usize = 4_000;
/// Message for a job without steps, or with too many.
pub const STEPS_ERROR: &str = "a job has 1 to 64 steps";
/// Estimated memory of a job beside its steps, tasks and texts, in bytes.
const JOB_BYTES: usize = 512;
/// Estimated memory of the state of one task, in bytes.
const TASK_BYTES: usize = 128;

/// How a task shares the processors of its worker.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum Sharing {
    /// Uses only the resources that it requested.
    #[default]
    Apart,
    /// Latency-sensitive: serves requests of its own, whose tail latency is to stay below this.
    Serves(Duration),
    /// Best-effort: uses processors that others leave idle, and may disturb them.
    Fills,
}

/// A group of identical tasks of a job.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a choice of the client's"
)]
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Resources that one task requests.
    pub needs: Resources,
    /// Rough run time of a task, as estimated by the client.
    pub estimate: Duration,
    /// Earlier steps that must be done first.
    pub depends_on: Vec<u16>,
    /// Whether its tasks write checkpoints.
    pub checkpoints: bool,
    /// Whether its tasks only run all together.
    pub gang: bool,
    /// Whether a gang is slow when its tasks are on several racks.
    pub one_rack: bool,
    /// Label that a worker must have.
    pub label: Option<Arc<str>>,
    /// Rack that holds the data.
    pub rack: Option<Arc<str>>,
    /// Largest number of tasks of the step on one worker; 0 for no bound.
    pub spread: u32,
    /// Whether speculative copies of a task may run.
    pub speculative: bool,
    /// Whether its tasks run until the job is cancelled.
    pub long_running: bool,
    /// Image that its tasks run; tasks of one image behave alike.
    pub image: Option<Arc<str>>,
    /// How its tasks share a worker.
    pub sharing: Sharing,
    /// Largest number of tasks that this system may make unavailable at once.
    pub away_max: Option<u32>,
}

impl Step {
    /// Returns its label, rack and image, as far as they are set.
    fn names(&self) -> impl Iterator<Item = &Arc<str>> {
        [&self.label, &self.rack, &self.image].into_iter().flatten()
    }

    /// Returns an estimate of its memory in bytes.
    fn memory(&self) -> usize {
        let names: usize = self.names().map(|name| name.len()).sum();
        size_of::<Self>() + names + self.depends_on.len() * size_of::<u16>()
    }

    /// Reports whether its tasks are best-effort.
    #[must_use]
    pub fn fills(&self) -> bool {
        self.sharing == Sharing::Fills
    }

    /// Returns the latency target of a latency-sensitive step.
    #[must_use]
    pub fn target(&self) -> Option<Duration> {
        match self.sharing {
            Sharing::Serves(target) => Some(target),
            _ => None,
        }
    }

    /// Returns the resources that a task reserves on its worker. A best-effort task reserves no
    /// processors.
    #[must_use]
    pub fn reserved(&self) -> Resources {
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

/// Schedule of a repeated job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Schedule {
    /// Time of the first occurrence, in milliseconds since the Unix epoch.
    pub first: u64,
    /// Milliseconds between two occurrences.
    pub interval: u64,
    /// Number of occurrences.
    pub times: u32,
}

impl Schedule {
    /// Returns the time at which occurrence `number` is due, in milliseconds since the Unix epoch.
    #[must_use]
    pub fn due(&self, number: u32) -> u64 {
        self.first
            .saturating_add(self.interval.saturating_mul(number.into()))
    }
}

/// A job as submitted by a client.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Job {
    /// Id chosen by the client; submissions with the same id are the same job.
    pub id: Arc<str>,
    /// Name of the queue.
    pub queue: Arc<str>,
    /// Text that is passed to its tasks.
    pub payload: Arc<str>,
    /// Steps in topological order: a step depends only on earlier ones.
    pub steps: Vec<Step>,
    /// Schedule of a repeated job.
    pub schedule: Option<Schedule>,
}

impl Job {
    /// Returns the number of occurrences.
    #[must_use]
    pub fn times(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.times)
    }

    /// Returns an estimate of the memory that the submission takes, in bytes.
    #[must_use]
    pub fn submitted_bytes(&self) -> usize {
        let steps: usize = self.steps.iter().map(Step::memory).sum();
        JOB_BYTES + self.payload.len() + steps
    }

    /// Returns an estimate of the memory that the job takes with one occurrence until it has ended, in
    /// bytes.
    #[must_use]
    pub fn open_bytes(&self) -> usize {
        self.submitted_bytes()
            .saturating_add(self.occurrence_bytes())
    }

    /// Returns an estimate of the memory of the state of one occurrence, in bytes.
    #[must_use]
    pub fn occurrence_bytes(&self) -> usize {
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        let tasks = usize::try_from(tasks).unwrap_or(usize::MAX);
        tasks.saturating_mul(TASK_BYTES)
    }

    /// Validates the job.
    ///
    /// # Errors
    /// Describes the first defect that makes the job impossible to run, in words for the client.
    pub fn check(&self) -> Result<(), &'static str> {
        if self.steps.is_empty() || self.steps.len() > STEPS_MAX {
            return Err(STEPS_ERROR);
        }
        if self.payload.len() > PAYLOAD_MAX {
            return Err("the text for the tasks has over 4,000 bytes");
        }
        if self
            .steps
            .iter()
            .any(|step| step.names().any(|name| name.len() > NAME_MAX))
        {
            return Err("a label, rack or image has over 4,000 bytes");
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
            step.depends_on
                .iter()
                .any(|earlier| usize::from(*earlier) >= number)
        };
        if self.steps.iter().enumerate().any(forward) {
            return Err("a step depends on itself or on a later one");
        }
        Ok(())
    }

    /// Returns, for each step, the longest chain of estimated run times from its start to the end
    /// of the job.
    #[must_use]
    pub fn chains(&self) -> Vec<Duration> {
        let estimates: Vec<Duration> = self.steps.iter().map(|step| step.estimate).collect();
        self.chains_of(&estimates)
    }

    /// Returns, for each step, the longest chain of the given run times of the steps from its start
    /// to the end of the job.
    #[must_use]
    pub fn chains_of(&self, run_times: &[Duration]) -> Vec<Duration> {
        let mut left = vec![Duration::ZERO; self.steps.len()];
        for (number, step) in self.steps.iter().enumerate().rev() {
            left[number] += run_times[number];
            let remaining = left[number];
            for earlier in &step.depends_on {
                let chain = &mut left[usize::from(*earlier)];
                // Holds the longest chain after the step until the loop reaches it.
                *chain = (*chain).max(remaining);
            }
        }
        left
    }
}

/// How jobs of a queue are treated; taken from the configuration when a job is accepted.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Policy {
    /// Service whose workers run the jobs.
    pub service: Arc<str>,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs of a task after which the job fails.
    pub attempts: u32,
    /// Factor on the longest chain of estimates within which a job is on time.
    pub extension: f64,
    /// Additional time within which a job is on time.
    pub target: Duration,
    /// Cost of asking the advisor, for queues whose steps may run only on workers that it names.
    pub advice: Option<Advice>,
}

/// Cost of a call to the advisor, and the validity of its tickets.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Advice {
    /// Time of one call.
    pub decide: Duration,
    /// Additional time for each worker that is named.
    pub each: Duration,
    /// Time for which a ticket is valid.
    pub valid: Duration,
}

impl Advice {
    /// Returns the time of a call that names this many workers.
    #[must_use]
    pub fn answer_time(&self, named: u32) -> Duration {
        self.decide.saturating_add(self.each.saturating_mul(named))
    }
}
