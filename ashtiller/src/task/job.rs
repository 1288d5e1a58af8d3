//! Jobs and tasks of a cell.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::interference_model::Kind;
use crate::peer::Submission;

/// Phase of a task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Phase {
    /// The task waits for a worker.
    Queued,
    /// An attempt was placed on a worker.
    Placed(Placement),
    /// The attempt is to be checkpointed and stopped.
    Evicting(Placement),
    /// The attempt is to be stopped, because the job was cancelled.
    Stopping(Placement),
    /// The task completed its work.
    Finished,
    /// The task reached its failure limit.
    GivenUp,
    /// The task was cancelled and no longer runs.
    Cancelled,
}

/// Worker and log position of a placed attempt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Placement {
    /// Name of the worker.
    pub worker: Arc<str>,
    /// Boot number of the worker.
    pub boot: u64,
    /// Position of the newest log entry about the attempt; commands are sent once it is durable.
    pub position: u64,
}

impl Phase {
    /// Returns the placement of an attempt that may be running.
    #[must_use]
    pub fn placement(&self) -> Option<&Placement> {
        match self {
            Self::Placed(place) | Self::Evicting(place) | Self::Stopping(place) => Some(place),
            _ => None,
        }
    }

    /// Returns whether the task has ended for good.
    #[must_use]
    pub fn is_over(&self) -> bool {
        matches!(self, Self::Finished | Self::GivenUp | Self::Cancelled)
    }

    /// Returns the name of the phase that operators see.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Queued => "queued",
            Self::Placed(_) => "placed",
            Self::Evicting(_) => "evicting",
            Self::Stopping(_) => "stopping",
            Self::Finished => "finished",
            Self::GivenUp => "given-up",
            Self::Cancelled => "cancelled",
        }
    }
}

/// State of one task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Task {
    /// Current phase.
    pub phase: Phase,
    /// Number of attempts so far.
    pub attempt: u32,
    /// Progress of the last checkpoint in milliseconds.
    pub progress: u64,
    /// Number of failed attempts.
    pub failures: u32,
    /// Workers on which an attempt failed.
    pub failed_on: Vec<Arc<str>>,
    /// Earliest time of the next attempt on the owner's clock; it is not stored, so a new owner
    /// retries immediately.
    #[serde(skip)]
    pub retry_at: Duration,
}

impl Task {
    /// Creates a task that has not run yet.
    #[must_use]
    pub fn new() -> Self {
        Self {
            phase: Phase::Queued,
            attempt: 0,
            progress: 0,
            failures: 0,
            failed_on: Vec::new(),
            retry_at: Duration::ZERO,
        }
    }
}

impl Default for Task {
    fn default() -> Self {
        Self::new()
    }
}

/// State of one job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Job {
    /// Submission that created the job.
    pub submission: Submission,
    /// Tasks of the job.
    pub tasks: Vec<Task>,
    /// Whether the job was cancelled.
    pub cancelled: bool,
    /// Number of tasks that have ended for good.
    pub over: u32,
    /// Time at which the job ended, on the owner's clock; it is not stored.
    #[serde(skip)]
    pub ended_at: Option<Duration>,
    /// Number of the job's kind of work, which each owner assigns anew.
    #[serde(skip)]
    pub kind_id: Kind,
}

impl Job {
    /// Creates a job whose tasks are all queued.
    #[must_use]
    pub fn new(submission: Submission) -> Self {
        let tasks = (0..submission.tasks).map(|_| Task::new()).collect();
        Self {
            submission,
            tasks,
            cancelled: false,
            over: 0,
            ended_at: None,
            kind_id: 0,
        }
    }

    /// Returns whether every task has ended for good.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.over as usize == self.tasks.len()
    }
}
