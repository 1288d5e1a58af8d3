//! Crowds at the gateway.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ashtiller::apply::{self, Applied};
use ashtiller::consul;
use standin::endpoint::Endpoint;
use standin::store::{CatalogEntry, Store};
use tokio::sync::OwnedMutexGuard;
use tokio::time::{self, Instant};

use crate::crowd::{Crowd, Script};
use crate::fixture;
use crate::process::{Process, ProcessLimits, WAIT_LIMIT};

/// Limits of the gateway process, which has several threads and their stacks.
const GATEWAY_LIMITS: ProcessLimits = ProcessLimits {
    memory_kib: 96 << 10,
    descriptors: 400,
};
/// Clients of a crowd.
const CLIENTS: usize = 300;
/// Largest body that is kept for a retry: the default of `replay`.
const REPLAY_MAX: usize = 64 << 10;
const PIECE: usize = 4096;
const PIECES: usize = 256;
const TEMPLATE: &str = "[account]\nname = dealer-north\nprocessors = 64\nmemory = 256GiB\n\
    [service fleet]\nclass = latency-critical\ntimeout = 60s\n";
const HEAD: &str = "host: fleet\r\nclient-account: dealer-north\r\n";

struct Gateway {
    process: Process,
    _store: Store,
    _endpoint: Endpoint,
    _turn: OwnedMutexGuard<()>,
}

impl Gateway {
    async fn start() -> Self {
        let turn = fixture::take_turn().await;
        let store = standin::store::bind("127.0.0.1:0").await.expect("store");
        let endpoint = standin::endpoint::bind("127.0.0.1:0", "runner-0", 8, false).await;
        let endpoint = endpoint.expect("endpoint");
        store.set_instances("fleet", vec![listed(endpoint.address())]);
        apply_template(&store).await;
        let settings = format!(
            "[instance]\nname = gateway\navailability_zone = bern\n\
             [platform]\nstore = {}\nrefresh = 50ms\n\
             [gateway]\ncallers = 127.0.0.1:0\noperators = 127.0.0.1:0\npeers = 127.0.0.1:0\n\
             drain = 100ms\n",
            store.address()
        );
        let unbound = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut process = Process::spawn("gateway", &settings, unbound, GATEWAY_LIMITS);
        let callers = wait_for_callers(&process).await;
        process.set_clients(callers);
        let mut gateway = Self {
            process,
            _store: store,
            _endpoint: endpoint,
            _turn: turn,
        };
        gateway.assert_answered().await;
        gateway.process.settle();
        gateway
    }

    async fn assert_answered(&self) {
        let query = format!("GET /fleet/sweep HTTP/1.1\r\n{HEAD}\r\n");
        let post = format!("POST /fleet/sweep HTTP/1.1\r\n{HEAD}content-length: 5\r\n\r\nsweep");
        for request in [query, post] {
            fixture::assert_succeeds(self.process.clients(), request.as_bytes()).await;
        }
    }

    async fn withstands(&mut self, script: &Script, clients: usize) {
        let mut crowd = Crowd::spawn(self.process.clients(), script, clients);
        crowd.sent().await;
        self.process.check();
        self.assert_answered().await;
        self.process.check();
        crowd.leave().await;
        self.assert_answered().await;
        self.process.check();
    }
}

fn listed(address: SocketAddr) -> CatalogEntry {
    CatalogEntry {
        node: "runner-0".to_owned(),
        service_address: address.ip().to_string(),
        service_port: address.port(),
        service_meta: [("slots".to_owned(), "8".to_owned())].into(),
    }
}

async fn apply_template(store: &Store) {
    let client = consul::open(store.address(), Duration::from_secs(2));
    let account: Arc<str> = "dealer-north".into();
    let base = apply::read(&*client, &account).await.expect("base");
    let applied = apply::write(&*client, &account, &Arc::from(TEMPLATE), &base, false).await;
    assert!(matches!(applied, Ok(Applied::Accepted(_))), "not applied");
}

/// Returns the address for callers from the log message `open`.
async fn wait_for_callers(process: &Process) -> SocketAddr {
    let limit = Instant::now() + WAIT_LIMIT;
    loop {
        let log = process.log();
        let open = log
            .lines()
            .find(|line| line.contains("\"message\":\"open\""));
        let open = open.and_then(|line| serde_json::from_str::<serde_json::Value>(line).ok());
        let callers = open.and_then(|open| open["fields"]["callers"].as_str()?.parse().ok());
        if let Some(callers) = callers {
            return callers;
        }
        assert!(Instant::now() < limit, "the gateway does not open: {log}");
        time::sleep(Duration::from_millis(20)).await;
    }
}

/// Returns the head of a request whose caller allows it a minute.
fn request(framing: &str) -> Vec<u8> {
    format!("POST /fleet/sweep HTTP/1.1\r\n{HEAD}request-timeout: 60s\r\n{framing}\r\n\r\n")
        .into_bytes()
}

fn short_bodies() -> Script {
    let opening = request(&format!("content-length: {REPLAY_MAX}"));
    Script {
        opening: [opening, vec![b' '; REPLAY_MAX - 1]].concat(),
        ..Script::default()
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gateway_bodies_that_stop_short() {
    let mut gateway = Gateway::start().await;
    gateway.withstands(&short_bodies(), CLIENTS).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gateway_bodies_in_small_pieces_that_stop_short() {
    let script = Script {
        opening: request(&format!("content-length: {REPLAY_MAX}")),
        piece: vec![b' '; 64],
        pieces: REPLAY_MAX / 64 - 1,
        ..Script::default()
    };
    Gateway::start().await.withstands(&script, CLIENTS).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gateway_chunks_that_stop_short() {
    let script = Script {
        opening: [
            request("transfer-encoding: chunked"),
            b"100000\r\n".to_vec(),
        ]
        .concat(),
        piece: vec![b' '; PIECE],
        pieces: PIECES - 1,
        ..Script::default()
    };
    Gateway::start().await.withstands(&script, CLIENTS).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gateway_heads_without_end() {
    let value = "a".repeat(PIECE - "x-filler: \r\n".len());
    let script = Script {
        opening: format!("GET /fleet/sweep HTTP/1.1\r\n{HEAD}").into_bytes(),
        piece: format!("x-filler: {value}\r\n").into_bytes(),
        pieces: PIECES,
        ..Script::default()
    };
    Gateway::start().await.withstands(&script, CLIENTS).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gateway_empty_lines_without_end_before_a_request() {
    let script = Script {
        piece: b"\r\n".repeat(PIECE / 2),
        pieces: PIECES,
        ..Script::default()
    };
    Gateway::start().await.withstands(&script, CLIENTS).await;
}

/// More callers connect than the process may have descriptors.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gateway_idle_connections() {
    let clients = GATEWAY_LIMITS.descriptors + 50;
    let mut gateway = Gateway::start().await;
    gateway.withstands(&Script::default(), clients).await;
}

/// A planned stop does not wait for requests whose bodies are unfinished.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gateway_stop_beside_bodies_that_stop_short() {
    let mut gateway = Gateway::start().await;
    let mut crowd = Crowd::spawn(gateway.process.clients(), &short_bodies(), CLIENTS);
    crowd.sent().await;
    assert_eq!(gateway.process.stop().await, Some(0));
}
