//! Holds all starts while the list of workers or of evacuated zones is outdated, as either may have
//! changed since, and while ownership was not proved recently.

use std::time::Duration;

use crate::workflow::core::wait_report::WAIT_LOG_INTERVAL;
use crate::workflow::core::{Core, Now};

/// An active hold on starts.
#[derive(Clone, Copy, Debug)]
pub(super) struct StartHold {
    since: Duration,
    logged_at: Duration,
}

impl Core {
    /// Records that the list of workers is complete as of then: it contains every entry that the
    /// store accepted earlier.
    pub fn note_complete_listing(&mut self, as_of: Duration) {
        self.listed_at = self.listed_at.max(as_of);
    }

    /// Returns the time since the list of workers was last known to be complete.
    pub(super) fn list_age(&self, now: Now) -> Duration {
        now.at.saturating_sub(self.listed_at)
    }

    /// Returns whether runs may start.
    pub(super) fn may_start(&self, now: Now) -> bool {
        self.is_ownership_current(now) && self.is_list_current(now) && self.is_evacuation_known(now)
    }

    /// Returns whether ownership was proved recently enough for starts. Later owners rely on this
    /// limit: see [`Core::last_start_of`].
    pub(super) fn is_ownership_current(&self, now: Now) -> bool {
        self.may_renew(now) && self.is_current(self.proof_age(now))
    }

    /// Returns whether a worker that announced its departure right after the list was read would
    /// still accept starts when an order sent now times out. A departing worker accepts them for
    /// `drain`.
    fn is_list_current(&self, now: Now) -> bool {
        self.is_current(self.list_age(now))
    }

    /// Returns whether an order sent now times out within `drain` of what was read `age` ago.
    fn is_current(&self, age: Duration) -> bool {
        age + self.order_timeout() < self.tuning.drain
    }

    /// Begins a hold on starts unless one is active.
    pub(super) fn hold_starts(&mut self, now: Now) {
        if self.start_hold.is_some() {
            return;
        }
        let (since, logged_at) = (now.at, now.at);
        self.start_hold = Some(StartHold { since, logged_at });
        self.log_hold(since, now);
    }

    /// Logs the hold and what waits. No placement takes place meanwhile, so nothing else logs the
    /// waiting steps.
    fn log_hold(&self, since: Duration, now: Now) {
        let [(_, lasting), (_, short)] = self.summarize_waits(now);
        tracing::info!(
            list_age_ms = self.list_age(now).as_millis(),
            proof_age_ms = self.proof_age(now).as_millis(),
            evacuation_age_ms = self.evacuation_age(now).map(|age| age.as_millis()),
            held_ms = now.at.saturating_sub(since).as_millis(),
            lasting = lasting.tasks,
            short = short.tasks,
            suspected = lasting.suspected + short.suspected,
            waited_ms = lasting.longest.max(short.longest).as_millis(),
            "starts wait: the list of workers or of evacuations is outdated, or ownership in doubt"
        );
    }

    /// Logs a long hold again after `WAIT_LOG_INTERVAL`.
    fn log_long_hold(&mut self, now: Now) {
        let Some(hold) = &mut self.start_hold else {
            return;
        };
        if now.at < hold.logged_at + WAIT_LOG_INTERVAL {
            return;
        }
        hold.logged_at = now.at;
        let since = hold.since;
        self.log_hold(since, now);
    }

    /// Ends the hold once runs may start, and wakes the workers, which no other event would do.
    pub(super) fn resume_starts(&mut self, now: Now) {
        if !self.may_start(now) {
            self.log_long_hold(now);
            return;
        }
        let Some(hold) = self.start_hold.take() else {
            return;
        };
        tracing::info!(
            list_age_ms = self.list_age(now).as_millis(),
            held_ms = now.at.saturating_sub(hold.since).as_millis(),
            "starts go on"
        );
        self.needs_planning = true;
        for worker in self.workers.values_mut() {
            worker.wake();
        }
    }
}
