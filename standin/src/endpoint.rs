//! Stand-in for an endpoint with a limited number of slots, a service time and fault switches.
//!
//! A request's `service-ms` header sets how long it occupies a slot (default 1 ms). The answer
//! repeats the request's `request-id` and body, so that a caller can tell its own answer from
//! another's. [`Endpoint::drain`] makes it refuse further work.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use hyper::header::{HeaderMap, HeaderValue};
use parking_lot::Mutex;
use tokio::sync::Semaphore;
use tokio::time;

use crate::faults::{Faults, Switches};
use crate::serve::{self, Answer, Call, Payload, Reply};

/// Header by which an endpoint reports that it did not run a request.
const OUTCOME_HEADER: &str = "ashtiller-outcome";
/// Header of load reports, as published by Open Request Cost Aggregation (ORCA).
const LOAD_HEADER: &str = "endpoint-load-metrics";

/// Counters of an endpoint.
#[derive(Debug, Default)]
pub struct Counts {
    /// Requests whose handler ran.
    pub run: AtomicU64,
    /// Requests that arrived while all slots were taken.
    pub queued: AtomicU64,
    /// Requests refused while draining.
    pub refused: AtomicU64,
}

struct Shared {
    slots: Semaphore,
    slot_count: usize,
    draining: AtomicBool,
    slowdown: Mutex<f64>,
    faults: Faults,
    counts: Counts,
    run_counts: Mutex<BTreeMap<String, u32>>,
    last_headers: Mutex<HeaderMap>,
    record: bool,
    name: String,
}

/// Running endpoint stand-in.
pub struct Endpoint {
    server: serve::Server,
    shared: Arc<Shared>,
}

impl Endpoint {
    /// Returns the address assigned by the kernel.
    #[must_use]
    pub fn address(&self) -> std::net::SocketAddr {
        self.server.address()
    }

    /// Returns the fault switches.
    #[must_use]
    pub fn faults(&self) -> &Faults {
        &self.shared.faults
    }

    /// Returns the counters.
    #[must_use]
    pub fn counts(&self) -> &Counts {
        &self.shared.counts
    }

    /// Returns how often the handler ran for each `request-id`.
    #[must_use]
    pub fn run_counts(&self) -> BTreeMap<String, u32> {
        self.shared.run_counts.lock().clone()
    }

    /// Returns the header fields of the last request that ran.
    #[must_use]
    pub fn last_headers(&self) -> HeaderMap {
        self.shared.last_headers.lock().clone()
    }

    /// Refuses further work, as an endpoint does before it shuts down.
    pub fn drain(&self) {
        self.shared.draining.store(true, Ordering::SeqCst);
    }

    /// Multiplies every service time.
    pub fn set_slowdown(&self, factor: f64) {
        *self.shared.slowdown.lock() = factor;
    }

    /// Closes the port and every connection.
    pub fn kill(&self) {
        self.server.kill();
    }
}

/// Starts an endpoint with `slots` slots; `record` keeps the headers of the last request and counts
/// runs by `request-id`.
///
/// # Errors
/// Fails if the port cannot be bound.
pub async fn bind(
    address: &str,
    name: &str,
    slots: usize,
    record: bool,
) -> anyhow::Result<Endpoint> {
    let shared = Arc::new(Shared {
        slots: Semaphore::new(slots),
        slot_count: slots,
        draining: AtomicBool::new(false),
        slowdown: Mutex::new(1.0),
        faults: Faults::default(),
        counts: Counts::default(),
        run_counts: Mutex::default(),
        last_headers: Mutex::default(),
        record,
        name: name.to_owned(),
    });
    let server = serve::bind(address, {
        let shared = shared.clone();
        move |call| handle(shared.clone(), call)
    })
    .await?;
    Ok(Endpoint { server, shared })
}

async fn handle(shared: Arc<Shared>, call: Call) -> Reply {
    if call.path == "/fault" {
        return Reply::Send(shared.faults.set_from_request(&call));
    }
    let switches = shared.faults.get();
    if switches.down {
        return Reply::CloseConnection;
    }
    if switches.frozen {
        std::future::pending::<()>().await;
    }
    if call.path == "/health" {
        let draining = shared.draining.load(Ordering::SeqCst);
        let status = if draining || switches.failing {
            503
        } else {
            200
        };
        return Reply::Send(serve::text(status, "{}"));
    }
    if shared.draining.load(Ordering::SeqCst) {
        shared.counts.refused.fetch_add(1, Ordering::Relaxed);
        let mut answer = serve::text(503, "leaving");
        answer
            .headers_mut()
            .insert(OUTCOME_HEADER, HeaderValue::from_static("not-run"));
        answer
            .headers_mut()
            .insert("connection", HeaderValue::from_static("close"));
        return Reply::Send(answer);
    }
    if switches.failing {
        record_run(&shared, &call.headers);
        return Reply::Send(serve::text(500, "failing"));
    }
    if shared.slots.available_permits() == 0 {
        shared.counts.queued.fetch_add(1, Ordering::Relaxed);
    }
    let Ok(_slot) = shared.slots.acquire().await else {
        return Reply::CloseConnection;
    };
    record_run(&shared, &call.headers);
    let factor = *shared.slowdown.lock();
    time::sleep(service_time(&call.headers).mul_f64(factor)).await;
    if shared.faults.get().down || shared.faults.take_lost_answer() {
        return Reply::CloseConnection;
    }
    Reply::Send(echo(&shared, &call, &switches))
}

fn record_run(shared: &Shared, headers: &HeaderMap) {
    shared.counts.run.fetch_add(1, Ordering::Relaxed);
    if !shared.record {
        return;
    }
    shared.last_headers.lock().clone_from(headers);
    if let Some(id) = headers.get("request-id").and_then(|id| id.to_str().ok()) {
        *shared.run_counts.lock().entry(id.to_owned()).or_default() += 1;
    }
}

fn service_time(headers: &HeaderMap) -> Duration {
    let millis = headers
        .get("service-ms")
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse::<f64>().ok())
        .unwrap_or(1.0);
    Duration::from_secs_f64(millis.max(0.0) / 1e3)
}

fn echo(shared: &Shared, call: &Call, switches: &Switches) -> Answer {
    let mut answer = serve::text(200, "");
    let mut body = Payload::complete(call.body.clone());
    if switches.cut_body {
        body = Payload::truncated(&call.body);
    }
    *answer.body_mut() = if switches.chunked {
        body.in_chunks()
    } else {
        body
    };
    if let Some(id) = call.headers.get("request-id") {
        answer.headers_mut().insert("request-id", id.clone());
    }
    let taken = shared
        .slot_count
        .saturating_sub(shared.slots.available_permits());
    let load = format!("TEXT named_metrics.in_flight={taken}");
    if let Ok(load) = HeaderValue::from_str(&load) {
        answer.headers_mut().insert(LOAD_HEADER, load);
    }
    if let Ok(name) = HeaderValue::from_str(&shared.name) {
        answer.headers_mut().insert("endpoint-name", name);
    }
    answer
}
