//! Fixtures for tests on real ports: simulated stores, endpoints and workers, with gateways and
//! schedulers.
#![allow(dead_code, reason = "each test file uses a part")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ashtiller::apply::{self, Applied};
use ashtiller::consul;
use ashtiller::gateway::{self, Gateway};
use ashtiller::scheduler::{self, Scheduler};
use ashtiller::settings::Settings;
use ashtiller::web;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper::{HeaderMap, Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use standin::agent::{Agent, EndReason, RunHistory, RunInterval};
use standin::endpoint::Endpoint;
use standin::store::{CatalogEntry, Store};
use tokio::net::TcpStream;
use tokio::time::{self, Instant};

/// Limit on every wait; reached only when the expected event never happens.
pub const WAIT_LIMIT: Duration = Duration::from_secs(30);

pub const ACCOUNTS: [&str; 2] = ["dealer-north", "dealer-south"];

/// Returns a template with one service; `extra` lines go into the service's section.
pub fn template(account: &str, extra: &str) -> String {
    format!(
        "[account]\nname = {account}\nprocessors = 64\nmemory = 256GiB\naccelerators = 4\n\
         [service fleet]\nclass = latency-critical\ntimeout = 5s\n{extra}\n\
         [job batch]\nprocessors = 2\nmemory = 4GiB\nlength = 300ms\ntasks = 2\n\
         [job long]\nprocessors = 2\nmemory = 4GiB\nlength = 1h\n\
         [job listener]\nclass = latency-critical\nprocessors = 1\nmemory = 1GiB\nlistener = yes\n\
         [job plan]\nclass = latency-critical\nurgent = yes\nprocessors = 14\nmemory = 8GiB\n\
         length = 300ms\n"
    )
}

pub fn settings(store: SocketAddr, name: &str, zone: &str) -> Settings {
    let text = format!(
        "[instance]\nname = {name}\navailability_zone = {zone}\n\
         [platform]\nstore = {store}\nrefresh = 50ms\nlease = 2s\ntimeout = 500ms\n\
         [gateway]\ncallers = 127.0.0.1:0\noperators = 127.0.0.1:0\npeers = 127.0.0.1:0\n\
         drain = 100ms\nbody = 1MiB\nreplay = 16KiB\nconnections = 16\nclaims = 100\n\
         [scheduler]\noperators = 127.0.0.1:0\npeers = 127.0.0.1:0\nlease = 900ms\n\
         renew = 150ms\nmargin = 100ms\nhorizon = 2s\ncommit = 5ms\nsnapshot = 16\n"
    );
    Settings::parse("test", &text).expect("valid test settings")
}

pub fn listed(name: &str, address: SocketAddr, facts: &[(&str, &str)]) -> CatalogEntry {
    let facts = facts
        .iter()
        .map(|(key, value)| ((*key).to_owned(), (*value).to_owned()));
    CatalogEntry {
        node: name.to_owned(),
        service_address: address.ip().to_string(),
        service_port: address.port(),
        service_meta: facts.collect(),
    }
}

/// A store, endpoints and gateways.
pub struct World {
    pub store: Store,
    pub endpoints: Vec<Endpoint>,
    pub gateways: Vec<Gateway>,
}

impl World {
    pub async fn open(gateways: usize, endpoints: usize) -> Self {
        Self::with_template(gateways, endpoints, "").await
    }

    pub async fn with_template(gateways: usize, endpoints: usize, extra: &str) -> Self {
        let mut world = Self::without_gateways(endpoints, extra).await;
        for number in 0..gateways {
            world.add_gateway(number).await;
        }
        for number in 0..gateways {
            world.wait_ready(number).await;
        }
        world
    }

    pub async fn without_gateways(endpoints: usize, extra: &str) -> Self {
        let store = standin::store::bind("127.0.0.1:0").await.expect("store");
        let mut bound = Vec::new();
        for number in 0..endpoints {
            let name = format!("runner-{number}");
            let endpoint = standin::endpoint::bind("127.0.0.1:0", &name, 8, true).await;
            bound.push(endpoint.expect("endpoint"));
        }
        let world = Self {
            store,
            endpoints: bound,
            gateways: Vec::new(),
        };
        world.list(&[]);
        for account in ACCOUNTS {
            apply_text(&world.store, account, &template(account, extra)).await;
        }
        world
    }

    pub async fn add_gateway(&mut self, number: usize) {
        let settings = settings(self.store.address(), &format!("entry-{number}"), "bern");
        self.gateways
            .push(gateway::spawn(settings).await.expect("gateway"));
    }

    /// Publishes every endpoint in the catalog; those numbered in `leaving` have the state leaving.
    pub fn list(&self, leaving: &[usize]) {
        let listings = self.endpoints.iter().enumerate().map(|(number, endpoint)| {
            let state = if leaving.contains(&number) {
                "leaving"
            } else {
                "live"
            };
            let facts = [("slots", "8"), ("zone", "bern"), ("state", state)];
            listed(&format!("runner-{number}"), endpoint.address(), &facts)
        });
        self.store.set_instances("fleet", listings.collect());
    }

    pub fn callers(&self, number: usize) -> SocketAddr {
        self.gateways[number].callers()
    }

    /// Waits until a gateway has both accounts and an endpoint of the service.
    pub async fn wait_ready(&self, number: usize) {
        let operators = self.gateways[number].operators();
        wait_until("the gateway is ready", async || {
            let dump = get_json(operators, "/dump").await;
            let services = &dump["services"]["fleet"]["endpoints"];
            dump["accounts"]
                .as_array()
                .is_some_and(|accounts| accounts.len() == ACCOUNTS.len())
                && services.as_array().is_some_and(|found| !found.is_empty())
        })
        .await;
    }

    /// Returns how often the endpoints ran the request with this id.
    pub fn runs(&self, id: &str) -> u32 {
        self.endpoints
            .iter()
            .map(|endpoint| endpoint.run_counts().get(id).copied().unwrap_or(0))
            .sum()
    }
}

/// Writes a template to the store and returns its revision.
pub async fn apply_text(store: &Store, account: &str, text: &str) -> u64 {
    let client = consul::open(store.address(), Duration::from_secs(2));
    let account = Arc::from(account);
    let base = apply::read(&*client, &account).await.expect("base");
    match apply::write(&*client, &account, &Arc::from(text), &base, false).await {
        Ok(Applied::Accepted(revision) | Applied::Unchanged(revision)) => revision,
        other => panic!("not applied: {other:?}"),
    }
}

/// Waits until a process has applied a revision.
pub async fn wait_until_in_force(operators: SocketAddr, revision: u64) {
    wait_until("the revision is applied", async || {
        get_json(operators, "/dump").await["revision"].as_u64() >= Some(revision)
    })
    .await;
}

/// Polls `check` every 10 ms until it returns true; panics after `WAIT_LIMIT`.
pub async fn wait_until(what: &str, mut check: impl AsyncFnMut() -> bool) {
    let deadline = Instant::now() + WAIT_LIMIT;
    while !check().await {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        time::sleep(Duration::from_millis(10)).await;
    }
}

pub async fn get_json(address: SocketAddr, target: &str) -> serde_json::Value {
    let client = web::Client::default();
    let answer = client
        .call(
            "get",
            address,
            Method::GET,
            target,
            Bytes::new(),
            WAIT_LIMIT,
        )
        .await;
    answer
        .ok()
        .and_then(|answer| serde_json::from_slice(&answer.body).ok())
        .unwrap_or_default()
}

/// The outcome of a request: a complete response or a cut connection.
#[derive(Debug)]
pub enum TestResponse {
    Answer {
        status: StatusCode,
        headers: HeaderMap,
        body: Bytes,
    },
    Incomplete,
}

impl TestResponse {
    pub fn status(&self) -> u16 {
        match self {
            Self::Answer { status, .. } => status.as_u16(),
            Self::Incomplete => 0,
        }
    }

    pub fn header(&self, name: &str) -> &str {
        match self {
            Self::Answer { headers, .. } => headers
                .get(name)
                .and_then(|value| value.to_str().ok())
                .unwrap_or(""),
            Self::Incomplete => "",
        }
    }

    pub fn body(&self) -> &[u8] {
        match self {
            Self::Answer { body, .. } => body,
            Self::Incomplete => b"",
        }
    }

    pub fn outcome(&self) -> &str {
        self.header("ashtiller-outcome")
    }
}

/// A request to a gateway, built by a test.
pub struct TestRequest {
    pub method: Method,
    pub id: String,
    pub account: &'static str,
    pub service_ms: u32,
    pub body: Bytes,
    pub headers: Vec<(&'static str, String)>,
}

impl TestRequest {
    pub fn get(id: impl Into<String>) -> Self {
        Self {
            method: Method::GET,
            id: id.into(),
            account: ACCOUNTS[0],
            service_ms: 1,
            body: Bytes::new(),
            headers: Vec::new(),
        }
    }

    pub fn post(id: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Self {
            method: Method::POST,
            body: body.into(),
            ..Self::get(id)
        }
    }

    pub fn service_time_ms(mut self, service_ms: u32) -> Self {
        self.service_ms = service_ms;
        self
    }

    pub fn account(mut self, account: &'static str) -> Self {
        self.account = account;
        self
    }

    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Sends the request on a connection of its own.
    pub async fn send(self, callers: SocketAddr) -> TestResponse {
        let Ok(stream) = TcpStream::connect(callers).await else {
            return TestResponse::Incomplete;
        };
        let handshake = http1::handshake::<_, Full<Bytes>>(TokioIo::new(stream)).await;
        let Ok((mut sender, connection)) = handshake else {
            return TestResponse::Incomplete;
        };
        tokio::spawn(connection);
        let mut request = Request::builder()
            .method(self.method)
            .uri("/fleet/sweep")
            .header("host", "fleet")
            .header("client-account", self.account)
            .header("request-id", self.id)
            .header("service-ms", self.service_ms);
        for (name, value) in self.headers {
            request = request.header(name, value);
        }
        let request = request
            .body(Full::new(self.body))
            .expect("valid test request");
        let Ok(answer) = sender.send_request(request).await else {
            return TestResponse::Incomplete;
        };
        let (head, body) = answer.into_parts();
        match body.collect().await {
            Ok(body) => TestResponse::Answer {
                status: head.status,
                headers: head.headers,
                body: body.to_bytes(),
            },
            Err(_) => TestResponse::Incomplete,
        }
    }
}

/// A store, workers, schedulers and one gateway.
pub struct Cluster {
    pub store: Store,
    pub record: Arc<RunHistory>,
    pub agents: Vec<Agent>,
    pub schedulers: Vec<Scheduler>,
    pub gateway: Gateway,
}

impl Cluster {
    pub async fn open(schedulers: usize, workers: usize) -> Self {
        let store = standin::store::bind("127.0.0.1:0").await.expect("store");
        let record = Arc::new(RunHistory::default());
        let mut agents = Vec::new();
        for number in 0..workers {
            let name = format!("worker-{number}");
            let agent = standin::agent::bind("127.0.0.1:0", &name, 1, record.clone()).await;
            agents.push(agent.expect("worker"));
        }
        for account in ACCOUNTS {
            apply_text(&store, account, &template(account, "")).await;
        }
        let gateway = gateway::spawn(settings(store.address(), "entry-0", "bern")).await;
        let gateway = gateway.expect("gateway");
        let mut cluster = Self {
            store,
            record,
            agents,
            schedulers: Vec::new(),
            gateway,
        };
        cluster.list(&[]);
        for number in 0..schedulers {
            cluster.add_scheduler(number).await;
        }
        let operators = cluster.gateway.operators();
        wait_until(
            "the cell has an owner that reached its workers",
            async || {
                let cell = get_json(operators, "/v1/cells/bern").await;
                let workers = cell["workers"].as_array().cloned().unwrap_or_default();
                workers.len() == cluster.agents.len()
                    && workers.iter().all(|worker| worker["state"] == "live")
            },
        )
        .await;
        cluster
    }

    pub async fn add_scheduler(&mut self, number: usize) {
        let settings = settings(self.store.address(), &format!("entry-{number}"), "bern");
        self.schedulers
            .push(scheduler::spawn(settings).await.expect("scheduler"));
    }

    /// Publishes every worker in the catalog; those numbered in `leaving` have the state leaving.
    pub fn list(&self, leaving: &[usize]) {
        let listings = self.agents.iter().enumerate().map(|(number, agent)| {
            let state = if leaving.contains(&number) {
                "leaving"
            } else {
                "live"
            };
            let facts = [
                ("processors", "16"),
                ("memory", "60GiB"),
                ("accelerators", "0"),
                ("zone", "bern"),
                ("state", state),
            ];
            listed(&format!("worker-{number}"), agent.address(), &facts)
        });
        self.store.set_instances("workers", listings.collect());
    }

    /// Returns the index of the scheduler that owns the cell.
    pub fn owner(&self) -> Option<usize> {
        self.schedulers
            .iter()
            .position(|scheduler| !scheduler.cells().is_empty())
    }

    /// Sends a job request to the gateway; returns status and body, or status 0 on failure.
    pub async fn call(&self, method: Method, target: &str) -> (u16, serde_json::Value) {
        let client = web::Client::default();
        let address = self.gateway.operators();
        let answer = client
            .call("ask", address, method, target, Bytes::new(), WAIT_LIMIT)
            .await;
        match answer {
            Ok(answer) => {
                let body = serde_json::from_slice(&answer.body).unwrap_or_default();
                (answer.status.as_u16(), body)
            }
            Err(failure) => (0, serde_json::Value::String(failure.to_string())),
        }
    }

    pub async fn submit(&self, job: &str, kind: &str) -> u16 {
        self.call(
            Method::PUT,
            &format!("/v1/jobs/dealer-north/{job}?kind={kind}"),
        )
        .await
        .0
    }

    /// Returns the states of a job's tasks.
    pub async fn states(&self, job: &str) -> Vec<String> {
        let (_, shown) = self
            .call(Method::GET, &format!("/v1/jobs/dealer-north/{job}"))
            .await;
        let tasks = shown["jobs"][0]["tasks"]
            .as_array()
            .cloned()
            .unwrap_or_default();
        tasks
            .iter()
            .map(|task| task["state"].as_str().unwrap_or("").to_owned())
            .collect()
    }

    pub async fn wait_until_all(&self, job: &str, state: &str) {
        wait_until(&format!("{job} is {state}"), async || {
            let states = self.states(job).await;
            !states.is_empty() && states.iter().all(|found| found == state)
        })
        .await;
    }

    /// Returns the job's running attempts as the workers recorded them.
    pub fn running(&self, job: &str) -> Vec<RunInterval> {
        let job_part = format!("/{job}/");
        let intervals = self.record.intervals().into_iter();
        intervals
            .filter(|interval| interval.to.is_none() && interval.task.contains(&job_part))
            .collect()
    }

    pub async fn wait_until_running(&self, job: &str, count: usize) {
        wait_until(&format!("{count} of {job} run"), async || {
            self.running(job).len() == count
        })
        .await;
    }

    /// Checks that no task ran in two places at once, started twice under one attempt or finished
    /// twice.
    pub fn check(&self) {
        let overlaps = self.record.overlapping();
        assert!(
            overlaps.is_empty(),
            "ran in two places at once: {overlaps:?}"
        );
        let intervals = self.record.intervals();
        let mut finished = std::collections::BTreeSet::new();
        let mut started = std::collections::BTreeSet::new();
        for interval in &intervals {
            let attempt = (interval.task.clone(), interval.attempt);
            assert!(started.insert(attempt), "started twice: {interval:?}");
            if interval.end == Some(EndReason::Finished) {
                assert!(
                    finished.insert(interval.task.clone()),
                    "finished twice: {interval:?}"
                );
            }
        }
    }
}
