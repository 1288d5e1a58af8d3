//! The workers of a replay, and the cell that decides about them.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use ashtiller::agent::{Command, Ended, Report, ReportedEnd, Running};
use ashtiller::cell::Cell;
use ashtiller::fact::{Attempt, LogRecord, TaskId};
use ashtiller::job::Phase;
use ashtiller::peer::Submission;
use ashtiller::plan::{self, Planner};
use ashtiller::reconcile::{self, StepContext};
use ashtiller::resources::Resources;
use ashtiller::session::{LeaseTerms, Session};
use ashtiller::template::Class;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use super::policy::Policy;
use super::score::Score;
use super::trace::{Batch, Service, Trace};

/// Seconds between reports of a worker.
const REPORT_EVERY: u64 = 3;
/// Spread of the measurements' noise.
const NOISE: f64 = 0.03;
const TERMS: LeaseTerms = LeaseTerms {
    lease: Duration::from_secs(12),
    margin: Duration::from_secs(1),
};

/// A running attempt.
struct Run {
    kind: String,
    account: String,
    attempt: u32,
    progress: f64,
    length: Option<f64>,
    percent: u32,
    started: u64,
}

/// What a worker measured in one second: latencies of services and speeds.
#[derive(Clone, Default)]
struct Measured {
    latencies: BTreeMap<Arc<str>, (u64, u32)>,
    speeds: BTreeMap<Arc<str>, u32>,
}

#[derive(Default)]
struct Node {
    running: BTreeMap<Arc<str>, Run>,
    ended: Vec<Ended>,
    past: VecDeque<Measured>,
}

/// A replay under way.
pub struct World<'a> {
    trace: &'a Trace,
    policy: Policy,
    cell: Cell,
    planner: Planner,
    nodes: Vec<Node>,
    rng: Pcg64Mcg,
    seq: u64,
    jobs: u32,
    ratios: Vec<f64>,
    score: Score,
    evicted: BTreeMap<String, u32>,
}

fn name_of(worker: usize) -> Arc<str> {
    format!("worker-{worker:03}").into()
}

impl<'a> World<'a> {
    /// Workers with their services, and no batch work yet.
    pub fn open(trace: &'a Trace, policy: Policy, seed: u64) -> Self {
        let mut world = Self {
            trace,
            policy,
            cell: Cell::default(),
            planner: Planner::new(policy.fit(), TERMS),
            nodes: (0..trace.workers).map(|_| Node::default()).collect(),
            rng: Pcg64Mcg::new(u128::from(seed) << 1 | 1),
            seq: 1,
            jobs: 0,
            ratios: Vec::new(),
            score: Score::default(),
            evicted: BTreeMap::new(),
        };
        for worker in 0..trace.workers {
            world.add_worker(worker);
        }
        for service in &trace.services {
            world.add_service(service);
        }
        world
    }

    fn add_worker(&mut self, worker: usize) {
        let name = name_of(worker);
        let whole = Resources {
            processors: self.trace.cores * 1000,
            memory: 1 << 40,
            accelerators: 0,
        };
        self.cell.resize_worker(&name, whole);
        if let Some(host) = self.cell.workers.get_mut(&name) {
            host.address = Some(([127, 0, 0, 1], u16::try_from(worker + 1).unwrap_or(1)).into());
            // Nothing is lost before the first report.
            host.session = Session::new(Duration::from_mins(1));
        }
    }

    fn add_service(&mut self, service: &Service) {
        for worker in service.workers.0..=service.workers.1 {
            let job = format!("{}-{worker}", service.name);
            let submission = submission(
                "service",
                &service.name,
                &job,
                service.cores,
                None,
                Some(service.target),
            );
            plan::submit(&mut self.cell, submission, 1, Duration::ZERO);
            let number = self
                .cell
                .find_job(&"service".into(), &job.as_str().into())
                .unwrap_or(0);
            let task = TaskId {
                job: number,
                index: 0,
            };
            let attempt = Attempt { task, number: 1 };
            let placed = LogRecord::Placed {
                attempt,
                worker: name_of(worker),
                boot: 1,
            };
            self.cell.apply(&placed, 1, Duration::ZERO);
        }
    }

