//! When unanswered starts of earlier owners were sent, at the latest.
//!
//! The log says which owner sent a start. That owner sends none long after a later one is known, and
//! the log also says for how long owners have been known, so that the date does not depend on when
//! this owner began.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::workflow::core::{Core, Now};
use crate::workflow::record::LogRecord;
use crate::workflow::relay::MAX_QUEUE_DELAY;
use crate::workflow::relay::client::MIN_RELAYED_WORKERS;
use crate::workflow::state::{Resends, UnconfirmedStart};
use crate::workflow::worker::LATE_MAX;

/// Interval at which it is recorded how long owners have been known.
const KNOWN_OWNERS_INTERVAL: Duration = Duration::from_millis(500);
/// Number of workers from which on an earlier owner may have sent starts over relays. The fleet may
/// have shrunk since.
const RELAYED_WORKERS_MIN: usize = MIN_RELAYED_WORKERS / 2;

impl Core {
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

    /// Returns whether a later owner has to date calls of earlier ones: a start is unconfirmed, an
    /// earlier owner has left one in flight, or workers have got leases from earlier owners only.
    fn has_calls_to_date(&self) -> bool {
        let mut pending = self.log_state.pending_starts().values();
        !self.log_state.unconfirmed().is_empty()
            || !self.log_state.silent_workers().is_empty()
            || pending.any(|epoch| *epoch != self.epoch)
    }

    /// Records how long owners have been known, while a later owner may need it.
    pub(super) fn record_known_owners(&mut self, now: Now) {
        let is_due = |at: Duration| now.at >= at + KNOWN_OWNERS_INTERVAL;
        if !self.owners_recorded_at.is_none_or(is_due) || !self.has_calls_to_date() {
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

    /// Returns the time by which a start has left for its worker. In a large fleet a start of an earlier
    /// owner may have waited for its relay.
    pub(super) fn last_sending_of(&self, start: &UnconfirmedStart) -> Duration {
        let is_relayed = self.workers.len() >= RELAYED_WORKERS_MIN;
        if start.sending.sender == Some(self.epoch) || !is_relayed {
            return start.since;
        }
        let latest = (self.began + self.tuning.drain).min(self.earlier_calls_end());
        start.since.max(latest.min(start.since + MAX_QUEUE_DELAY))
    }
}
