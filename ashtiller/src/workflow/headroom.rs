//! The headroom of one job's services over time, without what fills beside them.
//!
//! Tasks of one job serve the same users, so their loads rise and fall together; the
//! reports of all of them tell where the headroom is and where it goes.

use std::collections::VecDeque;
use std::time::Duration;

/// Reports that are older say nothing: loads swing within 14 to 20 s on the platform.
const WINDOW: Duration = Duration::from_millis(2200);
/// Pressure by fills at which a report counts half: what is known of it may be wrong.
const DOUBT: f64 = 0.113;
/// Weight of reports from which a level is known, and that from which a slope is.
const ENOUGH: [f64; 2] = [1.5, 4.0];
/// Time for which a trend that was worked out is used: a look at a worker each half
/// second asks for it twice for each of its services.
const FRESH: Duration = Duration::from_millis(60);
/// Fastest change in a second that is believed.
const SLOPE_MAX: f64 = 0.226;

/// Reports of one job's services.
#[derive(Clone, Debug, Default)]
pub struct HeadroomHistory {
    reports: VecDeque<(Duration, f64, f64)>,
    /// What was worked out last, and when.
    known: Option<(Duration, Option<Trend>)>,
}

/// Where a headroom is, and its change in a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Trend {
    /// Share of the image's usual headroom.
    pub level: f64,
    /// Change in a second.
    pub slope: f64,
}

impl HeadroomHistory {
    /// Takes a report: the headroom that would be there without fills of this pressure.
    pub fn note(&mut self, share: f64, pressure: f64, now: Duration) {
        let doubt = pressure / DOUBT;
        let weight = 1.0 / (1.0 + doubt * doubt);
        self.reports.push_back((now, share, weight));
        while self
            .reports
            .front()
            .is_some_and(|(at, _, _)| *at + WINDOW < now)
        {
            self.reports.pop_front();
        }
    }

    /// Level and slope at `now`; `None` when too little is known.
    pub fn trend(&mut self, now: Duration) -> Option<Trend> {
        if let Some((at, known)) = self.known
            && now < at + FRESH
        {
            return known;
        }
        let trend = self.work_out(now);
        self.known = Some((now, trend));
        trend
    }

    fn work_out(&self, now: Duration) -> Option<Trend> {
        let recent = self.reports.iter().filter(|(at, _, _)| *at + WINDOW >= now);
        let (mut weight, mut age, mut level) = (0.0, 0.0, 0.0);
        for (at, share, counts) in recent.clone() {
            weight += counts;
            age += counts * now.saturating_sub(*at).as_secs_f64();
            level += counts * share;
        }
        if weight < ENOUGH[0] {
            return None;
        }
        let (age, level) = (age / weight, level / weight);
        let (mut both, mut spread) = (0.0, 0.0);
        for (at, share, counts) in recent {
            let apart = now.saturating_sub(*at).as_secs_f64() - age;
            both += counts * apart * (share - level);
            spread += counts * apart * apart;
        }
        let mut slope = 0.0;
        if weight >= ENOUGH[1] && spread > 0.2 {
            slope = (-both / spread).clamp(-SLOPE_MAX, SLOPE_MAX);
        }
        Some(Trend {
            level: level + slope * age,
            slope,
        })
    }
}
