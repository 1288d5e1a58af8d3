//! What a refusal must hold, and which jobs a refusal binds.

use std::time::Duration;

use hyper::header::RETRY_AFTER;
use hyper::{Response, StatusCode};

use crate::client::DEADLINE;
use crate::health::SLACK;

/// Returns whether a status says that the job was not accepted and never runs.
#[must_use]
pub fn is_refusal(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    )
}

/// Returns the time after which a refusal asks the caller to come back.
///
/// # Errors
/// Describes a refusal that does not carry both delays, or whose delays disagree.
pub fn retry_delay<B: AsRef<[u8]>>(response: &Response<B>) -> Result<Duration, String> {
    let header = response.headers().get(RETRY_AFTER);
    let seconds: Option<u64> = header.and_then(|value| value.to_str().ok()?.parse().ok());
    let body: Option<serde_json::Value> = serde_json::from_slice(response.body().as_ref()).ok();
    let millis = body.as_ref().and_then(|it| it["retry_after_ms"].as_u64());
    match (seconds, millis) {
        (Some(seconds), Some(millis)) if millis.div_ceil(1000) == seconds => {
            Ok(Duration::from_millis(millis))
        }
        _ => Err(format!(
            "refused with Retry-After {seconds:?} s and retry_after_ms {millis:?}"
        )),
    }
}

/// Describes a refusal that took longer than the caller's time limit.
#[must_use]
pub fn describe_late(took: Duration) -> Option<String> {
    (took > DEADLINE + SLACK).then(|| format!("refused after {:.3} s", took.as_secs_f64()))
}
