//! Bytes and microseconds for each worker, task and change, at three sizes.
//!
//! Each row gives the figure at three sizes and the slope of the line through
//! them by least squares, with the largest distance of a point from the line.

use std::sync::Arc;
use std::time::{Duration, Instant};

use ashtiller::agent::{Report, Running, SyncRequest};
use ashtiller::balance::Kind;
use ashtiller::cell::Cell;
use ashtiller::config_state::{ConfigState, Head, StoredTemplate};
use ashtiller::dispatch::{self, Admission, Dispatch, Limits};
use ashtiller::endpoint::{Listing, Phase};
use ashtiller::fact::{Attempt, Body, End, Entry, LogRecord, TaskId};
use ashtiller::health::RequestResult;
use ashtiller::peer::{Heartbeat, JobReply, LoanRequest, Peer, Submission};
use ashtiller::placement::InterferenceAware;
use ashtiller::plan::Planner;
use ashtiller::reconcile::{self, StepContext};
use ashtiller::record;
use ashtiller::request_queue::AdmissionRequest;
use ashtiller::rpc;
use ashtiller::store::CallFuture;
use ashtiller::template::Class;

use crate::cells;

/// Repetitions of what takes microseconds.
const REPEAT: u32 = 200;
const NOW: Duration = Duration::from_secs(100);

/// `bench slopes`.
pub async fn run() -> anyhow::Result<()> {
    println!(
        "{:<52} {:<32} {:>10} {:>8}",
        "figure", "at sizes", "slope", "spread"
    );
    show(
        "call to a worker and report, B by task",
        [5, 14, 40],
        |size| Ok(sync_bytes(size)),
    )?;
    show("the same, nothing changed, B by task", [5, 14, 40], |_| {
        Ok(quiet_bytes())
    })?;
    show("log entry of starts, B by start", [1, 10, 100], |starts| {
        entry_bytes(starts, |attempt| LogRecord::Placed {
            attempt,
            worker: "worker-1234".into(),
            boot: 1_700_000_000_000,
        })
    })?;
    show("log entry of ends, B by end", [1, 10, 100], |ends| {
        entry_bytes(ends, |attempt| LogRecord::Ended(attempt, End::Finished))
    })?;
    show(
        "log entry of evictions, B by eviction",
        [1, 10, 100],
        |count| entry_bytes(count, LogRecord::Evicting),
    )?;
    show("log entry of jobs, B by job", [1, 10, 100], |jobs| {
        entry_bytes(jobs, |attempt| {
            LogRecord::Submitted(Box::new(job(attempt.task.job)))
        })
    })?;
    show("snapshot, B by running task", [500, 2000, 8000], |tasks| {
        Ok(as_f64(
            record::encode(cell_with(200, tasks).durable_state())?.len(),
        ))
    })?;
    show(
        "restore from a snapshot, us by running task",
        [500, 2000, 8000],
        restore_micros,
    )?;
    show(
        "memory of a cell, B by running task",
        [5000, 20_000, 80_000],
        memory_of,
    )?;
    show(
        "round of decisions without change, us by worker",
        [72, 325, 1300],
        |size| Ok(round_micros(size)),
    )?;
    show(
        "call prepared and report taken, us by task",
        [5, 14, 40],
        |size| Ok(reconcile_micros(size)),
    )?;
    show(
        "routing one request, us by endpoint",
        [65, 260, 1040],
        |size| Ok(routing_micros(size)),
    )?;
    show(
        "template adopted, us by account known",
        [61, 305, 610],
        |size| Ok(adopt_micros(size)),
    )?;
    show(
        "copy of what is in force, us by account",
        [61, 305, 610],
        |size| Ok(force_micros(size)),
    )?;
    show(
        "head of the configuration, B by change named",
        [1, 16, 64],
        |changes| {
            let mut head = Head::default();
            for number in 0..changes {
                head = head.next(&format!("team-{number}").into(), 1_700_000_000_000);
            }
            Ok(as_f64(serde_json_len(&head)))
        },
    )?;
    greetings().await
}

fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

fn show(
    what: &str,
    sizes: [usize; 3],
    measure: impl Fn(usize) -> anyhow::Result<f64>,
) -> anyhow::Result<()> {
    let mut points = Vec::new();
    for size in sizes {
        points.push((as_f64(size), measure(size)?));
    }
    print_line(what, &points);
    Ok(())
}

