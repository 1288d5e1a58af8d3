//! How much runs that fill disturb runs that serve, learned from workers' reports.
//!
//! A service whose tail latency is `t` without load answers at `t / (1 - u)` when it
//! is used to the share `u`. What fills beside it adds to `u` in proportion to the
//! share of the worker's processors that it uses, by a factor that belongs to the
//! pair of images. So a reported tail tells `u`, and the factors of all fills beside
//! it are corrected by what they fail to explain.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Tail without load as a share of the target. The platform's services have targets
/// of five times it; its reports alone beside no fill begin there.
const IDLE_TAIL: f64 = 0.2;
/// Largest share of use that a report can tell.
const USE_MAX: f64 = 0.97;
/// Share of use by its own load that is assumed of an image without reports; the
/// mean of such reports on both sites.
const LOAD_FIRST: f64 = 0.47;
/// Factor that is assumed of a pair without reports; the mean of fitted pairs is 0.34.
const FACTOR_FIRST: f64 = 0.4;
/// Bounds of a factor.
const FACTOR: [f64; 2] = [0.05, 3.0];
/// Share of an error by which the first report corrects, and the one that stays.
const RATE: [f64; 2] = [0.35, 0.03];
/// Reports after which the rate of correction has halved.
const RATE_HALVES: f64 = 12.0;
/// Keeps the correction by a small fill small.
const SMALL: f64 = 0.02;

/// A run that fills, beside a run that serves.
#[derive(Clone, Debug)]
pub struct Beside {
    /// Image.
    pub image: Arc<str>,
    /// Share of the worker's processors that it uses.
    pub share: f64,
}

#[derive(Clone, Copy, Debug)]
struct Factor {
    value: f64,
    reports: f64,
}

/// What was learned about pairs of images.
#[derive(Clone, Debug, Default)]
pub struct Interference {
    factors: BTreeMap<(Arc<str>, Arc<str>), Factor>,
    loads: BTreeMap<Arc<str>, Factor>,
}

/// Share of use that a tail tells, as a share of its target.
#[must_use]
pub fn use_of(tail: f64) -> f64 {
    (1.0 - IDLE_TAIL / tail.max(IDLE_TAIL)).min(USE_MAX)
}

/// Share of use at which a tail is at its target.
#[must_use]
pub fn use_limit() -> f64 {
    1.0 - IDLE_TAIL
}

impl Interference {
    /// Factor of a pair.
    #[must_use]
    pub fn factor(&self, serves: &Arc<str>, fills: &Arc<str>) -> f64 {
        self.factors
            .get(&(serves.clone(), fills.clone()))
            .map_or(FACTOR_FIRST, |factor| factor.value)
    }

    /// Share of use by the own load of an image.
    #[must_use]
    pub fn load(&self, serves: &Arc<str>) -> f64 {
        self.loads.get(serves).map_or(LOAD_FIRST, |load| load.value)
    }

    /// What fills beside an image adds to its share of use.
    #[must_use]
    pub fn pressure(&self, serves: &Arc<str>, beside: &[Beside]) -> f64 {
        beside
            .iter()
            .map(|fill| self.factor(serves, &fill.image) * fill.share)
            .sum()
    }

    /// Learns from a report: the share of use of an image beside these fills.
    pub fn learn(&mut self, serves: &Arc<str>, used: f64, beside: &[Beside]) {
        if beside.is_empty() {
            let load = self.loads.entry(serves.clone()).or_insert(Factor {
                value: LOAD_FIRST,
                reports: 0.0,
            });
            load.value += rate(load.reports) * (used - load.value);
            load.reports += 1.0;
            return;
        }
        let error = used - self.load(serves) - self.pressure(serves, beside);
        let squares: f64 = beside.iter().map(|fill| fill.share * fill.share).sum();
        for fill in beside {
            let key = (serves.clone(), fill.image.clone());
            let factor = self.factors.entry(key).or_insert(Factor {
                value: FACTOR_FIRST,
                reports: 0.0,
            });
            let step = rate(factor.reports) * error * fill.share / (squares + SMALL);
            factor.value = (factor.value + step).clamp(FACTOR[0], FACTOR[1]);
            factor.reports += fill.share / (fill.share + SMALL);
        }
    }
}

fn rate(reports: f64) -> f64 {
    RATE[1] + (RATE[0] - RATE[1]) / (1.0 + reports / RATE_HALVES)
}
