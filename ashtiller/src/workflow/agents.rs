//! Calls of a log owner to workers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::store::CallFuture;
use crate::workflow::incarnation::Incarnation;

/// Shortest timeout of an order: a hundred times the one-way delay to another zone. By then the
/// order was carried out, or its caller was told that it may not have been.
pub const ORDER_TIMEOUT_MIN: Duration = Duration::from_millis(350);
/// Shortest timeout of a poll, in addition to the poll's own wait.
pub const POLL_TIMEOUT_MIN: Duration = Duration::from_millis(600);

/// Worker incarnation that a call is meant for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Target {
    /// Incarnation of the worker.
    pub incarnation: Incarnation,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Fencing token of the caller: a worker ignores callers with a lower one.
    pub fence: u64,
    /// Time that the answer may take, in addition to the wait that the call asks for.
    pub timeout: Duration,
    /// Availability zone of the worker.
    pub zone: Arc<str>,
}

/// Id of a task in calls to workers.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TaskName {
    /// Id of the job.
    pub job: Arc<str>,
    /// Occurrence of a repeated job.
    pub occurrence: u32,
    /// Index of the step.
    pub step: u16,
    /// Index within the step.
    pub index: u16,
}

/// Order to start a run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Start {
    /// Task to run.
    pub name: TaskName,
    /// Number of the run.
    pub run: u32,
    /// Text that the job passes to its tasks.
    pub payload: Arc<str>,
    /// End of the worker's lease, in milliseconds on its clock.
    pub until: u64,
    /// Checkpoint to resume from; empty for none.
    pub checkpoint: Arc<str>,
    /// Ticket of the advisor, for steps that need one.
    pub ticket: Option<Arc<str>>,
}

/// An order to a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Order {
    /// Starts a run.
    Start(Start),
    /// Stops a run, and prevents any later start of it.
    Stop(TaskName, u32),
    /// Sets the pace of a run, in percent.
    Pace(TaskName, u32, u32),
}

impl Order {
    /// Returns the label of the order in metrics.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Start(_) => "start",
            Self::Stop(..) => "stop",
            Self::Pace(..) => "pace",
        }
    }
}

/// Reason for which a worker refused an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Refusal {
    /// The worker knows a higher fencing token.
    Fenced,
    /// The run has ended or was stopped there.
    Old,
    /// The lease named in the order has ended on the worker's clock.
    Late,
    /// The worker lacks the capacity.
    Room,
    /// The ticket is not valid.
    Ticket,
    /// The worker does nothing at the moment.
    Busy,
    /// The worker does not understand the order.
    Invalid,
}

/// Reply of a worker to an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OrderReply {
    /// Carried out, at this reading of the worker's clock.
    Done(u64),
    /// Refused.
    Refused(Refusal),
    /// The target incarnation has ended.
    OtherIncarnation,
}

/// Poll of a worker: asks for its runs and renews its lease.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Poll {
    /// End of the lease, in milliseconds on the worker's clock.
    pub until: Option<u64>,
    /// Number up to which ends are recorded; the worker may forget those.
    pub ends_recorded: u64,
    /// Time for which the worker may delay the answer until a run ends.
    pub wait: Duration,
}

/// An active run, as reported by a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Active {
    /// Task that is run.
    pub name: TaskName,
    /// Number of the run.
    pub run: u32,
    /// Newest checkpoint; empty for none.
    pub checkpoint: Arc<str>,
    /// Progress in percent.
    pub percent: u32,
    /// Tail latency in milliseconds for a latency-sensitive task, else processors in use.
    pub figure: Option<u64>,
}

/// How a run ended, as reported by a worker.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EndReason {
    /// Its work is done.
    Done,
    /// It failed.
    Failed,
    /// It was stopped.
    Stopped,
    /// The lease ended.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not start.
    Alone,
}

/// An ended run, as reported by a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Finished {
    /// Number of the end, unique for the worker's incarnation.
    pub number: u64,
    /// Task that was run.
    pub name: TaskName,
    /// Number of the run.
    pub run: u32,
    /// How it ended.
    pub how: EndReason,
    /// Newest checkpoint; empty for none.
    pub checkpoint: Arc<str>,
}

/// Reply of a worker to a poll.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PollReply {
    /// State of the worker.
    Report {
        /// Reading of its clock in milliseconds.
        clock: u64,
        /// Active runs.
        active: Vec<Active>,
        /// Ends that the worker has not forgotten, from the lowest number on.
        finished: Vec<Finished>,
        /// Whether more ends may follow once these are recorded. A run that is neither active nor
        /// among these ends is then not known to be lost. Relays send it beside the reply.
        #[serde(skip)]
        more_ends: bool,
    },
    /// The worker knows a higher fencing token.
    Fenced,
    /// The target incarnation has ended; names the one that answered, if that is known.
    OtherIncarnation(Option<Incarnation>),
    /// The worker does nothing at the moment.
    Busy,
}

/// Client for calls to workers.
pub trait WorkerClient: Send + Sync {
    /// Sends an order. After a failure with unknown effect it may still be carried out seconds
    /// later.
    fn order<'a>(&'a self, to: &'a Target, order: &'a Order) -> CallFuture<'a, OrderReply>;

    /// Polls a worker.
    fn poll<'a>(&'a self, to: &'a Target, poll: &'a Poll) -> CallFuture<'a, PollReply>;
}