    /// Runs to the end of the trace.
    pub fn run(mut self) -> Score {
        for at in 0..self.trace.seconds {
            self.arrive(at);
            for worker in 0..self.nodes.len() {
                self.work(worker, at);
                if (at + worker as u64).is_multiple_of(REPORT_EVERY) {
                    self.report(worker, at);
                }
            }
            let now = Duration::from_secs(at + 1);
            self.planner.plan_round(&mut self.cell, 1, now);
        }
        self.ratios.sort_by(f64::total_cmp);
        let place = self.ratios.len().saturating_sub(1) * 99 / 100;
        self.score.p99 = self.ratios.get(place).copied().unwrap_or(0.0);
        let accounts = self.trace.batches.iter().map(|batch| &batch.account);
        let counts: Vec<u32> = accounts
            .map(|account| self.evicted.get(account).copied().unwrap_or(0))
            .collect();
        self.score.spread = counts.iter().max().unwrap_or(&0) - counts.iter().min().unwrap_or(&0);
        self.score
    }

    fn arrive(&mut self, at: u64) {
        let trace = self.trace;
        for batch in &trace.batches {
            let inside = (batch.span.0..batch.span.1).contains(&at);
            if inside && (at - batch.span.0).is_multiple_of(batch.every) {
                self.submit(batch, at);
            }
        }
    }

    fn submit(&mut self, batch: &Batch, at: u64) {
        self.jobs += 1;
        let job = format!("{}-{}", batch.kind, self.jobs);
        let length = Some(batch.length);
        let submission = submission(&batch.account, &batch.kind, &job, batch.cores, length, None);
        plan::submit(&mut self.cell, submission, 1, Duration::from_secs(at));
    }

