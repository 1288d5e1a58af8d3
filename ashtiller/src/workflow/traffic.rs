//! Counters of messages and bytes between instances, by kind of request.

use std::sync::LazyLock;

use prometheus::{IntCounterVec, Opts};

/// Direction of a message.
#[derive(Clone, Copy, Debug)]
pub enum Way {
    /// Sent by this process.
    Sent,
    /// Received by this process.
    Received,
}

impl Way {
    fn name(self) -> &'static str {
        match self {
            Self::Sent => "sent",
            Self::Received => "received",
        }
    }
}

static MESSAGES: LazyLock<IntCounterVec> =
    LazyLock::new(|| counter("messages", "messages between instances"));
static BYTES: LazyLock<IntCounterVec> =
    LazyLock::new(|| counter("message_bytes", "bytes of messages between instances"));

fn counter(name: &str, help: &str) -> IntCounterVec {
    let opts = Opts::new(name, help)
        .namespace("ashtiller")
        .subsystem("entry");
    IntCounterVec::new(opts, &["kind", "way"]).expect("a name and a help text")
}

/// Counts a message of `bytes` bytes.
pub fn note(kind: &str, way: Way, bytes: usize) {
    let labels = [kind, way.name()];
    MESSAGES.with_label_values(&labels).inc();
    BYTES.with_label_values(&labels).inc_by(bytes as u64);
}

/// Returns the counters of this process, for registration.
#[must_use]
pub fn counters() -> [IntCounterVec; 2] {
    [MESSAGES.clone(), BYTES.clone()]
}
