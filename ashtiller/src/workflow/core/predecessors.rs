//! Earlier owners of the log, which may still grant leases and send starts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::workflow::core::{Core, Now};
use crate::workflow::lease;
use crate::workflow::record::LogRecord;

/// What is known of the earlier owners.
#[derive(Debug, Default)]
pub(super) struct Predecessors {
    /// Epochs of the earlier owners that are not known to have ended, without a gap up to this owner.
    pub epochs: BTreeSet<u64>,
    /// Whether each known one has ended, by epoch.
    ended: BTreeMap<u64, bool>,
    /// When it became certain that all have ended.
    pub all_ended_at: Option<Duration>,
}

/// Which earlier owners are proved to have ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Proof {
    /// Nothing beyond what the log says.
    Nothing,
    /// All before this epoch.
    Before(u64),
    /// All.
    All,
}

impl Predecessors {
    /// Returns what is proved if all owners before the epoch `cleared` have ended.
    fn proof(&self, cleared: u64) -> Proof {
        let oldest = self.ended.keys().next();
        if oldest.is_none_or(|oldest| cleared < *oldest) {
            // Nothing is known of the owners before the oldest one.
            return Proof::Nothing;
        }
        match self.ended.iter().find(|(_, ended)| !**ended) {
            None => Proof::All,
            Some((running, _)) if *running > cleared => Proof::Before(*running),
            Some(_) => Proof::Nothing,
        }
    }
}

impl Core {
    /// Sets the epochs of the earlier owners that are not known to have ended: the immediate
    /// predecessor, the one before it, and so on.
    pub fn set_predecessors(&mut self, epochs: &[u64]) {
        tracing::info!(
            ?epochs,
            cleared = self.log_state.cleared,
            bound_ms = self
                .earlier_leases_end()
                .saturating_sub(self.began)
                .as_millis(),
            "earlier owners may still grant leases"
        );
        let running = epochs.iter().map(|epoch| (*epoch, false));
        self.predecessors.ended.extend(running);
        self.predecessors.epochs.extend(epochs);
    }

    /// Records that the earlier owner at epoch `predecessor` has ended; 0 stands for none. Once this
    /// is known of all earlier owners, their grants end within one lease. Without this proof the new
    /// owner has to wait 17 s, the longest time for which an owner without the store may have
    /// continued, and tasks of lost workers run nowhere meanwhile.
    pub fn note_predecessor_ended(&mut self, predecessor: u64, now: Now) {
        let is_known = self.predecessors.ended.get(&predecessor) == Some(&true);
        if is_known || self.predecessors.all_ended_at.is_some() {
            return;
        }
        self.predecessors.ended.insert(predecessor, true);
        tracing::info!(
            epoch = predecessor,
            after_ms = now.at.saturating_sub(self.began).as_millis(),
            running = ?self.running_predecessors(),
            "earlier owner has ended"
        );
        match self.predecessors.proof(self.log_state.cleared) {
            Proof::Nothing => {}
            // A later owner then needs no proof of those before.
            Proof::Before(epoch) => self.record(LogRecord::Cleared(epoch), now),
            Proof::All => self.confirm_all_ended(predecessor, now),
        }
    }

    /// Returns the epochs of the known earlier owners that may be active, for a dump.
    pub(super) fn running_predecessors(&self) -> Vec<u64> {
        let is_open = self.predecessors.all_ended_at.is_none();
        let known = self.predecessors.ended.iter();
        let running = known.filter(|(_, ended)| is_open && !**ended);
        running.map(|(epoch, _)| *epoch).collect()
    }

    fn confirm_all_ended(&mut self, last: u64, now: Now) {
        self.record_predecessors_ended(now);
        self.log_state.limit_unconfirmed(now.at);
        let bound = self.earlier_leases_end();
        tracing::info!(
            former = last,
            bound_ms = bound.as_millis(),
            "no earlier owner grants leases any more"
        );
        let unfenced = self.workers.values().filter(|worker| !worker.fenced);
        let ends = unfenced.map(|worker| {
            let incarnation = worker.incarnation();
            let end = self.unfenced_grants_end(incarnation, now.at, now);
            (incarnation.clone(), end)
        });
        for (incarnation, end) in ends.collect::<Vec<_>>() {
            if let Some(worker) = self.workers.get_mut(&incarnation) {
                worker.lease.limit_earlier_grants(end);
            }
        }
    }

    /// Records for later owners that all earlier ones have ended.
    pub(super) fn record_predecessors_ended(&mut self, now: Now) {
        self.predecessors.all_ended_at = Some(now.at);
        self.record(LogRecord::Cleared(self.epoch), now);
    }

    /// Returns when all leases granted by earlier owners have ended.
    pub(super) fn earlier_leases_end(&self) -> Duration {
        self.earlier_calls_end() + lease::worst_case_elapsed(self.tuning.lease)
    }

    /// Returns the time from which no earlier owner makes calls any more. Without the store none
    /// continues for longer than the horizon, however late its end is known.
    pub(super) fn earlier_calls_end(&self) -> Duration {
        let limit = self.began + self.tuning.horizon;
        let ended = self.predecessors.all_ended_at;
        ended.map_or(limit, |at| at.min(limit))
    }
}
