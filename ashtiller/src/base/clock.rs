//! Time since the start of a process.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

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
