//! Prints the log of the owners with virtual time, to inspect a single seed by hand.

use std::cell::Cell;
use std::fmt;
use std::time::Duration;

use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::time::FormatTime;

thread_local! {
    static NOW: Cell<Duration> = const { Cell::new(Duration::ZERO) };
}

/// Formats log times as virtual time.
struct VirtualTime;

impl FormatTime for VirtualTime {
    fn format_time(&self, w: &mut Writer<'_>) -> fmt::Result {
        write!(w, "{:.3}", NOW.get().as_secs_f64())
    }
}

/// Sets the time in the log lines of this thread.
pub fn set_time(now: Duration) {
    NOW.set(now);
}

/// Runs `work` and prints what it logs, at all levels.
pub fn print_logs<T>(work: impl FnOnce() -> T) -> T {
    let subscriber = tracing_subscriber::fmt()
        .with_max_level(tracing::Level::TRACE)
        .with_timer(VirtualTime)
        .with_ansi(false)
        .with_test_writer()
        .finish();
    tracing::subscriber::with_default(subscriber, work)
}
