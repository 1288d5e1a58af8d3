//! Admission of clients: the budget of bytes, heads, and requests that follow each other.

use std::sync::Arc;
use std::time::Duration;

use ashtiller::ingress::{
    self, BodyError, ByteBudget, Capacity, ChunkScanner, Exhausted, HeadScanner, Ingress, Refusal,
    RequestLimits, Reservation,
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode};
use prometheus::Registry;
use proptest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time;

/// Limit on every wait; reached only when the expected event never happens.
const WAIT_LIMIT: Duration = Duration::from_secs(30);
/// Largest body that the server reads.
const BODY_MAX: usize = 100_000;

/// A server that answers with the path and the size of the body.
struct Server {
    address: std::net::SocketAddr,
    ingress: Arc<Ingress>,
    registry: Registry,
}

impl Server {
    async fn start(capacity: Capacity, limits: RequestLimits) -> Self {
        let registry = Registry::new();
        let ingress = Ingress::open(capacity, limits, &registry, "test").expect("metrics");
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("port");
        let address = listener.local_addr().expect("address");
        tokio::spawn(Ingress::enforce(vec![ingress.clone()]));
        let accepting = ingress.clone();
        tokio::spawn(async move {
            loop {
                let connection = accepting.accept(&listener).await;
                tokio::spawn(connection.serve(respond, std::future::pending()));
            }
        });
        Self {
            address,
            ingress,
            registry,
        }
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address).await.expect("connection")
    }

    /// Returns a gauge or counter by its label.
    fn metric(&self, name: &str, label: &str) -> f64 {
        let families = self.registry.gather();
        let family = families.iter().find(|family| family.name() == name);
        let metrics = family.map_or(&[][..], |family| family.get_metric());
        let labelled = |metric: &&prometheus::proto::Metric| {
            metric.get_label().iter().any(|pair| pair.value() == label)
        };
        metrics.iter().find(labelled).map_or(0.0, |metric| {
            metric.get_gauge().get_value() + metric.get_counter().get_value()
        })
    }

    /// Waits until all connections are closed and all bytes are given back.
    async fn wait_empty(&self) {
        let empty = || {
            self.metric("ashtiller_test_clients_hold", "connections") == 0.0
                && self.metric("ashtiller_test_clients_hold", "bytes") == 0.0
        };
        wait_until(empty).await;
    }
}

async fn wait_until(mut condition: impl FnMut() -> bool) {
    let wait = async {
        while !condition() {
            time::sleep(Duration::from_millis(5)).await;
        }
    };
    time::timeout(WAIT_LIMIT, wait).await.expect("in time");
}

async fn respond(request: Result<Request<ingress::Body>, Refusal>) -> Response<Full<Bytes>> {
    let (status, text) = match request {
        Ok(request) => {
            let path = request.uri().path().to_owned();
            if path == "/unread" {
                return Response::new(Full::from("not read"));
            }
            match request.into_body().collect_within(BODY_MAX).await {
                Ok(body) => (StatusCode::OK, format!("{path} {}", body.len())),
                Err(BodyError::TooLarge) => (StatusCode::PAYLOAD_TOO_LARGE, String::new()),
                Err(error) => (StatusCode::SERVICE_UNAVAILABLE, error.to_string()),
            }
        }
        Err(refusal) => (StatusCode::IM_A_TEAPOT, refusal.name().to_owned()),
    };
    let mut response = Response::new(Full::from(text));
    *response.status_mut() = status;
    response
}

fn capacity() -> Capacity {
    Capacity {
        connections: 8,
        bytes: 400_000,
    }
}

/// Sends bytes in pieces of one size and reads until the text has been received or the end.
async fn exchange(stream: &mut TcpStream, bytes: &[u8], piece: usize, until: &str) -> String {
    stream.set_nodelay(true).expect("option");
    for piece in bytes.chunks(piece) {
        if stream.write_all(piece).await.is_err() {
            break;
        }
    }
    let mut text = String::new();
    let mut buffer = [0; 1000];
    while !text.contains(until) {
        let read = time::timeout(WAIT_LIMIT, stream.read(&mut buffer)).await;
        let count = read.expect("in time").unwrap_or(0);
        if count == 0 {
            break;
        }
        text.push_str(&String::from_utf8_lossy(&buffer[..count]));
    }
    text
}