    /// One second on a worker: progress, latencies, ends.
    fn work(&mut self, worker: usize, at: u64) {
        let mut measured = Measured::default();
        let node = &mut self.nodes[worker];
        for run in node.running.values_mut() {
            let speed = f64::from(run.percent) / 100.0;
            run.progress += speed;
            if run.length.is_some() {
                self.score.batch += speed;
            }
        }
        for (task, run) in &node.running {
            measured.speeds.insert(task.clone(), run.percent);
        }
        let trace = self.trace;
        for service in &trace.services {
            let here = node
                .running
                .iter()
                .find(|(_, run)| run.kind == service.name);
            let Some((task, _)) = here else { continue };
            let beside = node.running.values().filter(|run| run.length.is_some());
            let harm: f64 = beside
                .map(|run| trace.effect(&run.kind, service, at) * f64::from(run.percent) / 100.0)
                .sum();
            let noise = 1.0 + NOISE * (self.rng.random::<f64>() * 2.0 - 1.0);
            let ratio = (service.alone + harm) / 100.0 * noise;
            self.ratios.push(ratio);
            self.score.watched += 1;
            self.score.over += u32::from(ratio > 1.0);
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                clippy::cast_precision_loss,
                reason = "microseconds"
            )]
            let latency = (ratio * service.target as f64 * 1e3) as u64;
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "percent"
            )]
            let load = trace.load(service, at) as u32;
            measured.latencies.insert(task.clone(), (latency, load));
        }
        node.past.push_back(measured);
        let keep = usize::try_from(trace.lag + 1).unwrap_or(1);
        while node.past.len() > keep {
            node.past.pop_front();
        }
        self.end_tasks(worker);
    }

    fn end_tasks(&mut self, worker: usize) {
        let node = &mut self.nodes[worker];
        let done: Vec<Arc<str>> = node
            .running
            .iter()
            .filter(|(_, run)| run.length.is_some_and(|length| run.progress >= length))
            .map(|(task, _)| task.clone())
            .collect();
        for task in done {
            self.end(worker, &task, ReportedEnd::Finished);
        }
    }

    fn end(&mut self, worker: usize, task: &Arc<str>, end: ReportedEnd) {
        let node = &mut self.nodes[worker];
        let Some(run) = node.running.remove(task) else {
            return;
        };
        if end == ReportedEnd::Evicted {
            self.score.evictions += 1;
            *self.evicted.entry(run.account).or_default() += 1;
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "milliseconds"
        )]
        let progress = (run.progress * 1e3) as u64;
        node.ended.push(Ended {
            task: task.clone(),
            attempt: run.attempt,
            end,
            progress,
        });
    }

    /// A call of the owner and the worker's answer, whose figures lag.
    fn report(&mut self, worker: usize, at: u64) {
        let (name, now) = (name_of(worker), Duration::from_secs(at + 1));
        self.seq += 1;
        let report = self.report_of(worker, at);
        let moment = StepContext {
            epoch: 1,
            position: 1,
            durable: 1,
            now,
        };
        reconcile::apply_report(&mut self.cell, &name, &report, &TERMS, moment);
        match self.policy {
            Policy::Product => {
                self.planner.observe(&mut self.cell, &name, &report, 1, now);
            }
            Policy::Threshold => self.evict_newest(worker, &name, &report, now),
            _ => {}
        }
        let Some(sync) = reconcile::prepare_sync(&mut self.cell, &name, &TERMS, true, moment)
        else {
            return;
        };
        let node = &mut self.nodes[worker];
        node.ended
            .retain(|ended| !sync.acks.contains(&(ended.task.clone(), ended.attempt)));
        for command in sync.commands {
            self.obey(worker, command, at);
        }
    }

    fn report_of(&self, worker: usize, at: u64) -> Report {
        let node = &self.nodes[worker];
        let measured = node.past.front().cloned().unwrap_or_default();
        let running = node.running.iter().map(|(task, run)| {
            let latency = measured.latencies.get(task);
            Running {
                task: task.clone(),
                attempt: run.attempt,
                progress: 0,
                // What was not there when the figures were taken had no part in them.
                speed: measured.speeds.get(task).copied().unwrap_or(0),
                latency: latency.map(|(micros, _)| *micros),
                load: latency.map_or(0, |(_, load)| *load),
            }
        });
        Report {
            boot: 1,
            clock: at * 1000,
            epoch: 1,
            seq: self.seq,
            lag: self.trace.lag * 1000,
            digest: 0,
            unchanged: false,
            running: running.collect(),
            ended: node.ended.clone(),
        }
    }

    fn obey(&mut self, worker: usize, command: Command, at: u64) {
        match command {
            Command::Start {
                task,
                attempt,
                progress,
                ..
            } => {
                let run = self.run_of(&task, attempt, progress, at);
                if let Some(run) = run.filter(|_| !self.nodes[worker].running.contains_key(&task)) {
                    self.score.starts += u32::from(run.length.is_some());
                    self.nodes[worker].running.insert(task, run);
                }
            }
            Command::Evict { task, .. } => self.end(worker, &task, ReportedEnd::Evicted),
            Command::Stop { task, .. } => self.end(worker, &task, ReportedEnd::Stopped),
            Command::Throttle { task, percent, .. } => {
                if let Some(run) = self.nodes[worker].running.get_mut(&task) {
                    run.percent = percent;
                }
            }
        }
    }

    #[expect(clippy::cast_precision_loss, reason = "seconds of a trace")]
    fn run_of(&self, task: &str, attempt: u32, progress: u64, at: u64) -> Option<Run> {
        let (_, submission) = self.cell.task(reconcile::parse_task_name(task)?)?;
        let real = self
            .trace
            .reals
            .iter()
            .find(|real| *real.kind == *submission.kind);
        let declared = submission.length.map(|length| length.as_secs());
        let length = declared.map(|declared| real.map_or(declared, |real| real.length) as f64);
        Some(Run {
            kind: submission.kind.to_string(),
            account: submission.account.to_string(),
            attempt,
            progress: progress as f64 / 1e3,
            length,
            percent: 100,
            started: at,
        })
    }

    /// The baseline's controller: evict the newest batch task when a service is over.
    fn evict_newest(&mut self, worker: usize, name: &Arc<str>, report: &Report, now: Duration) {
        let over = report.running.iter().any(|running| {
            let target = reconcile::parse_task_name(&running.task)
                .and_then(|id| self.cell.task(id)?.1.target)
                .map(|target| target.as_micros());
            running
                .latency
                .zip(target)
                .is_some_and(|(latency, target)| u128::from(latency) > target)
        });
        let batch = self.nodes[worker]
            .running
            .iter()
            .filter(|(_, run)| run.length.is_some());
        let newest = batch
            .max_by_key(|(_, run)| run.started)
            .map(|(task, run)| (task.clone(), run.attempt));
        let Some((task, number)) = newest.filter(|_| over) else {
            return;
        };
        let Some(id) = reconcile::parse_task_name(&task) else {
            return;
        };
        let placed = self.cell.task(id).is_some_and(
            |(task, _)| matches!(&task.phase, Phase::Placed(place) if place.worker == *name),
        );
        if placed {
            let attempt = Attempt { task: id, number };
            self.cell.apply(&LogRecord::Evicting(attempt), 1, now);
        }
    }
}

fn submission(
    account: &str,
    kind: &str,
    job: &str,
    cores: u64,
    length: Option<u64>,
    target: Option<u64>,
) -> Submission {
    Submission {
        account: account.into(),
        job: job.into(),
        kind: kind.into(),
        class: if target.is_some() {
            Class::LatencyCritical
        } else {
            Class::Batch
        },
        urgent: false,
        tasks: 1,
        needs: Resources {
            processors: cores * 1000,
            memory: 1,
            accelerators: 0,
        },
        length: length.map(Duration::from_secs),
        target: target.map(Duration::from_millis),
        attempts: 5,
        quota: Resources {
            processors: u64::MAX / 2,
            memory: u64::MAX / 2,
            accelerators: 0,
        },
        evictions: 1000,
    }
}
