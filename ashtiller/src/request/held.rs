//! A caller's body between attempts.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::StatusCode;
use hyper::body::{Body, Incoming};
use tokio::time;

use crate::outcome::Verdict;
use crate::upload::Upload;

/// A request's body between attempts.
pub enum Held {
    /// Kept whole; it can be sent again.
    Kept(Bytes),
    /// Streams once.
    Stream(Box<Incoming>),
    /// Has been streamed.
    Spent,
}

/// Sizes and time for a caller's body.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    /// Largest body in bytes.
    pub most: u64,
    /// Largest body that is kept, in bytes.
    pub keep: u64,
    /// Time for a body that is kept.
    pub time: Duration,
}

impl Held {
    /// Reads a body that is small enough to keep; a larger one, or one of unknown
    /// size, streams.
    ///
    /// # Errors
    /// The body is too large, too slow, or breaks off.
    pub async fn open(body: Incoming, allowance: Allowance) -> Result<Self, Verdict> {
        let size = body.size_hint();
        if size.lower() > allowance.most {
            return Err(Verdict::wrong(
                StatusCode::PAYLOAD_TOO_LARGE,
                "the body is too large",
            ));
        }
        if size.upper().is_none_or(|size| size > allowance.keep) {
            return Ok(Self::Stream(Box::new(body)));
        }
        let late = |_| Verdict::wrong(StatusCode::REQUEST_TIMEOUT, "the body came too late");
        let broken = |_| Verdict::wrong(StatusCode::BAD_REQUEST, "the body broke off");
        let read = time::timeout(allowance.time, body.collect());
        Ok(Self::Kept(
            read.await.map_err(late)?.map_err(broken)?.to_bytes(),
        ))
    }

    /// Whether nothing is left to send.
    #[must_use]
    pub fn is_spent(&self) -> bool {
        matches!(self, Self::Spent)
    }

    /// The body for one attempt, of at most `limit` bytes.
    pub fn take(&mut self, limit: u64) -> Upload {
        match std::mem::replace(self, Self::Spent) {
            Self::Kept(bytes) => {
                *self = Self::Kept(bytes.clone());
                Upload::Kept(Full::new(bytes))
            }
            Self::Stream(body) => Upload::Stream {
                body: *body,
                left: limit,
            },
            Self::Spent => Upload::Kept(Full::default()),
        }
    }

    /// Takes back a body of which nothing was sent.
    pub fn give_back(&mut self, body: Upload) {
        if let Upload::Stream { body, .. } = body {
            *self = Self::Stream(Box::new(body));
        }
    }
}
