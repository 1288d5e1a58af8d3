//! Lease that an owner grants to one worker, measured on the worker's clock.
//!
//! A lease ends at a reading of the worker's clock: the clock of its last answer, plus the time
//! since, plus the length. So a call that is carried out late extends nothing, and the owner knows
//! on its own clock when every lease has ended.

use std::time::Duration;

/// Percentage by which a worker's clock may run slow; given by the platform.
const CLOCK_SLOW_PERCENT: u32 = 2;
/// Additional allowance for timers that fire late.
const TIMER_MARGIN: Duration = Duration::from_millis(150);

/// Lease of one worker.
#[derive(Clone, Debug)]
pub struct Lease {
    last_reading: Option<(u64, Duration)>,
    bound: Duration,
    /// Latest end of a grant, on the worker's clock.
    until: u64,
    /// Whether the bound covers more than the grants of earlier owners.
    extended: bool,
}

/// Returns the time on the local clock within which a worker's clock has certainly advanced by
/// `span`.
#[must_use]
pub fn worst_case_elapsed(span: Duration) -> Duration {
    span * 100 / (100 - CLOCK_SLOW_PERCENT) + TIMER_MARGIN
}

impl Lease {
    /// Creates a lease of which only a bound is known: the grants of earlier owners end by then.
    #[must_use]
    pub fn new(bound: Duration) -> Self {
        Self {
            last_reading: None,
            bound,
            until: 0,
            extended: false,
        }
    }

    /// Returns the time by which every grant made so far has ended.
    #[must_use]
    pub fn bound(&self) -> Duration {
        self.bound
    }

    /// Returns the last known reading of the worker's clock.
    #[must_use]
    pub fn clock(&self) -> Option<u64> {
        self.last_reading.map(|(clock, _)| clock)
    }

    /// Records the worker's first answer to this owner's fencing token: grants of earlier owners
    /// last at most `longest` from now.
    pub fn fence(&mut self, now: Duration, longest: Duration) {
        self.bound = self.bound.min(now + worst_case_elapsed(longest));
    }

    /// Lowers a bound that covers only the grants of earlier owners, which end by `end`.
    pub fn limit_earlier_grants(&mut self, end: Duration) {
        if !self.extended {
            self.bound = self.bound.min(end);
        }
    }

    /// Reports whether `clock`, answered to a call sent at `sent`, is lower than an earlier
    /// reading. It is then the clock of another incarnation.
    #[must_use]
    pub fn is_behind(&self, clock: u64, sent: Duration) -> bool {
        self.last_reading
            .is_some_and(|(last, at)| at <= sent && clock < last)
    }

    /// Reports whether `clock`, answered to a call sent at `sent`, is lower than that of the
    /// slowest allowed clock since the last reading. It is then the clock of another incarnation,
    /// or the machine was suspended meanwhile.
    #[must_use]
    pub fn lags(&self, clock: u64, sent: Duration) -> bool {
        // Answers may overtake each other: calls sent before the last reading prove nothing.
        let last_reading = self.last_reading.filter(|(_, at)| *at <= sent);
        last_reading.is_some_and(|(last, at)| {
            let least = sent.saturating_sub(at) * (100 - CLOCK_SLOW_PERCENT) / 100;
            let least = u64::try_from(least.as_millis()).unwrap_or(u64::MAX);
            clock < last.saturating_add(least)
        })
    }

    /// Raises the bound: earlier grants that may still be carried out end by this time.
    pub fn extend(&mut self, bound: Duration) {
        self.bound = self.bound.max(bound);
        self.extended = true;
    }

    /// Records a reading of the worker's clock.
    pub fn hear(&mut self, clock: u64, now: Duration) {
        if self.last_reading.is_none_or(|(last, _)| clock >= last) {
            self.last_reading = Some((clock, now));
        }
    }

    /// Grants a lease of `length` from now; returns its end on the worker's clock, or `None` until
    /// that clock is known.
    pub fn grant(&mut self, now: Duration, length: Duration) -> Option<u64> {
        let (clock, at) = self.last_reading?;
        let since = now.saturating_sub(at) + length;
        self.bound = self.bound.max(at + worst_case_elapsed(since));
        let until = clock.saturating_add(u64::try_from(since.as_millis()).unwrap_or(u64::MAX));
        self.until = self.until.max(until);
        Some(until)
    }

    /// Extends the bound after a lagging clock reading: by that clock, earlier grants end later
    /// than computed, at most `longest` from now.
    pub fn note_lag(&mut self, clock: u64, now: Duration, longest: Duration) {
        let left = Duration::from_millis(self.until.saturating_sub(clock));
        self.extend(now + worst_case_elapsed(left.min(longest)));
    }
}
