//! Distribution of the run times of one kind of step, given the client's estimate.
//!
//! The logarithm of a run time is the logarithm of the estimate plus a correction, which is linear
//! in the latter, plus a residual. The correction is a least-squares fit in which old observations
//! fade. Pseudo-observations without a correction are its prior, so that few observations change
//! little. Residuals have a logistic distribution, whose quantiles have a closed form; runs far above
//! the fit count as a second group of their own and do not shift it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Time after which an observation has lost 63 percent of its weight.
const MEMORY: Duration = Duration::from_secs(30);
/// Number of steps whose runs weigh as much as the prior. With 4 and 8, chains were predicted worse
/// after 12 jobs and no better after 1,500 (docs/design/run-times.md).
const PRIOR_STEPS: f64 = 2.0;
/// Variance of the logarithm of the estimates in the pseudo-observations that hold the slope at 0.
const PRIOR_SLOPE_VARIANCE: f64 = 0.25;
/// Standard deviation of residuals before any observation: that of the logarithm of a factor between
/// 0.1 and 1.9.
const PRIOR_DEVIATION: f64 = 0.7;
/// Least standard deviation of residuals.
const DEVIATION_MIN: f64 = 0.05;
/// Residual in standard deviations above which a run counts as far above the fit.
const CLIP: f64 = 3.0;
/// Distance from the mean estimate, in standard deviations, beyond which the correction no longer
/// changes: there the client's estimate is the only information.
const REACH: f64 = 2.0;
/// Largest correction, as a logarithm: a factor of 1,000, to exclude overflow.
const CORRECTION_MAX: f64 = 6.9;
/// Largest error in seconds of a quantile that is found by bisection.
const PRECISION: f64 = 1e-3;

/// Decayed sums over the observed runs. The runs of one step weigh 1 together.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Sums {
    /// Weight of the runs.
    pub weight: f32,
    /// Logarithm of the estimate in seconds.
    pub estimate: f32,
    /// Correction: logarithm of the run time divided by the estimate.
    pub correction: f32,
    /// Square of the logarithm of the estimate.
    pub estimate_squared: f32,
    /// Product of the logarithm of the estimate and the correction.
    pub product: f32,
    /// Square of the residual.
    pub residual_squared: f32,
    /// Weight of the runs far above the fit.
    pub far: f32,
    /// Residual of the runs far above the fit.
    pub far_residual: f32,
    /// Weight of the steps that are done.
    pub steps: f32,
    /// Logarithm of the run time of a step's slowest task divided by the usual one of the others.
    pub slowest: f32,
}

impl Sums {
    fn scale(&mut self, factor: f32) {
        for sum in [
            &mut self.weight,
            &mut self.estimate,
            &mut self.correction,
            &mut self.estimate_squared,
            &mut self.product,
            &mut self.residual_squared,
            &mut self.far,
            &mut self.far_residual,
            &mut self.steps,
            &mut self.slowest,
        ] {
            *sum *= factor;
        }
    }

    /// Returns whether all sums are numbers that observations can have led to.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let sums = [
            self.estimate,
            self.correction,
            self.product,
            self.far_residual,
            self.slowest,
        ];
        let positive = [
            self.weight,
            self.estimate_squared,
            self.residual_squared,
            self.far,
            self.steps,
        ];
        sums.iter().all(|sum| sum.is_finite())
            && positive.iter().all(|sum| sum.is_finite() && *sum >= 0.0)
    }
}

/// Learned run times of one kind of step.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Model {
    sums: Sums,
    /// Time as of which the sums hold.
    at: Duration,
}

/// Correction of an estimate and the spread around it, as logarithms.
#[derive(Clone, Copy, Debug)]
struct Fit {
    mean_estimate: f64,
    reach: f64,
    intercept: f64,
    slope: f64,
    deviation: f64,
}

impl Fit {
    fn correction(&self, estimate: f64) -> f64 {
        let distance = (estimate - self.mean_estimate).clamp(-self.reach, self.reach);
        (self.intercept + self.slope * distance).clamp(-CORRECTION_MAX, CORRECTION_MAX)
    }

    /// Returns the scale of a logistic distribution with this standard deviation.
    fn scale(&self) -> f64 {
        self.deviation * 3f64.sqrt() / std::f64::consts::PI
    }
}

/// Distribution of the run time of a task, in seconds.
#[derive(Clone, Copy, Debug)]
pub struct Distribution {
    /// Logarithm of the median of the usual runs.
    median: f64,
    scale: f64,
    /// Share of the runs far above the others, and the logarithm of their median.
    far: f64,
    far_median: f64,
}

impl Distribution {
    /// Returns the median of the usual runs.
    #[must_use]
    pub fn expected(&self) -> f64 {
        self.median.exp()
    }

    /// Returns a quantile of the usual runs, without those far above.
    #[must_use]
    pub fn usual_quantile(&self, share: f64) -> f64 {
        let share = share.clamp(1e-6, 1.0 - 1e-6);
        (self.median + self.scale * (share / (1.0 - share)).ln()).exp()
    }

    /// Returns a quantile of all runs.
    #[must_use]
    pub fn quantile(&self, share: f64) -> f64 {
        self.time_survived_by(1.0 - share.clamp(1e-6, 1.0 - 1e-6))
    }

    /// Returns the median of the time left to a run that has taken `age` seconds.
    #[must_use]
    pub fn remaining(&self, age: f64) -> f64 {
        (self.time_survived_by(self.survival(age) / 2.0) - age).max(0.0)
    }

