//! Advisor: the service that decides which workers may run a step.

use std::sync::Arc;
use std::time::Duration;

use crate::store::CallFuture;
use crate::workflow::incarnation::Incarnation;

/// Worker incarnations that may run a step, each with the ticket to start it there.
pub type Tickets = Vec<(Incarnation, Arc<str>)>;

/// Calls to the advisor.
pub trait Advisor: Send + Sync {
    /// Asks which of these workers may run a step of one occurrence of a job; the answer may take
    /// `limit`.
    fn advise<'a>(
        &'a self,
        job: &'a str,
        occurrence: u32,
        step: u16,
        workers: &'a [Incarnation],
        limit: Duration,
    ) -> CallFuture<'a, Tickets>;
}
