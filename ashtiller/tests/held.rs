//! Log messages for operators while starts wait for a newer list of workers.
//!
//! This test needs its own process: when another test's thread reaches a log statement first,
//! `tracing` may cache it as disabled for this test's subscriber.

#[path = "owner/driver.rs"]
#[allow(dead_code, reason = "other tests use the remaining items")]
mod driver;

use std::io;
use std::sync::Arc;
use std::time::Duration;

use ashtiller::workflow::job::Step;
use parking_lot::Mutex;
use tracing_subscriber::fmt::MakeWriter;

use driver::{Driver, job, policy, step};

/// Captured log output.
#[derive(Clone, Default)]
struct LogCapture(Arc<Mutex<Vec<u8>>>);

impl io::Write for LogCapture {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for LogCapture {
    type Writer = Self;

    fn make_writer(&'a self) -> Self {
        self.clone()
    }
}

impl LogCapture {
    fn containing(&self, text: &str) -> Vec<String> {
        let output = String::from_utf8(self.0.lock().clone()).expect("text");
        let lines = output.lines().filter(|line| line.contains(text));
        lines.map(str::to_owned).collect()
    }
}

/// Guards against long-running tasks that wait without a log message. While the list of workers is
/// outdated, planning returns before it reports which steps wait, and "starts wait" was logged once
/// without the waiting tasks. No message within 12 s named them; now one every 5 s does.
#[test]
fn held_starts_log_how_many_tasks_wait() {
    let lines = LogCapture::default();
    let subscriber = tracing_subscriber::fmt()
        .with_writer(lines.clone())
        .with_ansi(false)
        .finish();
    tracing::subscriber::with_default(subscriber, || {
        let mut driver = Driver::new(2, policy());
        driver.listing_fresh = false;
        driver.run_for(Duration::from_secs(3));
        let long_running = Step {
            long_running: true,
            ..step(1)
        };
        driver.submit(job("lasts", vec![long_running]));
        driver.run_for(Duration::from_secs(12));
        driver.listing_fresh = true;
        driver.run_for(Duration::from_secs(1));
        assert_eq!(driver.starts().len(), 1);
    });
    assert_eq!(lines.containing("starts wait").len(), 3);
    let counted = lines.containing("lasting=1 short=0");
    assert_eq!(counted.len(), 3, "{:?}", lines.containing("starts"));
    assert_eq!(lines.containing("starts go on").len(), 1);
}
