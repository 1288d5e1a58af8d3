//! Header fields that end at the gateway, and requests that it does not pass on.

use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, StatusCode, Version};

use crate::outcome::LocalResponse;

/// Fields of one connection (RFC 9110, section 7.6.1), besides those that
/// `Connection` names.
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
/// What the gateway adds to `Via`.
const VIA: HeaderValue = HeaderValue::from_static("1.1 ashtiller");

/// Removes the fields of one connection and adds `Via`.
pub fn strip(headers: &mut HeaderMap) {
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

/// Removes what only the gateway may answer, from a request on its way out.
pub fn strip_request(headers: &mut HeaderMap) {
    strip(headers);
    headers.remove(header::EXPECT);
    headers.remove(header::CONTENT_LENGTH);
}

/// Finds what must not be passed on; the framing rules are those of RFC 9112,
/// sections 3.2 and 6.3.
///
/// # Errors
/// The verdict for the caller.
pub fn check(method: &Method, version: Version, headers: &HeaderMap) -> Result<(), LocalResponse> {
    let wrong = |reason| Err(LocalResponse::wrong(StatusCode::BAD_REQUEST, reason));
    if *method == Method::CONNECT || *method == Method::TRACE {
        return Err(LocalResponse::wrong(
            StatusCode::METHOD_NOT_ALLOWED,
            "this method is not passed on",
        ));
    }
    // Beside Transfer-Encoding the library has dropped Content-Length by now, and
    // the message to the endpoint is framed anew.
    if headers.contains_key(header::TRANSFER_ENCODING) && version < Version::HTTP_11 {
        return wrong("Transfer-Encoding before HTTP/1.1");
    }
    if headers.get_all(header::CONTENT_LENGTH).iter().count() > 1 {
        return wrong("more than one Content-Length");
    }
    let hosts = headers.get_all(header::HOST).iter().count();
    if hosts > 1 || (hosts == 0 && version >= Version::HTTP_11) {
        return wrong("HTTP/1.1 needs one Host");
    }
    if headers.contains_key(header::UPGRADE) && headers.contains_key(header::CONNECTION) {
        return Err(LocalResponse::wrong(
            StatusCode::NOT_IMPLEMENTED,
            "upgrades are not passed on",
        ));
    }
    Ok(())
}

/// Whether the sender will close this connection.
#[must_use]
pub fn closes(headers: &HeaderMap) -> bool {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|word| word.trim().eq_ignore_ascii_case("close"))
}

/// Reads requests in flight from a load report (`endpoint-load-metrics`, the
/// published text form).
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
