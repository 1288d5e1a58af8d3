//! A caller's body between attempts.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::StatusCode;
use hyper::body::{Body, Incoming};
use tokio::time;

use crate::outcome::LocalResponse;
use crate::request_body::RequestBody;

/// A request's body between attempts.
pub enum ReplayableBody {
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

impl ReplayableBody {
    /// Reads a body that is small enough to keep; a larger one, or one of unknown
    /// size, streams.
    ///
    /// # Errors
    /// The body is too large, too slow, or breaks off.
    pub async fn open(body: Incoming, allowance: Allowance) -> Result<Self, LocalResponse> {
        let size = body.size_hint();
        if size.lower() > allowance.most {
            return Err(LocalResponse::wrong(
                StatusCode::PAYLOAD_TOO_LARGE,
                "the body is too large",
            ));
        }
        if size.upper().is_none_or(|size| size > allowance.keep) {
            return Ok(Self::Stream(Box::new(body)));
        }
        let late = |_| LocalResponse::wrong(StatusCode::REQUEST_TIMEOUT, "the body came too late");
        let broken = |_| LocalResponse::wrong(StatusCode::BAD_REQUEST, "the body broke off");
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
    pub fn take(&mut self, limit: u64) -> RequestBody {
        match std::mem::replace(self, Self::Spent) {
            Self::Kept(bytes) => {
                *self = Self::Kept(bytes.clone());
                RequestBody::Kept(Full::new(bytes))
            }
            Self::Stream(body) => RequestBody::Stream {
                body: *body,
                left: limit,
            },
            Self::Spent => RequestBody::Kept(Full::default()),
        }
    }

    /// Takes back a body of which nothing was sent.
    pub fn give_back(&mut self, body: RequestBody) {
        if let RequestBody::Stream { body, .. } = body {
            *self = Self::Stream(Box::new(body));
        }
    }
}