fn print_line(what: &str, points: &[(f64, f64)]) {
    let (slope, base) = fit(points);
    let spread = points
        .iter()
        .map(|(size, value)| ((base + slope * size - value) / value.max(1e-9)).abs())
        .fold(0.0, f64::max);
    let at: Vec<String> = points
        .iter()
        .map(|(size, value)| format!("{size}: {value:.1}"))
        .collect();
    println!(
        "{what:<52} {:<32} {slope:>10.3} {:>7.1}%",
        at.join("  "),
        spread * 100.0
    );
}

/// Slope and base of the line through the points by least squares.
fn fit(points: &[(f64, f64)]) -> (f64, f64) {
    let count = as_f64(points.len());
    let mean = |pick: fn(&(f64, f64)) -> f64| points.iter().map(pick).sum::<f64>() / count;
    let (x, y) = (mean(|point| point.0), mean(|point| point.1));
    let over: f64 = points
        .iter()
        .map(|point| (point.0 - x) * (point.1 - y))
        .sum();
    let under: f64 = points.iter().map(|point| (point.0 - x).powi(2)).sum();
    let slope = over / under;
    (slope, y - slope * x)
}

fn micros_each(began: Instant, count: u32) -> f64 {
    began.elapsed().as_secs_f64() * 1e6 / f64::from(count)
}

fn job(number: u32) -> Submission {
    Submission {
        account: "team-123".into(),
        job: format!("reconcile-{number}").into(),
        kind: "reconcile".into(),
        class: Class::Batch,
        urgent: false,
        tasks: 1,
        needs: ashtiller::resources::Resources {
            processors: 2000,
            memory: 4 << 30,
            accelerators: 0,
        },
        length: Some(Duration::from_hours(1)),
        target: None,
        attempts: 5,
        quota: ashtiller::resources::Resources {
            processors: 96_000,
            memory: 360 << 30,
            accelerators: 0,
        },
        evictions: 60,
    }
}

fn attempt(number: usize) -> Attempt {
    let task = TaskId {
        job: u32::try_from(number).unwrap_or(0) + 100_000,
        index: 3,
    };
    Attempt { task, number: 1 }
}

fn entry_bytes(count: usize, fact: impl Fn(Attempt) -> LogRecord) -> anyhow::Result<f64> {
    let facts = (0..count).map(|number| fact(attempt(number))).collect();
    let entry = Entry {
        epoch: 12,
        writer: u64::MAX / 3,
        body: Body::Facts(facts),
    };
    Ok(as_f64(record::encode(&entry)?.len()))
}

fn report_of(tasks: usize) -> Report {
    let running = (0..tasks).map(|number| Running {
        task: format!("team-123/reconcile-{number}/{}", attempt(number).task).into(),
        attempt: 1,
        progress: 1_234_567,
        ..Running::default()
    });
    Report {
        boot: 1,
        clock: 1,
        epoch: 1,
        seq: 1,
        lag: 0,
        digest: u64::MAX / 3,
        unchanged: false,
        running: running.collect(),
        ended: Vec::new(),
    }
}

/// HTTP heads of a call and its answer, as the client and a worker write them.
const HEADS: usize = 70 + 80;

fn sync_bytes(tasks: usize) -> f64 {
    let sync = SyncRequest {
        epoch: 12,
        seq: 100_000,
        boot: 1,
        until: 1_234_567_890,
        ..SyncRequest::default()
    };
    as_f64(serde_json_len(&sync) + serde_json_len(&report_of(tasks)) + HEADS)
}

/// A call and its answer when nothing has changed since the last.
fn quiet_bytes() -> f64 {
    let known = u64::MAX / 3;
    let sync = SyncRequest {
        epoch: 12,
        seq: 100_000,
        boot: 1,
        until: 1_234_567_890,
        known,
        ..SyncRequest::default()
    };
    let report = Report {
        unchanged: true,
        running: Vec::new(),
        ..report_of(0)
    };
    as_f64(serde_json_len(&sync) + serde_json_len(&report) + HEADS)
}

