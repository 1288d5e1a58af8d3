//! Removal of hop-by-hop header fields, and validation of requests before forwarding.

use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, StatusCode, Version};

use crate::outcome::LocalResponse;

/// Hop-by-hop header fields (RFC 9110, section 7.6.1), besides those that `Connection`
/// names.
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];
/// Value that the gateway adds to `Via`.
const VIA: HeaderValue = HeaderValue::from_static("1.1 ashtiller");

/// Removes hop-by-hop fields and adds `Via`.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
    headers.append(header::VIA, VIA);
}

/// Prepares the header fields of a request for an endpoint. Besides hop-by-hop fields it
/// removes `Expect`, to which the gateway responds itself, and `Content-Length`, which
/// the new message sets again.
pub fn strip_request(headers: &mut HeaderMap) {
    strip_hop_by_hop(headers);
    headers.remove(header::EXPECT);
    headers.remove(header::CONTENT_LENGTH);
}

/// Rejects requests that must not be forwarded. The framing rules are those of RFC 9112,
/// sections 3.2 and 6.3.
///
/// # Errors
/// The response for the caller.
pub fn validate(
    method: &Method,
    version: Version,
    headers: &HeaderMap,
) -> Result<(), LocalResponse> {
    let bad_request = |reason| Err(LocalResponse::rejected(StatusCode::BAD_REQUEST, reason));
    if *method == Method::CONNECT || *method == Method::TRACE {
        return Err(LocalResponse::rejected(
            StatusCode::METHOD_NOT_ALLOWED,
            "this method is not passed on",
        ));
    }
    // If both fields were present, hyper has already dropped Content-Length, and the
    // message to the endpoint gets its own framing.
    if headers.contains_key(header::TRANSFER_ENCODING) && version < Version::HTTP_11 {
        return bad_request("Transfer-Encoding before HTTP/1.1");
    }
    if headers.get_all(header::CONTENT_LENGTH).iter().count() > 1 {
        return bad_request("more than one Content-Length");
    }
    let hosts = headers.get_all(header::HOST).iter().count();
    if hosts > 1 || (hosts == 0 && version >= Version::HTTP_11) {
        return bad_request("HTTP/1.1 needs one Host");
    }
    if headers.contains_key(header::UPGRADE) && headers.contains_key(header::CONNECTION) {
        return Err(LocalResponse::rejected(
            StatusCode::NOT_IMPLEMENTED,
            "upgrades are not passed on",
        ));
    }
    Ok(())
}

/// Returns whether the sender closes this connection after the message.
#[must_use]
pub fn has_connection_close(headers: &HeaderMap) -> bool {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|word| word.trim().eq_ignore_ascii_case("close"))
}

/// Reads the number of requests in flight from a load report, the published text form of
/// `endpoint-load-metrics`.
#[must_use]
pub fn reported_load(headers: &HeaderMap) -> Option<u32> {
    let report = headers
        .get("endpoint-load-metrics")?
        .to_str()
        .ok()?
        .strip_prefix("TEXT ")?;
    let load = report
        .split(',')
        .find_map(|pair| pair.trim().strip_prefix("named_metrics.in_flight="));
    load?.trim().parse().ok()
}
