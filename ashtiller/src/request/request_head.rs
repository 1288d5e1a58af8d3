//! What a caller's request asks for, read from its head.

use std::time::Duration;

use hyper::http::request;
use hyper::{StatusCode, Uri};

use crate::outcome::LocalResponse;
use crate::unit;

/// Header that names the client account.
pub const ACCOUNT: &str = "client-account";
/// Header that sets the time limit of a request, such as `800ms`.
pub const TIMEOUT: &str = "request-timeout";
/// Header that makes a caller's own repeat recognisable.
pub const KEY: &str = "idempotency-key";
/// Longest idempotency key.
const KEY_MAX: usize = 255;
/// Seed of the second half of a key's hash.
const KEY_SEED: u64 = 0x6173_6874_696c_6c65;

/// The hash of the request's idempotency key, if it has one.
///
/// # Errors
/// The key is empty, too long, or given twice.
pub fn read_key(head: &request::Parts) -> Result<Option<u128>, LocalResponse> {
    let Some(value) = head.headers.get(KEY) else {
        return Ok(None);
    };
    let key = value.as_bytes();
    if key.is_empty() || key.len() > KEY_MAX || head.headers.get_all(KEY).iter().count() > 1 {
        let reason = "Idempotency-Key needs 1 to 255 characters, once";
        return Err(LocalResponse::wrong(StatusCode::BAD_REQUEST, reason));
    }
    let low = xxhash_rust::xxh3::xxh3_64(key);
    let high = xxhash_rust::xxh3::xxh3_64_with_seed(key, KEY_SEED);
    Ok(Some(u128::from(high) << 64 | u128::from(low)))
}

/// One header field as text.
#[must_use]
pub fn header<'a>(head: &'a request::Parts, name: &str) -> Option<&'a str> {
    head.headers.get(name)?.to_str().ok()
}

/// The time limit that the caller sets.
///
/// # Errors
/// It is no time with a unit.
pub fn read_timeout(head: &request::Parts) -> Result<Option<Duration>, LocalResponse> {
    let Some(text) = header(head, TIMEOUT) else {
        return Ok(None);
    };
    let reason = "request-timeout needs a time such as 800ms";
    let wrong = || LocalResponse::wrong(StatusCode::BAD_REQUEST, reason);
    unit::parse_duration(text).map(Some).ok_or_else(wrong)
}

/// Splits `/service/rest?query` into the service and the endpoint's own target.
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
