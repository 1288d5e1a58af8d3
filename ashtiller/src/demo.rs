//! `ashtiller demo`: the roles and simulated services in one process.
//!
//! Requests and jobs run through the same code as in separate processes. One worker is
//! killed after a third of the time. At the end, the results that callers received are
//! checked against what endpoints and workers ran.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use anyhow::Context;
use ashtiller::apply;
use ashtiller::consul;
use ashtiller::gateway::{self, Gateway};
use ashtiller::scheduler::{self, Scheduler};
use ashtiller::settings::Settings;
use ashtiller::web;
use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use standin::agent::{Agent, EndReason, RunHistory};
use standin::endpoint::Endpoint;
use standin::store::{CatalogEntry, Store};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time;

const GATEWAYS: usize = 3;
const SCHEDULERS: usize = 2;
const ENDPOINTS: usize = 6;
const WORKERS: usize = 6;
const ZONES: [&str; 2] = ["bern", "olten"];
const CALLERS: usize = 24;
const JOB_INTERVAL: Duration = Duration::from_millis(400);
/// One job in 16 is a listener.
const LISTENER_EVERY: usize = 16;
/// One job in 10 is a large plan, whose tasks evict others.
const PLAN_EVERY: usize = 10;
const PRINT_INTERVAL: Duration = Duration::from_secs(2);
const JOB_TIMEOUT: Duration = Duration::from_secs(10);

const TEMPLATE: &str = "\
[account]
name = dealer-north
processors = 96
memory = 360GiB

[service fleet]
class = latency-critical
target = 200ms
timeout = 2s
repeat = GET, HEAD

[job reconcile]
class = batch
processors = 2
memory = 4GiB
tasks = 4
length = 4s

[job listener]
class = latency-critical
processors = 1
memory = 1GiB
listener = yes

[job plan]
class = latency-critical
processors = 12
memory = 8GiB
length = 1s
";

/// Results that the callers received.
#[derive(Default)]
struct CallerResults {
    answered: AtomicU64,
    not_run: AtomicU64,
    unknown: AtomicU64,
    wrong_response: AtomicU64,
    requests: Mutex<BTreeMap<String, RequestResult>>,
    latency: Mutex<Option<Histogram<u64>>>,
}

/// Result that one caller received for one request; `once` marks requests that must not
/// run twice.
#[derive(Clone, Copy, PartialEq)]
enum RequestResult {
    Answered { once: bool },
    NotRun,
    Unknown { once: bool },
}

/// Everything that the demo runs.
struct Demo {
    store: Store,
    endpoints: Vec<Endpoint>,
    agents: Vec<Agent>,
    record: Arc<RunHistory>,
    gateways: Vec<Gateway>,
    schedulers: Vec<Scheduler>,
}

/// Runs the demo for about `duration`.
///
/// # Errors
/// Something could not be started, or the check at the end found a violation.
pub async fn run(duration: Duration) -> anyhow::Result<()> {
    println!(
        "starting simulated services, {GATEWAYS} gateways and {SCHEDULERS} schedulers on loopback"
    );
    let demo = open().await?;
    let results = Arc::new(CallerResults::default());
    *results.latency.lock() = Some(Histogram::new(3)?);
    wait_ready(&demo).await?;
    let stop = Arc::new(AtomicBool::new(false));
    let operators = demo.gateways.iter().map(Gateway::operators).collect();
    let submitter = tokio::spawn(submit_jobs(operators, stop.clone()));
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        let address = demo.gateways[number % GATEWAYS].callers();
        callers.spawn(call(number, address, results.clone(), stop.clone()));
    }
    watch(&demo, &results, duration).await;
    stop.store(true, Ordering::SeqCst);
    callers.join_all().await;
    let refused = submitter.await.context("submitting jobs")?;
    finish(demo, &results, refused).await
}

