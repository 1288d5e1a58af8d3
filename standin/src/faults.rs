//! Switches for the faults that the brief names.

use std::time::Duration;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::serve::{self, Answer, Call};

/// The state of a stand-in's switches.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each switch is a fault of its own"
)]
pub struct Switches {
    /// Every connection is closed without an answer.
    pub down: bool,
    /// Every answer waits this many milliseconds.
    pub slow_ms: u64,
    /// This many of the next writes take effect and lose their answer.
    #[serde(rename = "lose")]
    pub lose_answers: u32,
    /// Watches never wake.
    pub stuck: bool,
    /// Requests are taken and never answered.
    pub frozen: bool,
    /// Every request is answered at once with status 500.
    pub failing: bool,
    /// The body is cut after its first half.
    pub cut_body: bool,
    /// A body is sent in chunks, without its length.
    pub chunked: bool,
    /// The next transaction takes effect, loses its answer, and the service goes down.
    #[serde(rename = "fall")]
    pub down_after_txn: bool,
}

/// Switches shared between a stand-in and its test.
#[derive(Debug, Default)]
pub struct Faults {
    switches: Mutex<Switches>,
}

impl Faults {
    /// Returns the switches as they stand.
    #[must_use]
    pub fn get(&self) -> Switches {
        self.switches.lock().clone()
    }

    /// Replaces all switches.
    pub fn set(&self, switches: Switches) {
        *self.switches.lock() = switches;
    }

    /// Takes the stand-in down or brings it back.
    pub fn set_down(&self, down: bool) {
        let mut switches = self.get();
        switches.down = down;
        self.set(switches);
    }

    /// Delays every answer.
    pub fn set_slow(&self, delay: Duration) {
        let mut switches = self.get();
        switches.slow_ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.set(switches);
    }

    /// Consumes one lost answer; true when the answer must be lost.
    #[must_use]
    pub fn take_lost_answer(&self) -> bool {
        let mut switches = self.switches.lock();
        let lose = switches.lose_answers > 0;
        switches.lose_answers = switches.lose_answers.saturating_sub(1);
        lose
    }

    /// Takes switches from the body of a request to `/fault`.
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
