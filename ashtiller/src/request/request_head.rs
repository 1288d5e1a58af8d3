//! Parsing of a caller's request head.

use std::time::Duration;

use hyper::http::request;
use hyper::{StatusCode, Uri};

use crate::outcome::LocalResponse;
use crate::unit;

/// Header that names the client account.
pub const ACCOUNT: &str = "client-account";
/// Header that sets the time limit of a request, for example `800ms`.
pub const TIMEOUT: &str = "request-timeout";
/// Header that identifies repeats of one request by the caller.
pub const KEY: &str = "idempotency-key";
/// Longest idempotency key, in bytes.
const KEY_BYTES_MAX: usize = 255;
/// Seed for the upper half of a key's hash.
const KEY_SEED: u64 = 0x6173_6874_696c_6c65;

/// Returns the hash of the request's idempotency key, if it has one.
///
/// # Errors
/// The key is empty, too long or repeated.
pub fn read_key(head: &request::Parts) -> Result<Option<u128>, LocalResponse> {
    let Some(value) = head.headers.get(KEY) else {
        return Ok(None);
    };
    let key = value.as_bytes();
    if key.is_empty() || key.len() > KEY_BYTES_MAX || head.headers.get_all(KEY).iter().count() > 1 {
        let reason = "Idempotency-Key needs 1 to 255 characters, once";
        return Err(LocalResponse::rejected(StatusCode::BAD_REQUEST, reason));
    }
    let low = xxhash_rust::xxh3::xxh3_64(key);
    let high = xxhash_rust::xxh3::xxh3_64_with_seed(key, KEY_SEED);
    Ok(Some(u128::from(high) << 64 | u128::from(low)))
}

/// Returns a header field as text.
#[must_use]
pub fn header<'a>(head: &'a request::Parts, name: &str) -> Option<&'a str> {
    head.headers.get(name)?.to_str().ok()
}

/// Returns the time limit that the caller sets.
///
/// # Errors
/// The value is not a duration with a unit.
pub fn read_timeout(head: &request::Parts) -> Result<Option<Duration>, LocalResponse> {
    let Some(text) = header(head, TIMEOUT) else {
        return Ok(None);
    };
    let reason = "request-timeout needs a time such as 800ms";
    let invalid = || LocalResponse::rejected(StatusCode::BAD_REQUEST, reason);
    unit::parse_duration(text).map(Some).ok_or_else(invalid)
}

/// Splits `/service/rest?query` into the service and the target for the endpoint.
#[must_use]
pub fn split_target(uri: &Uri) -> Option<(&str, Uri)> {
    let path = uri.path().strip_prefix('/')?;
    let (service, rest) = path.split_once('/').unwrap_or((path, ""));
    if service.is_empty() {
        return None;
    }
    let query = uri
        .query()
        .map(|query| format!("?{query}"))
        .unwrap_or_default();
    let target = format!("/{rest}{query}").parse().ok()?;
    Some((service, target))
}
