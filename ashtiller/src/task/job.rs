//! Jobs and tasks of a cell.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::interference_model::Kind;
use crate::peer::Submission;

/// Where a task stands.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Phase {
    /// It waits for a worker.
    Queued,
    /// An attempt was given to a worker.
    Placed(Placement),
    /// The attempt is to be checkpointed and stopped.
    Evicting(Placement),
    /// The attempt is to be stopped, because the job was cancelled.
    Stopping(Placement),
    /// Its work is done.
    Finished,
    /// It failed too often.
    GivenUp,
    /// It was cancelled and does not run any more.
    Cancelled,
}

/// Where an attempt was placed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Placement {
    /// Worker.
    pub worker: Arc<str>,
    /// Boot number of the worker.
    pub boot: u64,
    /// Position of the newest log entry about it; it is acted on once that is durable.
    pub position: u64,
}

impl Phase {
    /// The place of an attempt that may run.
    #[must_use]
    pub fn placement(&self) -> Option<&Placement> {
        match self {
            Self::Placed(place) | Self::Evicting(place) | Self::Stopping(place) => Some(place),
            _ => None,
        }
    }

    /// Whether the task has ended for good.
    #[must_use]
    pub fn is_over(&self) -> bool {
        matches!(self, Self::Finished | Self::GivenUp | Self::Cancelled)
    }

    /// The phase in one word, for operators.
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

/// One task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Task {
    /// Where it stands.
    pub phase: Phase,
    /// Attempts so far.
    pub attempt: u32,
    /// Progress of the last checkpoint in milliseconds.
    pub progress: u64,
    /// Attempts that failed.
    pub failures: u32,
    /// Workers on which it failed.
    pub failed_on: Vec<Arc<str>>,
    /// Not before this time on the owner's clock; begins anew with each owner.
    #[serde(skip)]
    pub retry_at: Duration,
}

impl Task {
    /// A task that never ran.
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

/// One job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Job {
    /// What was submitted.
    pub submission: Submission,
    /// Its tasks.
    pub tasks: Vec<Task>,
    /// Whether it was cancelled.
    pub cancelled: bool,
    /// Tasks that have ended for good.
    pub over: u32,
    /// When it ended, on the owner's clock.
    #[serde(skip)]
    pub ended_at: Option<Duration>,
    /// Number of its kind of work in this owner.
    #[serde(skip)]
    pub kind_id: Kind,
}

impl Job {
    /// A job whose tasks all wait.
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

    /// Whether every task has ended for good.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.over as usize == self.tasks.len()
    }
}
