//! Crowds at entry processes.

use serde_json::json;

use crate::crowd::{Crowd, Script};
use crate::fixture::{self, BODY_MAX, ENTRY_LIMITS, Entries, HEAD_MAX};
use crate::process::Process;

/// Clients of a crowd.
const CLIENTS: usize = 200;
/// Bytes of one piece of what has no end.
const PIECE: usize = 4096;
/// Pieces of what has no end: 1 MiB for each client.
const PIECES: usize = 256;

/// Connects a crowd to an entry and checks all entries, and that ordinary callers are answered while
/// the crowd is connected and after it has left.
async fn withstands(entries: &mut Entries, at: usize, script: &Script, clients: usize) {
    let address = entries.processes[at].clients();
    let mut crowd = Crowd::spawn(address, script, clients);
    crowd.sent().await;
    entries.check();
    for process in &entries.processes {
        fixture::assert_answered(process.clients()).await;
    }
    entries.check();
    crowd.leave().await;
    fixture::assert_answered(address).await;
    entries.check();
}

async fn entry_withstands(script: Script) {
    let mut entries = Entries::start(1, fixture::usual_limits()).await;
    withstands(&mut entries, 0, &script, CLIENTS).await;
}

fn endless_head() -> Script {
    let value = "a".repeat(PIECE - "x-filler: \r\n".len());
    Script {
        opening: b"GET /q/ HTTP/1.1\r\nhost: jobs.example\r\n".to_vec(),
        piece: format!("x-filler: {value}\r\n").into_bytes(),
        pieces: PIECES,
        ..Script::default()
    }
}

fn chunked_opening() -> Vec<u8> {
    fixture::submission(1, "transfer-encoding: chunked")
}

fn sized_opening(length: usize) -> Vec<u8> {
    fixture::submission(1, &format!("content-length: {length}"))
}

