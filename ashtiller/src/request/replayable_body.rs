//! The body of a caller's request, kept for retries.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::StatusCode;
use hyper::body::Body;
use tokio::time;

use crate::ingress::{self, BodyError};
use crate::outcome::LocalResponse;
use crate::request_body::RequestBody;

/// A request's body between attempts.
pub enum ReplayableBody {
    /// Buffered completely; it can be sent again.
    Buffered(Bytes),
    /// Streamed; it can be sent once.
    Stream(Box<ingress::Body>),
    /// Already streamed.
    Consumed,
}

/// Limits for a caller's body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Largest body in bytes.
    pub max_bytes: u64,
    /// Largest body that is buffered, in bytes.
    pub max_buffered_bytes: u64,
    /// Time limit to read a body that is buffered.
    pub buffer_timeout: Duration,
}

impl ReplayableBody {
    /// Buffers a body that is small enough. A larger one, or one of unknown size, is
    /// streamed.
    ///
    /// # Errors
    /// The body is too large, too slow or incomplete.
    pub async fn open(body: ingress::Body, limits: BodyLimits) -> Result<Self, LocalResponse> {
        let size = body.size_hint();
        if size.lower() > limits.max_bytes {
            return Err(LocalResponse::rejected(
                StatusCode::PAYLOAD_TOO_LARGE,
                "the body is too large",
            ));
        }
        if size
            .upper()
            .is_none_or(|size| size > limits.max_buffered_bytes)
        {
            return Ok(Self::Stream(Box::new(body)));
        }
        let late =
            |_| LocalResponse::rejected(StatusCode::REQUEST_TIMEOUT, "the body came too late");
        let max = usize::try_from(limits.max_buffered_bytes).unwrap_or(usize::MAX);
        let read = time::timeout(limits.buffer_timeout, body.collect_within(max));
        let bytes = read.await.map_err(late)?.map_err(|error| match error {
            BodyError::Refused(refusal) => LocalResponse::from_ingress(refusal),
            BodyError::TooLarge => LocalResponse::from_ingress(ingress::Refusal::BodyTooLarge),
            BodyError::Broken(_) => {
                LocalResponse::rejected(StatusCode::BAD_REQUEST, "the body broke off")
            }
        })?;
        Ok(Self::Buffered(bytes))
    }

    /// Returns whether the body was streamed and can't be sent again.
    #[must_use]
    pub fn is_consumed(&self) -> bool {
        matches!(self, Self::Consumed)
    }

    /// Returns whether the body is passed on while it arrives.
    #[must_use]
    pub fn is_streamed(&self) -> bool {
        matches!(self, Self::Stream(_))
    }

    /// Returns the progress of a body that is streamed.
    #[must_use]
    pub fn progress(&self) -> Option<ingress::Progress> {
        match self {
            Self::Stream(body) => Some(body.progress()),
            Self::Buffered(_) | Self::Consumed => None,
        }
    }

    /// Returns the body for one attempt; a streamed one may have at most `limit` bytes.
    pub fn take(&mut self, limit: u64) -> RequestBody {
        match std::mem::replace(self, Self::Consumed) {
            Self::Buffered(bytes) => {
                *self = Self::Buffered(bytes.clone());
                RequestBody::Buffered(Full::new(bytes))
            }
            Self::Stream(body) => RequestBody::Stream {
                body: *body,
                left: limit,
            },
            Self::Consumed => RequestBody::Buffered(Full::default()),
        }
    }

    /// Takes back a body of which nothing was sent, so that it can be sent again.
    pub fn restore(&mut self, body: RequestBody) {
        if let RequestBody::Stream { body, .. } = body {
            *self = Self::Stream(Box::new(body));
        }
    }
}
