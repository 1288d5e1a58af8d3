//! Refused ids, and when their callers return.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3;

use crate::workflow::load::account::WorkClass;

/// Longest retry delay. Callers give up after four retries, so that longer delays would make them
/// wait for a job that is worth nothing by then.
pub const RETRY_MAX: Duration = Duration::from_secs(3);
/// Shortest retry delay: an entry and a placement round later.
pub const RETRY_MIN: Duration = Duration::from_millis(100);
/// Time after its return time within which a caller is expected. Callers that read `Retry-After`
/// come up to a second later, as it is rounded up to whole seconds.
pub const RETURN_WINDOW: Duration = Duration::from_millis(1500);
/// Time after its return time for which a refused id is remembered, so that a caller that comes
/// back late is still judged by its first attempt.
const REMEMBER: Duration = Duration::from_secs(10);
/// Number of ids remembered: 300 refusals a second with [`RETRY_MAX`] and [`REMEMBER`]. About
/// 100 bytes each.
pub const REFUSED_MAX: usize = 4096;
/// Limit on how far ahead the schedule of returns extends.
const SCHEDULE_MAX: Duration = Duration::from_mins(1);
/// Range of a delay that is spread by id, as a share of the delay.
const SPREAD: f64 = 0.5;

/// Returns the key under which an id is remembered.
#[must_use]
pub fn key_of(id: &str) -> u64 {
    xxh3::xxh3_64(id.as_bytes())
}

/// Returns a delay that differs between ids: `delay` to 1.5 times as long. Callers that are all
/// refused at one moment would otherwise return at one moment.
#[must_use]
pub fn spread_delay(id: &str, delay: Duration) -> Duration {
    #[expect(clippy::cast_precision_loss, reason = "a share of the range")]
    let share = (key_of(id) >> 11) as f64 / (1_u64 << 53) as f64;
    delay.mul_f64(1.0 + SPREAD * share)
}

/// Returns a retry delay in milliseconds, as it is sent to callers.
#[must_use]
pub fn millis(delay: Duration) -> u32 {
    u32::try_from(delay.as_millis()).unwrap_or(u32::MAX)
}

/// Return times of the refused callers of one class, each later than the one before.
#[derive(Clone, Copy, Debug, Default)]
pub struct Schedule {
    next: Duration,
}

impl Schedule {
    /// Returns the retry delay of the next refused caller. `excess` is the time in which enough
    /// work completes for it, `own` the time that its own work takes.
    ///
    /// The delay grows with the place in the schedule and stays below [`RETRY_MAX`], so a later
    /// caller never returns before an earlier one.
    pub fn next_delay(&mut self, excess: Duration, own: Duration, now: Duration) -> Duration {
        let limit = now + SCHEDULE_MAX;
        let place = self.next.max(now.saturating_add(excess)).min(limit);
        self.next = place.saturating_add(own).min(limit);
        let wait = place.saturating_sub(now);
        let limited = RETRY_MAX.mul_f64(wait.div_duration_f64(wait + RETRY_MAX));
        limited.max(RETRY_MIN)
    }
}

/// A caller that was refused.
#[derive(Clone, Debug)]
pub struct Refused {
    /// Time of its first attempt that is known.
    pub first: Duration,
    /// Time at which it may return.
    pub returns: Duration,
    /// Service and class that were overloaded.
    pub class: (Arc<str>, WorkClass),
    /// Work of the job in that class, in processor-seconds.
    pub work: f64,
    /// Whether the job can be in time if it is admitted on its return.
    pub in_time: bool,
}

/// Refused ids with the time of their return, in a table of fixed size.
#[derive(Debug, Default)]
pub struct RefusalTable {
    entries: HashMap<u64, Refused>,
    by_return: BTreeSet<(Duration, u64)>,
}

impl RefusalTable {
    /// Returns the entry of an id.
    #[must_use]
    pub fn get(&self, key: u64) -> Option<&Refused> {
        self.entries.get(&key)
    }

    /// Returns the number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Remembers a refused id. The one that was to return first makes place for it if the table is
    /// full.
    pub fn insert(&mut self, key: u64, refused: Refused, now: Duration) {
        self.remove(key);
        while let Some((returns, oldest)) = self.by_return.first().copied()
            && (now >= returns + REMEMBER || self.entries.len() >= REFUSED_MAX)
        {
            self.remove(oldest);
        }
        self.by_return.insert((refused.returns, key));
        self.entries.insert(key, refused);
    }

    /// Forgets an id.
    pub fn remove(&mut self, key: u64) -> Option<Refused> {
        let refused = self.entries.remove(&key)?;
        self.by_return.remove(&(refused.returns, key));
        Some(refused)
    }

    /// Returns the work of callers of a class that may return now, have not yet, and would be in
    /// time. The sum is over at most [`REFUSED_MAX`] entries, and is made once per placement round.
    #[must_use]
    pub fn due_work(&self, class: &(Arc<str>, WorkClass), now: Duration) -> f64 {
        let from = now.saturating_sub(RETURN_WINDOW);
        let due = self.by_return.range((from, 0)..=(now, u64::MAX));
        let due = due.filter_map(|(_, key)| self.entries.get(key));
        due.filter(|refused| refused.in_time && refused.class == *class)
            .map(|refused| refused.work)
            .sum()
    }
}
