//! Latency of the store's answers, and the interval of lists that follows from it.

use std::time::Duration;

use crate::workflow::agents::ORDER_TIMEOUT_MIN;

/// Time without an answer after which a call no longer counts as reliable: above the store's slow
/// answers of about 0.35 s.
pub const OVERDUE: Duration = Duration::from_millis(400);
/// Shortest time between two lists, and between a failed call and the next one.
pub const PAUSE: Duration = Duration::from_millis(250);
/// Divisor of a watch's wait that gives the shortest time before a list is overlapped by the next.
/// For watches with a long wait (news also comes another way) that exceeds the timeout of a list,
/// so lists do not overlap there.
const LIST_INTERVAL_DIVISOR: u32 = 4;
/// Time from an answer to decisions that rely on it, which are made every few milliseconds.
const DECISION_MARGIN: Duration = Duration::from_millis(50);

/// Recent latency of the store. Rising latency counts at once, falling latency is smoothed.
#[derive(Debug, Default)]
pub struct StoreLatency {
    /// Latency of one call.
    call: Duration,
    /// Latency of a whole list, which may have several pages.
    list: Duration,
}

impl StoreLatency {
    /// Records the latency of a list with `pages` pages.
    pub fn note_list(&mut self, took: Duration, pages: u32) {
        smooth(&mut self.call, took / pages.max(1));
        smooth(&mut self.list, took);
    }

    /// Records how late a watch was answered after its wait.
    pub fn note_watch(&mut self, late: Duration) {
        smooth(&mut self.call, late);
    }

    /// Records a list that failed after `took`; an immediate refusal tells nothing.
    pub fn note_failure(&mut self, took: Duration) {
        self.call = self.call.max(took);
        self.list = self.list.max(took);
    }

    /// Returns the latency of a whole list.
    #[must_use]
    pub fn list(&self) -> Duration {
        self.list
    }

    /// Reports whether a watch that waits for `longest` would time out and the list that follows it
    /// would come too late.
    #[must_use]
    pub fn is_slow(&self, longest: Duration) -> bool {
        self.call > OVERDUE && longest + OVERDUE + self.list > max_age(longest)
    }

    /// Returns the time from requesting a list until requesting the next one, whether or not the
    /// first was answered. While the store is slow, lists overlap so that an answer arrives before
    /// the previous one is too old.
    #[must_use]
    pub fn pace(&self, longest: Duration) -> Duration {
        if !self.is_slow(longest) {
            return OVERDUE.max(longest / LIST_INTERVAL_DIVISOR);
        }
        let left = max_age(longest).saturating_sub(self.list + DECISION_MARGIN);
        left.clamp(PAUSE, longest.max(PAUSE))
    }
}

/// Returns the highest age at which news is used. Watches wait for `longest`, half of the time for
/// which workers continue after they were told to leave; an order needs a part of that time as
/// well.
fn max_age(longest: Duration) -> Duration {
    (2 * longest).saturating_sub(ORDER_TIMEOUT_MIN)
}

fn smooth(usual: &mut Duration, took: Duration) {
    *usual = took.max((*usual * 3 + took) / 4);
}
