//! An owner around the state machines, without sockets or clock.

use std::sync::Arc;
use std::time::Duration;

use ashtiller::agent::{Report, SyncRequest};
use ashtiller::cell::Cell;
use ashtiller::endpoint::Phase;
use ashtiller::fact::{Body, Entry, LogRecord};
use ashtiller::peer::Submission;
use ashtiller::placement::InterferenceAware;
use ashtiller::plan::{self, Planner};
use ashtiller::reconcile::{self, StepContext};
use ashtiller::resources::Resources;
use ashtiller::session::{Change, LeaseTerms, Session};

use super::millis;

pub const LEASE: u64 = 1200;
pub const MARGIN: u64 = 100;
pub const HORIZON: u64 = 2000;
const RENEW: u64 = 300;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Write {
    Durable,
    Superseded,
}

pub struct Node {
    pub alive: bool,
    pub superseded: bool,
    pub cell: Cell,
    planner: Planner,
    terms: LeaseTerms,
    epoch: u64,
    writer: u64,
    bound: Duration,
    confirmed: Duration,
    began: Duration,
    position: u64,
    durable: u64,
    pending: Vec<LogRecord>,
    writing: Option<Entry>,
}

impl Node {
    /// Replays the log, whose last entry is this owner's seal.
    pub fn open(log: &[Entry], epoch: u64, writer: u64, now: Duration) -> Self {
        let terms = LeaseTerms {
            lease: millis(LEASE),
            margin: millis(MARGIN),
        };
        let mut cell = Cell::default();
        for (position, entry) in (1..).zip(log) {
            if let Body::Facts(facts) = &entry.body {
                for fact in facts {
                    cell.apply(fact, position, Duration::ZERO);
                }
            }
        }
        let bound = now + millis(LEASE + MARGIN + HORIZON);
        cell.reset_sessions(bound);
        let position = u64::try_from(log.len()).unwrap_or(u64::MAX) + 1;
        Self {
            alive: true,
            superseded: false,
            cell,
            planner: Planner::new(Box::new(InterferenceAware), terms),
            terms,
            epoch,
            writer,
            bound,
            confirmed: now,
            began: now,
            position,
            durable: position - 1,
            pending: Vec::new(),
            writing: None,
        }
    }

    pub fn list(&mut self, workers: &[(Arc<str>, bool)], whole: Resources, _: Duration) {
        for (name, leaving) in workers {
            self.cell.resize_worker(name, whole);
            let bound = self.bound;
            let Some(host) = self.cell.workers.get_mut(name) else {
                continue;
            };
            if host.address.is_none() {
                host.session = Session::new(bound);
            }
            host.address = Some(([127, 0, 0, 1], 1).into());
            host.listed_phase = if *leaving {
                Phase::Leaving
            } else {
                Phase::Live
            };
        }
    }

    fn moment(&self, now: Duration) -> StepContext {
        StepContext {
            epoch: self.epoch,
            position: self.position,
            durable: self.durable,
            now,
        }
    }

    /// Decides and returns calls to workers.
    pub fn tick(&mut self, now: Duration) -> Vec<(Arc<str>, SyncRequest)> {
        let facts = self.planner.plan_round(&mut self.cell, self.position, now);
        self.pending.extend(facts);
        self.flush(now);
        let renewing = now < self.confirmed + millis(HORIZON);
        let due: Vec<Arc<str>> = self
            .cell
            .workers
            .iter()
            .filter(|(name, host)| {
                let old = host
                    .last_called
                    .is_none_or(|called| now >= called + millis(RENEW));
                old || reconcile::has_pending_updates(&self.cell, name, self.durable)
            })
            .map(|(name, _)| name.clone())
            .collect();
        let moment = self.moment(now);
        let mut calls = Vec::new();
        for name in due {
            if let Some(host) = self.cell.workers.get_mut(&name) {
                host.last_called = Some(now);
            }
            let sync =
                reconcile::prepare_sync(&mut self.cell, &name, &self.terms, renewing, moment);
            calls.extend(sync.map(|sync| (name, sync)));
        }
        calls
    }

    fn flush(&mut self, now: Duration) {
        if self.writing.is_none() && !self.pending.is_empty() {
            let body = Body::Facts(std::mem::take(&mut self.pending));
            self.writing = Some(Entry {
                epoch: self.epoch,
                writer: self.writer,
                body,
            });
            self.began = now;
            self.position += 1;
        }
    }

    /// The entry that is being written, and its position.
    pub fn outgoing(&self) -> Option<(u64, Entry)> {
        self.writing.clone().map(|entry| (self.position - 1, entry))
    }

    pub fn wrote(&mut self, write: Write, now: Duration) {
        if write == Write::Superseded {
            self.alive = false;
            self.superseded = true;
            return;
        }
        self.durable = self.position - 1;
        self.writing = None;
        self.confirmed = self.confirmed.max(self.began);
        self.flush(now);
    }

    pub fn take(&mut self, worker: &Arc<str>, report: &Report, now: Duration) {
        let (moment, terms) = (self.moment(now), self.terms);
        let (change, facts) =
            reconcile::apply_report(&mut self.cell, worker, report, &terms, moment);
        self.pending.extend(facts);
        if change == Change::Superseded {
            self.alive = false;
            self.superseded = true;
        }
        self.flush(now);
    }

    pub fn submit(&mut self, submission: Submission, now: Duration) {
        let (_, fact) = plan::submit(&mut self.cell, submission, self.position, now);
        self.pending.extend(fact);
        self.flush(now);
    }

    pub fn cancel(&mut self, account: &Arc<str>, job: &Arc<str>, now: Duration) {
        let (_, fact) = plan::cancel(&mut self.cell, account, job, self.position, now);
        self.pending.extend(fact);
        self.flush(now);
    }
}