async fn open() -> anyhow::Result<Demo> {
    let store = standin::store::bind("127.0.0.1:0").await?;
    let record = Arc::new(RunHistory::default());
    let mut endpoints = Vec::new();
    for number in 0..ENDPOINTS {
        let name = format!("runner-{number}");
        endpoints.push(standin::endpoint::bind("127.0.0.1:0", &name, 8, true).await?);
    }
    let mut agents = Vec::new();
    for number in 0..WORKERS {
        let name = format!("worker-{number}");
        agents.push(standin::agent::bind("127.0.0.1:0", &name, 1, record.clone()).await?);
    }
    list_endpoints(&store, &endpoints);
    list_workers(&store, &agents);
    apply_template(&store).await?;
    let mut gateways = Vec::new();
    for number in 0..GATEWAYS {
        gateways.push(gateway::spawn(settings(&store, number)?).await?);
    }
    let mut schedulers = Vec::new();
    for number in 0..SCHEDULERS {
        schedulers.push(scheduler::spawn(settings(&store, number)?).await?);
    }
    Ok(Demo {
        store,
        endpoints,
        agents,
        record,
        gateways,
        schedulers,
    })
}

fn settings(store: &Store, number: usize) -> anyhow::Result<Settings> {
    let zone = ZONES[number % ZONES.len()];
    let text = format!(
        "[instance]\nname = entry-{number}\navailability_zone = {zone}\n\
         [platform]\nstore = {}\nrefresh = 200ms\nlease = 3s\n\
         [gateway]\ncallers = 127.0.0.1:0\noperators = 127.0.0.1:0\npeers = 127.0.0.1:0\n\
         drain = 200ms\n\
         [scheduler]\noperators = 127.0.0.1:0\npeers = 127.0.0.1:0\nlease = 1500ms\n\
         renew = 300ms\nmargin = 200ms\nhorizon = 5s\n",
        store.address()
    );
    Ok(Settings::parse("demo", &text)?)
}

fn list_endpoints(store: &Store, endpoints: &[Endpoint]) {
    let listed = endpoints.iter().enumerate().map(|(number, endpoint)| {
        catalog_entry(
            &format!("runner-{number}"),
            endpoint.address(),
            number,
            &[("slots", "8")],
        )
    });
    store.set_instances("fleet", listed.collect());
}

fn list_workers(store: &Store, agents: &[Agent]) {
    let capacity = [
        ("processors", "16"),
        ("memory", "60GiB"),
        ("accelerators", "0"),
    ];
    let listed = agents.iter().enumerate().map(|(number, agent)| {
        catalog_entry(
            &format!("worker-{number}"),
            agent.address(),
            number,
            &capacity,
        )
    });
    store.set_instances("workers", listed.collect());
}

fn catalog_entry(
    name: &str,
    address: SocketAddr,
    number: usize,
    metadata: &[(&str, &str)],
) -> CatalogEntry {
    let zone = ("zone", ZONES[number % ZONES.len()]);
    let metadata = metadata.iter().copied().chain([zone, ("state", "live")]);
    CatalogEntry {
        node: name.to_owned(),
        service_address: address.ip().to_string(),
        service_port: address.port(),
        service_meta: metadata
            .map(|(key, value)| (key.to_owned(), value.to_owned()))
            .collect(),
    }
}

async fn apply_template(store: &Store) -> anyhow::Result<()> {
    let client = consul::open(store.address(), Duration::from_secs(2));
    let account = Arc::from("dealer-north");
    let base = apply::read(&*client, &account).await?;
    apply::write(&*client, &account, &Arc::from(TEMPLATE), &base, false).await?;
    Ok(())
}

async fn wait_ready(demo: &Demo) -> anyhow::Result<()> {
    let client = web::Client::default();
    let timeout = Duration::from_secs(1);
    for gateway in &demo.gateways {
        let until = Instant::now() + JOB_TIMEOUT;
        loop {
            let call = client.call(
                "wait for gateway",
                gateway.operators(),
                Method::GET,
                "/health",
                Bytes::new(),
                timeout,
            );
            if call
                .await
                .is_ok_and(|response| response.status.is_success())
            {
                break;
            }
            anyhow::ensure!(Instant::now() < until, "a gateway did not become ready");
            time::sleep(Duration::from_millis(50)).await;
        }
    }
    Ok(())
}

