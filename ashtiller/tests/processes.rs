//! Separate processes, killed and frozen.

mod support;

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;

use ashtiller::web;
use bytes::Bytes;
use hyper::Method;
use standin::agent::{Agent, RunHistory};
use standin::endpoint::Endpoint;
use standin::store::Store;
use support::{ACCOUNTS, Ask, CAP, listed, template, until};

/// A role in a process of its own.
struct Role {
    child: Child,
    /// Addresses from its line `open`.
    callers: Option<SocketAddr>,
    operators: SocketAddr,
    settings: PathBuf,
}

impl Role {
    fn spawn(role: &str, name: &str, store: SocketAddr) -> Self {
        let settings =
            std::env::temp_dir().join(format!("ashtiller-{}-{name}.ini", std::process::id()));
        let text = format!(
            "[instance]\nname = {name}\navailability_zone = bern\n\
             [platform]\nstore = {store}\nrefresh = 50ms\nlease = 2s\ntimeout = 500ms\n\
             [gateway]\ncallers = 127.0.0.1:0\noperators = 127.0.0.1:0\npeers = 127.0.0.1:0\n\
             drain = 100ms\n\
             [scheduler]\noperators = 127.0.0.1:0\npeers = 127.0.0.1:0\nlease = 900ms\n\
             renew = 150ms\nmargin = 100ms\nhorizon = 2s\ncommit = 5ms\n"
        );
        std::fs::write(&settings, text).expect("settings file");
        let mut child = Command::new(env!("CARGO_BIN_EXE_ashtiller"))
            .args([role, "--settings"])
            .arg(&settings)
            .env("ASHTILLER_LOG", "info")
            .stderr(Stdio::piped())
            .spawn()
            .expect("process");
        let mut lines = BufReader::new(child.stderr.take().expect("standard error")).lines();
        let open = lines
            .by_ref()
            .map_while(Result::ok)
            .find(|line| line.contains("\"message\":\"open\""))
            .expect("the line `open`");
        // The pipe must be emptied, or the process would wait for it.
        std::thread::spawn(move || lines.map_while(Result::ok).for_each(drop));
        let open: serde_json::Value = serde_json::from_str(&open).expect("a line of JSON");
        let address = |name: &str| {
            open["fields"][name]
                .as_str()
                .and_then(|text| text.parse().ok())
        };
        Self {
            child,
            callers: address("callers"),
            operators: address("operators").expect("operators' address"),
            settings,
        }
    }

    fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill")
            .args([signal, &pid])
            .status()
            .expect("kill");
        assert!(sent.success());
    }

    fn callers(&self) -> SocketAddr {
        self.callers.expect("a gateway")
    }
}

impl Drop for Role {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

struct Site {
    store: Store,
    endpoints: Vec<Endpoint>,
    agents: Vec<Agent>,
    record: Arc<RunHistory>,
}

impl Site {
    async fn open() -> Self {
        let store = standin::store::bind("127.0.0.1:0").await.expect("store");
        let record = Arc::new(RunHistory::default());
        let (mut endpoints, mut agents) = (Vec::new(), Vec::new());
        for number in 0..3 {
            let name = format!("runner-{number}");
            let endpoint = standin::endpoint::bind("127.0.0.1:0", &name, 8, true).await;
            endpoints.push(endpoint.expect("endpoint"));
            let name = format!("worker-{number}");
            let agent = standin::agent::bind("127.0.0.1:0", &name, 1, record.clone()).await;
            agents.push(agent.expect("worker"));
        }
        let runners = endpoints.iter().enumerate().map(|(number, endpoint)| {
            listed(
                &format!("runner-{number}"),
                endpoint.address(),
                &[("slots", "8")],
            )
        });
        store.set_instances("fleet", runners.collect());
        let has = [("processors", "16"), ("memory", "60GiB"), ("zone", "bern")];
        let workers = agents
            .iter()
            .enumerate()
            .map(|(number, agent)| listed(&format!("worker-{number}"), agent.address(), &has));
        store.set_instances("workers", workers.collect());
        for account in ACCOUNTS {
            support::apply_text(&store, account, &template(account, "")).await;
        }
        Self {
            store,
            endpoints,
            agents,
            record,
        }
    }

    fn runs(&self, id: &str) -> u32 {
        self.endpoints
            .iter()
            .map(|endpoint| endpoint.run_counts().get(id).copied().unwrap_or(0))
            .sum()
    }

