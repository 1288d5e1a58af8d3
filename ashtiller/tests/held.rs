//! What operators are told while starts wait for a newer list of workers.
//!
//! Alone in its process: a line that another test's thread meets first may be switched off
//! for the subscriber of this one.

#[path = "owner/driver.rs"]
#[allow(dead_code, reason = "other tests use the rest of it")]
mod driver;

use std::io;
use std::sync::Arc;
use std::time::Duration;

use ashtiller::workflow::job::Step;
use parking_lot::Mutex;
use tracing_subscriber::fmt::MakeWriter;

use driver::{Driver, job, policy, step};

/// Lines as they are logged.
#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl io::Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for Lines {
    type Writer = Self;

    fn make_writer(&'a self) -> Self {
        self.clone()
    }
}

impl Lines {
    fn containing(&self, text: &str) -> Vec<String> {
        let written = String::from_utf8(self.0.lock().clone()).expect("text");
        let lines = written.lines().filter(|line| line.contains(text));
        lines.map(str::to_owned).collect()
    }
}

/// Symptom: lasting tasks waited for long, and no line said so.
///
/// Sequence: nothing is heard of the list of workers; a job is submitted meanwhile.
///
/// Cause: planning ends before it tells which steps wait, and the line that says that
/// starts wait is written once, without what waits.
///
/// Figure: none of the lines within 12 s named waiting tasks; now one each 5 s does.
#[test]
fn a_hold_says_how_many_tasks_wait() {
    let lines = Lines::default();
    let subscriber = tracing_subscriber::fmt()
        .with_writer(lines.clone())
        .with_ansi(false)
        .finish();
    tracing::subscriber::with_default(subscriber, || {
        let mut driver = Driver::new(2, policy());
        driver.listing_fresh = false;
        driver.run_for(Duration::from_secs(3));
        let lasting = Step {
            long_running: true,
            ..step(1)
        };
        driver.submit(job("lasts", vec![lasting]));
        driver.run_for(Duration::from_secs(12));
        driver.listing_fresh = true;
        driver.run_for(Duration::from_secs(1));
        assert_eq!(driver.starts().len(), 1);
    });
    assert_eq!(lines.containing("starts wait").len(), 3);
    let told = lines.containing("lasting=1 short=0");
    assert_eq!(told.len(), 3, "{:?}", lines.containing("starts"));
    assert_eq!(lines.containing("starts go on").len(), 1);
}
