//! What entry instances ask of each other.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::workflow::config::Config;
use crate::workflow::job::Job;
use crate::workflow::membership::member::{Member, MembershipUpdate, Version};
use crate::workflow::record::{LogOwner, Outcome, PreviousOwner};
use crate::workflow::relay::{CallBatch, ResultBatch};

/// A heartbeat.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Sender.
    pub member: Member,
    /// Version of its configuration.
    pub config: u64,
    /// As of when it knows the members.
    pub members: Version,
}

/// A question.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerRequest {
    /// A follower's heartbeat.
    Heartbeat(Heartbeat),
    /// Who owns the log?
    Lead,
    /// The sender owns the log, or was told who does.
    OwnerIs(LogOwner),
    /// Take over the log; the sender cannot go on.
    TakeOver(LogOwner),
    /// Has the owner at this epoch, in the process with this life, ended? The sender has
    /// replaced it.
    HasEnded(PreviousOwner),
    /// The sender has a newer configuration.
    Config(Box<Config>),
    /// Accept a job.
    Submit(Box<Job>),
    /// What became of a job?
    State(Arc<str>),
    /// Cancel a job.
    Cancel(Arc<str>),
    /// How many jobs of a queue have not begun?
    Pending(Arc<str>),
    /// Make these calls to workers.
    RelayCalls(Box<CallBatch>),
    /// What came of calls that the sender was given.
    RelayResults(Box<ResultBatch>),
}

impl PeerRequest {
    /// What it is for, in metrics.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Heartbeat(_) => "heartbeat",
            Self::Lead | Self::OwnerIs(_) | Self::TakeOver(_) | Self::HasEnded(_) => "ownership",
            Self::Config(_) => "configuration",
            Self::Submit(_) => "submit",
            Self::State(_) => "state",
            Self::Cancel(_) => "cancel",
            Self::Pending(_) => "pending",
            Self::RelayCalls(_) => "relay_calls",
            Self::RelayResults(_) => "relay_results",
        }
    }
}

/// An answer to [`Ask::Hello`].
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct HeartbeatReply {
    /// Whether the answering process owns the log at this epoch; 0 if it does not.
    pub epoch: u64,
    /// Life of the answering process.
    pub incarnation: u64,
    /// Configuration, where the asker's is older.
    pub config: Option<Box<Config>>,
    /// Version of the answering process's configuration.
    pub version: u64,
    /// What the asker does not know of the members.
    pub members: Option<MembershipUpdate>,
    /// As of when it knows them then.
    pub list: Version,
    /// Position of the newest durable entry, where the process owns the log.
    pub position: u64,
}

/// How a job stands.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum State {
    /// No task has begun.
    Queued,
    /// A task has begun.
    Running,
    /// It ended.
    Over(Outcome),
}

/// An answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Reply {
    /// To a heartbeat.
    Welcome(Box<HeartbeatReply>),
    /// Who owns the log, as far as the process knows.
    Lead(Option<LogOwner>),
    /// Taken note of.
    Noted,
    /// Whether the owner has ended and never comes back.
    Ended(bool),
    /// The job is recorded.
    Accepted,
    /// How the job stands.
    State(State),
    /// Jobs that have not begun.
    Pending(u64),
    /// There is no such job or queue.
    Missing,
    /// Not done and never will be; come back after this many milliseconds.
    Refused(u32),
    /// It cannot be done, for this reason.
    Invalid(Arc<str>),
    /// The process does not own the log; nothing was done.
    NotOwner,
    /// It may or may not have been recorded.
    Unknown,
}
