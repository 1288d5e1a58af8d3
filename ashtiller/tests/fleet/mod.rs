//! A cell's owners, log and workers for tests with injected time.
#![allow(dead_code, reason = "each test file uses a part")]

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

/// Workers in the cell.
const WORKERS: usize = 4;
/// Longest step of time.
const LEAP: u64 = 60;
/// Messages that may be under way between one owner and one worker.
const CALLS_MAX: usize = 2;

pub fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A message under way.
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

/// Everything, with the time.
pub struct Fleet {
    pub now: Duration,
    pub log: Vec<Entry>,
    pub nodes: Vec<Node>,
    pub workers: BTreeMap<Arc<str>, Worker>,
    pub flight: Vec<Message>,
    /// Owners and workers that cannot reach each other.
    cuts: BTreeSet<(usize, Arc<str>)>,
    /// Whether the store is down.
    down: bool,
    started: BTreeSet<(Arc<str>, u32)>,
    finished: BTreeSet<Arc<str>>,
    checkpoints: BTreeMap<Arc<str>, u64>,
    jobs: u32,
}

/// What happened in an interleaving, to see that it reaches what it should.
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
            // Clocks drift by up to 1 % either way.
            let rate = 0.99 + 0.02 * f64::from(u8::try_from(number).unwrap_or(0)) / 3.0;
            (name, Worker::new(rate))
        });
        let mut fleet = Self {
            now: millis(1000),
            log: Vec::new(),
            nodes: Vec::new(),
            workers: workers.collect(),
            flight: Vec::new(),
            cuts: BTreeSet::new(),
            down: false,
            started: BTreeSet::new(),
            finished: BTreeSet::new(),
            checkpoints: BTreeMap::new(),
            jobs: 0,
        };
        fleet.take_over();
        fleet
    }

    /// One step of an interleaving.
    pub fn step(&mut self, kind: u8, one: u16, other: u16) -> Result<(), String> {
        match kind {
            0..15 => self.advance(1 + u64::from(one) % LEAP)?,
            15..45 => self.tick(one),
            45..60 => self.write(one, other),
            60..75 => self.deliver_most(one, other.is_multiple_of(8))?,
            75..78 => self.drop_message(one),
            78..84 => self.submit(one),
            84..86 => self.cancel(one),
            86..91 => self.work(one, other),
            91 if other.is_multiple_of(3) => self.restart(one)?,
            92 if !self.down && other.is_multiple_of(3) => self.take_over(),
            93 if !self.down && other.is_multiple_of(3) => self.kill_owner(one),
            94..96 => self.leave(one, other),
            // A pause of an owner longer than a lease: time passes, others go on.
            96 if other.is_multiple_of(2) => self.advance(2500)?,
            97 => self.cut(one, other),
            98 => self.down = !self.down && other.is_multiple_of(4),
            _ => self.tick_all(),
        }
        self.check()
    }

    /// Lets everything that can go on go on, then checks that nothing is lost.
    pub fn settle(&mut self) -> Result<(), String> {
        self.nodes.clear();
        self.flight.clear();
        self.cuts.clear();
        self.down = false;
        for worker in self.workers.values_mut() {
            worker.leaving = false;
        }
        self.take_over();
        for _ in 0..400 {
            self.advance(50)?;
            self.tick_all();
            while !self.flight.is_empty() {
                self.deliver(0, false)?;
            }
            for index in 0..WORKERS {
                let worker = u16::try_from(index).unwrap_or(0);
                self.work(worker, 0);
                self.work(worker, 1);
            }
            self.check()?;
        }
        for task in &self.finished {
            let id = ashtiller::reconcile::parse_task_name(task).ok_or("a task without number")?;
            if self
                .ends_in_log(id)
                .filter(|end| *end == End::Finished)
                .count()
                > 1
            {
                return Err(format!("{task} finished twice in the log"));
            }
        }
        let node = self.nodes.last().ok_or("no owner")?;
        let jobs = node.cell.durable_state().jobs.values();
        let left: usize = jobs
            .flat_map(|job| &job.tasks)
            .filter(|task| !task.phase.is_over())
            .count();
        if left > 0 {
            return Err(format!("{left} tasks never ended"));
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
        // In small steps, so that a lease that ends in between ends on time.
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

    fn alive(&self, pick: u16) -> Option<usize> {
        let alive: Vec<usize> = (0..self.nodes.len())
            .filter(|index| self.nodes[*index].alive)
            .collect();
        alive.get(usize::from(pick) % alive.len().max(1)).copied()
    }

    pub fn tick(&mut self, pick: u16) {
        let Some(owner) = self.alive(pick) else {
            return;
        };
        let listed = self
            .workers
            .iter()
            .map(|(name, worker)| (name.clone(), worker.leaving));
        let listed: Vec<(Arc<str>, bool)> = listed.collect();
        let node = &mut self.nodes[owner];
        node.list(&listed, worker::WHOLE, self.now);
        let calls = node.tick(self.now);
        for (worker, sync) in calls {
            if self.under_way(owner, &worker) < CALLS_MAX {
                self.flight.push(Message::ToWorker {
                    owner,
                    worker,
                    sync,
                });
            }
        }
    }

    fn under_way(&self, owner: usize, worker: &Arc<str>) -> usize {
        let same = |message: &&Message| match message {
            Message::ToWorker {
                owner: one,
                worker: to,
                ..
            }
            | Message::ToOwner {
                owner: one,
                worker: to,
                ..
            } => *one == owner && to == worker,
        };
        self.flight.iter().filter(same).count()
    }

    fn tick_all(&mut self) {
        for owner in 0..u16::try_from(self.nodes.len()).unwrap_or(u16::MAX) {
            self.tick(owner);
            self.write(owner, 3);
        }
    }

    /// Carries out an owner's write to the log; its answer may be lost, or the
    /// store be down.
    pub fn write(&mut self, pick: u16, luck: u16) {
        let Some(owner) = self.alive(pick) else {
            return;
        };
        let node = &mut self.nodes[owner];
        let Some((position, entry)) = node.outgoing() else {
            return;
        };
        if self.down || luck.is_multiple_of(8) {
            return;
        }
        let index = usize::try_from(position - 1).unwrap_or(usize::MAX);
        if self.log.len() == index {
            self.log.push(entry.clone());
        }
        if luck % 8 == 1 {
            return; // Written, and the answer is lost; it will be read back.
        }
        let written = if self.log[index] == entry {
            Write::Durable
        } else {
            Write::Superseded
        };
        node.wrote(written, self.now);
    }

    pub fn take_over(&mut self) {
        let epoch = self.log.iter().map(|entry| entry.epoch).max().unwrap_or(0) + 1;
        let writer = u64::try_from(self.nodes.len()).unwrap_or(0) + 1;
        let seal = Body::Seal {
            owner: format!("owner-{writer}").into(),
            lease: node::LEASE + node::MARGIN,
            horizon: node::HORIZON,
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
        if let Some(owner) = self.alive(pick) {
            self.nodes[owner].alive = false;
        }
        if self.alive(0).is_none() {
            self.take_over();
        }
    }

    /// Most messages arrive soon, some late.
    fn deliver_most(&mut self, pick: u16, twice: bool) -> Result<(), String> {
        let count = u16::try_from(self.flight.len()).unwrap_or(u16::MAX);
        for _ in 0..4 {
            let newest = !pick.is_multiple_of(4) && count > 0;
            self.deliver(if newest { count - 1 } else { pick }, twice)?;
        }
        Ok(())
    }

    pub fn deliver(&mut self, pick: u16, twice: bool) -> Result<(), String> {
        if self.flight.is_empty() {
            return Ok(());
        }
        let index = usize::from(pick) % self.flight.len();
        let message = if twice {
            self.flight[index].clone()
        } else {
            self.flight.remove(index)
        };
        let (Message::ToWorker { owner, worker, .. } | Message::ToOwner { owner, worker, .. }) =
            &message;
        if self.cuts.contains(&(*owner, worker.clone())) {
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
                    self.note_start(&task, attempt, progress)?;
                }
                self.flight.push(Message::ToOwner {
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
                    node.take(&worker, &report, self.now);
                }
            }
        }
        self.check()
    }

    fn note_start(&mut self, task: &Arc<str>, attempt: u32, progress: u64) -> Result<(), String> {
        if !self.started.insert((task.clone(), attempt)) {
            return Err(format!("{task} attempt {attempt} started twice"));
        }
        let id = ashtiller::reconcile::parse_task_name(task).ok_or("a task without number")?;
        if self.ends_in_log(id).any(|end| end == End::Finished) {
            return Err(format!("{task} started after the log had it finished"));
        }
        let checkpoint = self.checkpoints.get(task).copied().unwrap_or(0);
        if progress > checkpoint {
            return Err(format!(
                "{task} resumed at {progress}, its checkpoint is {checkpoint}"
            ));
        }
        Ok(())
    }

    /// Cuts an owner off from a worker, or mends the cut.
    fn cut(&mut self, pick: u16, worker: u16) {
        let Some(owner) = self.alive(pick) else {
            return;
        };
        if self.cuts.is_empty() {
            let worker = format!("w{}", usize::from(worker) % WORKERS);
            self.cuts.insert((owner, worker.into()));
        } else {
            self.cuts.clear();
        }
    }

    fn drop_message(&mut self, pick: u16) {
        if !self.flight.is_empty() {
            self.flight.remove(usize::from(pick) % self.flight.len());
        }
    }

    pub fn submit(&mut self, luck: u16) {
        if let Some(owner) = self.alive(luck) {
            self.submit_to(owner, luck);
        }
    }

    pub fn submit_to_newest(&mut self, luck: u16) {
        self.submit_to(self.nodes.len() - 1, luck);
    }

    fn submit_to(&mut self, owner: usize, luck: u16) {
        let urgent = luck.is_multiple_of(5);
        let submission = Submission {
            account: format!("account-{}", luck % 3).into(),
            job: format!("job-{}", self.jobs).into(),
            kind: "test".into(),
            class: if urgent {
                Class::LatencyCritical
            } else {
                Class::Batch
            },
            urgent,
            tasks: 1 + u32::from(luck % 3),
            needs: Resources {
                processors: 1000 + 1000 * u64::from(luck % 3),
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

    fn cancel(&mut self, luck: u16) {
        let Some(owner) = self.alive(luck) else {
            return;
        };
        let job = format!("job-{}", u32::from(luck) % self.jobs.max(1)).into();
        for number in 0..3 {
            self.nodes[owner].cancel(&format!("account-{number}").into(), &job, self.now);
        }
    }

    /// A running attempt finishes, fails or makes progress.
    pub fn work(&mut self, pick: u16, luck: u16) {
        let worker = self.workers.values_mut().nth(usize::from(pick) % WORKERS);
        let Some(worker) = worker else { return };
        // A worker that restarts, or cannot be reached before its lease ends, takes an
        // unreported end with it; so a task may finish twice, but not in the log.
        self.finished.extend(worker.work(luck, self.now));
    }

    pub fn restart(&mut self, pick: u16) -> Result<(), String> {
        if let Some(worker) = self.workers.values_mut().nth(usize::from(pick) % WORKERS) {
            worker.restart(self.now);
        }
        self.check()
    }

    fn leave(&mut self, pick: u16, luck: u16) {
        if let Some(worker) = self.workers.values_mut().nth(usize::from(pick) % WORKERS) {
            worker.leaving = luck.is_multiple_of(3);
        }
    }

    /// The oracle: what really runs, whatever anybody believes.
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
            let mut taken = 0;
            for task in worker.running() {
                let needs = self.needs_of(&task);
                taken +=
                    needs.ok_or_else(|| format!("{task} runs, and the log has no such job"))?;
            }
            if taken > worker::WHOLE.processors {
                return Err(format!(
                    "{name} runs {taken} of {}",
                    worker::WHOLE.processors
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

    /// Needs of a task by the log, which records every job before it can start.
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
