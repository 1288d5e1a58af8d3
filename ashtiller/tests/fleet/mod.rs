//! Simulates the owners, log and workers of one cell in virtual time.
#![allow(dead_code, reason = "each test program uses a part of this module")]

mod node;
mod worker;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use ashtiller::agent::{Report, SyncRequest};
use ashtiller::fact::{Body, End, Entry, LogRecord, TaskId};
use ashtiller::peer::Submission;
use ashtiller::resources::Resources;
use ashtiller::template::Class;

pub use node::{Node, Write};
pub use worker::Worker;

/// Number of workers in the cell.
const WORKERS: usize = 4;
/// Longest step of virtual time.
const STEP_MAX_MS: u64 = 60;
/// Limit of messages in flight between one owner and one worker.
const IN_FLIGHT_MAX: usize = 2;

pub fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A message in flight.
#[derive(Clone, Debug)]
pub enum Message {
    ToWorker {
        owner: usize,
        worker: Arc<str>,
        sync: SyncRequest,
    },
    ToOwner {
        owner: usize,
        worker: Arc<str>,
        report: Report,
    },
}

/// The simulated cell and its virtual clock.
pub struct Fleet {
    pub now: Duration,
    pub log: Vec<Entry>,
    pub nodes: Vec<Node>,
    pub workers: BTreeMap<Arc<str>, Worker>,
    pub in_flight: Vec<Message>,
    /// Pairs of owner and worker that cannot reach each other.
    partitions: BTreeSet<(usize, Arc<str>)>,
    store_down: bool,
    started: BTreeSet<(Arc<str>, u32)>,
    finished: BTreeSet<Arc<str>>,
    checkpoints: BTreeMap<Arc<str>, u64>,
    jobs: u32,
}

/// Counts of events in an interleaving, which show whether the runs reach the cases of interest.
#[derive(Clone, Copy, Debug, Default)]
pub struct Coverage {
    pub starts: usize,
    pub finished: usize,
    pub resumed: usize,
    pub evicted: usize,
    pub lost: usize,
    pub owners: usize,
    pub superseded: usize,
}

impl Fleet {
    pub fn open() -> Self {
        let workers = (0..WORKERS).map(|number| {
            let name: Arc<str> = format!("w{number}").into();
            // Clocks drift by up to 1 % in either direction.
            let rate = 0.99 + 0.02 * f64::from(u8::try_from(number).unwrap_or(0)) / 3.0;
            (name, Worker::new(rate))
        });
        let mut fleet = Self {
            now: millis(1000),
            log: Vec::new(),
            nodes: Vec::new(),
            workers: workers.collect(),
            in_flight: Vec::new(),
            partitions: BTreeSet::new(),
            store_down: false,
            started: BTreeSet::new(),
            finished: BTreeSet::new(),
            checkpoints: BTreeMap::new(),
            jobs: 0,
        };
        fleet.take_over();
        fleet
    }

    /// Performs one random step of an interleaving and checks the invariants.
    pub fn step(&mut self, kind: u8, pick: u16, choice: u16) -> Result<(), String> {
        match kind {
            0..15 => self.advance(1 + u64::from(pick) % STEP_MAX_MS)?,
            15..45 => self.tick(pick),
            45..60 => self.write(pick, choice),
            60..75 => self.deliver_most(pick, choice.is_multiple_of(8))?,
            75..78 => self.drop_message(pick),
            78..84 => self.submit(pick),
            84..86 => self.cancel(pick),
            86..91 => self.advance_task(pick, choice),
            91 if choice.is_multiple_of(3) => self.restart(pick)?,
            92 if !self.store_down && choice.is_multiple_of(3) => self.take_over(),
            93 if !self.store_down && choice.is_multiple_of(3) => self.kill_owner(pick),
            94..96 => self.set_leaving(pick, choice),
            // Longer than a lease, as when an owner's process is paused.
            96 if choice.is_multiple_of(2) => self.advance(2500)?,
            97 => self.toggle_partition(pick, choice),
            98 => self.store_down = !self.store_down && choice.is_multiple_of(4),
            _ => self.tick_all(),
        }
        self.check()
    }

