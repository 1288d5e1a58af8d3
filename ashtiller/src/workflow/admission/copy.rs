//! The state of admission that the owner sends with its replies to heartbeats.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::workflow::admission::refusals::{RETRY_MAX, RETRY_MIN, spread_delay};

/// Age from which a copy counts as none: capacity and load change within seconds.
pub const COPY_MAX_AGE: Duration = Duration::from_secs(3);
/// Number of classes in a copy; those with the most waiting work per rate are kept.
pub const CLASSES_MAX: usize = 4;

/// Waiting work of an overloaded class, and the rate at which it completes.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ClassReading {
    /// Waiting work in processor-seconds.
    pub waiting: f32,
    /// Processor-seconds that complete per second.
    pub rate: f32,
}

/// Readings of the overloaded classes. It is a section after the message, so that older versions
/// ignore it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct OverloadCopy {
    /// Age of the readings in milliseconds when they were sent.
    pub age_ms: u32,
    /// Overloaded classes.
    pub classes: Vec<ClassReading>,
}

impl OverloadCopy {
    /// Returns the age of the readings, `held` after they arrived.
    #[must_use]
    pub fn age(&self, held: Duration) -> Duration {
        Duration::from_millis(self.age_ms.into()) + held
    }

    /// Returns the retry delay of a caller that no owner answers. A copy that is missing or too
    /// old, `held` after it arrived, gives the default.
    #[must_use]
    pub fn retry_delay(copy: Option<(&Self, Duration)>, id: &str, default: Duration) -> Duration {
        let fresh = copy.filter(|(copy, held)| copy.age(*held) < COPY_MAX_AGE);
        let drained = fresh.map_or(Duration::ZERO, |(copy, _)| copy.drained_in());
        // The default is the time in which a new owner takes over.
        let delay = default.max(drained.min(RETRY_MAX.mul_f64(2.0 / 3.0)));
        spread_delay(id, delay.max(RETRY_MIN))
    }

    /// Returns the longest time in which the waiting work of a class completes.
    fn drained_in(&self) -> Duration {
        let times = self.classes.iter().take(CLASSES_MAX).map(|class| {
            let seconds = class.waiting / class.rate;
            Duration::try_from_secs_f32(seconds).unwrap_or_default()
        });
        times.max().unwrap_or_default()
    }
}
