//! Which earlier owner may have renewed the leases of a worker last.
//!
//! An owner without the store renews leases for `horizon` after it was replaced. The log says which
//! workers it has granted none to, and for how long its successor has been known. So the wait for a
//! worker that is gone counts from the end of the last owner that the worker has answered, and not from
//! the beginning of each later one.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::workflow::core::{Core, Now};
use crate::workflow::incarnation::Incarnation;
use crate::workflow::record::LogRecord;

/// Silence after which it is recorded that a worker was granted no lease. One that answers sooner needs
/// no record before its first lease.
const SILENCE_MIN: Duration = Duration::from_secs(1);
/// Ids in one record of silent workers; each has at most 200 bytes.
const SILENT_PER_RECORD: usize = 50;
/// Interval between two checks for such workers.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Workers, by id, that this owner may have granted leases to.
#[derive(Debug, Default)]
pub(super) struct Grants {
    /// Those with a lease, until no worker of an earlier owner can be silent any more.
    granted: BTreeSet<Arc<str>>,
    /// Those that answered after it was recorded that they have no lease, and the position of the entry
    /// that says so.
    heard: BTreeMap<Arc<str>, u64>,
    /// When silent workers are looked for next.
    next_check: Duration,
}

impl Core {
    /// Returns when all leases have ended that earlier owners may have granted to a worker. A worker
    /// that this owner can reach gets the time to answer first.
    pub(super) fn earlier_leases_end_of(&self, worker: &Incarnation, now: Now) -> Duration {
        let epoch = self.first_without_grants(worker.id());
        let end = self.unfenced_grants_end(worker, self.calls_before_end(epoch), now);
        end.max(self.began + SILENCE_MIN)
    }

    /// Returns the epoch of the oldest owner since which none has granted the worker a lease before
    /// this one began: this owner's epoch if its immediate predecessor may have granted one.
    fn first_without_grants(&self, worker: &str) -> u64 {
        let silent = self.log_state.silent_workers();
        let earlier = self.predecessors.epochs.iter().rev();
        let without = earlier.take_while(|epoch| silent.contains(**epoch, worker));
        without.last().copied().unwrap_or(self.epoch)
    }

    /// Returns the time from which no owner before the one at `epoch` makes calls any more: it cannot
    /// prove its ownership once that one is known.
    fn calls_before_end(&self, epoch: u64) -> Duration {
        if epoch >= self.epoch {
            return self.earlier_calls_end();
        }
        let known = self.known_owners.range(epoch..).next();
        let known_for = known.map_or(Duration::ZERO, |(_, age)| *age);
        let end = (self.began + self.tuning.horizon).saturating_sub(known_for);
        end.min(self.earlier_calls_end())
    }

    /// Records which workers with runs of earlier owners have been silent for a while, and so were
    /// granted no lease by this one.
    pub(super) fn record_silent_workers(&mut self, now: Now) {
        if now.at < self.grants.next_check {
            return;
        }
        self.grants.next_check = now.at + CHECK_INTERVAL;
        if now.at >= self.earlier_leases_end() {
            self.grants.granted.clear();
            return;
        }
        if now.at < self.began + SILENCE_MIN {
            return;
        }
        let silent = self.find_silent_workers(now);
        if silent.is_empty() {
            return;
        }
        tracing::info!(
            workers = silent.len(),
            "silent workers have got no lease from this owner"
        );
        for silent in silent.chunks(SILENT_PER_RECORD) {
            self.record(LogRecord::WorkersSilent(self.epoch, silent.to_vec()), now);
        }
    }

    /// Returns the workers of which that is not recorded yet.
    fn find_silent_workers(&self, now: Now) -> Vec<Arc<str>> {
        let silent = self.workers.values().filter(|worker| {
            let since = worker.silent_since;
            let is_silent = since.is_some_and(|since| now.at >= since + SILENCE_MIN);
            is_silent && !worker.fenced && !worker.runs.is_empty()
        });
        let silent = silent.map(|worker| worker.incarnation().id());
        let is_listed = self.listed_at > self.began;
        let unlisted = self.adopted.incarnations();
        let unlisted = unlisted.filter(|it| is_listed && !self.workers.contains_key(*it));
        let ids: BTreeSet<&str> = silent.chain(unlisted.map(Incarnation::id)).collect();
        let known = self.log_state.silent_workers();
        let room = known.room(self.epoch);
        let new = ids.into_iter().filter(|id| {
            let is_heard = self.grants.granted.contains(*id) || self.grants.heard.contains_key(*id);
            !is_heard && !known.contains(self.epoch, id)
        });
        new.take(room).map(Arc::from).collect()
    }

    /// Returns whether a lease may be granted to a worker. If the log says that this owner has granted
    /// it none, the opposite is recorded first, and the worker is woken once that is durable.
    pub(super) fn may_grant(&mut self, worker: &Incarnation, now: Now) -> bool {
        let id = worker.id();
        if self.log_state.silent_workers().contains(self.epoch, id) {
            tracing::info!(%worker, position = self.position, "silent worker has answered");
            let id: Arc<str> = id.into();
            self.record(LogRecord::WorkerHeard(self.epoch, id.clone()), now);
            self.grants.heard.insert(id, self.position);
        }
        if let Some(position) = self.grants.heard.get(id)
            && *position > self.durable
        {
            self.workers_to_wake.insert((*position, worker.clone()));
            return false;
        }
        if now.at < self.earlier_leases_end() && !self.grants.granted.contains(id) {
            self.grants.granted.insert(id.into());
        }
        true
    }
}
