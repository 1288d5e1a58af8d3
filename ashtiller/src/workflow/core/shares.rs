//! Fair shares in placement: origins of jobs, usage by queue and origin, and the order of the waiting
//! steps of a round.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::workflow::core::step_priority::WaitingStep;
use crate::workflow::core::{Core, Now, RequestToken};
use crate::workflow::job::Job;
use crate::workflow::load::account::WorkClass;
use crate::workflow::record::LogRecord;
use crate::workflow::shares::ledger::{self, Ledger, Share, ShareKey, Weight};
use crate::workflow::shares::order::{Claim, Entry, Group, ShareOrder};

/// Interval between two log messages about the shares of waiting work.
const LOG_INTERVAL: Duration = Duration::from_secs(5);
/// Most queues and origins in one such message.
const LOG_KEYS_MAX: usize = 8;
/// Most queues and origins in a dump.
const DUMP_MAX: usize = 200;

/// State of the fair shares of one owner.
#[derive(Debug, Default)]
pub(super) struct FairShares {
    ledger: Ledger,
    /// Origins of jobs that are not in the log yet, by id.
    arriving: BTreeMap<Arc<str>, Arc<str>>,
    logged_at: Option<Duration>,
}

impl FairShares {
    /// Removes and returns the origins of the jobs that arrived since the last log entry.
    pub fn take_arriving(&mut self) -> BTreeMap<Arc<str>, Arc<str>> {
        std::mem::take(&mut self.arriving)
    }
}

impl Core {
    /// Accepts a job that an instance in zone `origin` took from its caller; empty if unknown. A
    /// repeated submission leaves the origin of the first one.
    pub fn submit_from(&mut self, job: Job, origin: &Arc<str>, ticket: RequestToken, now: Now) {
        let id = job.id.clone();
        let known = self.arrivals.len();
        self.submit(job, ticket, now);
        let is_new = self.arrivals.len() > known;
        if is_new && self.tuning.switches.fair_shares && self.log_state.origins().accepts(origin) {
            self.shares.arriving.insert(id, origin.clone());
        }
    }

    /// Records the origin of a job that was just recorded, if it is known.
    pub(super) fn record_origin(&mut self, number: u32, origin: Option<Arc<str>>, now: Now) {
        if let Some(origin) = origin {
            self.record(LogRecord::Origin(number, origin), now);
        }
    }

    /// Returns the origin under which the demand of a job is counted.
    pub(super) fn origin_of(&self, job: u32) -> Arc<str> {
        if self.tuning.switches.fair_shares {
            self.log_state.origins().of(job)
        } else {
            Arc::default()
        }
    }

    /// Puts the waiting steps of a round, which are sorted, in order by the shares of their queues
    /// and origins. Promoted steps keep their places, and so do long-running ones: each of them is
    /// to start within 3 s, which the longest wait serves best.
    pub(super) fn order_by_shares(
        &mut self,
        sorted: &[WaitingStep],
        now: Now,
    ) -> ShareOrder<WaitingStep> {
        let mut order = ShareOrder::default();
        if !self.tuning.switches.fair_shares {
            for pending in sorted {
                order.push_fixed(*pending);
            }
            return order;
        }
        self.observe_shares(now);
        for pending in sorted {
            let job = &self.log_state.jobs[&pending.job];
            let key = self.demand_key(pending.job, job, &job.job.steps[usize::from(pending.step)]);
            if pending.is_promoted() || key.class == WorkClass::LongRunning {
                order.push_fixed(*pending);
                continue;
            }
            let group = Group {
                lateness: pending.urgency.lateness,
                priority: pending.urgency.priority,
                band: pending.urgency.band,
                service: key.service.clone(),
                class: key.class,
            };
            let entry = Entry {
                queue: &key.queue,
                origin: &key.origin,
                slack: pending.urgency.slack,
                item: *pending,
            };
            let attainable = || {
                let demand = self.load.class_demand(&key.service, key.class);
                let capacity = self.load.capacity(&key.service);
                let (capacity, _) = capacity.unwrap_or_default();
                ledger::attainable(&capacity, &demand.used.resources, key.class)
            };
            let claim = |origin: Option<&Arc<str>>| Claim {
                level: self
                    .share_of(&key.service, key.class, &key.queue, origin)
                    .level(),
                weight: Weight::EQUAL,
            };
            order.push(group, &entry, attainable, claim);
        }
        order.prepare();
        order
    }

