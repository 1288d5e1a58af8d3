//! Clocks: time since the start of a process, and moments that include the time in suspend.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// A point in time as of which something is known: the owner of the log, a list, the validity of a
/// lease.
///
/// The monotonic clock of a machine stops while the machine is suspended, and timers stop with it.
/// Other machines continue meanwhile, and so ages are computed from moments, which include that
/// time. The separate type prevents a mix-up with the instants at which timers fire.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Moment(Instant);

impl Moment {
    /// Returns the present moment.
    #[must_use]
    pub fn now() -> Self {
        Self(Instant::now() + suspended())
    }

    /// Returns the moment that is later by `duration`.
    #[must_use]
    pub fn plus(self, duration: Duration) -> Self {
        Self(self.0 + duration)
    }

    /// Returns the time since an earlier moment; zero if that is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_duration_since(earlier.0)
    }

    /// Returns the time since this moment.
    #[must_use]
    pub fn elapsed(self) -> Duration {
        Self::now().since(self)
    }
}

/// Returns how long the machine has been suspended since it was booted, in whole milliseconds.
///
/// The process may be stopped between the readings of the two clocks, and so their difference is
/// only a lower bound. The result is the largest one seen so far, and never decreases.
fn suspended() -> Duration {
    static MAX_SEEN_MS: AtomicU64 = AtomicU64::new(0);
    let boottime = clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from);
    let monotonic = clock_gettime(ClockId::CLOCK_MONOTONIC).map(Duration::from);
    let (Ok(boottime), Ok(monotonic)) = (boottime, monotonic) else {
        return Duration::from_millis(MAX_SEEN_MS.load(Ordering::Relaxed));
    };
    let suspended_ms = boottime.saturating_sub(monotonic).as_millis();
    let suspended_ms = u64::try_from(suspended_ms).unwrap_or(u64::MAX);
    let max_seen = MAX_SEEN_MS.fetch_max(suspended_ms, Ordering::Relaxed);
    Duration::from_millis(max_seen.max(suspended_ms))
}

/// A source of time.
pub trait Clock: Send + Sync {
    /// Returns the time since the clock was opened.
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

/// Opens a clock that starts at zero and follows the monotonic clock of the machine.
#[must_use]
pub fn open() -> Arc<dyn Clock> {
    Arc::new(Monotonic {
        start: Instant::now(),
    })
}
