//! Starts wait while the owner's list of workers is old, as one of them may have said
//! meanwhile that it leaves, and while its ownership is in doubt.

use std::time::Duration;

use crate::workflow::agents::ORDER_LIMIT;
use crate::workflow::core::{Core, Now};

impl Core {
    /// The list of workers is whole as of then: it holds all that the store took earlier.
    pub fn note_listing(&mut self, as_of: Duration) {
        self.listed_at = self.listed_at.max(as_of);
    }

    /// How long ago the list of workers was last known to be whole.
    pub(super) fn list_age(&self, now: Now) -> Duration {
        now.at.saturating_sub(self.listed_at)
    }

    /// Whether runs may start.
    pub(super) fn may_start(&self, now: Now) -> bool {
        self.may_renew(now) && self.is_list_new(now)
    }

    /// Whether a worker that said right after the list that it leaves still takes starts,
    /// which it does for `drain`, when an order of now has reached its time limit.
    fn is_list_new(&self, now: Now) -> bool {
        self.list_age(now) + ORDER_LIMIT < self.terms.drain
    }

    /// Notes that something waits because nothing may start.
    pub(super) fn hold_starts(&mut self, now: Now) {
        if self.held.is_some() {
            return;
        }
        self.held = Some(now.at);
        tracing::info!(
            list_age_ms = self.list_age(now).as_millis(),
            proof_age_ms = self.proof_age(now).as_millis(),
            "starts wait: the list of workers is old, or ownership in doubt"
        );
    }

    /// Goes on with what was held, which no other event would wake.
    pub(super) fn resume_starts(&mut self, now: Now) {
        if !self.may_start(now) {
            return;
        }
        let Some(since) = self.held.take() else {
            return;
        };
        tracing::info!(
            list_age_ms = self.list_age(now).as_millis(),
            held_ms = now.at.saturating_sub(since).as_millis(),
            "starts go on"
        );
        self.dirty = true;
        for worker in self.workers.values_mut() {
            worker.work = Duration::ZERO;
        }
    }
}
