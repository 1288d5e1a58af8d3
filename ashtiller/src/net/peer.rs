//! What the project's processes ask of each other.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::resources::Resources;
use crate::store::CallFuture;
use crate::template::Class;

/// The roles of a process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Takes requests and routes them to endpoints.
    Gateway,
    /// Owns cells and runs their tasks.
    Scheduler,
}

impl Role {
    /// Reads a role's name.
    #[must_use]
    pub fn parse(name: &str) -> Option<Self> {
        [Self::Gateway, Self::Scheduler]
            .into_iter()
            .find(|role| role.name() == name)
    }

    /// The role's name in settings, keys and messages.
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
    /// Sender.
    pub name: Arc<str>,
    /// Role of the sender.
    pub role: Arc<str>,
    /// Newest configuration revision known to the sender.
    pub revision: u64,
    /// Whether the sender is stopping.
    pub leaving: bool,
    /// Cells that the sender owns.
    pub cells: Vec<Arc<str>>,
}

/// A gateway asks another for slots.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoanRequest {
    /// Service.
    pub service: Arc<str>,
    /// Gateway that asks.
    pub borrower: Arc<str>,
    /// Whether `keep` replaces the loan; otherwise the loan goes on and grows.
    pub replaces_loan: bool,
    /// Slots that it keeps from earlier, by endpoint.
    pub keep: Vec<(u64, u32)>,
    /// Further slots that it wants.
    pub want: u32,
}

/// A job on its way to its cell, with its account's quota.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Submission {
    /// Client account.
    pub account: Arc<str>,
    /// Name of the job, chosen by the caller; the same name is the same job.
    pub job: Arc<str>,
    /// Job section of the template.
    pub kind: Arc<str>,
    /// Class of its tasks.
    pub class: Class,
    /// Whether its tasks start before all others.
    pub urgent: bool,
    /// Number of tasks.
    pub tasks: u32,
    /// What one task needs.
    pub needs: Resources,
    /// Declared run time; `None` runs until it is cancelled.
    pub length: Option<Duration>,
    /// Latency that its tasks should keep, if they serve requests.
    pub target: Option<Duration>,
    /// Attempts that may fail before a task is given up.
    pub attempts: u32,
    /// Quota of the account.
    pub quota: Resources,
    /// Evictions allowed to the account in an hour.
    pub evictions: u32,
}

/// The answer to a job's submission or cancellation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobReply {
    /// Recorded; it will be carried out.
    Accepted,
    /// The same request was recorded before.
    Known,
    /// The name is taken by a job with another body.
    Conflict(Arc<str>),
    /// It can never run, for this reason.
    Never(Arc<str>),
    /// This process does not own the cell; nothing was done.
    NotOwner(Arc<str>),
    /// It may or may not have been recorded; ask again under the same name.
    Unknown(Arc<str>),
    /// No such job.
    Missing,
}

/// Another process, or the own one as others see it.
pub trait Peer: Send + Sync {
    /// Exchanges heartbeats.
    fn heartbeat(&self, mine: Heartbeat) -> CallFuture<'_, Heartbeat>;

    /// Lends slots; the answer is what was added to the loan.
    fn lend(&self, ask: LoanRequest) -> CallFuture<'_, Vec<(u64, u32)>>;

    /// Submits a job to a cell.
    fn submit(&self, cell: Arc<str>, job: Submission) -> CallFuture<'_, JobReply>;

    /// Cancels a job in a cell.
    fn cancel(&self, cell: Arc<str>, account: Arc<str>, job: Arc<str>) -> CallFuture<'_, JobReply>;

    /// Shows a cell, an account or a job as JSON; empty names show all.
    fn show(&self, cell: Arc<str>, account: Arc<str>, job: Arc<str>) -> CallFuture<'_, String>;
}