fn serde_json_len(value: &impl serde::Serialize) -> usize {
    serde_json::to_vec(value).map_or(0, |bytes| bytes.len())
}

fn cell_with(workers: usize, tasks: usize) -> Cell {
    let mut cell = cells::open(workers);
    cells::submit(&mut cell, tasks, "running");
    let mut planner = Planner::new(Box::new(InterferenceAware), cells::TERMS);
    while !planner.plan_round(&mut cell, 1, NOW).is_empty() {}
    cell
}

fn restore_micros(tasks: usize) -> anyhow::Result<f64> {
    let state = record::encode(cell_with(200, tasks).durable_state())?;
    let began = Instant::now();
    for _ in 0..10 {
        std::hint::black_box(Cell::restore(record::decode(&state)?));
    }
    Ok(micros_each(began, 10))
}

fn memory_of(tasks: usize) -> anyhow::Result<f64> {
    let before = resident()?;
    let cell = cell_with(1300, tasks);
    let after = resident()?;
    anyhow::ensure!(cell.running() + cell.backlog().len() > 0, "an empty cell");
    Ok(as_f64(after.saturating_sub(before)))
}

fn resident() -> anyhow::Result<usize> {
    let statm = std::fs::read_to_string("/proc/self/statm")?;
    let pages: usize = statm.split_whitespace().nth(1).unwrap_or("0").parse()?;
    Ok(pages * 4096)
}

fn round_micros(workers: usize) -> f64 {
    // As many tasks for each worker as at the target.
    let mut cell = cell_with(workers, workers * 14);
    let mut planner = Planner::new(Box::new(InterferenceAware), cells::TERMS);
    let began = Instant::now();
    for _ in 0..REPEAT {
        planner.plan_round(&mut cell, 1, NOW);
    }
    micros_each(began, REPEAT)
}

fn reconcile_micros(tasks: usize) -> f64 {
    let mut cell = cell_with(1, tasks);
    let worker: Arc<str> = "worker-0".into();
    let report = report_of(tasks);
    let moment = StepContext {
        epoch: 1,
        position: 2,
        durable: 1,
        now: NOW,
    };
    let began = Instant::now();
    for _ in 0..REPEAT {
        let sync = reconcile::prepare_sync(&mut cell, &worker, &cells::TERMS, true, moment);
        std::hint::black_box(serde_json_len(&sync));
        reconcile::apply_report(&mut cell, &worker, &report, &cells::TERMS, moment);
    }
    micros_each(began, REPEAT)
}

fn routing_micros(endpoints: usize) -> f64 {
    let limits = Limits {
        max_connections: 6,
        max_ejected_share: 0.3,
    };
    let mut dispatch: Dispatch = dispatch::build(Kind::Dealt, 1, limits);
    let listings: Vec<Listing> = (0..endpoints)
        .map(|number| Listing {
            name: format!("runner-{number}").into(),
            address: ([127, 0, 0, 1], u16::try_from(number).unwrap_or(0)).into(),
            slots: 8,
            phase: Phase::Live,
        })
        .collect();
    dispatch.update_listings(&listings);
    let gateways: Vec<Arc<str>> = (0..9)
        .map(|number| format!("entry-{number}").into())
        .collect();
    dispatch.allocate_slots(&gateways, "entry-0");
    let account: Arc<str> = "dealer-north".into();
    let began = Instant::now();
    for id in 0..u64::from(REPEAT) * 10 {
        let ticket = AdmissionRequest {
            id,
            account: account.clone(),
            class: Class::LatencyCritical,
            deadline: NOW * 2,
            max_in_flight: 1000,
            max_queued: 1000,
            avoid: None,
        };
        if let Admission::Send(endpoint) = dispatch.admit(ticket, NOW) {
            dispatch.finish(
                &account,
                endpoint,
                RequestResult::Success(Duration::from_millis(5)),
                NOW,
            );
            dispatch.assign(NOW);
        }
    }
    micros_each(began, REPEAT * 10)
}

fn template_text(account: &str) -> Arc<str> {
    include_str!("../../samples/dealer-north.ini")
        .replace("dealer-north\n", &format!("{account}\n"))
        .into()
}

