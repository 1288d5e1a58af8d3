//! A worker that follows the protocol, with a clock that drifts.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use ashtiller::agent::{Command, Ended, Report, ReportedEnd, Running, SyncRequest};
use ashtiller::resources::Resources;

/// Capacity of each worker.
pub const CAPACITY: Resources = Resources {
    processors: 4000,
    memory: 50,
    accelerators: 0,
};

struct Attempt {
    number: u32,
    progress: u64,
}

pub struct Worker {
    pub leaving: bool,
    rate: f64,
    boot: u64,
    started_at: Duration,
    epoch: u64,
    seq: u64,
    lease_end: u64,
    running: BTreeMap<Arc<str>, Attempt>,
    ended: BTreeMap<(Arc<str>, u32), Ended>,
    saved: Vec<(Arc<str>, u64)>,
    known_digest: u64,
}

impl Worker {
    pub fn new(rate: f64) -> Self {
        Self {
            leaving: false,
            rate,
            boot: 1,
            started_at: Duration::ZERO,
            epoch: 0,
            seq: 0,
            lease_end: 0,
            running: BTreeMap::new(),
            ended: BTreeMap::new(),
            saved: Vec::new(),
            known_digest: 0,
        }
    }

    fn clock(&self, now: Duration) -> u64 {
        let age = now.saturating_sub(self.started_at).mul_f64(self.rate);
        u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
    }

    pub fn running(&self) -> impl Iterator<Item = Arc<str>> {
        self.running.keys().cloned()
    }

    /// Returns the checkpoints written so far.
    pub fn checkpoints(&self) -> impl Iterator<Item = (Arc<str>, u64)> {
        self.saved.iter().cloned()
    }

    pub fn advance(&mut self, now: Duration) {
        if self.clock(now) >= self.lease_end {
            let tasks: Vec<Arc<str>> = self.running.keys().cloned().collect();
            for task in tasks {
                self.end(&task, ReportedEnd::Lapsed);
            }
        }
    }

    pub fn restart(&mut self, now: Duration) {
        let saved = std::mem::take(&mut self.saved);
        let (rate, boot, leaving) = (self.rate, self.boot + 1, self.leaving);
        *self = Self {
            boot,
            started_at: now,
            saved,
            leaving,
            ..Self::new(rate)
        };
    }

    fn end(&mut self, task: &Arc<str>, end: ReportedEnd) {
        let Some(attempt) = self.running.remove(task) else {
            return;
        };
        if end == ReportedEnd::Evicted {
            self.saved.push((task.clone(), attempt.progress));
        }
        let (number, progress) = (attempt.number, attempt.progress);
        let ended = Ended {
            task: task.clone(),
            attempt: number,
            end,
            progress,
        };
        self.ended.insert((task.clone(), number), ended);
    }

    /// Handles a call of an owner; returns the attempts started and the progress that each resumed
    /// at.
    pub fn sync(&mut self, sync: &SyncRequest, now: Duration) -> Vec<(Arc<str>, u32, u64)> {
        self.advance(now);
        let other_incarnation = sync.boot != 0 && sync.boot != self.boot;
        if other_incarnation || (sync.epoch, sync.seq) <= (self.epoch, self.seq) {
            return Vec::new();
        }
        (self.epoch, self.seq) = (sync.epoch, sync.seq);
        self.lease_end = self.lease_end.max(sync.until);
        self.known_digest = sync.known;
        for (task, attempt) in &sync.acks {
            self.ended.remove(&(task.clone(), *attempt));
        }
        let mut started = Vec::new();
        for command in &sync.commands {
            match command {
                Command::Start {
                    task,
                    attempt,
                    progress,
                    ..
                } => {
                    let already_ended = self.ended.contains_key(&(task.clone(), *attempt));
                    let leased = self.clock(now) < self.lease_end;
                    if leased && !already_ended && !self.running.contains_key(task) {
                        let running = Attempt {
                            number: *attempt,
                            progress: *progress,
                        };
                        self.running.insert(task.clone(), running);
                        started.push((task.clone(), *attempt, *progress));
                    }
                }
                Command::Evict { task, attempt } => self.stop(task, *attempt, ReportedEnd::Evicted),
                Command::Stop { task, attempt } => self.stop(task, *attempt, ReportedEnd::Stopped),
                Command::Throttle { .. } => {}
            }
        }
        started
    }

    fn stop(&mut self, task: &Arc<str>, number: u32, end: ReportedEnd) {
        if self
            .running
            .get(task)
            .is_some_and(|attempt| attempt.number == number)
        {
            self.end(task, end);
            return;
        }
        let not_started = Ended {
            task: task.clone(),
            attempt: number,
            end: ReportedEnd::Stopped,
            progress: 0,
        };
        self.ended
            .entry((task.clone(), number))
            .or_insert(not_started);
    }

    fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for (task, attempt) in &self.running {
            (task, attempt.number).hash(&mut hasher);
        }
        hasher.finish().max(1)
    }

    pub fn report(&self, now: Duration) -> Report {
        let digest = self.digest();
        let unchanged = digest == self.known_digest;
        let running = self
            .running
            .iter()
            .filter(|_| !unchanged)
            .map(|(task, attempt)| Running {
                task: task.clone(),
                attempt: attempt.number,
                progress: attempt.progress,
                ..Running::default()
            });
        Report {
            boot: self.boot,
            clock: self.clock(now),
            epoch: self.epoch,
            seq: self.seq,
            lag: 0,
            digest,
            unchanged,
            running: running.collect(),
            ended: self.ended.values().cloned().collect(),
        }
    }

    /// Lets the first running attempt make progress, finish or fail; returns the task if it
    /// finished.
    pub fn advance_attempt(&mut self, choice: u16, now: Duration) -> Option<Arc<str>> {
        self.advance(now);
        let task = self.running.keys().next().cloned()?;
        if let Some(attempt) = self.running.get_mut(&task) {
            attempt.progress += 100;
        }
        match choice % 4 {
            1 => {
                self.end(&task, ReportedEnd::Finished);
                Some(task)
            }
            2 => {
                self.end(&task, ReportedEnd::Failed);
                None
            }
            _ => None,
        }
    }
}
