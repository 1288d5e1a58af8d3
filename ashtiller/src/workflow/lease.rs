//! The lease that an owner grants to one worker, on the worker's own clock.
//!
//! A lease ends at a reading of the worker's clock: the clock of its last answer,
//! plus the time since, plus the length. A call that is carried out late extends
//! nothing, and the owner knows on its own clock when every lease has ended.

use std::time::Duration;

/// Parts in a hundred by which a worker's clock may be slow; from the platform.
const SLOW_PERCENT: u32 = 2;
/// Allowance on top, for timers that fire late.
const MARGIN: Duration = Duration::from_millis(150);

/// One worker's lease.
#[derive(Clone, Debug)]
pub struct Lease {
    stamp: Option<(u64, Duration)>,
    bound: Duration,
    /// Latest end of a grant, on the worker's clock.
    until: u64,
}

/// Time on this clock within which a worker's clock has certainly gone on by `span`.
#[must_use]
pub fn worst_case_elapsed(span: Duration) -> Duration {
    span * 100 / (100 - SLOW_PERCENT) + MARGIN
}

impl Lease {
    /// A lease of which only a bound is known: earlier owners' grants end by then.
    #[must_use]
    pub fn new(bound: Duration) -> Self {
        Self {
            stamp: None,
            bound,
            until: 0,
        }
    }

    /// Time by which every grant made so far has ended.
    #[must_use]
    pub fn bound(&self) -> Duration {
        self.bound
    }

    /// The worker's clock as it was last heard.
    #[must_use]
    pub fn clock(&self) -> Option<u64> {
        self.stamp.map(|(clock, _)| clock)
    }

    /// The worker has heard this owner's fence for the first time: earlier owners'
    /// grants are at most `longest` from now.
    pub fn fence(&mut self, now: Duration, longest: Duration) {
        self.bound = self.bound.min(now + worst_case_elapsed(longest));
    }

    /// Whether a clock that answers a call sent at `sent` reads less than the worker's did
    /// before: it is the clock of another life.
    #[must_use]
    pub fn is_behind(&self, clock: u64, sent: Duration) -> bool {
        self.stamp
            .is_some_and(|(last, at)| at <= sent && clock < last)
    }

    /// Whether a clock that answers a call sent at `sent` reads less than the slowest clock would
    /// that went on since it was last heard. It is the clock of another life, or its machine was
    /// suspended meanwhile.
    #[must_use]
    pub fn lags(&self, clock: u64, sent: Duration) -> bool {
        // Answers may pass each other: of calls before the last one was heard, nothing follows.
        let stamp = self.stamp.filter(|(_, at)| *at <= sent);
        stamp.is_some_and(|(last, at)| {
            let least = sent.saturating_sub(at) * (100 - SLOW_PERCENT) / 100;
            let least = u64::try_from(least.as_millis()).unwrap_or(u64::MAX);
            clock < last.saturating_add(least)
        })
    }

    /// Grants of before, which may still be carried out, end by this time.
    pub fn extend(&mut self, bound: Duration) {
        self.bound = self.bound.max(bound);
    }

    /// Takes note of the worker's clock.
    pub fn hear(&mut self, clock: u64, now: Duration) {
        if self.stamp.is_none_or(|(last, _)| clock >= last) {
            self.stamp = Some((clock, now));
        }
    }

    /// Grants a lease of `length` from now; `None` until the worker's clock is known.
    pub fn grant(&mut self, now: Duration, length: Duration) -> Option<u64> {
        let (clock, at) = self.stamp?;
        let since = now.saturating_sub(at) + length;
        self.bound = self.bound.max(at + worst_case_elapsed(since));
        let until = clock.saturating_add(u64::try_from(since.as_millis()).unwrap_or(u64::MAX));
        self.until = self.until.max(until);
        Some(until)
    }

    /// A clock that lags was heard: by it, grants made so far end later than the worker's own
    /// clock said, at most `longest` from now.
    pub fn note_lag(&mut self, clock: u64, now: Duration, longest: Duration) {
        let left = Duration::from_millis(self.until.saturating_sub(clock));
        self.extend(now + worst_case_elapsed(left.min(longest)));
    }
}
