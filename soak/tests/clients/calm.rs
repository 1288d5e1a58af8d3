//! Single requests inside the limits of the configuration are served; others are refused.

use std::time::Duration;

use serde_json::json;
use tokio::net::TcpStream;
use tokio::time;

use crate::fixture::{self, BODY_MAX, Entries, HEAD_MAX, Response};

/// Returns a head of exactly this size.
fn head_of(size: usize) -> Vec<u8> {
    let opening = "GET /q/ HTTP/1.1\r\nhost: jobs.example\r\nx-filler: ";
    let filler = "a".repeat(size - opening.len() - 4);
    format!("{opening}{filler}\r\n\r\n").into_bytes()
}

/// Returns a valid job of exactly the largest size.
fn largest_job() -> Vec<u8> {
    let job = r#"{"spec":"x","steps":[{"count":1,"cpu":1000,"mem_mb":64}]}"#;
    fixture::pad_body(job)
}

async fn call(entries: &Entries, parts: &[&[u8]]) -> Response {
    let clients = entries.processes[0].clients();
    fixture::call(clients, parts).await.expect("a response")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_head_of_the_largest_size_is_served_and_a_larger_one_refused() {
    let entries = Entries::start(1, fixture::usual_limits()).await;
    assert_eq!(call(&entries, &[&head_of(HEAD_MAX)]).await.status, 200);
    assert_eq!(call(&entries, &[&head_of(HEAD_MAX + 1)]).await.status, 431);
    let head = head_of(HEAD_MAX);
    let pieces: Vec<&[u8]> = head.chunks(5000).collect();
    assert_eq!(call(&entries, &pieces).await.status, 200);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_limit_of_heads_follows_the_configuration() {
    let entries = Entries::start(1, fixture::usual_limits()).await;
    let clients = entries.processes[0].clients();
    let mut kept = TcpStream::connect(clients).await.expect("a connection");
    let first = fixture::exchange(&mut kept, &[&head_of(3000)]).await;
    assert_eq!(first.expect("a response").status, 200);
    let mut limits = fixture::usual_limits();
    limits["max_header_bytes"] = json!(2000);
    let queue = ["/q/".to_owned()];
    entries
        .store
        .put_limited_config(2, "jobs.example", &queue, limits.clone());
    fixture::wait_for_status(clients, &head_of(3000), 431).await;
    let second = fixture::exchange(&mut kept, &[&head_of(3000)]).await;
    assert_eq!(second.expect("a response").status, 431);
    limits["max_header_bytes"] = json!(60_000);
    entries
        .store
        .put_limited_config(3, "jobs.example", &queue, limits);
    fixture::wait_for_status(clients, &head_of(60_000), 200).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_short_headers_are_served() {
    let entries = Entries::start(1, fixture::usual_limits()).await;
    let lines: Vec<String> = (0..150)
        .map(|number| format!("x-{number}: a\r\n"))
        .collect();
    let lines = lines.concat();
    let head = format!("GET /q/ HTTP/1.1\r\nhost: jobs.example\r\n{lines}\r\n");
    assert_eq!(call(&entries, &[head.as_bytes()]).await.status, 200);
    // As many as fit in the largest head.
    let opening = "GET /q/ HTTP/1.1\r\nhost: jobs.example\r\n";
    let lines = "a:\r\n".repeat((HEAD_MAX - opening.len() - 2) / 4);
    let head = format!("{opening}{lines}\r\n");
    assert_eq!(call(&entries, &[head.as_bytes()]).await.status, 200);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_of_the_largest_size_are_served() {
    let entries = Entries::start(1, fixture::usual_limits()).await;
    let job = largest_job();
    let sized = |id| fixture::submission(id, &format!("content-length: {BODY_MAX}"));
    let whole = [sized(0xa1), job.clone()].concat();
    assert_eq!(call(&entries, &[&whole]).await.status, 200);
    let head = sized(0xa2);
    let pieces: Vec<&[u8]> = std::iter::once(&*head).chain(job.chunks(1000)).collect();
    assert_eq!(call(&entries, &pieces).await.status, 200);
    let mut chunked = fixture::submission(0xa3, "transfer-encoding: chunked");
    for chunk in job.chunks(5000) {
        chunked.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        chunked.extend_from_slice(chunk);
        chunked.extend_from_slice(b"\r\n");
    }
    chunked.extend_from_slice(b"0\r\n\r\n");
    assert_eq!(call(&entries, &[&chunked]).await.status, 200);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn larger_bodies_are_refused() {
    let entries = Entries::start(1, fixture::usual_limits()).await;
    let head = fixture::submission(0xb1, &format!("content-length: {}", BODY_MAX + 1));
    let body = vec![b' '; BODY_MAX + 1];
    assert_eq!(call(&entries, &[&head, &body]).await.status, 413);
    let mut chunked = fixture::submission(0xb2, "transfer-encoding: chunked");
    chunked.extend_from_slice(format!("{:x}\r\n", BODY_MAX + 1).as_bytes());
    chunked.extend_from_slice(&vec![b' '; BODY_MAX + 1]);
    assert_eq!(call(&entries, &[&chunked]).await.status, 413);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn pipelined_requests_are_answered_in_order() {
    let entries = Entries::start(1, fixture::usual_limits()).await;
    let clients = entries.processes[0].clients();
    let mut stream = TcpStream::connect(clients).await.expect("a connection");
    let both = [
        &b"\r\n\r\n"[..],
        &fixture::ordinary_job(),
        &fixture::ordinary_query(),
    ]
    .concat();
    let (first, second) = both.split_at(both.len() - 1);
    let answers = fixture::read_responses(&mut stream, &[first, second], 2).await;
    assert_eq!(answers, [200, 200]);
}

/// A connection may be idle for as long as the limit allows.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_connection_may_be_idle_for_as_long_as_the_limit() {
    let entries = Entries::start(1, fixture::usual_limits()).await;
    let clients = entries.processes[0].clients();
    let mut unused = TcpStream::connect(clients).await.expect("a connection");
    let mut used = TcpStream::connect(clients).await.expect("a connection");
    let query = fixture::ordinary_query();
    let first = fixture::exchange(&mut used, &[&query]).await;
    assert_eq!(first.expect("a response").status, 200);
    time::sleep(Duration::from_secs(14)).await;
    for stream in [&mut unused, &mut used] {
        let response = fixture::exchange(stream, &[&query]).await;
        assert_eq!(response.expect("a response").status, 200);
    }
}

/// The time of a head counts from its first byte, and ends with 408.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_head_that_stops_short_is_refused() {
    let mut limits = fixture::usual_limits();
    limits["header_timeout_ms"] = json!(500);
    let entries = Entries::start(1, limits).await;
    let response = call(&entries, &[b"GET /q/ HTTP/1.1\r\n"]).await;
    assert_eq!(response.status, 408);
}
