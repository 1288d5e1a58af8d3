//! Other instances carry the owner's conversation with workers.
//!
//! One instance's link and processor do not bear what a fleet of hundreds of workers says and
//! is told. So the owner gives calls to one instance in each availability zone ([`sender`]),
//! which makes them and gives back what came of them ([`carrier`]), many in one message.
//!
//! A relay decides nothing and keeps nothing that matters. Each call is whole: it names the
//! worker's life, the owner's fence, and the end of the lease on the worker's own clock. A
//! relay that is slow, cut off or under a former owner is a way on which calls are late or
//! lost, which the owner's decisions bear anyway.

pub mod client;
mod route;
pub mod server;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::failure::{Failure, RemoteEffect};
use crate::workflow::agents::{Order, OrderReply, Poll, PollReply, Target};

/// For how long calls and results are gathered, so that one message carries many: a tenth
/// of the time for which facts are gathered into an entry, twice over.
pub const BATCH_DELAY: Duration = Duration::from_millis(6);
/// Time limit of a message between an owner and its relay, which only takes note of it.
pub const MESSAGE_LIMIT: Duration = Duration::from_millis(700);
/// Longest time from a call's decision until its relay begins to make it: it waits for the
/// message under way, and goes with the next one.
pub const MAX_QUEUE_DELAY: Duration = MESSAGE_LIMIT.saturating_mul(2).saturating_add(BATCH_DELAY);

/// A call to a worker.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Call {
    /// Give it an order.
    Order(Order),
    /// Look at it.
    Look(Poll),
}

/// A call that a relay is to make.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RelayedCall {
    /// Number of the call in its session.
    pub number: u64,
    /// Worker.
    pub to: Target,
    /// Call; starts lack the payload of their job.
    pub call: Call,
}

/// Calls from an owner.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CallBatch {
    /// Where results go.
    pub owner: SocketAddr,
    /// Number of the session, within which payloads are sent once.
    pub session: u64,
    /// Payloads of jobs by their ids, for the starts from here on.
    pub payloads: Vec<(Arc<str>, Arc<str>)>,
    /// Calls.
    #[serde(rename = "parcels")]
    pub calls: Vec<RelayedCall>,
}

/// What came of a call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Outcome {
    /// The worker's answer to an order.
    Said(OrderReply),
    /// The worker's answer to a look.
    Looked(PollReply),
    /// It failed for this cause; whether the worker may have done it.
    Failed(Arc<str>, bool),
    /// The relay lacks the payload of the job; nothing was done.
    Unknown,
}

impl Outcome {
    fn of<T>(answer: Result<T, Failure>, wrap: impl FnOnce(T) -> Self) -> Self {
        match answer {
            Ok(answer) => wrap(answer),
            Err(failure) => Self::Failed(failure.cause, failure.effect == RemoteEffect::Unknown),
        }
    }
}

/// What came of calls.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ResultBatch {
    /// Number of the session.
    pub session: u64,
    /// Calls by their numbers.
    pub results: Vec<(u64, Outcome)>,
}