#[tokio::test]
async fn requests_that_follow_each_other_are_served_in_order() {
    let server = Server::start(capacity(), RequestLimits::default()).await;
    let requests = "\r\n\r\nPOST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 5\r\n\r\n12345\
        GET /b HTTP/1.1\r\nhost: h\r\n\r\n\
        POST /c HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n\
        GET /d HTTP/1.1\r\nhost: h\r\n\r\n";
    for piece in [1, 2, 3, 7, 40, 100, 1000] {
        let mut stream = server.connect().await;
        let text = exchange(&mut stream, requests.as_bytes(), piece, "/d 0").await;
        for answer in ["/a 5", "/b 0", "/c 3", "/d 0"] {
            assert!(text.contains(answer), "pieces of {piece}: {text:?}");
        }
    }
    server.wait_empty().await;
}

#[tokio::test]
async fn a_connection_is_kept_for_heads_of_another_shape() {
    let server = Server::start(capacity(), RequestLimits::default()).await;
    let mut stream = server.connect().await;
    let usual = "GET /a HTTP/1.1\r\nhost: h\r\n\r\n";
    let many = format!(
        "GET /b HTTP/1.1\r\nhost: h\r\n{}\r\n",
        "x:\r\n".repeat(2000)
    );
    for _ in 0..2 {
        let text = exchange(&mut stream, usual.as_bytes(), 1000, "/a 0").await;
        assert!(text.contains("/a 0"), "{text}");
        let text = exchange(&mut stream, many.as_bytes(), 1000, "/b 0").await;
        assert!(text.contains("/b 0"), "{text}");
    }
    // Limits that change hold for open connections.
    server.ingress.set_limits(RequestLimits {
        head_bytes: 60_000,
        ..RequestLimits::default()
    });
    let large = format!(
        "GET /c HTTP/1.1\r\nhost: h\r\nx: {}\r\n\r\n",
        "a".repeat(50_000)
    );
    let text = exchange(&mut stream, large.as_bytes(), 5000, "/c 0").await;
    assert!(text.contains("/c 0"), "{text}");
    server.ingress.set_limits(RequestLimits::default());
    let text = exchange(&mut stream, large.as_bytes(), 5000, "head_size").await;
    assert!(text.contains("head_size"), "{text}");
    server.wait_empty().await;
}

#[tokio::test]
async fn a_connection_is_kept_after_a_small_body_that_nobody_reads() {
    let server = Server::start(capacity(), RequestLimits::default()).await;
    let mut stream = server.connect().await;
    let unread = format!(
        "{}{}",
        head("unread", "content-length: 500"),
        "a".repeat(500)
    );
    for _ in 0..3 {
        let text = exchange(&mut stream, unread.as_bytes(), 1000, "not read").await;
        assert!(text.contains("not read"), "{text}");
    }
    let text = exchange(
        &mut stream,
        b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n",
        100,
        "/a 0",
    )
    .await;
    assert!(text.contains("/a 0"), "{text}");
}

/// Returns limits with short times.
fn short_times() -> RequestLimits {
    RequestLimits {
        head_timeout: Duration::from_millis(300),
        idle_timeout: Duration::from_millis(600),
        ..RequestLimits::default()
    }
}

fn head(path: &str, framing: &str) -> String {
    format!("POST /{path} HTTP/1.1\r\nhost: h\r\n{framing}\r\n\r\n")
}

