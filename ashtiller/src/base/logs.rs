//! Structured logs on standard output that never hold the process up.
//!
//! Lines wait in a bounded queue for a thread that writes them; a line that finds the
//! queue full is dropped and counted.

use std::io::{self, BufWriter, Write};

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Lines that may wait: some seconds of a busy owner's, at 300 bytes each under 3 MB.
const LINES: usize = 8192;
/// Bytes that are written at once.
const BUFFER: usize = 16 << 10;

/// Running logs; dropping them writes what waits.
pub struct Logs {
    dropped: ErrorCounter,
    _writer: WorkerGuard,
}

impl Logs {
    /// Lines that were dropped.
    #[must_use]
    pub fn dropped(&self) -> ErrorCounter {
        self.dropped.clone()
    }
}

/// Standard output, written in larger pieces.
struct Output(BufWriter<io::Stdout>);

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.0.flush()
    }
}

/// Begins to log at `level`, unless `ASHTILLER_LOG` says otherwise.
#[must_use]
pub fn open(level: &str) -> Logs {
    let filter = EnvFilter::try_from_env("ASHTILLER_LOG").unwrap_or_else(|_| EnvFilter::new(level));
    let output = Output(BufWriter::with_capacity(BUFFER, io::stdout()));
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(LINES)
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
