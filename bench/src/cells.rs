//! Decisions a second of a cell's owner, in memory.

use std::sync::Arc;
use std::time::{Duration, Instant};

use ashtiller::cell::Cell;
use ashtiller::endpoint::Phase;
use ashtiller::fact::{Attempt, End, LogRecord};
use ashtiller::peer::Submission;
use ashtiller::placement::InterferenceAware;
use ashtiller::plan::{self, Planner};
use ashtiller::record;
use ashtiller::resources::Resources;
use ashtiller::session::{LeaseTerms, ReportHeader, Session};
use ashtiller::template::Class;
use hdrhistogram::Histogram;
use pico_args::Arguments;

/// Client accounts in the cell.
const ACCOUNTS: usize = 610;
/// Rounds that are timed one by one.
const ROUNDS: usize = 400;
/// Terms of leases in these measurements.
pub const TERMS: LeaseTerms = LeaseTerms {
    lease: Duration::from_secs(12),
    margin: Duration::from_secs(1),
};
/// Time at which decisions are made; every worker was heard just before.
const NOW: Duration = Duration::from_secs(100);

/// `bench cells`.
pub fn run(mut args: Arguments) -> anyhow::Result<()> {
    let workers: usize = args.opt_value_from_str("--workers")?.unwrap_or(1300);
    let running: usize = args.opt_value_from_str("--running")?.unwrap_or(17_700);
    let queued: usize = args.opt_value_from_str("--queued")?.unwrap_or(13_000);
    let mut cell = open(workers);
    let mut planner = Planner::new(Box::new(InterferenceAware), TERMS);
    submit(&mut cell, running, "running");
    let began = Instant::now();
    let mut placed = 0;
    while placed < running {
        let facts = planner.plan_round(&mut cell, 1, NOW);
        anyhow::ensure!(!facts.is_empty(), "only {placed} of {running} tasks fit");
        placed += facts.len();
    }
    let rate = f64::from(u32::try_from(placed)?) / began.elapsed().as_secs_f64();
    println!("{placed} placements on {workers} workers: {rate:.0} a second");
    fill(&mut cell);
    submit(&mut cell, queued, "queued");
    let idle = time_rounds(&mut cell, &mut planner, None)?;
    show("rounds in which nothing can start", &idle);
    let churn = time_rounds(&mut cell, &mut planner, Some(11))?;
    show("rounds in which 11 tasks end and 11 start", &churn);
    let began = Instant::now();
    let state = record::encode(cell.durable_state())?;
    println!("snapshot: {} bytes in {:?}", state.len(), began.elapsed());
    let began = Instant::now();
    let restored = Cell::restore(record::decode(&state)?);
    println!(
        "restored {} running and {} queued in {:?}",
        restored.running(),
        restored.backlog().len(),
        began.elapsed()
    );
    Ok(())
}

/// A cell whose workers have all answered.
pub fn open(workers: usize) -> Cell {
    let mut cell = Cell::default();
    for number in 0..workers {
        let name: Arc<str> = format!("worker-{number}").into();
        let whole = Resources {
            processors: 64_000,
            memory: 250 << 30,
            accelerators: u32::from(number % 3 == 0),
        };
        cell.resize_worker(&name, whole);
        if let Some(host) = cell.workers.get_mut(&name) {
            host.address = Some(([127, 0, 0, 1], 1).into());
            host.listed_phase = Phase::Live;
            let mut session = Session::new(Duration::ZERO);
            let answer = ReportHeader {
                epoch: 1,
                seq: 1,
                boot: 1,
                clock: 1,
            };
            session.handle_report(1, answer, &TERMS, NOW);
            session.grant(&TERMS, true);
            host.session = session;
        }
    }
    cell
}

/// Submits `tasks` tasks of many accounts, a few to a job.
pub fn submit(cell: &mut Cell, tasks: usize, name: &str) {
    for number in 0..tasks / 5 {
        let submission = Submission {
            account: format!("team-{}", number % ACCOUNTS).into(),
            job: format!("{name}-{number}").into(),
            kind: "bench".into(),
            class: if number % 2 == 0 {
                Class::LatencyCritical
            } else {
                Class::Batch
            },
            urgent: false,
            tasks: 5,
            needs: Resources {
                processors: 2000,
                memory: 4 << 30,
                accelerators: 0,
            },
            length: Some(Duration::from_mins(10)),
            target: None,
            attempts: 5,
            quota: Resources {
                processors: 100_000_000,
                memory: 1 << 50,
                accelerators: 0,
            },
            evictions: 0,
        };
        plan::submit(cell, submission, 1, NOW);
    }
}

/// Shrinks every worker to what it has handed out.
fn fill(cell: &mut Cell) {
    let names: Vec<Arc<str>> = cell.workers.keys().cloned().collect();
    for name in names {
        let taken = *cell.workers[&name].pool().allocated();
        cell.resize_worker(&name, taken);
    }
}

fn time_rounds(
    cell: &mut Cell,
    planner: &mut Planner,
    ends: Option<usize>,
) -> anyhow::Result<Histogram<u64>> {
    let mut times = Histogram::new(3)?;
    for _ in 0..ROUNDS {
        if let Some(ends) = ends {
            end_some(cell, ends);
        }
        let began = Instant::now();
        planner.plan_round(cell, 1, NOW);
        times.record(u64::try_from(began.elapsed().as_micros())?)?;
    }
    Ok(times)
}

fn end_some(cell: &mut Cell, count: usize) {
    let running: Vec<Attempt> = cell
        .workers
        .values()
        .flat_map(|host| host.tasks.iter().copied())
        .take(count)
        .filter_map(|id| {
            Some(Attempt {
                task: id,
                number: cell.task(id)?.0.attempt,
            })
        })
        .collect();
    for attempt in running {
        cell.apply(&LogRecord::Ended(attempt, End::Finished), 1, NOW);
    }
}

fn show(what: &str, times: &Histogram<u64>) {
    println!(
        "{what}: p50 {} us, p99 {} us, max {} us",
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.99),
        times.max()
    );
}
