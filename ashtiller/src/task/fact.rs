//! What a cell's log records.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::peer::Submission;

/// A task of a job of one cell.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TaskId {
    /// Number of the job within the cell.
    pub job: u32,
    /// Number of the task within the job.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.job, self.index)
    }
}

/// One run of a task; attempts count from 1.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Attempt {
    /// Task.
    pub task: TaskId,
    /// Number of the attempt.
    pub number: u32,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum End {
    /// All of its work is done.
    Finished,
    /// It failed by itself.
    Failed,
    /// It was stopped after a checkpoint with this progress in milliseconds.
    Evicted(u64),
    /// It was stopped on command.
    Stopped,
    /// Its worker restarted, or lost its lease for certain.
    Lost,
}

/// One recorded event.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Fact {
    /// A job was accepted; it gets the next number.
    Submitted(Box<Submission>),
    /// A job was cancelled.
    Cancelled(u32),
    /// An attempt was given to a worker in this life of the worker.
    Placed {
        /// Attempt.
        attempt: Attempt,
        /// Worker.
        worker: Arc<str>,
        /// Boot number of the worker.
        boot: u64,
    },
    /// An attempt is to be checkpointed and stopped.
    Evicting(Attempt),
    /// An attempt ended.
    Ended(Attempt, End),
    /// An ended job is forgotten.
    Forgotten(u32),
}

/// What one log entry holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Body {
    /// A new owner begins; times are those that it uses towards workers.
    Seal {
        /// Owner.
        owner: Arc<str>,
        /// Lease in milliseconds.
        lease: u64,
        /// Renewal horizon in milliseconds.
        horizon: u64,
        /// Seconds since the Unix epoch, to know a seal's age.
        at: u64,
    },
    /// Events, in order.
    Facts(Vec<Fact>),
    /// The owner has ended in a planned way and renews no lease any more.
    Handover,
}

/// One log entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Epoch of the writer.
    pub epoch: u64,
    /// Random number of the writer's life, to tell its own entries.
    pub writer: u64,
    /// What happened.
    pub body: Body,
}