    fn running(&self) -> usize {
        self.agents.iter().map(Agent::running).sum()
    }
}

async fn put_job(gateway: &Role, job: &str, kind: &str) -> u16 {
    let client = web::Client::default();
    let target = format!("/v1/jobs/dealer-north/{job}?kind={kind}");
    let answer = client
        .call(
            "submit",
            gateway.operators,
            Method::PUT,
            &target,
            Bytes::new(),
            CAP,
        )
        .await;
    answer.map_or(0, |answer| answer.status.as_u16())
}

async fn owns(scheduler: &Role) -> bool {
    let dump = support::get_json(scheduler.operators, "/dump").await;
    dump["cells"]
        .as_object()
        .is_some_and(|cells| !cells.is_empty())
}

async fn until_serves(gateway: &Role) {
    until("the gateway serves", async || {
        Ask::get("ready").send(gateway.callers()).await.status() == 200
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_that_is_killed_or_frozen_harms_no_other() {
    let site = Site::open().await;
    let gateways: Vec<Role> = (0..3)
        .map(|number| Role::spawn("gateway", &format!("g{number}"), site.store.address()))
        .collect();
    for gateway in &gateways {
        until_serves(gateway).await;
    }
    gateways[0].signal("-KILL");
    gateways[1].signal("-STOP");
    for number in 0..60 {
        let id = format!("p{number}");
        let ask = Ask::post(&id, "charge").header("idempotency-key", id.clone());
        assert_eq!(ask.send(gateways[2].callers()).await.status(), 200);
        assert_eq!(site.runs(&id), 1);
    }
    // The one that wakes late serves again, and repeats nothing.
    gateways[1].signal("-CONT");
    for number in 0..20 {
        let id = format!("p{number}");
        let ask = Ask::post(&id, "charge").header("idempotency-key", id.clone());
        assert_eq!(ask.send(gateways[1].callers()).await.status(), 409);
        assert_eq!(site.runs(&id), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_by_signal_finishes_what_is_in_flight() {
    let site = Site::open().await;
    let mut gateway = Role::spawn("gateway", "stopped", site.store.address());
    until_serves(&gateway).await;
    let address = gateway.callers();
    let callers: Vec<_> = (0..10)
        .map(|number| {
            let ask = Ask::post(format!("s{number}"), "charge").takes(500);
            tokio::spawn(async move { ask.send(address).await.status() })
        })
        .collect();
    until("all are in flight", async || {
        (0..10).all(|number| site.runs(&format!("s{number}")) == 1)
    })
    .await;
    gateway.signal("-TERM");
    for caller in callers {
        assert_eq!(caller.await.expect("caller"), 200);
    }
    until("the process ends", async || {
        gateway.child.try_wait().is_ok_and(|ended| ended.is_some())
    })
    .await;
    let status = gateway.child.wait().expect("status");
    assert_eq!(status.code(), Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_that_is_killed_is_replaced_and_its_tasks_run_on() {
    let site = Site::open().await;
    let gateway = Role::spawn("gateway", "g", site.store.address());
    let mut schedulers: Vec<Role> = (0..2)
        .map(|number| Role::spawn("scheduler", &format!("s{number}"), site.store.address()))
        .collect();
    until_serves(&gateway).await;
    until("a listener is accepted", async || {
        matches!(put_job(&gateway, "watch", "listener").await, 200 | 202)
    })
    .await;
    until("it runs", async || site.running() == 1).await;
    let first = owns(&schedulers[0]).await;
    let killed = schedulers.remove(usize::from(!first));
    killed.signal("-KILL");
    until("the other owns the cell", async || {
        owns(&schedulers[0]).await
    })
    .await;
    assert!(matches!(
        put_job(&gateway, "night", "batch").await,
        200 | 202
    ));
    until("the batch has run", async || {
        let stretches = site.record.intervals();
        let done = stretches
            .iter()
            .filter(|stretch| stretch.end == Some(standin::agent::EndReason::Finished));
        done.count() == 2
    })
    .await;
    assert!(site.record.overlapping().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_that_wakes_late_finds_itself_replaced() {
    let site = Site::open().await;
    let gateway = Role::spawn("gateway", "gw", site.store.address());
    let schedulers: Vec<Role> = (0..2)
        .map(|number| Role::spawn("scheduler", &format!("f{number}"), site.store.address()))
        .collect();
    until_serves(&gateway).await;
    until("a listener is accepted", async || {
        matches!(put_job(&gateway, "watch", "listener").await, 200 | 202)
    })
    .await;
    until("it runs", async || site.running() == 1).await;
    // Frozen and woken again and again, each time whoever owns the cell.
    for round in 0..3 {
        let first = owns(&schedulers[0]).await;
        let (owner, other) = if first { (0, 1) } else { (1, 0) };
        schedulers[owner].signal("-STOP");
        until("the other owns the cell", async || {
            owns(&schedulers[other]).await
        })
        .await;
        schedulers[owner].signal("-CONT");
        let job = format!("night-{round}");
        until("a job is accepted", async || {
            matches!(put_job(&gateway, &job, "batch").await, 200 | 202)
        })
        .await;
        until("one owner is left", async || {
            let both = (owns(&schedulers[0]).await, owns(&schedulers[1]).await);
            both.0 != both.1
        })
        .await;
    }
    until("every batch has run", async || {
        let stretches = site.record.intervals();
        let done = stretches
            .iter()
            .filter(|stretch| stretch.end == Some(standin::agent::EndReason::Finished));
        done.count() == 6
    })
    .await;
    assert!(
        site.record.overlapping().is_empty(),
        "{:?}",
        site.record.overlapping()
    );
}