fn ledger_with(accounts: usize) -> ConfigState {
    let mut ledger = ConfigState::default();
    for number in 0..accounts {
        let account: Arc<str> = format!("team-{number}").into();
        ledger.adopt(
            &account,
            StoredTemplate {
                revision: 1,
                text: template_text(&account),
            },
        );
    }
    ledger
}

fn adopt_micros(accounts: usize) -> f64 {
    let mut ledger = ledger_with(accounts);
    let account: Arc<str> = "team-1".into();
    let text = template_text(&account);
    let began = Instant::now();
    for revision in 2..u64::from(REPEAT) + 2 {
        ledger.adopt(
            &account,
            StoredTemplate {
                revision,
                text: text.clone(),
            },
        );
    }
    micros_each(began, REPEAT)
}

fn force_micros(accounts: usize) -> f64 {
    let ledger = ledger_with(accounts);
    let began = Instant::now();
    for _ in 0..REPEAT {
        std::hint::black_box(ledger.active());
    }
    micros_each(began, REPEAT)
}

/// A process that answers heartbeats with so many cells.
struct Greeter {
    cells: usize,
}

impl Greeter {
    fn greeting(&self) -> Heartbeat {
        Heartbeat {
            name: "entry-1".into(),
            role: "scheduler".into(),
            revision: 1_700_000_000_000,
            leaving: false,
            cells: (0..self.cells)
                .map(|number| format!("zone-{number}").into())
                .collect(),
        }
    }
}

impl Peer for Greeter {
    fn heartbeat(&self, _: Heartbeat) -> CallFuture<'_, Heartbeat> {
        Box::pin(async { Ok(self.greeting()) })
    }

    fn lend(&self, _: LoanRequest) -> CallFuture<'_, Vec<(u64, u32)>> {
        Box::pin(async { Ok(vec![(1, 1); self.cells]) })
    }

    fn submit(&self, _: Arc<str>, _: Submission) -> CallFuture<'_, JobReply> {
        Box::pin(async { Ok(JobReply::Accepted) })
    }

    fn cancel(&self, _: Arc<str>, _: Arc<str>, _: Arc<str>) -> CallFuture<'_, JobReply> {
        Box::pin(async { Ok(JobReply::Accepted) })
    }

    fn show(&self, _: Arc<str>, _: Arc<str>, _: Arc<str>) -> CallFuture<'_, String> {
        Box::pin(async { Ok(String::new()) })
    }
}

/// Bytes and processor time of heartbeats and questions over real connections.
async fn greetings() -> anyhow::Result<()> {
    let (mut greets, mut loans, mut times) = (Vec::new(), Vec::new(), Vec::new());
    for cells in [1, 4, 18] {
        let any = ([127, 0, 0, 1], 0).into();
        let limit = Duration::from_secs(5);
        let one = rpc::bind(any, limit, Arc::new(Greeter { cells })).await?;
        let other = rpc::bind(any, limit, Arc::new(Greeter { cells })).await?;
        let peer = one.client().connect(other.address());
        let greeting = Greeter { cells }.greeting();
        peer.heartbeat(greeting.clone()).await?;
        let bytes = || {
            let bytes = one.bytes();
            let order = std::sync::atomic::Ordering::Relaxed;
            bytes.sent.load(order) + bytes.received.load(order)
        };
        let (before, began) = (bytes(), Instant::now());
        for _ in 0..REPEAT {
            peer.heartbeat(greeting.clone()).await?;
        }
        times.push((as_f64(cells), micros_each(began, REPEAT)));
        let each = |before: u64| (bytes() - before) / u64::from(REPEAT);
        greets.push((as_f64(cells), as_f64(usize::try_from(each(before))?)));
        let before = bytes();
        for _ in 0..REPEAT {
            let keep = vec![(1, 1); cells];
            let ask = LoanRequest {
                service: "fleet".into(),
                borrower: "entry-1".into(),
                replaces_loan: true,
                keep,
                want: 8,
            };
            peer.lend(ask).await?;
        }
        loans.push((as_f64(cells), as_f64(usize::try_from(each(before))?)));
    }
    print_line("heartbeat and answer, B by cell owned", &greets);
    print_line("heartbeat and answer, us elapsed by cell owned", &times);
    print_line("question for slots and answer, B by endpoint", &loans);
    Ok(())
}
