//! Records of the replicated log.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::workflow::blame::LostRun;
use crate::workflow::incarnation::Incarnation;
use crate::workflow::interference::{FactorTable, LearnedFactor};
use crate::workflow::job::{Job, Policy};
use crate::workflow::run_times::recorded::EncodedModels;

/// Id of one task of a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Task {
    /// Number of the job in its log.
    pub job: u32,
    /// Occurrence of a repeated job.
    pub occurrence: u32,
    /// Index of the step.
    pub step: u16,
    /// Index within the step.
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

/// Id of one run of a task; numbers increase from 1 for each task.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Run {
    /// Task that is run.
    pub task: Task,
    /// Number of the run.
    pub number: u32,
}

/// Way in which a run ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum End {
    /// It finished its work.
    Done,
    /// It failed.
    Failed,
    /// It was stopped, or never began.
    Stopped,
    /// Its worker died, lost its lease, or another member of its gang ended.
    Lost,
}

/// Way in which a job ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// All tasks are done.
    Complete,
    /// A task has failed too often, or no worker can run it.
    Failed,
    /// It was cancelled.
    Cancelled,
}

/// Section of a log entry.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Section {
    /// Records that every version knows.
    Required,
    /// Records of starts that may be in flight.
    Starts,
    /// Records that are encoded one by one, so that a version skips those that it does not know.
    Extension,
}

/// One record of the log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum LogRecord {
    /// A job was accepted under the next job number, with its queue's policy and the acceptance
    /// time in milliseconds since the Unix epoch.
    Accepted(Box<Job>, Policy, u64),
    /// A job was cancelled.
    Cancelled(u32),
    /// A run was placed on a worker, to begin from a checkpoint.
    Placed(Run, Incarnation, Arc<str>),
    /// A run ended, with its newest checkpoint.
    Ended(Run, End, Arc<str>),
    /// A job failed.
    Failed(u32),
    /// An ended job was removed.
    Forgotten(u32),
    /// A machine finished its maintenance in a wave.
    Upkept(u64, Arc<str>),
    /// All machines of a wave finished their maintenance.
    WaveOver(u64),
    /// All interference factors that are known; earlier versions record them.
    Learned(Vec<LearnedFactor>),
    /// All owners before this epoch have ended: they grant no leases and send no starts any more.
    Cleared(u64),
    /// A worker crashed while these runs were active.
    Crashed(Incarnation, Vec<LostRun>),
    /// A task is no longer suspected of crashing workers.
    Absolved(Task),
    /// A start of a run got no reply: it may still be carried out by this incarnation or a later one
    /// of the same worker.
    StartUnconfirmed(Run, Incarnation),
    /// The unconfirmed starts of a run can no longer be carried out.
    StartSettled(Run),
    /// A start of a run is about to be sent by the owner at this epoch. It counts as in flight until
    /// a later record of the run.
    StartPending(Run, u64),
    /// The pending start of a run was answered, or the worker lists the run, or the start is recorded
    /// as unconfirmed. Earlier ones remain unconfirmed.
    StartAnswered(Run),
    /// Run times of some kinds of steps were learned.
    RunTimesLearned(EncodedModels),
    /// The instance that took this job from its caller is in this availability zone.
    Origin(u32, Arc<str>),
    /// Demand of short tasks was learned; encoded as by `DemandHistory::export`.
    DemandLearned(Vec<u8>),
    /// The owner at this epoch has known these owners, by epoch, for at least this many milliseconds.
    /// All records before the first of these were written by earlier owners.
    OwnersKnown(u64, Vec<(u64, u64)>),
    /// The owner at this epoch has granted no lease to the workers with these ids so far.
    WorkersSilent(u64, Vec<Arc<str>>),
    /// The owner at this epoch may grant leases to the worker with this id from now on.
    WorkerHeard(u64, Arc<str>),
    /// Interference factors of some images were learned.
    FactorsLearned(FactorTable),
    /// The job with this id, which is not in the log, was cancelled.
    IdCancelled(Arc<str>),
    /// The worker with this id runs on the machine with this name.
    WorkerMachine(Arc<str>, Arc<str>),
    /// The loss of these runs with their worker says nothing about their tasks: it was only out of
    /// reach.
    LossExplained(Incarnation, Vec<Run>),
    /// The loss of these runs with their worker says little about their tasks, as most workers of a
    /// place were lost at the same moment. It counts toward their limits of starts only.
    LossDiscounted(Incarnation, Vec<Run>),
}

impl LogRecord {
    /// Returns the section of a log entry that holds the record. Versions that do not know the
    /// records of a later section can do without them. The records of a section apply after those
    /// of the sections before it.
    #[must_use]
    pub fn section(&self) -> Section {
        match self {
            Self::StartPending(..) | Self::StartAnswered(_) => Section::Starts,
            Self::RunTimesLearned(_)
            | Self::Origin(..)
            | Self::DemandLearned(_)
            | Self::OwnersKnown(..)
            | Self::WorkersSilent(..)
            | Self::WorkerHeard(..)
            | Self::FactorsLearned(_)
            | Self::IdCancelled(_)
            | Self::WorkerMachine(..)
            | Self::LossExplained(..)
            | Self::LossDiscounted(..) => Section::Extension,
            _ => Section::Required,
        }
    }

    /// Reports whether owners of versions that do not know this record can do without it.
    #[must_use]
    pub fn is_optional(&self) -> bool {
        self.section() != Section::Required
    }

    /// Reports whether the record holds only values that can be learned again.
    #[must_use]
    pub fn is_learned(&self) -> bool {
        matches!(
            self,
            Self::Learned(_)
                | Self::RunTimesLearned(_)
                | Self::DemandLearned(_)
                | Self::FactorsLearned(_)
        )
    }

    /// Reports whether the record may wait for the next entry that is written anyway.
    #[must_use]
    pub fn may_wait(&self) -> bool {
        matches!(
            self,
            Self::StartAnswered(_)
                | Self::RunTimesLearned(_)
                | Self::DemandLearned(_)
                | Self::OwnersKnown(..)
                | Self::WorkersSilent(..)
                | Self::FactorsLearned(_)
                | Self::LossExplained(..)
                | Self::LossDiscounted(..)
        )
    }
}

/// An owner that was replaced by another.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PreviousOwner {
    /// Address that its peers used.
    pub address: std::net::SocketAddr,
    /// Random number that identifies the process incarnation.
    pub incarnation: u64,
    /// Epoch of its ownership.
    pub epoch: u64,
}

/// Owner of a log, as stored under the lead key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogOwner {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Address for its peers.
    pub address: std::net::SocketAddr,
    /// Random number that identifies the process incarnation.
    pub incarnation: u64,
    /// Processors of the largest instance that it knew, in thousandths.
    pub largest: u64,
    /// Owner that it replaced; none for the first owner of a log.
    pub former: Option<PreviousOwner>,
    /// Revision of the lead key, which serves as the fencing token against earlier owners; 0 until
    /// it is known.
    #[serde(default)]
    pub epoch: u64,
}

impl LogOwner {
    /// Returns this owner in the form that its successor records.
    #[must_use]
    pub fn as_former(&self) -> PreviousOwner {
        PreviousOwner {
            address: self.address,
            incarnation: self.incarnation,
            epoch: self.epoch,
        }
    }
}
