//! Rate at which the work of a class completes.
//!
//! Work is counted by estimates on both sides of a prediction, so that an error which the estimates
//! have in common cancels: if all run three times as long, work completes at a third of the rate.

use std::time::Duration;

/// Time constant with which ended runs are forgotten: a few run times, which are 0.7 to 2.3 s.
const FORGET: Duration = Duration::from_secs(4);
/// Number of runs, weighted by age, that must have completed before there is a rate.
const COMPLETED_MIN: f64 = 5.0;

/// Estimated work that completed per processor-second in use, measured over seconds.
#[derive(Clone, Debug, Default)]
pub struct RateMeter {
    completed: f64,
    work: f64,
    occupied: f64,
    as_of: Duration,
}

impl RateMeter {
    /// Records a run that has ended: the processor-seconds for which it occupied its worker, and
    /// its estimated work if it is done.
    pub fn note_end(&mut self, occupied: f64, work: Option<f64>, now: Duration) {
        let weight = self.weight(now);
        self.as_of = self.as_of.max(now);
        self.completed = self.completed * weight + f64::from(u8::from(work.is_some()));
        self.work = self.work * weight + work.unwrap_or(0.0);
        self.occupied = self.occupied * weight + occupied;
    }

    fn weight(&self, now: Duration) -> f64 {
        (-now.saturating_sub(self.as_of).div_duration_f64(FORGET)).exp()
    }

    /// Returns the processor-seconds of estimated work that complete per second while `processors`
    /// are in use, or `None` if too few runs have completed lately.
    ///
    /// Usage follows a loss of workers and a burst at once, which a count of completed work per
    /// second shows only after the time of a run.
    #[must_use]
    pub fn rate(&self, processors: f64, now: Duration) -> Option<f64> {
        if self.completed * self.weight(now) < COMPLETED_MIN {
            return None;
        }
        let rate = processors * self.work / self.occupied;
        (rate.is_finite() && rate > 0.0).then_some(rate)
    }
}
