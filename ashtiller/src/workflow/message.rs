//! What entry instances ask of each other.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::workflow::config::Config;
use crate::workflow::fact::{Former, Lead, Outcome};
use crate::workflow::job::Job;
use crate::workflow::relay::{Parcels, Results};

/// One entry instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Name.
    pub name: Arc<str>,
    /// Where its peers reach it.
    pub address: SocketAddr,
    /// Milliseconds since it last reached the store.
    pub store_age: u32,
    /// Milliseconds that the store took to answer then.
    pub store_took: u32,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Processors that it has, in thousandths.
    pub processors: u64,
    /// Its availability zone.
    pub zone: Arc<str>,
}

/// A heartbeat.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Hello {
    /// Sender.
    pub member: Member,
    /// Version of its configuration.
    pub config: u64,
    /// Digest of the members that it knows.
    pub members: u64,
}

/// A question.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Ask {
    /// A follower's heartbeat.
    Hello(Hello),
    /// Who owns the log?
    Lead,
    /// The sender owns the log, or was told who does.
    Leads(Lead),
    /// Take over the log; the sender cannot go on.
    TakeOver(Lead),
    /// Has the owner at this epoch, in the process with this life, ended? The sender has
    /// replaced it.
    HasEnded(Former),
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
    Carry(Box<Parcels>),
    /// What came of calls that the sender was given.
    Carried(Box<Results>),
}

/// An answer to [`Ask::Hello`].
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Welcome {
    /// Whether the answering process owns the log at this epoch; 0 if it does not.
    pub epoch: u64,
    /// Life of the answering process.
    pub life: u64,
    /// Configuration, where the asker's is older.
    pub config: Option<Box<Config>>,
    /// Version of the answering process's configuration.
    pub version: u64,
    /// Members, where the asker's digest differs.
    pub members: Option<Vec<Member>>,
    /// Digest of the members.
    pub digest: u64,
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
    Welcome(Box<Welcome>),
    /// Who owns the log, as far as the process knows.
    Lead(Option<Lead>),
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
