//! Messages and calls between the gateways and schedulers of a deployment.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::resources::Resources;
use crate::store::CallFuture;
use crate::template::Class;

/// Role of a process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Accepts requests and routes them to endpoints.
    Gateway,
    /// Owns cells and runs their tasks.
    Scheduler,
}

impl Role {
    /// Parses a role's name.
    #[must_use]
    pub fn parse(name: &str) -> Option<Self> {
        [Self::Gateway, Self::Scheduler]
            .into_iter()
            .find(|role| role.name() == name)
    }

    /// Returns the role's name in settings, keys and messages.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Gateway => "gateway",
            Self::Scheduler => "scheduler",
        }
    }
}

/// A heartbeat between two processes.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Heartbeat {
    /// Name of the sender.
    pub name: Arc<str>,
    /// Role of the sender.
    pub role: Arc<str>,
    /// Newest configuration revision known to the sender.
    pub revision: u64,
    /// Whether the sender is shutting down.
    pub leaving: bool,
    /// Cells that the sender owns.
    pub cells: Vec<Arc<str>>,
}

/// Request of one gateway to borrow endpoint slots from another.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoanRequest {
    /// Service whose endpoints have the slots.
    pub service: Arc<str>,
    /// Gateway that borrows.
    pub borrower: Arc<str>,
    /// Whether `keep` replaces the current loan; otherwise `want` is added to it.
    pub replaces_loan: bool,
    /// Slots of the current loan that the borrower keeps, by endpoint.
    pub keep: Vec<(u64, u32)>,
    /// Number of further slots wanted.
    pub want: u32,
}

/// A job as submitted to its cell, with its account's quota.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Submission {
    /// Client account.
    pub account: Arc<str>,
    /// Name of the job, chosen by the caller; the same name is the same job.
    pub job: Arc<str>,
    /// Name of the job's section in the template.
    pub kind: Arc<str>,
    /// Class of its tasks.
    pub class: Class,
    /// Whether its tasks start before all others.
    pub urgent: bool,
    /// Number of tasks.
    pub tasks: u32,
    /// Resources that one task needs.
    pub needs: Resources,
    /// Declared run time; `None` runs until it is cancelled.
    pub length: Option<Duration>,
    /// Latency target of its tasks, if they serve requests.
    pub target: Option<Duration>,
    /// Failed attempts after which a task is not retried.
    pub attempts: u32,
    /// Quota of the account.
    pub quota: Resources,
    /// Evictions of the account's tasks that are allowed in an hour.
    pub evictions: u32,
}

/// Reply to the submission or cancellation of a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobReply {
    /// Recorded; it will be carried out.
    Accepted,
    /// The same request was already recorded.
    Known,
    /// The name is used by a job with a different body.
    Conflict(Arc<str>),
    /// The job can never run, for this reason.
    Never(Arc<str>),
    /// This process does not own the cell; the request had no effect.
    NotOwner(Arc<str>),
    /// It may or may not have been recorded; the caller retries under the same name.
    Unknown(Arc<str>),
    /// There is no such job.
    Missing,
}

/// A process of the deployment: a remote one, or this one as others call it.
pub trait Peer: Send + Sync {
    /// Exchanges heartbeats.
    fn heartbeat(&self, mine: Heartbeat) -> CallFuture<'_, Heartbeat>;

    /// Borrows slots; returns the slots added to the loan, by endpoint.
    fn lend(&self, request: LoanRequest) -> CallFuture<'_, Vec<(u64, u32)>>;

    /// Submits a job to a cell.
    fn submit(&self, cell: Arc<str>, job: Submission) -> CallFuture<'_, JobReply>;

    /// Cancels a job in a cell.
    fn cancel(&self, cell: Arc<str>, account: Arc<str>, job: Arc<str>) -> CallFuture<'_, JobReply>;

    /// Returns the state of a cell, an account or a job as JSON; empty names select all.
    fn show(&self, cell: Arc<str>, account: Arc<str>, job: Arc<str>) -> CallFuture<'_, String>;
}