#[tokio::test]
async fn every_way_in_which_a_request_ends_gives_its_bytes_back() {
    let server = Server::start(capacity(), short_times()).await;
    let large = format!("x: {}\r\n", "a".repeat(17_000));
    let chunk = format!("{:x}\r\n{}", 50_000, "a".repeat(50_000));
    let requests = [
        // A body that is complete, one that breaks off, and ones that are too large.
        format!(
            "{}{}",
            head("a", "content-length: 60000"),
            "a".repeat(60_000)
        ),
        format!("{}{}", head("b", "content-length: 60000"), "a".repeat(100)),
        head("c", "content-length: 100001"),
        format!(
            "{}{chunk}\r\n{chunk}\r\n{chunk}",
            head("d", "transfer-encoding: chunked")
        ),
        format!("{}{chunk}", head("e", "transfer-encoding: chunked")),
        format!("{}zz\r\n", head("f", "transfer-encoding: chunked")),
        // Heads that are too large, stop short or are malformed.
        format!("GET /g HTTP/1.1\r\n{large}"),
        format!("GET /h HTTP/1.1\r\nx: {}", "a".repeat(12_000)),
        "no request\r\n\r\n".to_owned(),
    ];
    for request in &requests {
        for leaves in [true, false] {
            let mut stream = server.connect().await;
            if leaves {
                // The server may have refused it already.
                let _ = stream.write_all(request.as_bytes()).await;
            } else {
                exchange(&mut stream, request.as_bytes(), 5000, "HTTP/1.1 ").await;
            }
        }
    }
    server.wait_empty().await;
}

#[tokio::test]
async fn large_requests_are_refused_while_small_ones_are_served() {
    let server = Server::start(capacity(), RequestLimits::default()).await;
    let mut holders = Vec::new();
    for _ in 0..2 {
        let mut stream = server.connect().await;
        let request = head("held", "content-length: 100000");
        stream.write_all(request.as_bytes()).await.expect("a head");
        holders.push(stream);
    }
    let held = || server.metric("ashtiller_test_clients_hold", "bytes") > 380_000.0;
    wait_until(held).await;
    let request = head("large", "content-length: 60000");
    let mut stream = server.connect().await;
    let text = exchange(&mut stream, request.as_bytes(), 5000, "refused: bytes").await;
    assert!(text.starts_with("HTTP/1.1 503"), "{text}");
    let request = format!(
        "{}{}",
        head("small", "content-length: 2000"),
        "a".repeat(2000)
    );
    let mut stream = server.connect().await;
    let text = exchange(&mut stream, request.as_bytes(), 5000, "/small 2000").await;
    assert!(text.contains("/small 2000"), "{text}");
    drop(holders);
    server.wait_empty().await;
}

#[tokio::test]
async fn a_full_listener_closes_the_longest_idle_connection() {
    let server = Server::start(capacity(), RequestLimits::default()).await;
    let mut crowd = Vec::new();
    for number in 0..8_u32 {
        crowd.push(server.connect().await);
        let open =
            || server.metric("ashtiller_test_clients_hold", "connections") > f64::from(number);
        wait_until(open).await;
        // Later connections have been idle for a shorter time.
        time::sleep(Duration::from_millis(300)).await;
    }
    let request = b"GET /new HTTP/1.1\r\nhost: h\r\n\r\n";
    let mut new = server.connect().await;
    let text = exchange(&mut new, request, 100, "/new 0").await;
    assert!(text.contains("/new 0"), "{text}");
    let closed = exchange(&mut crowd[0], b"", 1, "nothing").await;
    assert_eq!(closed, "");
    let kept = exchange(&mut crowd[7], request, 100, "/new 0").await;
    assert!(kept.contains("/new 0"), "{kept}");
    assert!(server.metric("ashtiller_test_clients_refused", "connections") > 0.0);
}

