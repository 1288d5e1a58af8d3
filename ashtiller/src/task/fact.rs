//! Entries of a cell's log.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::peer::Submission;

/// Identifier of a task within its cell.
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

/// One attempt to run a task.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Attempt {
    /// Identifier of the task.
    pub task: TaskId,
    /// Attempt number, counted from 1.
    pub number: u32,
}

/// How an attempt ended, as recorded in the log.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum End {
    /// The attempt completed its work.
    Finished,
    /// The attempt failed.
    Failed,
    /// The attempt was stopped after a checkpoint with this progress in milliseconds.
    Evicted(u64),
    /// The attempt was stopped on command.
    Stopped,
    /// The worker restarted, or its lease has certainly expired.
    Lost,
}

/// One event recorded in the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LogRecord {
    /// A job was accepted; it gets the next number.
    Submitted(Box<Submission>),
    /// A job was cancelled.
    Cancelled(u32),
    /// An attempt was placed on a worker that has this boot number.
    Placed {
        /// Attempt that was placed.
        attempt: Attempt,
        /// Name of the worker.
        worker: Arc<str>,
        /// Boot number of the worker.
        boot: u64,
    },
    /// An attempt is to be checkpointed and stopped.
    Evicting(Attempt),
    /// An attempt ended.
    Ended(Attempt, End),
    /// An ended job was removed.
    Forgotten(u32),
}

/// Content of a log entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Body {
    /// A new owner took over, or the owner has handed the cell over. A successor waits for the sum of
    /// lease and horizon before it takes the leases of earlier owners for expired.
    Seal {
        /// Name of the owner.
        owner: Arc<str>,
        /// Length of a lease plus the drift margin, in milliseconds.
        lease: u64,
        /// Renewal horizon in milliseconds. At a handover, the time beyond the lease for which leases
        /// of earlier owners may still be valid.
        horizon: u64,
        /// Seconds since the Unix epoch, from which the age of the seal is computed.
        at: u64,
    },
    /// Events, in order.
    Facts(Vec<LogRecord>),
    /// The owner has handed the cell over and renews no leases. Only earlier versions write this;
    /// a handover is now a seal.
    Handover,
}

/// One log entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Epoch of the writer.
    pub epoch: u64,
    /// Random number of this incarnation of the writer, by which it recognizes its own entries.
    pub writer: u64,
    /// Content of the entry.
    pub body: Body,
}
