//! Answers that the gateway makes itself.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;

use crate::dispatch::{Refusal, RefusalCause};

/// Header that says what became of a request.
pub const HEADER: &str = "ashtiller-outcome";
/// Header that says how long to wait, in milliseconds, beside `Retry-After`.
pub const AFTER_MS: &str = "retry-after-ms";

/// What became of a request that has no answer from an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No endpoint ran it or will run it.
    NotRun,
    /// An endpoint may have run it.
    Unknown,
}

impl Outcome {
    /// The outcome as it stands in the header.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// An answer that ends a request in the gateway.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LocalResponse {
    /// Status code.
    pub status: StatusCode,
    /// What became of the request.
    pub outcome: Outcome,
    /// Why, in words for the caller.
    pub reason: &'static str,
    /// When to come back.
    pub after: Option<Duration>,
}

impl LocalResponse {
    /// The request is wrong and was not run.
    #[must_use]
    pub fn wrong(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            outcome: Outcome::NotRun,
            reason,
            after: None,
        }
    }

    /// The request was not run and may be sent again after a while.
    #[must_use]
    pub fn not_run(status: StatusCode, reason: &'static str, after: Duration) -> Self {
        Self {
            status,
            outcome: Outcome::NotRun,
            reason,
            after: Some(after),
        }
    }

    /// The request may have run.
    #[must_use]
    pub fn unknown(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            outcome: Outcome::Unknown,
            reason,
            after: None,
        }
    }

    /// A refusal of the admission.
    #[must_use]
    pub fn refused(refusal: Refusal) -> Self {
        let (status, reason) = match refusal.cause {
            RefusalCause::QueueFull => (
                StatusCode::TOO_MANY_REQUESTS,
                "too many requests of this account wait",
            ),
            RefusalCause::TooLate => (
                StatusCode::SERVICE_UNAVAILABLE,
                "the deadline would pass before the answer",
            ),
            RefusalCause::NoEndpoint => (
                StatusCode::SERVICE_UNAVAILABLE,
                "the service has no live endpoint",
            ),
        };
        Self::not_run(status, reason, refusal.retry_after)
    }

    /// The answer; `jitter` between 0 and 1 spreads the callers' return.
    #[must_use]
    pub fn answer(&self, jitter: f64) -> Response<Full<Bytes>> {
        let mut answer = Response::new(Full::new(Bytes::from_static(self.reason.as_bytes())));
        *answer.status_mut() = self.status;
        let headers = answer.headers_mut();
        headers.insert(HEADER, HeaderValue::from_static(self.outcome.name()));
        headers.insert(
            "content-type",
            HeaderValue::from_static("text/plain; charset=utf-8"),
        );
        if let Some(after) = self.after {
            let after = after.mul_f64(1.0 + jitter);
            let seconds = after.as_secs() + u64::from(after.subsec_nanos() > 0);
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
            let millis = u64::try_from(after.as_millis()).unwrap_or(u64::MAX);
            headers.insert(AFTER_MS, HeaderValue::from(millis));
        }
        answer
    }
}
