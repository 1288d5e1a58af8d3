//! Requests and replies between entry instances.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::workflow::config::Config;
use crate::workflow::job::Job;
use crate::workflow::membership::member::{Member, MembershipUpdate, Version};
use crate::workflow::record::{LogOwner, Outcome, PreviousOwner};
use crate::workflow::relay::{CallBatch, ResultBatch};

/// A heartbeat of a follower.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Sender.
    pub member: Member,
    /// Version of the sender's configuration.
    pub config: u64,
    /// Version of the sender's membership list.
    pub members: Version,
}

/// A request to another entry instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerRequest {
    /// Heartbeat of a follower.
    Heartbeat(Heartbeat),
    /// Asks which process owns the log.
    Lead,
    /// Tells the owner of the log: the sender, or the one that it knows.
    OwnerIs(LogOwner),
    /// Asks the receiver to take over the log, because the sender cannot continue.
    TakeOver(LogOwner),
    /// Asks the process of this incarnation whether its ownership at this epoch has ended. The
    /// sender has replaced it.
    HasEnded(PreviousOwner),
    /// Sends a newer configuration.
    Config(Box<Config>),
    /// Submits a job.
    Submit(Box<Job>),
    /// Asks for the state of a job.
    State(Arc<str>),
    /// Cancels a job.
    Cancel(Arc<str>),
    /// Asks how many jobs of a queue have not begun.
    Pending(Arc<str>),
    /// Asks the receiver to relay these calls to workers.
    RelayCalls(Box<CallBatch>),
    /// Returns the results of relayed calls.
    RelayResults(Box<ResultBatch>),
}

impl PeerRequest {
    /// Returns the label of the request in metrics.
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

/// Reply to [`PeerRequest::Heartbeat`].
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct HeartbeatReply {
    /// Epoch at which the replying process owns the log; 0 if it does not.
    pub epoch: u64,
    /// Incarnation of the replying process.
    pub incarnation: u64,
    /// Configuration, if the sender's is older.
    pub config: Option<Box<Config>>,
    /// Version of the replying process's configuration.
    pub version: u64,
    /// Changes of the membership that the sender lacks.
    pub members: Option<MembershipUpdate>,
    /// Version of the membership list that the sender has with these changes.
    pub list: Version,
    /// Position of the newest durable log entry, if the process owns the log.
    pub position: u64,
}

/// State of a job, as told to clients.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum State {
    /// No task has begun.
    Queued,
    /// A task has begun.
    Running,
    /// The job has ended.
    Over(Outcome),
}

/// Reply to a request of another instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Reply {
    /// Reply to a heartbeat.
    Welcome(Box<HeartbeatReply>),
    /// Owner of the log, as far as the process knows.
    Lead(Option<LogOwner>),
    /// Acknowledgement without content.
    Noted,
    /// Whether the ownership has ended for good.
    Ended(bool),
    /// The job is recorded.
    Accepted,
    /// State of the job.
    State(State),
    /// Number of jobs that have not begun.
    Pending(u64),
    /// There is no such job or queue.
    Missing,
    /// Not done, and never will be; retry after this many milliseconds.
    Refused(u32),
    /// The request is invalid for this reason.
    Invalid(Arc<str>),
    /// The process does not own the log; nothing was done.
    NotOwner,
    /// The request may or may not have been recorded.
    Unknown,
}