/// Returns a whole submission of this size whose body is one long text.
fn large_submission() -> Vec<u8> {
    let (before, after) = (r#"{"steps":[{"count":1}],"spec":""#, r#""}"#);
    let text = "a".repeat(BODY_MAX - before.len() - after.len());
    let body = format!("{before}{text}{after}");
    [sized_opening(body.len()), body.into_bytes()].concat()
}

/// Returns a body of the largest size with as many steps as it can hold.
fn many_steps() -> Vec<u8> {
    let step = r#"{"count":1,"cpu":10},"#;
    let steps = step.repeat(BODY_MAX / step.len() - 2);
    let body = format!(r#"{{"steps":[{}]}}"#, steps.trim_end_matches(','));
    fixture::pad_body(&body)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn heads_without_end() {
    entry_withstands(endless_head()).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn heads_without_end_of_clients_that_return() {
    entry_withstands(Script {
        returns: true,
        ..endless_head()
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_line_without_end() {
    entry_withstands(Script {
        opening: b"GET /q/".to_vec(),
        piece: vec![b'a'; PIECE],
        pieces: PIECES,
        ..Script::default()
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn empty_lines_without_end_before_a_request() {
    entry_withstands(Script {
        piece: b"\r\n".repeat(PIECE / 2),
        pieces: PIECES,
        ..Script::default()
    })
    .await;
}

/// Each client stops one byte short of the end of the largest head.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn heads_that_stop_short() {
    let opening = b"GET /q/ HTTP/1.1\r\nhost: jobs.example\r\nx-filler: ".to_vec();
    let filler = vec![b'a'; HEAD_MAX - opening.len() - 4];
    entry_withstands(Script {
        opening: [opening, filler, b"\r\n\r".to_vec()].concat(),
        ..Script::default()
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn whole_bodies_of_the_largest_size() {
    entry_withstands(Script {
        piece: large_submission(),
        pieces: 10,
        ..Script::default()
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn whole_bodies_of_many_steps() {
    let body = many_steps();
    entry_withstands(Script {
        piece: [sized_opening(body.len()), body].concat(),
        pieces: 4,
        ..Script::default()
    })
    .await;
}

fn short_bodies() -> Script {
    Script {
        opening: [sized_opening(BODY_MAX), vec![b' '; BODY_MAX - 1]].concat(),
        ..Script::default()
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_that_stop_short() {
    entry_withstands(short_bodies()).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_that_stop_short_of_clients_that_return() {
    entry_withstands(Script {
        returns: true,
        ..short_bodies()
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_in_small_pieces_that_stop_short() {
    entry_withstands(Script {
        opening: sized_opening(BODY_MAX),
        piece: vec![b' '; 64],
        pieces: BODY_MAX / 64 - 1,
        ..Script::default()
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_chunks_that_stop_short() {
    let size = format!("{BODY_MAX:x}\r\n").into_bytes();
    entry_withstands(Script {
        opening: [chunked_opening(), size, vec![b' '; BODY_MAX - 1]].concat(),
        ..Script::default()
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn chunks_of_one_byte() {
    entry_withstands(Script {
        opening: chunked_opening(),
        piece: b"1\r\n \r\n".repeat(1000),
        pieces: BODY_MAX / 1000 - 1,
        ..Script::default()
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn chunk_extensions_without_end() {
    entry_withstands(Script {
        opening: [chunked_opening(), b"1;".to_vec()].concat(),
        piece: vec![b'x'; PIECE],
        pieces: PIECES,
        ..Script::default()
    })
    .await;
}

/// More clients connect than the process may have descriptors.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idle_connections() {
    let mut entries = Entries::start(1, fixture::usual_limits()).await;
    let clients = ENTRY_LIMITS.descriptors + 50;
    withstands(&mut entries, 0, &Script::default(), clients).await;
}

fn unread_answers() -> Script {
    Script {
        piece: fixture::ordinary_query().repeat(64),
        pieces: PIECES,
        deaf: true,
        ..Script::default()
    }
}

/// Clients that never read an answer are disconnected.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unread_answers_of_pipelined_requests() {
    let mut limits = fixture::usual_limits();
    limits["idle_timeout_ms"] = json!(3000);
    let mut entries = Entries::start(1, limits).await;
    let address = entries.processes[0].clients();
    let mut crowd = Crowd::spawn(address, &unread_answers(), CLIENTS);
    crowd.sent().await;
    entries.check();
    fixture::assert_answered(address).await;
    crowd.assert_closed().await;
    entries.check();
}

/// What an entry takes meets that of all others at the owner of the log.
async fn crowd_at_a_follower(script: Script) {
    let mut entries = Entries::start(3, fixture::usual_limits()).await;
    withstands(&mut entries, 2, &script, CLIENTS).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_steps_at_an_entry_that_is_not_the_owner() {
    let body = many_steps();
    crowd_at_a_follower(Script {
        piece: [sized_opening(body.len()), body].concat(),
        pieces: 4,
        ..Script::default()
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn whole_bodies_at_an_entry_that_is_not_the_owner() {
    crowd_at_a_follower(Script {
        piece: large_submission(),
        pieces: 10,
        ..Script::default()
    })
    .await;
}

/// A crowd at every entry, so that the owner bears the sum of what they forward.
async fn crowds_at_all_entries(script: &Script) {
    let mut entries = Entries::start(3, fixture::usual_limits()).await;
    let addresses: Vec<_> = entries.processes.iter().map(Process::clients).collect();
    let spawn = |address| Crowd::spawn(address, script, CLIENTS / 2);
    let mut crowds: Vec<Crowd> = addresses.iter().copied().map(spawn).collect();
    for crowd in &mut crowds {
        crowd.sent().await;
    }
    entries.check();
    for address in addresses {
        fixture::assert_answered(address).await;
    }
    entries.check();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn whole_bodies_at_all_entries() {
    crowds_at_all_entries(&Script {
        piece: large_submission(),
        pieces: 10,
        ..Script::default()
    })
    .await;
}

/// Valid jobs with as many steps and as long texts as are allowed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_jobs_at_all_entries() {
    let step = format!(
        r#"{{"count":1,"cpu":9000000,"image":"{}"}},"#,
        "i".repeat(3900)
    );
    let body = format!(r#"{{"steps":[{}]}}"#, step.repeat(64).trim_end_matches(','));
    crowds_at_all_entries(&Script {
        piece: [sized_opening(body.len()), body.into_bytes()].concat(),
        pieces: 10,
        numbered: true,
        ..Script::default()
    })
    .await;
}

/// Small valid jobs, each of which has the largest number of tasks.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn jobs_of_many_tasks() {
    let body = r#"{"steps":[{"count":10000,"cpu":9000000}]}"#;
    entry_withstands(Script {
        piece: [sized_opening(body.len()), body.as_bytes().to_vec()].concat(),
        pieces: 10,
        numbered: true,
        ..Script::default()
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn heads_without_end_beside_bodies_that_stop_short() {
    let mut entries = Entries::start(1, fixture::usual_limits()).await;
    let address = entries.processes[0].clients();
    let mut heads = Crowd::spawn(address, &endless_head(), CLIENTS / 2);
    let mut bodies = Crowd::spawn(address, &short_bodies(), CLIENTS / 2);
    heads.sent().await;
    bodies.sent().await;
    entries.check();
    fixture::assert_answered(address).await;
    entries.check();
}

/// The process ends within its grace period, beside clients whose requests are unfinished.
async fn stops_beside(script: Script) {
    let mut entries = Entries::start(1, fixture::usual_limits()).await;
    let mut crowd = Crowd::spawn(entries.processes[0].clients(), &script, CLIENTS);
    crowd.sent().await;
    entries.check();
    assert_eq!(entries.processes[0].stop().await, Some(0));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stop_beside_bodies_that_stop_short() {
    stops_beside(short_bodies()).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stop_beside_heads_without_end() {
    stops_beside(endless_head()).await;
}

/// Connections on the ports of the load balancer and of operators leave descriptors to the others.
async fn idle_connections_at(offset: u16, path: &str) {
    let mut entries = Entries::start(1, fixture::usual_limits()).await;
    let clients = entries.processes[0].clients();
    let mut port = clients;
    port.set_port(clients.port() + offset);
    let mut crowd = Crowd::spawn(port, &Script::default(), ENTRY_LIMITS.descriptors + 50);
    crowd.sent().await;
    entries.check();
    let request = format!("GET {path} HTTP/1.1\r\nhost: entry\r\n\r\n");
    fixture::assert_succeeds(port, request.as_bytes()).await;
    fixture::assert_answered(clients).await;
    entries.check();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idle_connections_at_the_readiness_port() {
    idle_connections_at(1, "/-/readyz").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idle_connections_at_the_operators_port() {
    idle_connections_at(2, "/metrics").await;
}
