//! The service that knows which workers may run a step.

use std::sync::Arc;
use std::time::Duration;

use crate::store::Called;
use crate::workflow::incarnation::Incarnation;

/// Rows of a worker's life and the ticket to start the step there.
pub type Tickets = Vec<(Incarnation, Arc<str>)>;

/// Questions to the advisor.
pub trait Advisor: Send + Sync {
    /// Asks which of these workers may run a step of one time of a job; the answer may
    /// take `limit`.
    fn advise<'a>(
        &'a self,
        job: &'a str,
        time: u32,
        step: u16,
        workers: &'a [Incarnation],
        limit: Duration,
    ) -> Called<'a, Tickets>;
}