    /// Takes over the demand of a placement round.
    pub(super) fn observe_shares(&mut self, now: Now) {
        if self.tuning.switches.fair_shares {
            self.shares.ledger.observe(&self.load, now.at);
        }
    }

    fn share_of(
        &self,
        service: &Arc<str>,
        class: WorkClass,
        queue: &Arc<str>,
        origin: Option<&Arc<str>>,
    ) -> Share {
        self.shares.ledger.share(&ShareKey {
            service: service.clone(),
            class,
            queue: queue.clone(),
            origin: origin.cloned(),
        })
    }

    /// Returns by how much the shares of its queue and origin rise with a number of tasks of a step.
    pub(super) fn charge_of_tasks(&self, pending: WaitingStep, tasks: usize) -> f64 {
        let job = &self.log_state.jobs[&pending.job];
        let step = &job.job.steps[usize::from(pending.step)];
        let capacity = self.load.capacity(&job.policy.service);
        let (capacity, _) = capacity.unwrap_or_default();
        #[expect(clippy::cast_precision_loss, reason = "at most 10,000 tasks")]
        let tasks = tasks as f64;
        Share::level_of_use(step.needs.dominant_share_of(&capacity.total) * tasks)
    }

    /// Logs the shares of the queues and origins that wait, if steps were placed before others with
    /// less slack and the last message is long ago.
    pub(super) fn log_shares(&mut self, reordered: u32, now: Now) {
        self.counts.reordered += u64::from(reordered);
        let due = self.shares.logged_at.map_or(now.at, |at| at + LOG_INTERVAL);
        if reordered == 0 || now.at < due {
            return;
        }
        self.shares.logged_at = Some(now.at);
        let mut waiting: Vec<(&ShareKey, &Share)> = self
            .shares
            .ledger
            .shares()
            .filter(|(_, share)| share.waiting > 0.0)
            .collect();
        waiting.sort_by(|(_, one), (_, other)| other.level().total_cmp(&one.level()));
        let keys = waiting.len();
        let shares: Vec<String> = waiting
            .into_iter()
            .take(LOG_KEYS_MAX)
            .map(|(key, share)| {
                format!(
                    "{}/{} {}@{} used={:.3} past={:.3} waiting={:.3}",
                    key.service,
                    key.class.name(),
                    key.queue,
                    key.origin.as_deref().unwrap_or("*"),
                    share.used,
                    share.past,
                    share.waiting
                )
            })
            .collect();
        let age = now.at.saturating_sub(self.load.waiting_read_at());
        tracing::info!(
            reordered,
            reordered_in_all = self.counts.reordered,
            keys,
            age_ms = age.as_millis(),
            shares = shares.join("; "),
            "steps of queues with less than their share placed first"
        );
    }

    /// Returns the shares of queues and origins, for metrics.
    pub fn shares(&self) -> impl Iterator<Item = (&ShareKey, &Share)> {
        self.shares.ledger.shares()
    }

    /// Returns the shares of queues and origins, for a dump.
    pub(super) fn dump_shares(&self) -> serde_json::Value {
        let shares = self.shares().take(DUMP_MAX).map(|(key, share)| {
            serde_json::json!({
                "service": &*key.service, "class": key.class.name(), "queue": &*key.queue,
                "origin": key.origin.as_deref(), "used": share.used, "past": share.past,
                "waiting": share.waiting,
            })
        });
        serde_json::json!({
            "enabled": self.tuning.switches.fair_shares, "reordered": self.counts.reordered,
            "keys": shares.collect::<Vec<_>>(),
        })
    }
}
