//! How long the store's answers take, and how often it has to be asked for that.

use std::time::Duration;

use crate::workflow::agents::ORDER_TIMEOUT_MIN;

/// Time without an answer after which a call is not relied on any more: above the
/// store's slow answers of some 0.35 s.
pub const OVERDUE: Duration = Duration::from_millis(400);
/// Least time between two lists, and between a call that failed and the next one.
pub const PAUSE: Duration = Duration::from_millis(250);
/// Part of a watch's wait for which a list is waited for alone, at least. Where news also
/// comes another way, that is longer than a list's limit, so lists do not overlap there.
const FEW: u32 = 4;
/// Time from an answer to decisions that rest on it, which come every few milliseconds.
const MARGIN: Duration = Duration::from_millis(50);

/// How long answers took lately. What takes longer counts at once, what takes less by
/// and by.
#[derive(Debug, Default)]
pub struct StoreLatency {
    /// Time of one call.
    call: Duration,
    /// Time of a whole list, which may have several pages.
    list: Duration,
}

impl StoreLatency {
    /// A list of so many pages took this long.
    pub fn note_list(&mut self, took: Duration, pages: u32) {
        ease(&mut self.call, took / pages.max(1));
        ease(&mut self.list, took);
    }

    /// A watch was answered this long after its wait.
    pub fn note_watch(&mut self, late: Duration) {
        ease(&mut self.call, late);
    }

    /// A list failed after this time; a refusal at once tells nothing.
    pub fn note_failure(&mut self, took: Duration) {
        self.call = self.call.max(took);
        self.list = self.list.max(took);
    }

    /// Time of a whole list.
    #[must_use]
    pub fn list(&self) -> Duration {
        self.list
    }

    /// Whether a watch that waits for `longest` would be given up, and the list that is
    /// then asked for come too late.
    #[must_use]
    pub fn is_slow(&self, longest: Duration) -> bool {
        self.call > OVERDUE && longest + OVERDUE + self.list > keep_time(longest)
    }

    /// Time from asking for a list until asking for the next one, whether or not the
    /// first was answered. While the store is slow they overlap, so that an answer comes
    /// before the one before it is too old.
    #[must_use]
    pub fn pace(&self, longest: Duration) -> Duration {
        if !self.is_slow(longest) {
            return OVERDUE.max(longest / FEW);
        }
        let left = keep_time(longest).saturating_sub(self.list + MARGIN);
        left.clamp(PAUSE, longest.max(PAUSE))
    }
}

/// How old news may be when it is used, where watches wait for `longest`: half of the time
/// for which workers go on, of which an order needs a part as well.
fn keep_time(longest: Duration) -> Duration {
    (2 * longest).saturating_sub(ORDER_TIMEOUT_MIN)
}

fn ease(usual: &mut Duration, took: Duration) {
    *usual = took.max((*usual * 3 + took) / 4);
}
