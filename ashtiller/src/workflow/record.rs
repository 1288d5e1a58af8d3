//! What the log records.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::workflow::blame::LostRun;
use crate::workflow::incarnation::Incarnation;
use crate::workflow::interference::LearnedFactor;
use crate::workflow::job::{Job, Policy};

/// One task of a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Task {
    /// Number of the job in its log.
    pub job: u32,
    /// Which time of a repeated job.
    pub occurrence: u32,
    /// Step.
    pub step: u16,
    /// Number within the step.
    pub index: u16,
}

impl fmt::Display for Task {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            occurrence: time,
            step,
            index,
        } = self;
        write!(f, "{job}.{time}.{step}.{index}")
    }
}

/// One run of a task; numbers rise from 1 for each task.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Run {
    /// Task.
    pub task: Task,
    /// Number.
    pub number: u32,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum End {
    /// Its work is done.
    Done,
    /// It failed.
    Failed,
    /// It was stopped, or never began.
    Stopped,
    /// Its worker died, lost its lease, or another member of its gang ended.
    Lost,
}

/// How a job ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// All tasks are done.
    Complete,
    /// A task has failed too often, or no worker can run it.
    Failed,
    /// It was cancelled.
    Cancelled,
}

/// One recorded event.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum LogRecord {
    /// A job was accepted; it gets the next number.
    Accepted(Box<Job>, Policy, u64),
    /// A job was cancelled.
    Cancelled(u32),
    /// A run was given to a worker, to begin from a checkpoint.
    Placed(Run, Incarnation, Arc<str>),
    /// A run ended, with its newest checkpoint.
    Ended(Run, End, Arc<str>),
    /// A job is given up.
    Failed(u32),
    /// An ended job is forgotten.
    Forgotten(u32),
    /// A machine has had its upkeep in a wave.
    Upkept(u64, Arc<str>),
    /// All machines of a wave have had theirs.
    WaveOver(u64),
    /// What was learned about images that disturb each other.
    Learned(Vec<LearnedFactor>),
    /// No owner before this epoch grants leases any more.
    Cleared(u64),
    /// A worker crashed under these runs.
    Crashed(Incarnation, Vec<LostRun>),
    /// A task that was suspected of crashing workers is not any more.
    Absolved(Task),
}

/// An owner that another replaced.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PreviousOwner {
    /// Where its peers reached it.
    pub address: std::net::SocketAddr,
    /// Random number of the process's life.
    pub incarnation: u64,
    /// Its epoch.
    pub epoch: u64,
}

/// The process that owns a log, as its lead key says.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogOwner {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Where its peers reach it.
    pub address: std::net::SocketAddr,
    /// Random number of the process's life.
    pub incarnation: u64,
    /// Processors of the largest instance that it knew, in thousandths.
    pub largest: u64,
    /// The owner that it replaced; none for the first owner of a log.
    pub former: Option<PreviousOwner>,
    /// Revision of the lead key, which fences earlier owners; 0 until it is known.
    #[serde(default)]
    pub epoch: u64,
}

impl LogOwner {
    /// This owner as the one that another replaces.
    #[must_use]
    pub fn as_former(&self) -> PreviousOwner {
        PreviousOwner {
            address: self.address,
            incarnation: self.incarnation,
            epoch: self.epoch,
        }
    }
}
