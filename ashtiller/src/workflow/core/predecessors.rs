//! Earlier owners of the log, which may still grant leases and send starts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::workflow::core::{Core, Now};
use crate::workflow::lease;
use crate::workflow::record::LogRecord;
use crate::workflow::state::Resends;
use crate::workflow::worker::LATE_MAX;

/// Interval at which it is recorded how long owners have been known.
const KNOWN_OWNERS_INTERVAL: Duration = Duration::from_millis(500);

/// What is known of the earlier owners.
#[derive(Debug, Default)]
pub(super) struct Predecessors {
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
    /// Sets the epochs of the earlier owners that are not known to have ended.
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
        for worker in self.workers.values_mut().filter(|worker| !worker.fenced) {
            worker.lease.end_earlier_grants(now.at, self.tuning.lease);
        }
    }

    /// Records for later owners that all earlier ones have ended.
    pub(super) fn record_predecessors_ended(&mut self, now: Now) {
        self.predecessors.all_ended_at = Some(now.at);
        self.record(LogRecord::Cleared(self.epoch), now);
    }

    /// Returns the time by which the owner at an earlier epoch has sent its last start, if that is in
    /// the log. It sends none longer than `drain` after it last proved its ownership, and it cannot
    /// prove it once a later owner is known.
    pub(super) fn last_start_of(&self, epoch: u64) -> Duration {
        let mut later = self.known_owners.range(epoch.saturating_add(1)..);
        let known_for = later.next().map_or(Duration::ZERO, |(_, age)| *age);
        let last = self.began + self.tuning.drain;
        last.saturating_sub(known_for).min(self.earlier_calls_end())
    }

    /// Sets which owners of the log this process knew before this one began, by epoch, and for how
    /// long.
    pub fn set_known_owners(&mut self, owners: Vec<(u64, Duration)>, now: Now) {
        self.merge_known_owners(owners);
        self.log_unconfirmed_starts(now);
    }

    /// Adds owners to those that the log knows, which may have known them for longer, and dates the
    /// unconfirmed starts by them.
    pub(super) fn merge_known_owners(&mut self, owners: Vec<(u64, Duration)>) {
        let mut known: BTreeMap<u64, Duration> = self.log_state.known_owners().ages().collect();
        for (epoch, age) in owners {
            let longest = known.entry(epoch).or_default();
            *longest = age.max(*longest);
        }
        // An owner has been there for at least as long as any later one.
        let mut longest = Duration::ZERO;
        for age in known.values_mut().rev() {
            longest = longest.max(*age);
            *age = longest;
        }
        self.known_owners = known;
        self.date_unconfirmed_starts();
    }

    /// Dates the unconfirmed starts of the log.
    fn date_unconfirmed_starts(&mut self) {
        let starts = self.log_state.unconfirmed().values().flatten();
        let senders: BTreeSet<Option<u64>> = starts.map(|start| start.sending.sender).collect();
        // One without a known sender may have been sent by the last owner.
        let sent = |sender: Option<u64>| self.last_start_of(sender.unwrap_or(self.epoch));
        let sent: BTreeMap<Option<u64>, Duration> = senders
            .into_iter()
            .map(|sender| (sender, sent(sender)))
            .collect();
        let (held, began) = (self.log_state.known_owners().held(), self.began);
        self.log_state.date_all_unconfirmed(|sending| {
            let last = sent[&sending.sender];
            match sending.recorded {
                Some(recorded) if sending.resends == Resends::None => {
                    let age = Duration::from_millis(held.saturating_sub(recorded));
                    last.min(began.saturating_sub(age))
                }
                _ => last,
            }
        });
    }

    /// Logs until when the starts of each sender may be carried out, unless they cannot any more.
    fn log_unconfirmed_starts(&self, now: Now) {
        let starts = self.log_state.unconfirmed().values().flatten();
        let mut last: BTreeMap<Option<u64>, (usize, Duration)> = BTreeMap::new();
        for start in starts.filter(|start| now.at < start.since + LATE_MAX) {
            let (count, since) = last.entry(start.sending.sender).or_default();
            *count += 1;
            *since = start.since.max(*since);
        }
        for (sender, (starts, since)) in last {
            let left = (since + LATE_MAX).saturating_sub(now.at);
            let later = sender.and_then(|epoch| self.known_owners.range(epoch + 1..).next());
            tracing::info!(
                sender,
                starts,
                left_ms = left.as_millis(),
                replaced_ms = later.map(|(_, age)| age.as_millis()),
                "unanswered starts of an earlier owner may still be carried out"
            );
        }
    }

    /// Returns whether a later owner has to date starts: one is unconfirmed, or an earlier owner has
    /// left one in flight.
    fn has_starts_to_date(&self) -> bool {
        let mut pending = self.log_state.pending_starts().values();
        !self.log_state.unconfirmed().is_empty() || pending.any(|epoch| *epoch != self.epoch)
    }

    /// Records how long owners have been known, while a later owner may need it to date starts.
    pub(super) fn record_known_owners(&mut self, now: Now) {
        let is_due = |at: Duration| now.at >= at + KNOWN_OWNERS_INTERVAL;
        if !self.owners_recorded_at.is_none_or(is_due) || !self.has_starts_to_date() {
            return;
        }
        self.owners_recorded_at = Some(now.at);
        let held = now.at.saturating_sub(self.began);
        let known = self.known_owners.iter().map(|(epoch, age)| (*epoch, *age));
        let known = known
            .chain([(self.epoch, Duration::ZERO)])
            .map(|(epoch, age)| {
                let age = u64::try_from((age + held).as_millis()).unwrap_or(u64::MAX);
                (epoch, age)
            });
        let known: Vec<(u64, u64)> = known.collect();
        self.record(LogRecord::OwnersKnown(self.epoch, known), now);
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
