//! Relays: other instances that make the owner's calls to workers.
//!
//! The network link and the processor of one instance cannot carry the traffic of a fleet of
//! hundreds of workers. The owner therefore sends calls in batches to one instance in each
//! availability zone ([`client`]), which makes them and returns the results in batches
//! ([`server`]).
//!
//! A relay makes no decisions and keeps no state that must survive. Each call is self-contained: it
//! names the worker's incarnation, the owner's fencing token, and the end of the lease on the
//! worker's own clock. A relay that is slow, partitioned or works for a former owner only delays or
//! loses calls, which the owner's decisions tolerate anyway.

pub mod client;
mod route;
pub mod server;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::failure::{Failure, RemoteEffect};
use crate::workflow::agents::{Order, OrderReply, Poll, PollReply, Target};
use crate::workflow::snapshot;

/// Time for which calls or results are collected into one message: a fifth of the 30 ms for which
/// records are collected into a log entry by default (`Tuning::commit`).
pub const BATCH_DELAY: Duration = Duration::from_millis(6);
/// Timeout of a message between an owner and its relay; the receiver acknowledges it before it
/// makes the calls.
pub const MESSAGE_TIMEOUT: Duration = Duration::from_millis(700);
/// Longest time from the decision on a call until its relay starts it: the call waits for the
/// message in flight, and goes out with the next one.
pub const MAX_QUEUE_DELAY: Duration = MESSAGE_TIMEOUT
    .saturating_mul(2)
    .saturating_add(BATCH_DELAY);

/// A call to a worker.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Call {
    /// Order to start, stop or pace a task.
    Order(Order),
    /// Poll of the tasks that run there.
    Look(Poll),
}

/// A call that a relay is to make.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RelayedCall {
    /// Number of the call in its session.
    pub number: u64,
    /// Worker to call.
    pub to: Target,
    /// Call; starts do not contain the payload of their job.
    pub call: Call,
}

/// A batch of calls from an owner.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CallBatch {
    /// Address to which results are sent.
    pub owner: SocketAddr,
    /// Session of the owner, within which each payload is sent once.
    pub session: u64,
    /// Payloads of jobs by job id, for the starts in this and later batches.
    pub payloads: Vec<(Arc<str>, Arc<str>)>,
    /// Calls to make.
    #[serde(rename = "parcels")]
    pub calls: Vec<RelayedCall>,
}

/// Result of a relayed call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Outcome {
    /// The worker's answer to an order.
    Said(OrderReply),
    /// The worker's answer to a poll.
    Looked(PollReply),
    /// The cause of a failure, and whether the worker may have executed the call.
    Failed(Arc<str>, bool),
    /// The relay lacks the payload of the job; no call was made.
    Unknown,
}

impl Outcome {
    fn from_result<T>(answer: Result<T, Failure>, wrap: impl FnOnce(T) -> Self) -> Self {
        match answer {
            Ok(answer) => wrap(answer),
            Err(failure) => Self::Failed(failure.cause, failure.effect == RemoteEffect::Unknown),
        }
    }
}

/// A batch of results for an owner.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ResultBatch {
    /// Session of the owner.
    pub session: u64,
    /// Results by the numbers of their calls.
    pub results: Vec<(u64, Outcome)>,
}

impl ResultBatch {
    /// Returns the section for what the encoding of the results lacks.
    #[must_use]
    pub fn section(&self) -> ResultSection {
        let has_more = |outcome: &Outcome| {
            matches!(
                outcome,
                Outcome::Looked(PollReply::Report {
                    more_ends: true,
                    ..
                })
            )
        };
        let results = self.results.iter();
        let partial = results.filter(|(_, outcome)| has_more(outcome));
        ResultSection {
            partial: partial.map(|(number, _)| *number).collect(),
        }
    }

    /// Adds what the section after the batch says.
    pub fn apply_section(&mut self, section: &ResultSection) {
        for (number, outcome) in &mut self.results {
            if let Outcome::Looked(PollReply::Report { more_ends, .. }) = outcome {
                *more_ends = section.partial.contains(number);
            }
        }
    }
}

/// Section after the message
/// [`PeerRequest::RelayResults`](crate::workflow::message::PeerRequest::RelayResults).
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ResultSection {
    /// Numbers of the polls whose replies do not list all ends.
    partial: Vec<u64>,
}

impl ResultSection {
    /// Encodes the section; empty if it says nothing.
    ///
    /// # Errors
    /// Fails if the section cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        if self.partial.is_empty() {
            return Ok(Vec::new());
        }
        postcard::to_stdvec(self)
    }

    /// Decodes the section. Older versions send none.
    ///
    /// # Errors
    /// Fails if the section cannot be decoded.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        snapshot::take_section(bytes).map(|(section, _)| section)
    }
}
