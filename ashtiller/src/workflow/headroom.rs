//! Headroom of one job's services over time, corrected for best-effort runs beside them.
//!
//! Tasks of one job serve the same users, so their loads rise and fall together; the reports of all
//! of them together yield the level and the slope of the headroom.

use std::collections::VecDeque;
use std::time::Duration;

/// Age limit of reports: loads vary with periods of 14 to 20 s on the platform.
const REPORT_LIFETIME: Duration = Duration::from_millis(2200);
/// Headroom taken by best-effort runs at which a report has half weight, since the correction for
/// them may be wrong.
const HALF_WEIGHT_PRESSURE: f64 = 0.113;
/// Total weight of reports needed for a level, and for a slope.
const WEIGHT_MIN: [f64; 2] = [1.5, 4.0];
/// Time for which a computed trend is reused: a poll of a worker every half second asks for it
/// twice for each of the worker's services.
const TREND_LIFETIME: Duration = Duration::from_millis(60);
/// Limit of the slope, in shares of the usual headroom per second.
const SLOPE_MAX: f64 = 0.226;

/// Recent reports of one job's services.
#[derive(Clone, Debug, Default)]
pub struct HeadroomHistory {
    reports: VecDeque<(Duration, f64, f64)>,
    /// Trend computed last, and the time of that.
    known: Option<(Duration, Option<Trend>)>,
}

/// Level and slope of a headroom.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Trend {
    /// Share of the image's usual headroom.
    pub level: f64,
    /// Change per second.
    pub slope: f64,
}

impl HeadroomHistory {
    /// Adds a report: the estimated headroom without best-effort runs, and the headroom that they
    /// take.
    pub fn note(&mut self, share: f64, pressure: f64, now: Duration) {
        let ratio = pressure / HALF_WEIGHT_PRESSURE;
        let weight = 1.0 / (1.0 + ratio * ratio);
        self.reports.push_back((now, share, weight));
        while self
            .reports
            .front()
            .is_some_and(|(at, _, _)| *at + REPORT_LIFETIME < now)
        {
            self.reports.pop_front();
        }
    }

    /// Returns level and slope at `now`, or `None` if there are too few reports.
    pub fn trend(&mut self, now: Duration) -> Option<Trend> {
        if let Some((at, known)) = self.known
            && now < at + TREND_LIFETIME
        {
            return known;
        }
        let trend = self.compute_trend(now);
        self.known = Some((now, trend));
        trend
    }

    fn compute_trend(&self, now: Duration) -> Option<Trend> {
        let recent = self
            .reports
            .iter()
            .filter(|(at, _, _)| *at + REPORT_LIFETIME >= now);
        let (mut weight, mut age, mut level) = (0.0, 0.0, 0.0);
        for (at, share, report_weight) in recent.clone() {
            weight += report_weight;
            age += report_weight * now.saturating_sub(*at).as_secs_f64();
            level += report_weight * share;
        }
        if weight < WEIGHT_MIN[0] {
            return None;
        }
        let (age, level) = (age / weight, level / weight);
        let (mut covariance, mut variance) = (0.0, 0.0);
        for (at, share, report_weight) in recent {
            let deviation = now.saturating_sub(*at).as_secs_f64() - age;
            covariance += report_weight * deviation * (share - level);
            variance += report_weight * deviation * deviation;
        }
        let mut slope = 0.0;
        if weight >= WEIGHT_MIN[1] && variance > 0.2 {
            slope = (-covariance / variance).clamp(-SLOPE_MAX, SLOPE_MAX);
        }
        Some(Trend {
            level: level + slope * age,
            slope,
        })
    }
}
