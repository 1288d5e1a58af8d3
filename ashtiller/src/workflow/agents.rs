//! Workers as the owner of a log speaks with them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::store::Called;
use crate::workflow::incarnation::Incarnation;

/// Least time limit of an order, a hundred times the way to another zone. By then it was
/// carried out, or its caller was told that it may not have been.
pub const ORDER_TIMEOUT_MIN: Duration = Duration::from_millis(350);
/// Least time for a look to be answered beyond its own wait.
pub const POLL_TIMEOUT_MIN: Duration = Duration::from_millis(600);

/// Which life of which worker a call is meant for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Target {
    /// The worker's life.
    pub incarnation: Incarnation,
    /// Where it listens.
    pub address: SocketAddr,
    /// The caller's fence: a worker ignores callers with a lower one.
    pub fence: u64,
    /// How long its answer may take, beyond what it is asked to wait.
    pub timeout: Duration,
    /// Its availability zone.
    pub zone: Arc<str>,
}

/// A task as workers know it.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TaskName {
    /// Id of the job.
    pub job: Arc<str>,
    /// Which time of a repeated job.
    pub occurrence: u32,
    /// Step.
    pub step: u16,
    /// Number within the step.
    pub index: u16,
}

/// Tells a worker to start a run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Start {
    /// Task.
    pub name: TaskName,
    /// Number of the run.
    pub run: u32,
    /// The job's text for its tasks.
    pub payload: Arc<str>,
    /// End of the worker's lease, in milliseconds of its clock.
    pub until: u64,
    /// Checkpoint to begin from; empty for none.
    pub checkpoint: Arc<str>,
    /// Ticket of the advisor.
    pub ticket: Option<Arc<str>>,
}

/// Something that a worker is told to do.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Order {
    /// Start a run.
    Start(Start),
    /// Stop a run, and never start it from now on.
    Stop(TaskName, u32),
    /// Let a run work at this share, in percent.
    Pace(TaskName, u32, u32),
}

impl Order {
    /// What it is, in one word.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Start(_) => "start",
            Self::Stop(..) => "stop",
            Self::Pace(..) => "pace",
        }
    }
}

/// Why a worker did not do what it was told.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Refusal {
    /// It has heard a higher fence.
    Fenced,
    /// The run ended or was stopped there.
    Old,
    /// The lease named in the order is over on its clock.
    Late,
    /// It lacks the room.
    Room,
    /// The ticket does not hold.
    Ticket,
    /// It does nothing at the moment.
    Busy,
    /// It does not understand the order.
    Invalid,
}

/// What a worker said to an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OrderReply {
    /// Done, at this reading of its clock.
    Done(u64),
    /// Not done.
    Refused(Refusal),
    /// The life that was meant is over.
    OtherIncarnation,
}

/// Asks a worker what runs there, and renews its lease.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Poll {
    /// End of the lease, in milliseconds of the worker's clock.
    pub until: Option<u64>,
    /// Ends up to this number are recorded and may be forgotten.
    pub ends_recorded: u64,
    /// How long the answer may wait for an end.
    pub wait: Duration,
}

/// A run that a worker has.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Active {
    /// Task.
    pub name: TaskName,
    /// Number of the run.
    pub run: u32,
    /// Newest checkpoint; empty for none.
    pub checkpoint: Arc<str>,
    /// How far its work has come, in percent.
    pub percent: u32,
    /// Tail latency in milliseconds for a task that serves, else processors in use.
    pub figure: Option<u64>,
}

/// How a worker says that a run ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EndReason {
    /// Its work is done.
    Done,
    /// It failed.
    Failed,
    /// It was stopped.
    Stopped,
    /// The lease was over.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come.
    Alone,
}

/// A run that ended at a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Finished {
    /// Number of the end in this life of the worker.
    pub number: u64,
    /// Task.
    pub name: TaskName,
    /// Number of the run.
    pub run: u32,
    /// How it ended.
    pub how: EndReason,
    /// Newest checkpoint; empty for none.
    pub checkpoint: Arc<str>,
}

/// What a worker said to a look.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PollReply {
    /// What it has, at this reading of its clock.
    Report {
        /// Its clock in milliseconds.
        clock: u64,
        /// Runs that it has.
        active: Vec<Active>,
        /// Ends that it has not forgotten yet.
        finished: Vec<Finished>,
    },
    /// It has heard a higher fence.
    Fenced,
    /// The life that was meant is over; which one answered, if it says so.
    OtherIncarnation(Option<Incarnation>),
    /// It does nothing at the moment.
    Busy,
}

/// Calls to workers.
pub trait WorkerClient: Send + Sync {
    /// Gives an order. A failure with unknown effect may be carried out seconds later.
    fn order<'a>(&'a self, to: &'a Target, order: &'a Order) -> Called<'a, OrderReply>;

    /// Looks at a worker.
    fn poll<'a>(&'a self, to: &'a Target, look: &'a Poll) -> Called<'a, PollReply>;
}