    /// Clears all faults, runs the cell for a while and checks that every task ended.
    pub fn settle(&mut self) -> Result<(), String> {
        self.nodes.clear();
        self.in_flight.clear();
        self.partitions.clear();
        self.store_down = false;
        for worker in self.workers.values_mut() {
            worker.leaving = false;
        }
        self.take_over();
        for _ in 0..400 {
            self.advance(50)?;
            self.tick_all();
            while !self.in_flight.is_empty() {
                self.deliver(0, false)?;
            }
            for index in 0..WORKERS {
                let worker = u16::try_from(index).unwrap_or(0);
                self.advance_task(worker, 0);
                self.advance_task(worker, 1);
            }
            self.check()?;
        }
        for task in &self.finished {
            let id = ashtiller::reconcile::parse_task_name(task).ok_or("malformed task name")?;
            if self
                .ends_in_log(id)
                .filter(|end| *end == End::Finished)
                .count()
                > 1
            {
                return Err(format!("{task} finished twice in the log"));
            }
        }
        let node = self.nodes.last().ok_or("the cell has no owner")?;
        let jobs = node.cell.durable_state().jobs.values();
        let unfinished: usize = jobs
            .flat_map(|job| &job.tasks)
            .filter(|task| !task.phase.is_over())
            .count();
        if unfinished > 0 {
            return Err(format!("{unfinished} tasks never ended"));
        }
        Ok(())
    }

    pub fn coverage(&self) -> Coverage {
        let facts = self.log.iter().filter_map(|entry| match &entry.body {
            Body::Facts(facts) => Some(facts),
            _ => None,
        });
        let ends: Vec<End> = facts
            .flatten()
            .filter_map(|fact| match fact {
                LogRecord::Ended(_, end) => Some(*end),
                _ => None,
            })
            .collect();
        let count = |wanted: fn(&End) -> bool| ends.iter().filter(|end| wanted(end)).count();
        Coverage {
            starts: self.started.len(),
            finished: self.finished.len(),
            resumed: self
                .started
                .iter()
                .filter(|(_, attempt)| *attempt > 1)
                .count(),
            evicted: count(|end| matches!(end, End::Evicted(_))),
            lost: count(|end| *end == End::Lost),
            owners: self.nodes.len(),
            superseded: self.nodes.iter().filter(|node| node.superseded).count(),
        }
    }

    pub fn advance(&mut self, by: u64) -> Result<(), String> {
        // Small steps let a lease that expires within the span expire on time.
        let mut left = by;
        while left > 0 {
            let step = left.min(20);
            left -= step;
            self.now += millis(step);
            for worker in self.workers.values_mut() {
                worker.advance(self.now);
            }
        }
        self.check()
    }

    /// Returns the index of a live owner, selected by `pick`.
    fn live_owner(&self, pick: u16) -> Option<usize> {
        let live: Vec<usize> = (0..self.nodes.len())
            .filter(|index| self.nodes[*index].alive)
            .collect();
        live.get(usize::from(pick) % live.len().max(1)).copied()
    }

    pub fn tick(&mut self, pick: u16) {
        let Some(owner) = self.live_owner(pick) else {
            return;
        };
        let listed = self
            .workers
            .iter()
            .map(|(name, worker)| (name.clone(), worker.leaving));
        let listed: Vec<(Arc<str>, bool)> = listed.collect();
        let node = &mut self.nodes[owner];
        node.list_workers(&listed, worker::CAPACITY, self.now);
        let calls = node.tick(self.now);
        for (worker, sync) in calls {
            if self.in_flight_count(owner, &worker) < IN_FLIGHT_MAX {
                self.in_flight.push(Message::ToWorker {
                    owner,
                    worker,
                    sync,
                });
            }
        }
    }

    fn in_flight_count(&self, owner: usize, worker: &Arc<str>) -> usize {
        let between_both = |message: &&Message| match message {
            Message::ToWorker {
                owner: from,
                worker: to,
                ..
            }
            | Message::ToOwner {
                owner: from,
                worker: to,
                ..
            } => *from == owner && to == worker,
        };
        self.in_flight.iter().filter(between_both).count()
    }

    fn tick_all(&mut self) {
        for owner in 0..u16::try_from(self.nodes.len()).unwrap_or(u16::MAX) {
            self.tick(owner);
            self.write(owner, 3);
        }
    }

    /// Performs an owner's write to the log. The reply may get lost, or the store may be down.
    pub fn write(&mut self, pick: u16, choice: u16) {
        let Some(owner) = self.live_owner(pick) else {
            return;
        };
        let node = &mut self.nodes[owner];
        let Some((position, entry)) = node.outgoing() else {
            return;
        };
        if self.store_down || choice.is_multiple_of(8) {
            return;
        }
        let index = usize::try_from(position - 1).unwrap_or(usize::MAX);
        if self.log.len() == index {
            self.log.push(entry.clone());
        }
        if choice % 8 == 1 {
            return; // The entry is written, but the reply is lost: the owner will read it back.
        }
        let written = if self.log[index] == entry {
            Write::Durable
        } else {
            Write::Superseded
        };
        node.handle_write(written, self.now);
    }

