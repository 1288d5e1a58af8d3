//! What the tests with real ports share: a small world of stand-ins and gateways.
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

/// Longest wait for anything that must happen; reached only when it never does.
pub const CAP: Duration = Duration::from_secs(30);

pub const ACCOUNTS: [&str; 2] = ["dealer-north", "dealer-south"];

/// A template with one service; `extra` lines go to the service's section.
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
    Settings::parse("test", &text).expect("settings of a test")
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
        let mut opened = Vec::new();
        for number in 0..endpoints {
            let name = format!("runner-{number}");
            let endpoint = standin::endpoint::bind("127.0.0.1:0", &name, 8, true).await;
            opened.push(endpoint.expect("endpoint"));
        }
        let world = Self {
            store,
            endpoints: opened,
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

    /// Lists every endpoint; those whose number is in `leaving` as leaving.
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

    /// Waits until a gateway serves with both accounts.
    pub async fn wait_ready(&self, number: usize) {
        let operators = self.gateways[number].operators();
        until("the gateway is ready", async || {
            let dump = get_json(operators, "/dump").await;
            let services = &dump["services"]["fleet"]["endpoints"];
            dump["accounts"]
                .as_array()
                .is_some_and(|accounts| accounts.len() == ACCOUNTS.len())
                && services.as_array().is_some_and(|found| !found.is_empty())
        })
        .await;
    }

    /// How often an endpoint's handler ran for a request.
    pub fn runs(&self, id: &str) -> u32 {
        self.endpoints
            .iter()
            .map(|endpoint| endpoint.run_counts().get(id).copied().unwrap_or(0))
            .sum()
    }
}

/// Puts a template in force; returns its revision.
pub async fn apply_text(store: &Store, account: &str, text: &str) -> u64 {
    let client = consul::open(store.address(), Duration::from_secs(2));
    let account = Arc::from(account);
    let base = apply::read(&*client, &account).await.expect("base");
    match apply::write(&*client, &account, &Arc::from(text), &base, false).await {
        Ok(Applied::Accepted(revision) | Applied::Unchanged(revision)) => revision,
        other => panic!("not applied: {other:?}"),
    }
}

/// Waits until a process has a revision in force.
pub async fn until_in_force(operators: SocketAddr, revision: u64) {
    until("the revision is in force", async || {
        get_json(operators, "/dump").await["revision"].as_u64() >= Some(revision)
    })
    .await;
}

/// Waits until `check` holds.
pub async fn until(what: &str, mut check: impl AsyncFnMut() -> bool) {
    let cap = Instant::now() + CAP;
    while !check().await {
        assert!(Instant::now() < cap, "never happened: {what}");
        time::sleep(Duration::from_millis(10)).await;
    }
}

pub async fn get_json(address: SocketAddr, target: &str) -> serde_json::Value {
    let client = web::Client::default();
    let answer = client
        .call("get", address, Method::GET, target, Bytes::new(), CAP)
        .await;
    answer
        .ok()
        .and_then(|answer| serde_json::from_slice(&answer.body).ok())
        .unwrap_or_default()
}

/// What a caller got.
#[derive(Debug)]
pub enum Got {
    Answer {
        status: StatusCode,
        headers: HeaderMap,
        body: Bytes,
    },
    Cut,
}

impl Got {
    pub fn status(&self) -> u16 {
        match self {
            Self::Answer { status, .. } => status.as_u16(),
            Self::Cut => 0,
        }
    }

    pub fn header(&self, name: &str) -> &str {
        match self {
            Self::Answer { headers, .. } => headers
                .get(name)
                .and_then(|value| value.to_str().ok())
                .unwrap_or(""),
            Self::Cut => "",
        }
    }

    pub fn body(&self) -> &[u8] {
        match self {
            Self::Answer { body, .. } => body,
            Self::Cut => b"",
        }
    }

    pub fn outcome(&self) -> &str {
        self.header("ashtiller-outcome")
    }
}

/// A request of a test.
pub struct Ask {
    pub method: Method,
    pub id: String,
    pub account: &'static str,
    pub service_ms: u32,
    pub body: Bytes,
    pub headers: Vec<(&'static str, String)>,
}

impl Ask {
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

    pub fn takes(mut self, service_ms: u32) -> Self {
        self.service_ms = service_ms;
        self
    }

    pub fn of(mut self, account: &'static str) -> Self {
        self.account = account;
        self
    }

    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Sends it on a connection of its own.
    pub async fn send(self, callers: SocketAddr) -> Got {
        let Ok(stream) = TcpStream::connect(callers).await else {
            return Got::Cut;
        };
        let handshake = http1::handshake::<_, Full<Bytes>>(TokioIo::new(stream)).await;
        let Ok((mut sender, connection)) = handshake else {
            return Got::Cut;
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
            .expect("request of a test");
        let Ok(answer) = sender.send_request(request).await else {
            return Got::Cut;
        };
        let (head, body) = answer.into_parts();
        match body.collect().await {
            Ok(body) => Got::Answer {
                status: head.status,
                headers: head.headers,
                body: body.to_bytes(),
            },
            Err(_) => Got::Cut,
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
        until(
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

    /// Lists every worker; those whose number is in `leaving` as leaving.
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

    /// The scheduler that owns the cell.
    pub fn owner(&self) -> Option<usize> {
        self.schedulers
            .iter()
            .position(|scheduler| !scheduler.cells().is_empty())
    }

    /// Asks the gateway for a job; returns status and body.
    pub async fn ask(&self, method: Method, target: &str) -> (u16, serde_json::Value) {
        let client = web::Client::default();
        let address = self.gateway.operators();
        let answer = client
            .call("ask", address, method, target, Bytes::new(), CAP)
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
        self.ask(
            Method::PUT,
            &format!("/v1/jobs/dealer-north/{job}?kind={kind}"),
        )
        .await
        .0
    }

    /// States of a job's tasks.
    pub async fn states(&self, job: &str) -> Vec<String> {
        let (_, shown) = self
            .ask(Method::GET, &format!("/v1/jobs/dealer-north/{job}"))
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

    pub async fn until_all(&self, job: &str, state: &str) {
        until(&format!("{job} is {state}"), async || {
            let states = self.states(job).await;
            !states.is_empty() && states.iter().all(|found| found == state)
        })
        .await;
    }

    /// Attempts that run now, by the workers' own record.
    pub fn running(&self, job: &str) -> Vec<RunInterval> {
        let part = format!("/{job}/");
        let stretches = self.record.intervals().into_iter();
        stretches
            .filter(|stretch| stretch.to.is_none() && stretch.task.contains(&part))
            .collect()
    }

    pub async fn until_running(&self, job: &str, count: usize) {
        until(&format!("{count} of {job} run"), async || {
            self.running(job).len() == count
        })
        .await;
    }

    /// What must hold at the end of every test.
    pub fn check(&self) {
        let doubles = self.record.overlapping();
        assert!(doubles.is_empty(), "in two places at once: {doubles:?}");
        let stretches = self.record.intervals();
        let mut finished = std::collections::BTreeSet::new();
        let mut started = std::collections::BTreeSet::new();
        for stretch in &stretches {
            let attempt = (stretch.task.clone(), stretch.attempt);
            assert!(started.insert(attempt), "started twice: {stretch:?}");
            if stretch.end == Some(EndReason::Finished) {
                assert!(
                    finished.insert(stretch.task.clone()),
                    "finished twice: {stretch:?}"
                );
            }
        }
    }
}
