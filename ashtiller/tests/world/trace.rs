//! What the owners log, by the world's time, for one seed that is looked at by hand.

use std::cell::Cell;
use std::fmt;
use std::time::Duration;

use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::time::FormatTime;

thread_local! {
    static NOW: Cell<Duration> = const { Cell::new(Duration::ZERO) };
}

struct WorldTime;

impl FormatTime for WorldTime {
    fn format_time(&self, w: &mut Writer<'_>) -> fmt::Result {
        write!(w, "{:.3}", NOW.get().as_secs_f64())
    }
}

/// Sets the time that lines of this thread bear.
pub fn set_time(now: Duration) {
    NOW.set(now);
}

/// Prints what `work` logs.
pub fn print_logs<T>(work: impl FnOnce() -> T) -> T {
    let subscriber = tracing_subscriber::fmt()
        .with_max_level(tracing::Level::TRACE)
        .with_timer(WorldTime)
        .with_ansi(false)
        .with_test_writer()
        .finish();
    tracing::subscriber::with_default(subscriber, work)
}