/// Submits jobs at a fixed interval until `stop` is set; returns how many were not accepted.
async fn submit_jobs(gateways: Vec<SocketAddr>, stop: Arc<AtomicBool>) -> usize {
    let client = web::Client::default();
    let mut refused = 0;
    for number in 0.. {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        let kind = match number {
            _ if number % LISTENER_EVERY == 0 => "listener",
            _ if number % PLAN_EVERY == PLAN_EVERY - 1 => "plan",
            _ => "reconcile",
        };
        let target = format!("/v1/jobs/dealer-north/night-{number}?kind={kind}");
        let address = gateways[number % gateways.len()];
        let method = Method::PUT;
        let call = client.call(
            "submit job",
            address,
            method,
            &target,
            Bytes::new(),
            JOB_TIMEOUT,
        );
        if !call
            .await
            .is_ok_and(|response| response.status.is_success())
        {
            refused += 1;
        }
        time::sleep(JOB_INTERVAL).await;
    }
    refused
}

/// Runs one caller, which sends one request at a time over one connection and reconnects
/// when it breaks.
async fn call(
    number: usize,
    address: SocketAddr,
    results: Arc<CallerResults>,
    stop: Arc<AtomicBool>,
) {
    let mut sequence = 0;
    while !stop.load(Ordering::SeqCst) {
        let Ok(stream) = TcpStream::connect(address).await else {
            time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let Ok((mut sender, connection)) = http1::handshake(TokioIo::new(stream)).await else {
            continue;
        };
        tokio::spawn(connection);
        while !stop.load(Ordering::SeqCst) && sender.ready().await.is_ok() {
            sequence += 1;
            let id = format!("{number}-{sequence}");
            let once = sequence % 3 == 0;
            let result = exchange(&mut sender, &id, once, &results).await;
            results.requests.lock().insert(id, result);
            time::sleep(Duration::from_millis(2)).await;
        }
    }
}

async fn exchange(
    sender: &mut http1::SendRequest<Full<Bytes>>,
    id: &str,
    once: bool,
    results: &CallerResults,
) -> RequestResult {
    let body = if once {
        format!("charge {id}")
    } else {
        String::new()
    };
    let request = Request::builder()
        .method(if once { Method::POST } else { Method::GET })
        .uri("/fleet/sweep")
        .header("host", "fleet")
        .header("client-account", "dealer-north")
        .header("request-id", id)
        .header("service-ms", "5")
        .body(Full::new(Bytes::from(body.clone())));
    let Ok(request) = request else {
        return RequestResult::NotRun;
    };
    let started = Instant::now();
    let response = match sender.send_request(request).await {
        Ok(response) => {
            let (head, payload) = response.into_parts();
            payload
                .collect()
                .await
                .ok()
                .map(|payload| (head, payload.to_bytes()))
        }
        Err(_) => None,
    };
    let Some((head, payload)) = response else {
        results.unknown.fetch_add(1, Ordering::Relaxed);
        return RequestResult::Unknown { once };
    };
    let outcome = head
        .headers
        .get("ashtiller-outcome")
        .and_then(|value| value.to_str().ok());
    match outcome {
        Some("not-run") => {
            results.not_run.fetch_add(1, Ordering::Relaxed);
            RequestResult::NotRun
        }
        Some(_) => {
            results.unknown.fetch_add(1, Ordering::Relaxed);
            RequestResult::Unknown { once }
        }
        None => {
            results.answered.fetch_add(1, Ordering::Relaxed);
            let own = head
                .headers
                .get("request-id")
                .is_some_and(|found| found == id);
            if !own || (once && payload != body) {
                results.wrong_response.fetch_add(1, Ordering::Relaxed);
            }
            let micros = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
            if let Some(latency) = results.latency.lock().as_mut() {
                // Recording cannot fail: the histogram resizes automatically.
                let _ = latency.record(micros);
            }
            RequestResult::Answered { once }
        }
    }
}

async fn watch(demo: &Demo, results: &CallerResults, duration: Duration) {
    let started = Instant::now();
    let mut killed = false;
    while started.elapsed() < duration {
        time::sleep(PRINT_INTERVAL.min(duration)).await;
        if !killed && started.elapsed() * 3 >= duration {
            killed = true;
            kill_busiest(demo);
        }
        let running: usize = demo.agents.iter().map(Agent::running).sum();
        println!(
            "{:4.0} s: {} answered, {} not run, {} unknown; {running} tasks running",
            started.elapsed().as_secs_f64(),
            results.answered.load(Ordering::Relaxed),
            results.not_run.load(Ordering::Relaxed),
            results.unknown.load(Ordering::Relaxed),
        );
    }
}

fn kill_busiest(demo: &Demo) {
    let busiest = demo
        .agents
        .iter()
        .enumerate()
        .max_by_key(|(_, agent)| agent.running());
    if let Some((number, agent)) = busiest {
        println!(
            "        killing worker-{number} with {} tasks",
            agent.running()
        );
        agent.kill();
    }
}

async fn finish(demo: Demo, results: &CallerResults, refused: usize) -> anyhow::Result<()> {
    let runs = endpoint_runs(&demo.endpoints);
    let intervals = demo.record.intervals();
    let count = |end: EndReason| {
        intervals
            .iter()
            .filter(|interval| interval.end == Some(end))
            .count()
    };
    let resumed = intervals
        .iter()
        .filter(|interval| interval.attempt > 1)
        .count();
    let violations = check(results, &runs, &demo.record);
    let calls = demo.store.calls();
    let latency = results.latency.lock().take();
    println!();
    let row = |name: &str, value: String| println!("{name:<32}{value:>12}");
    row(
        "requests answered",
        results.answered.load(Ordering::Relaxed).to_string(),
    );
    row(
        "requests not run",
        results.not_run.load(Ordering::Relaxed).to_string(),
    );
    row(
        "requests unknown",
        results.unknown.load(Ordering::Relaxed).to_string(),
    );
    if let Some(latency) = latency {
        for (name, quantile) in [("p50", 0.5), ("p99", 0.99), ("p99.9", 0.999)] {
            let micros = Duration::from_micros(latency.value_at_quantile(quantile));
            row(
                &format!("latency {name}, ms"),
                format!("{:.1}", micros.as_secs_f64() * 1e3),
            );
        }
    }
    row("jobs refused", refused.to_string());
    row("task attempts started", intervals.len().to_string());
    row(
        "task attempts finished",
        count(EndReason::Finished).to_string(),
    );
    row("evictions", count(EndReason::Evicted).to_string());
    row("resumes after a lost attempt", resumed.to_string());
    row(
        "store reads / writes",
        format!("{} / {}", calls.reads, calls.writes),
    );
    row("violations", violations.len().to_string());
    for gateway in demo.gateways {
        gateway.stop().await;
    }
    for scheduler in demo.schedulers {
        scheduler.stop().await;
    }
    anyhow::ensure!(
        violations.is_empty(),
        "violations: {}",
        violations.join("; ")
    );
    Ok(())
}

fn endpoint_runs(endpoints: &[Endpoint]) -> BTreeMap<String, u32> {
    let mut runs = BTreeMap::new();
    for endpoint in endpoints {
        for (id, times) in endpoint.run_counts() {
            *runs.entry(id).or_default() += times;
        }
    }
    runs
}

/// Checks the callers' results against what endpoints and workers ran; returns a
/// description of each violation.
fn check(
    results: &CallerResults,
    runs: &BTreeMap<String, u32>,
    record: &RunHistory,
) -> Vec<String> {
    let mut violations = Vec::new();
    let wrong = results.wrong_response.load(Ordering::Relaxed);
    if wrong > 0 {
        violations.push(format!(
            "{wrong} requests got a response that was not their own"
        ));
    }
    for (id, result) in results.requests.lock().iter() {
        let times = runs.get(id).copied().unwrap_or(0);
        match result {
            RequestResult::NotRun if times > 0 => {
                violations.push(format!("{id}: reported as not run, but ran {times} times"));
            }
            RequestResult::Answered { .. } if times == 0 => {
                violations.push(format!("{id}: answered, but never ran"));
            }
            RequestResult::Answered { once: true } | RequestResult::Unknown { once: true }
                if times > 1 =>
            {
                violations.push(format!("{id}: must not run twice, but ran {times} times"));
            }
            _ => {}
        }
    }
    for (one, other) in record.overlapping() {
        violations.push(format!(
            "{} ran on {} and {} at the same time",
            one.task, one.worker, other.worker
        ));
    }
    let mut finished = BTreeMap::new();
    for interval in record
        .intervals()
        .iter()
        .filter(|interval| interval.end == Some(EndReason::Finished))
    {
        *finished.entry(interval.task.clone()).or_insert(0_u32) += 1;
    }
    for (task, times) in finished.iter().filter(|(_, times)| **times > 1) {
        violations.push(format!("{task} finished {times} times"));
    }
    violations
}