#[tokio::test]
async fn slow_heads_are_refused_and_idle_connections_closed() {
    let server = Server::start(capacity(), short_times()).await;
    let mut slow = server.connect().await;
    let text = exchange(&mut slow, b"GET /a HTTP/1.1\r\n", 100, "head_time").await;
    assert!(text.contains("head_time"), "{text}");
    let mut idle = server.connect().await;
    assert_eq!(exchange(&mut idle, b"\r\n", 100, "nothing").await, "");
    assert!(server.metric("ashtiller_test_clients_refused", "idle") > 0.0);
    server.wait_empty().await;
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Open(usize),
    Resize(usize, usize),
    Clear(usize),
    Drop(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0_usize..100).prop_map(Step::Open),
        (0_usize..8, 0_usize..700).prop_map(|(holder, bytes)| Step::Resize(holder, bytes)),
        (0_usize..8).prop_map(Step::Clear),
        (0_usize..8).prop_map(Step::Drop),
    ]
}

proptest! {
    /// The budget in use is always the sum of what its holders have beyond their allotments.
    #[test]
    fn a_budget_neither_leaks_nor_exceeds_its_total(
        total in 0_usize..2000,
        steps in proptest::collection::vec(step(), 0..100),
    ) {
        let budget = Arc::new(ByteBudget::new(total));
        // Reservation, allotment and the charged bytes of each holder.
        let mut holders: Vec<(Reservation, usize, usize)> = Vec::new();
        for step in steps {
            match step {
                Step::Open(allotment) => {
                    holders.push((Reservation::new(budget.clone(), allotment), allotment, 0));
                }
                Step::Resize(index, bytes) => {
                    let others: usize = holders.iter().map(|(_, _, charged)| charged).sum();
                    if let Some((reservation, allotment, charged)) = holders.get_mut(index) {
                        let wanted = bytes.saturating_sub(*allotment);
                        let fits = wanted <= *charged || others - *charged + wanted <= total;
                        let expected = if fits { Ok(()) } else { Err(Exhausted) };
                        prop_assert_eq!(reservation.resize(bytes), expected);
                        if fits {
                            *charged = wanted;
                        }
                    }
                }
                Step::Clear(index) => {
                    if let Some((reservation, _, charged)) = holders.get_mut(index) {
                        reservation.clear();
                        *charged = 0;
                    }
                }
                Step::Drop(index) => {
                    if index < holders.len() {
                        holders.swap_remove(index);
                    }
                }
            }
            let charged: usize = holders.iter().map(|(_, _, charged)| charged).sum();
            prop_assert_eq!(budget.used(), charged);
            prop_assert!(budget.used() <= total);
        }
        holders.clear();
        prop_assert_eq!(budget.used(), 0);
    }

    /// However a head and a body are split, their ends are found where they are.
    #[test]
    fn the_ends_of_heads_and_chunked_bodies_are_found(
        lines in proptest::collection::vec("[a-z: ]{1,9}", 1..9),
        chunks in proptest::collection::vec("[a-z\r\n0-9]{1,40}", 0..6),
        trailers in proptest::collection::vec("[a-z]{1,5}", 0..3),
        rest in "[a-z\r\n]{0,20}",
        piece in 1_usize..30,
    ) {
        let head = format!("{}\r\n\r\n", lines.join("\r\n"));
        let mut scanner = HeadScanner::default();
        let mut end = 0;
        let all = format!("{head}{rest}");
        for part in all.as_bytes().chunks(piece) {
            if let Some(count) = scanner.scan(part) {
                end += count;
                break;
            }
            end += part.len();
        }
        prop_assert_eq!(end, head.len());
        prop_assert_eq!(scanner.lines(), lines.len());

        let framed = chunks
            .iter()
            .map(|chunk| format!("{:x};e=1\r\n{chunk}\r\n", chunk.len()));
        let trailers = trailers.iter().map(|line| format!("{line}: a\r\n"));
        let last = std::iter::once("0\r\n".to_owned());
        let parts: Vec<String> = framed.chain(last).chain(trailers).collect();
        let body = format!("{}\r\n", parts.concat());
        let mut scanner = ChunkScanner::default();
        let all = format!("{body}{rest}");
        let end: usize = all.as_bytes().chunks(piece).map(|part| scanner.scan(part)).sum();
        prop_assert_eq!(end, body.len());
    }
}
