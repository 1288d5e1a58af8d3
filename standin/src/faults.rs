//! Fault switches of the stand-ins.

use std::time::Duration;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::serve::{self, Answer, Call};

/// State of a stand-in's fault switches.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each switch is an independent fault"
)]
pub struct Switches {
    /// Closes every connection without an answer.
    pub down: bool,
    /// Delay of every answer in milliseconds.
    pub slow_ms: u64,
    /// Number of the next writes that take effect but lose their answer.
    #[serde(rename = "lose")]
    pub lose_answers: u32,
    /// Watches report no changes before their timeout.
    pub stuck: bool,
    /// Accepts requests and never answers them.
    pub frozen: bool,
    /// Answers every request at once with status 500.
    pub failing: bool,
    /// Truncates the body after its first half.
    pub cut_body: bool,
    /// Sends a body in chunks, without its length.
    pub chunked: bool,
    /// The next transaction takes effect, loses its answer, and the service goes down.
    #[serde(rename = "fall")]
    pub down_after_txn: bool,
}

/// Fault switches shared between a stand-in and its test.
#[derive(Debug, Default)]
pub struct Faults {
    switches: Mutex<Switches>,
}

impl Faults {
    /// Returns the current switches.
    #[must_use]
    pub fn get(&self) -> Switches {
        self.switches.lock().clone()
    }

    /// Replaces all switches.
    pub fn set(&self, switches: Switches) {
        *self.switches.lock() = switches;
    }

    /// Sets whether the stand-in is down.
    pub fn set_down(&self, down: bool) {
        let mut switches = self.get();
        switches.down = down;
        self.set(switches);
    }

    /// Sets the delay of every answer.
    pub fn set_slow(&self, delay: Duration) {
        let mut switches = self.get();
        switches.slow_ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.set(switches);
    }

    /// Returns whether the current answer must be lost, and counts it.
    #[must_use]
    pub fn take_lost_answer(&self) -> bool {
        let mut switches = self.switches.lock();
        let lose = switches.lose_answers > 0;
        switches.lose_answers = switches.lose_answers.saturating_sub(1);
        lose
    }

    /// Replaces all switches by the body of a request to `/fault`.
    #[must_use]
    pub fn set_from_request(&self, call: &Call) -> Answer {
        match serde_json::from_slice(&call.body) {
            Ok(switches) => {
                self.set(switches);
                serve::text(200, "true")
            }
            Err(error) => serve::text(400, error.to_string()),
        }
    }
}
