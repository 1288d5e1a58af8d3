//! Time since the start of a process, and moments by which proofs are judged.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// When something was known: who owns the log, what stands in a list, what a lease allows.
///
/// While a machine is suspended its monotonic clock stands still, and with it timers. What
/// others did meanwhile did not: so ages are reckoned by moments, which count that time. The
/// type keeps them apart from the instants at which timers fire.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Moment(Instant);

impl Moment {
    /// The present.
    #[must_use]
    pub fn now() -> Self {
        Self(Instant::now() + suspended())
    }

    /// The moment that is later by `span`.
    #[must_use]
    pub fn plus(self, span: Duration) -> Self {
        Self(self.0 + span)
    }

    /// Time since an earlier moment; nothing if that is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_duration_since(earlier.0)
    }

    /// Time since this moment.
    #[must_use]
    pub fn elapsed(self) -> Duration {
        Self::now().since(self)
    }
}

/// For how long the machine has been suspended since it was booted, in whole milliseconds.
///
/// Between the readings of two clocks the process may be stopped, so the difference is known
/// from below only; the largest seen so far holds, and the result never falls.
fn suspended() -> Duration {
    static LARGEST: AtomicU64 = AtomicU64::new(0);
    let boot = clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from);
    let awake = clock_gettime(ClockId::CLOCK_MONOTONIC).map(Duration::from);
    let (Ok(boot), Ok(awake)) = (boot, awake) else {
        return Duration::from_millis(LARGEST.load(Ordering::Relaxed));
    };
    let least = boot.saturating_sub(awake).as_millis();
    let least = u64::try_from(least).unwrap_or(u64::MAX);
    let before = LARGEST.fetch_max(least, Ordering::Relaxed);
    Duration::from_millis(before.max(least))
}

/// A source of time.
pub trait Clock: Send + Sync {
    /// Time since the clock was opened.
    fn now(&self) -> Duration;
}

struct Monotonic {
    start: Instant,
}

impl Clock for Monotonic {
    fn now(&self) -> Duration {
        self.start.elapsed()
    }
}

/// Opens a clock that starts at nothing and follows the machine's monotonic clock.
#[must_use]
pub fn open() -> Arc<dyn Clock> {
    Arc::new(Monotonic {
        start: Instant::now(),
    })
}
