//! Gateways and schedulers as separate processes that are killed or frozen by signals.

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
use support::{ACCOUNTS, TestRequest, WAIT_LIMIT, listed, template, wait_until};

/// A gateway or scheduler in its own process, killed on drop.
struct Process {
    child: Child,
    /// Address for callers, from the log message `open`; schedulers have none.
    callers: Option<SocketAddr>,
    operators: SocketAddr,
    settings: PathBuf,
}

impl Process {
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
            .expect("the log message `open`");
        // A full pipe would block the process, so its output is drained.
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

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

struct Environment {
    store: Store,
    endpoints: Vec<Endpoint>,
    agents: Vec<Agent>,
    record: Arc<RunHistory>,
}

impl Environment {
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
        let properties = [("processors", "16"), ("memory", "60GiB"), ("zone", "bern")];
        let workers = agents.iter().enumerate().map(|(number, agent)| {
            listed(&format!("worker-{number}"), agent.address(), &properties)
        });
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

async fn put_job(gateway: &Process, job: &str, kind: &str) -> u16 {
    let client = web::Client::default();
    let target = format!("/v1/jobs/dealer-north/{job}?kind={kind}");
    let answer = client
        .call(
            "submit",
            gateway.operators,
            Method::PUT,
            &target,
            Bytes::new(),
            WAIT_LIMIT,
        )
        .await;
    answer.map_or(0, |answer| answer.status.as_u16())
}

async fn owns_cell(scheduler: &Process) -> bool {
    let dump = support::get_json(scheduler.operators, "/dump").await;
    dump["cells"]
        .as_object()
        .is_some_and(|cells| !cells.is_empty())
}

async fn wait_until_serves(gateway: &Process) {
    wait_until("the gateway serves", async || {
        TestRequest::get("ready")
            .send(gateway.callers())
            .await
            .status()
            == 200
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_or_frozen_gateway_does_not_affect_the_others() {
    let environment = Environment::open().await;
    let gateways: Vec<Process> = (0..3)
        .map(|number| {
            Process::spawn(
                "gateway",
                &format!("g{number}"),
                environment.store.address(),
            )
        })
        .collect();
    for gateway in &gateways {
        wait_until_serves(gateway).await;
    }
    gateways[0].signal("-KILL");
    gateways[1].signal("-STOP");
    for number in 0..60 {
        let id = format!("p{number}");
        let request = TestRequest::post(&id, "charge").header("idempotency-key", id.clone());
        assert_eq!(request.send(gateways[2].callers()).await.status(), 200);
        assert_eq!(environment.runs(&id), 1);
    }
    // The resumed gateway serves again and repeats no request.
    gateways[1].signal("-CONT");
    for number in 0..20 {
        let id = format!("p{number}");
        let request = TestRequest::post(&id, "charge").header("idempotency-key", id.clone());
        assert_eq!(request.send(gateways[1].callers()).await.status(), 409);
        assert_eq!(environment.runs(&id), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn sigterm_finishes_the_requests_in_flight() {
    let environment = Environment::open().await;
    let mut gateway = Process::spawn("gateway", "stopped", environment.store.address());
    wait_until_serves(&gateway).await;
    let address = gateway.callers();
    let callers: Vec<_> = (0..10)
        .map(|number| {
            let request = TestRequest::post(format!("s{number}"), "charge").service_time_ms(500);
            tokio::spawn(async move { request.send(address).await.status() })
        })
        .collect();
    wait_until("all are in flight", async || {
        (0..10).all(|number| environment.runs(&format!("s{number}")) == 1)
    })
    .await;
    gateway.signal("-TERM");
    for caller in callers {
        assert_eq!(caller.await.expect("caller"), 200);
    }
    wait_until("the process ends", async || {
        gateway.child.try_wait().is_ok_and(|ended| ended.is_some())
    })
    .await;
    let status = gateway.child.wait().expect("status");
    assert_eq!(status.code(), Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_that_is_killed_is_replaced_and_its_tasks_run_on() {
    let environment = Environment::open().await;
    let gateway = Process::spawn("gateway", "g", environment.store.address());
    let mut schedulers: Vec<Process> = (0..2)
        .map(|number| {
            Process::spawn(
                "scheduler",
                &format!("s{number}"),
                environment.store.address(),
            )
        })
        .collect();
    wait_until_serves(&gateway).await;
    wait_until("a listener is accepted", async || {
        matches!(put_job(&gateway, "watch", "listener").await, 200 | 202)
    })
    .await;
    wait_until("it runs", async || environment.running() == 1).await;
    let first = owns_cell(&schedulers[0]).await;
    let killed = schedulers.remove(usize::from(!first));
    killed.signal("-KILL");
    wait_until("the other owns the cell", async || {
        owns_cell(&schedulers[0]).await
    })
    .await;
    assert!(matches!(
        put_job(&gateway, "night", "batch").await,
        200 | 202
    ));
    wait_until("the batch has run", async || {
        let intervals = environment.record.intervals();
        let done = intervals
            .iter()
            .filter(|interval| interval.end == Some(standin::agent::EndReason::Finished));
        done.count() == 2
    })
    .await;
    assert!(environment.record.overlapping().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_that_wakes_late_finds_itself_replaced() {
    let environment = Environment::open().await;
    let gateway = Process::spawn("gateway", "gw", environment.store.address());
    let schedulers: Vec<Process> = (0..2)
        .map(|number| {
            Process::spawn(
                "scheduler",
                &format!("f{number}"),
                environment.store.address(),
            )
        })
        .collect();
    wait_until_serves(&gateway).await;
    wait_until("a listener is accepted", async || {
        matches!(put_job(&gateway, "watch", "listener").await, 200 | 202)
    })
    .await;
    wait_until("it runs", async || environment.running() == 1).await;
    // Freezes and resumes the current owner of the cell three times.
    for round in 0..3 {
        let first = owns_cell(&schedulers[0]).await;
        let (owner, other) = if first { (0, 1) } else { (1, 0) };
        schedulers[owner].signal("-STOP");
        wait_until("the other owns the cell", async || {
            owns_cell(&schedulers[other]).await
        })
        .await;
        schedulers[owner].signal("-CONT");
        let job = format!("night-{round}");
        wait_until("a job is accepted", async || {
            matches!(put_job(&gateway, &job, "batch").await, 200 | 202)
        })
        .await;
        wait_until("one owner is left", async || {
            let both = (
                owns_cell(&schedulers[0]).await,
                owns_cell(&schedulers[1]).await,
            );
            both.0 != both.1
        })
        .await;
    }
    wait_until("every batch has run", async || {
        let intervals = environment.record.intervals();
        let done = intervals
            .iter()
            .filter(|interval| interval.end == Some(standin::agent::EndReason::Finished));
        done.count() == 6
    })
    .await;
    assert!(
        environment.record.overlapping().is_empty(),
        "{:?}",
        environment.record.overlapping()
    );
}
