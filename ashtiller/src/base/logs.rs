//! Structured logs on standard output that never block the process.
//!
//! A thread writes the lines from a bounded queue. A line that finds the queue full is dropped and
//! counted.

use std::io::{self, BufWriter, Write};

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Capacity of the queue in lines: several seconds of a busy owner. At 300 bytes a line the queue
/// takes less than 3 MB.
const MAX_QUEUED_LINES: usize = 8192;
/// Size of the output buffer in bytes.
const BUFFER_BYTES: usize = 16 << 10;

/// Handle of the running logger; dropping it writes the queued lines.
pub struct Logs {
    dropped: ErrorCounter,
    _writer: WorkerGuard,
}

impl Logs {
    /// Returns the counter of dropped lines.
    #[must_use]
    pub fn dropped(&self) -> ErrorCounter {
        self.dropped.clone()
    }
}

/// Buffered standard output.
struct Output(BufWriter<io::Stdout>);

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.0.flush()
    }
}

/// Starts logging at `level`, unless `ASHTILLER_LOG` sets another filter.
#[must_use]
pub fn open(level: &str) -> Logs {
    let filter = EnvFilter::try_from_env("ASHTILLER_LOG").unwrap_or_else(|_| EnvFilter::new(level));
    let output = Output(BufWriter::with_capacity(BUFFER_BYTES, io::stdout()));
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_QUEUED_LINES)
        .lossy(true)
        .finish(output);
    let dropped = writer.error_counter();
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_env_filter(filter)
        .with_writer(writer)
        .init();
    Logs {
        dropped,
        _writer: guard,
    }
}
