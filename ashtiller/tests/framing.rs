//! Malformed requests and request smuggling attempts, sent byte for byte.

mod support;

use std::net::SocketAddr;

use support::World;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time;

/// Decodes the escapes `\r`, `\n` and `\xHH` of the case file.
fn unescape(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let [first, tail @ ..] = rest {
        rest = tail;
        let (byte, used) = match (first, tail) {
            (b'\\', [b'r', ..]) => (b'\r', 1),
            (b'\\', [b'n', ..]) => (b'\n', 1),
            (b'\\', [b'x', high, low, ..]) => {
                let digits = [*high, *low];
                let digits = std::str::from_utf8(&digits).expect("two hexadecimal digits");
                (
                    u8::from_str_radix(digits, 16).expect("two hexadecimal digits"),
                    3,
                )
            }
            _ => (*first, 0),
        };
        bytes.push(byte);
        rest = &rest[used..];
    }
    bytes
}

/// Sends bytes and returns the status line and the outcome of the response.
async fn exchange(callers: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(callers).await.expect("connection");
    stream.write_all(bytes).await.expect("bytes sent");
    let mut response = Vec::new();
    let mut buffer = [0; 4096];
    // The head is enough: the connection may stay open after it.
    while !response.windows(4).any(|window| window == b"\r\n\r\n") {
        match time::timeout(support::WAIT_LIMIT, stream.read(&mut buffer)).await {
            Ok(Ok(size)) if size > 0 => response.extend_from_slice(&buffer[..size]),
            _ => break,
        }
    }
    let response = String::from_utf8_lossy(&response).to_ascii_lowercase();
    let status = response.lines().next().unwrap_or("closed").to_owned();
    let outcome = response
        .lines()
        .find_map(|line| line.strip_prefix("ashtiller-outcome: "));
    format!("{status}; outcome: {}", outcome.unwrap_or("none"))
}

async fn metrics_of(operators: SocketAddr) -> String {
    let client = ashtiller::web::Client::default();
    let response = client
        .call(
            "get",
            operators,
            hyper::Method::GET,
            "/metrics",
            bytes::Bytes::new(),
            support::WAIT_LIMIT,
        )
        .await;
    String::from_utf8_lossy(&response.expect("metrics").body).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_requests_get_a_clear_answer_and_reach_no_endpoint() {
    let world = World::open(1, 1).await;
    let mut output = String::new();
    for case in include_str!("cases/framing.txt").split("=== ").skip(1) {
        let (name, text) = case.split_once('\n').expect("a name and bytes");
        let response = exchange(world.callers(0), &unescape(text.trim_end_matches('\n'))).await;
        output = format!("{output}{name}: {response}\n");
    }
    let run = world.endpoints[0]
        .counts()
        .run
        .load(std::sync::atomic::Ordering::SeqCst);
    let metrics = metrics_of(world.gateways[0].operators()).await;
    let wrong = metrics
        .lines()
        .find(|line| line.starts_with("ashtiller_gateway_wrong_total"));
    let wrong = wrong.unwrap_or("no counter");
    insta::assert_snapshot!(format!(
        "{output}requests that reached the endpoint: {run}\n{wrong}"
    ));
}

#[tokio::test(flavor = "multi_thread")]
async fn hop_by_hop_headers_are_not_forwarded() {
    let world = World::open(1, 1).await;
    let response = support::TestRequest::get("h")
        .header("connection", "x-secret, keep-alive")
        .header("x-secret", "1")
        .header("te", "trailers")
        .send(world.callers(0))
        .await;
    assert_eq!(response.status(), 200);
    assert_eq!(response.header("via"), "1.1 ashtiller");
    let seen = world.endpoints[0].last_headers();
    assert!(
        !seen.contains_key("x-secret") && !seen.contains_key("te"),
        "{seen:?}"
    );
    assert_eq!(
        seen.get("via").map(hyper::header::HeaderValue::as_bytes),
        Some(&b"1.1 ashtiller"[..])
    );
}