    /// Returns the share of runs that take longer than `time` seconds.
    fn survival(&self, time: f64) -> f64 {
        let time = time.max(1e-9).ln();
        let above = |median: f64| 1.0 / (1.0 + ((time - median) / self.scale).exp());
        (1.0 - self.far) * above(self.median) + self.far * above(self.far_median)
    }

    fn time_survived_by(&self, share: f64) -> f64 {
        if self.far <= 0.0 {
            return self.usual_quantile(1.0 - share);
        }
        let mut low = 0.0;
        let mut high = self.expected();
        while self.survival(high) > share && high < 1e6 {
            low = high;
            high *= 2.0;
        }
        while high - low > PRECISION {
            let middle = f64::midpoint(low, high);
            if self.survival(middle) > share {
                low = middle;
            } else {
                high = middle;
            }
        }
        high
    }
}

impl Model {
    /// Creates a model from sums that hold as of `at`.
    #[must_use]
    pub fn new(sums: Sums, at: Duration) -> Self {
        Self { sums, at }
    }

    /// Returns the sums, as of the last observation.
    #[must_use]
    pub fn sums(&self) -> &Sums {
        &self.sums
    }

    /// Returns the time of the last observation.
    #[must_use]
    pub fn at(&self) -> Duration {
        self.at
    }

    /// Returns the weight of the observations, in steps.
    #[must_use]
    pub fn weight(&self, now: Duration) -> f64 {
        f64::from(self.sums.weight) * self.fading(now)
    }

    fn fading(&self, now: Duration) -> f64 {
        (-now.saturating_sub(self.at).div_duration_f64(MEMORY)).exp()
    }

    fn fade(&mut self, now: Duration) {
        let factor = narrow(self.fading(now));
        self.sums.scale(factor);
        self.at = self.at.max(now);
    }

    fn fit(&self, now: Duration) -> Fit {
        let sums = &self.sums;
        let total = f64::from(sums.weight).max(1e-9);
        let mean = |sum: f32| f64::from(sum) / total;
        // Sums fade alike, which only changes their weight against the prior.
        let weight = total * self.fading(now);
        let (estimate, correction) = (mean(sums.estimate), mean(sums.correction));
        let variance = (mean(sums.estimate_squared) - estimate * estimate).max(0.0);
        let covariance = mean(sums.product) - estimate * correction;
        let prior = PRIOR_STEPS * PRIOR_SLOPE_VARIANCE;
        let squares = mean(sums.residual_squared) * weight + PRIOR_STEPS * PRIOR_DEVIATION.powi(2);
        Fit {
            mean_estimate: estimate,
            reach: REACH * variance.sqrt(),
            intercept: correction * weight / (weight + PRIOR_STEPS),
            slope: covariance * weight / (variance * weight + prior),
            deviation: (squares / (weight + PRIOR_STEPS)).sqrt().max(DEVIATION_MIN),
        }
    }

    /// Returns the distribution of the run time for the logarithm of an estimate in seconds.
    #[must_use]
    pub fn distribution(&self, estimate: f64, now: Duration) -> Distribution {
        let fit = self.fit(now);
        let median = estimate + fit.correction(estimate);
        let far = f64::from(self.sums.far);
        let share = far * self.fading(now) / (self.weight(now) + PRIOR_STEPS);
        Distribution {
            median,
            scale: fit.scale(),
            far: if far > 1e-6 { share.min(0.5) } else { 0.0 },
            far_median: median + f64::from(self.sums.far_residual) / far.max(1e-6),
        }
    }

    /// Returns the logarithm of the run time of a step's slowest task divided by the usual one.
    #[must_use]
    pub fn slowest(&self, now: Duration) -> f64 {
        let fading = self.fading(now);
        let sum = f64::from(self.sums.slowest) * fading;
        sum / (f64::from(self.sums.steps) * fading + PRIOR_STEPS)
    }

    /// Learns the run time of one task, from logarithms of seconds. `weight` is the share of the task
    /// in its step.
    pub fn observe(&mut self, estimate: f64, run_time: f64, weight: f64, now: Duration) {
        self.fade(now);
        let fit = self.fit(now);
        let residual = run_time - estimate - fit.correction(estimate);
        let limit = CLIP * fit.deviation;
        let clipped = residual.clamp(-limit, limit);
        let correction = run_time - estimate - (residual - clipped);
        let sums = &mut self.sums;
        sums.weight += narrow(weight);
        sums.estimate += narrow(weight * estimate);
        sums.correction += narrow(weight * correction);
        sums.estimate_squared += narrow(weight * estimate * estimate);
        sums.product += narrow(weight * estimate * correction);
        sums.residual_squared += narrow(weight * clipped * clipped);
        if residual > limit {
            sums.far += narrow(weight);
            sums.far_residual += narrow(weight * residual);
        }
    }

    /// Learns from a step that is done the logarithm of the run time of its slowest task divided by
    /// the usual one of the others.
    pub fn observe_step(&mut self, offset: f64, now: Duration) {
        self.fade(now);
        let limit = CLIP * self.fit(now).deviation;
        let known = self.slowest(now);
        let offset = offset.clamp(known - limit, known + limit);
        self.sums.steps += 1.0;
        self.sums.slowest += narrow(offset);
    }

    /// Returns the correction at the mean estimate, its slope and the standard deviation of the
    /// residuals, for a dump.
    #[must_use]
    pub fn parameters(&self, now: Duration) -> [f64; 3] {
        let fit = self.fit(now);
        [fit.intercept, fit.slope, fit.deviation]
    }
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "sums are stored in single precision"
)]
fn narrow(value: f64) -> f32 {
    value as f32
}
