//! Starts wait while the owner's list of workers or of evacuated zones is old, as one of them
//! may have changed meanwhile, and while its ownership is in doubt.

use std::time::Duration;

use crate::workflow::core::wait_report::WAIT_LOG_INTERVAL;
use crate::workflow::core::{Core, Now};

/// Starts that wait.
#[derive(Clone, Copy, Debug)]
pub(super) struct StartHold {
    since: Duration,
    told: Duration,
}

impl Core {
    /// The list of workers is whole as of then: it holds all that the store took earlier.
    pub fn note_complete_listing(&mut self, as_of: Duration) {
        self.listed_at = self.listed_at.max(as_of);
    }

    /// How long ago the list of workers was last known to be whole.
    pub(super) fn list_age(&self, now: Now) -> Duration {
        now.at.saturating_sub(self.listed_at)
    }

    /// Whether runs may start.
    pub(super) fn may_start(&self, now: Now) -> bool {
        self.may_renew(now) && self.is_list_new(now) && self.is_evacuation_known(now)
    }

    /// Whether a worker that said right after the list that it leaves still takes starts,
    /// which it does for `drain`, when an order of now has reached its time limit.
    fn is_list_new(&self, now: Now) -> bool {
        self.list_age(now) + self.order_timeout() < self.terms.drain
    }

    /// Notes that something waits because nothing may start.
    pub(super) fn hold_starts(&mut self, now: Now) {
        if self.start_hold.is_some() {
            return;
        }
        let (since, told) = (now.at, now.at);
        self.start_hold = Some(StartHold { since, told });
        self.tell_hold(since, now);
    }

    /// Nothing is planned meanwhile, so no other line tells what waits.
    fn tell_hold(&self, since: Duration, now: Now) {
        let [(_, lasting), (_, short)] = self.summarize_waits(now);
        tracing::info!(
            list_age_ms = self.list_age(now).as_millis(),
            proof_age_ms = self.proof_age(now).as_millis(),
            evacuation_age_ms = self.evacuation_age(now).map(|age| age.as_millis()),
            held_ms = now.at.saturating_sub(since).as_millis(),
            lasting = lasting.tasks,
            short = short.tasks,
            waited_ms = lasting.longest.max(short.longest).as_millis(),
            "starts wait: the list of workers or of evacuations is old, or ownership in doubt"
        );
    }

    /// Says again that starts wait, when that was said long ago.
    fn tell_long_hold(&mut self, now: Now) {
        let Some(hold) = &mut self.start_hold else {
            return;
        };
        if now.at < hold.told + WAIT_LOG_INTERVAL {
            return;
        }
        hold.told = now.at;
        let since = hold.since;
        self.tell_hold(since, now);
    }

    /// Goes on with what was held, which no other event would wake.
    pub(super) fn resume_starts(&mut self, now: Now) {
        if !self.may_start(now) {
            self.tell_long_hold(now);
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
