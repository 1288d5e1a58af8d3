//! Drives the state machines of an owner without sockets or a clock.

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

pub const LEASE_MS: u64 = 1200;
pub const MARGIN_MS: u64 = 100;
pub const HORIZON_MS: u64 = 2000;
const RENEW_MS: u64 = 300;

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
    old_leases_end: Duration,
    last_confirmed: Duration,
    write_began: Duration,
    position: u64,
    durable: u64,
    pending: Vec<LogRecord>,
    in_flight: Option<Entry>,
}

impl Node {
    /// Replays the log, whose last entry must be this owner's seal.
    pub fn open(log: &[Entry], epoch: u64, writer: u64, now: Duration) -> Self {
        let terms = LeaseTerms {
            lease: millis(LEASE_MS),
            margin: millis(MARGIN_MS),
        };
        let mut cell = Cell::default();
        for (position, entry) in (1..).zip(log) {
            if let Body::Facts(facts) = &entry.body {
                for fact in facts {
                    cell.apply(fact, position, Duration::ZERO);
                }
            }
        }
        let old_leases_end = now + millis(LEASE_MS + MARGIN_MS + HORIZON_MS);
        cell.reset_sessions(old_leases_end);
        let position = u64::try_from(log.len()).unwrap_or(u64::MAX) + 1;
        Self {
            alive: true,
            superseded: false,
            cell,
            planner: Planner::new(Box::new(InterferenceAware), terms),
            terms,
            epoch,
            writer,
            old_leases_end,
            last_confirmed: now,
            write_began: now,
            position,
            durable: position - 1,
            pending: Vec::new(),
            in_flight: None,
        }
    }

    pub fn list_workers(&mut self, workers: &[(Arc<str>, bool)], capacity: Resources, _: Duration) {
        for (name, leaving) in workers {
            self.cell.resize_worker(name, capacity);
            let old_leases_end = self.old_leases_end;
            let Some(host) = self.cell.workers.get_mut(name) else {
                continue;
            };
            if host.address.is_none() {
                host.session = Session::new(old_leases_end);
            }
            host.address = Some(([127, 0, 0, 1], 1).into());
            host.listed_phase = if *leaving {
                Phase::Leaving
            } else {
                Phase::Live
            };
        }
    }

    fn context(&self, now: Duration) -> StepContext {
        StepContext {
            epoch: self.epoch,
            position: self.position,
            durable: self.durable,
            now,
        }
    }

    /// Runs one round of planning and returns the calls to workers that are due.
    pub fn tick(&mut self, now: Duration) -> Vec<(Arc<str>, SyncRequest)> {
        let facts = self.planner.plan_round(&mut self.cell, self.position, now);
        self.pending.extend(facts);
        self.flush(now);
        let renewing = now < self.last_confirmed + millis(HORIZON_MS);
        let due: Vec<Arc<str>> = self
            .cell
            .workers
            .iter()
            .filter(|(name, host)| {
                let overdue = host
                    .last_called
                    .is_none_or(|called| now >= called + millis(RENEW_MS));
                overdue || reconcile::has_pending_updates(&self.cell, name, self.durable)
            })
            .map(|(name, _)| name.clone())
            .collect();
        let context = self.context(now);
        let mut calls = Vec::new();
        for name in due {
            if let Some(host) = self.cell.workers.get_mut(&name) {
                host.last_called = Some(now);
            }
            let sync =
                reconcile::prepare_sync(&mut self.cell, &name, &self.terms, renewing, context);
            calls.extend(sync.map(|sync| (name, sync)));
        }
        calls
    }

    fn flush(&mut self, now: Duration) {
        if self.in_flight.is_none() && !self.pending.is_empty() {
            let body = Body::Facts(std::mem::take(&mut self.pending));
            self.in_flight = Some(Entry {
                epoch: self.epoch,
                writer: self.writer,
                body,
            });
            self.write_began = now;
            self.position += 1;
        }
    }

    /// Returns the entry that is being written, with its position.
    pub fn outgoing(&self) -> Option<(u64, Entry)> {
        self.in_flight
            .clone()
            .map(|entry| (self.position - 1, entry))
    }

    pub fn handle_write(&mut self, write: Write, now: Duration) {
        if write == Write::Superseded {
            self.alive = false;
            self.superseded = true;
            return;
        }
        self.durable = self.position - 1;
        self.in_flight = None;
        self.last_confirmed = self.last_confirmed.max(self.write_began);
        self.flush(now);
    }

    pub fn handle_report(&mut self, worker: &Arc<str>, report: &Report, now: Duration) {
        let (context, terms) = (self.context(now), self.terms);
        let (change, facts) =
            reconcile::apply_report(&mut self.cell, worker, report, &terms, context);
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