    pub fn take_over(&mut self) {
        let epoch = self.log.iter().map(|entry| entry.epoch).max().unwrap_or(0) + 1;
        let writer = u64::try_from(self.nodes.len()).unwrap_or(0) + 1;
        let seal = Body::Seal {
            owner: format!("owner-{writer}").into(),
            lease: node::LEASE_MS + node::MARGIN_MS,
            horizon: node::HORIZON_MS,
            at: 0,
        };
        self.log.push(Entry {
            epoch,
            writer,
            body: seal,
        });
        self.nodes
            .push(Node::open(&self.log, epoch, writer, self.now));
    }

    fn kill_owner(&mut self, pick: u16) {
        if let Some(owner) = self.live_owner(pick) {
            self.nodes[owner].alive = false;
        }
        if self.live_owner(0).is_none() {
            self.take_over();
        }
    }

    /// Delivers four messages, mostly the newest ones; others arrive late.
    fn deliver_most(&mut self, pick: u16, duplicate: bool) -> Result<(), String> {
        let count = u16::try_from(self.in_flight.len()).unwrap_or(u16::MAX);
        for _ in 0..4 {
            let newest = !pick.is_multiple_of(4) && count > 0;
            self.deliver(if newest { count - 1 } else { pick }, duplicate)?;
        }
        Ok(())
    }

    pub fn deliver(&mut self, pick: u16, duplicate: bool) -> Result<(), String> {
        if self.in_flight.is_empty() {
            return Ok(());
        }
        let index = usize::from(pick) % self.in_flight.len();
        let message = if duplicate {
            self.in_flight[index].clone()
        } else {
            self.in_flight.remove(index)
        };
        let (Message::ToWorker { owner, worker, .. } | Message::ToOwner { owner, worker, .. }) =
            &message;
        if self.partitions.contains(&(*owner, worker.clone())) {
            return Ok(());
        }
        match message {
            Message::ToWorker {
                owner,
                worker,
                sync,
            } => {
                let Some(found) = self.workers.get_mut(&worker) else {
                    return Ok(());
                };
                let started = found.sync(&sync, self.now);
                let report = found.report(self.now);
                for (task, attempt, progress) in started {
                    self.record_start(&task, attempt, progress)?;
                }
                self.in_flight.push(Message::ToOwner {
                    owner,
                    worker,
                    report,
                });
            }
            Message::ToOwner {
                owner,
                worker,
                report,
            } => {
                let node = &mut self.nodes[owner];
                if node.alive {
                    node.handle_report(&worker, &report, self.now);
                }
            }
        }
        self.check()
    }

    fn record_start(&mut self, task: &Arc<str>, attempt: u32, progress: u64) -> Result<(), String> {
        if !self.started.insert((task.clone(), attempt)) {
            return Err(format!("{task} attempt {attempt} started twice"));
        }
        let id = ashtiller::reconcile::parse_task_name(task).ok_or("malformed task name")?;
        if self.ends_in_log(id).any(|end| end == End::Finished) {
            return Err(format!(
                "{task} started after its end was recorded as finished"
            ));
        }
        let checkpoint = self.checkpoints.get(task).copied().unwrap_or(0);
        if progress > checkpoint {
            return Err(format!(
                "{task} resumed at {progress}, past its checkpoint at {checkpoint}"
            ));
        }
        Ok(())
    }

    /// Partitions an owner from a worker, or heals all partitions.
    fn toggle_partition(&mut self, pick: u16, worker: u16) {
        let Some(owner) = self.live_owner(pick) else {
            return;
        };
        if self.partitions.is_empty() {
            let worker = format!("w{}", usize::from(worker) % WORKERS);
            self.partitions.insert((owner, worker.into()));
        } else {
            self.partitions.clear();
        }
    }

    fn drop_message(&mut self, pick: u16) {
        if !self.in_flight.is_empty() {
            self.in_flight
                .remove(usize::from(pick) % self.in_flight.len());
        }
    }

    pub fn submit(&mut self, choice: u16) {
        if let Some(owner) = self.live_owner(choice) {
            self.submit_to(owner, choice);
        }
    }

    pub fn submit_to_newest(&mut self, choice: u16) {
        self.submit_to(self.nodes.len() - 1, choice);
    }

    fn submit_to(&mut self, owner: usize, choice: u16) {
        let urgent = choice.is_multiple_of(5);
        let submission = Submission {
            account: format!("account-{}", choice % 3).into(),
            job: format!("job-{}", self.jobs).into(),
            kind: "test".into(),
            class: if urgent {
                Class::LatencyCritical
            } else {
                Class::Batch
            },
            urgent,
            tasks: 1 + u32::from(choice % 3),
            needs: Resources {
                processors: 1000 + 1000 * u64::from(choice % 3),
                memory: 1,
                accelerators: 0,
            },
            length: Some(millis(5000)),
            target: None,
            attempts: 20,
            quota: Resources {
                processors: 9000,
                memory: 100,
                accelerators: 0,
            },
            evictions: 1000,
        };
        self.jobs += 1;
        self.nodes[owner].submit(submission, self.now);
    }

    fn cancel(&mut self, choice: u16) {
        let Some(owner) = self.live_owner(choice) else {
            return;
        };
        let job = format!("job-{}", u32::from(choice) % self.jobs.max(1)).into();
        for number in 0..3 {
            self.nodes[owner].cancel(&format!("account-{number}").into(), &job, self.now);
        }
    }

    /// Lets an attempt on one worker finish, fail or make progress.
    pub fn advance_task(&mut self, pick: u16, choice: u16) {
        let worker = self.workers.values_mut().nth(usize::from(pick) % WORKERS);
        let Some(worker) = worker else { return };
        // An unreported end is lost with a worker that restarts or stays unreachable until its
        // lease expires, so a task may finish twice, but only once in the log.
        self.finished
            .extend(worker.advance_attempt(choice, self.now));
    }

    pub fn restart(&mut self, pick: u16) -> Result<(), String> {
        if let Some(worker) = self.workers.values_mut().nth(usize::from(pick) % WORKERS) {
            worker.restart(self.now);
        }
        self.check()
    }

    fn set_leaving(&mut self, pick: u16, choice: u16) {
        if let Some(worker) = self.workers.values_mut().nth(usize::from(pick) % WORKERS) {
            worker.leaving = choice.is_multiple_of(3);
        }
    }

    /// Checks what the workers really run, whatever the owners believe: no task runs twice, no
    /// worker exceeds its capacity.
    fn check(&mut self) -> Result<(), String> {
        let mut running: BTreeMap<Arc<str>, Arc<str>> = BTreeMap::new();
        for (name, worker) in &self.workers {
            for task in worker.running() {
                if let Some(other) = running.insert(task.clone(), name.clone()) {
                    return Err(format!(
                        "{task} runs on {other} and {name} at {:?}",
                        self.now
                    ));
                }
            }
            let mut used = 0;
            for task in worker.running() {
                let needs = self.needs_of(&task);
                used += needs.ok_or_else(|| format!("{task} runs, but the log has no such job"))?;
            }
            if used > worker::CAPACITY.processors {
                return Err(format!(
                    "{name} runs tasks of {used} on a capacity of {}",
                    worker::CAPACITY.processors
                ));
            }
            for (task, progress) in worker.checkpoints() {
                let newest = self.checkpoints.entry(task).or_default();
                *newest = (*newest).max(progress);
            }
        }
        Ok(())
    }

    fn ends_in_log(&self, id: TaskId) -> impl Iterator<Item = End> {
        let facts = self.log.iter().filter_map(|entry| match &entry.body {
            Body::Facts(facts) => Some(facts),
            _ => None,
        });
        facts.flatten().filter_map(move |fact| match fact {
            LogRecord::Ended(attempt, end) if attempt.task == id => Some(*end),
            _ => None,
        })
    }

    /// Returns the processors that a task needs, by the log, which records every job before any of
    /// its tasks can start.
    fn needs_of(&self, task: &str) -> Option<u64> {
        let id = ashtiller::reconcile::parse_task_name(task)?;
        let entries = self.log.iter().filter_map(|entry| match &entry.body {
            Body::Facts(facts) => Some(facts),
            _ => None,
        });
        let submitted = entries.flatten().filter_map(|fact| match fact {
            LogRecord::Submitted(submission) => Some(submission.needs.processors),
            _ => None,
        });
        submitted.into_iter().nth(id.job as usize)
    }
}
