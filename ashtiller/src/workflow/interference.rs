//! How much runs that fill disturb runs that serve, learned from workers' reports.
//!
//! A service whose tail latency is `t` without load answers at `t / (1 - u)` when it
//! is used to the share `u`. What fills beside it adds to `u` in proportion to the
//! share of the worker's processors that it uses, by a factor that belongs to the
//! pair of images. So a reported tail tells `u`, and the factors of all fills beside
//! it are corrected by what they fail to explain.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Tail without load as a share of the target. The platform's services have targets
/// of five times it; its reports alone beside no fill begin there.
const IDLE_TAIL: f64 = 0.2;
/// Largest share of use that a report can tell.
const USE_MAX: f64 = 0.97;
/// Share of use by its own load that is assumed of an image without reports; the
/// mean of such reports on both sites.
const LOAD_FIRST: f64 = 0.47;
/// Factor that is assumed of a pair without reports; the mean of fitted pairs is 0.34.
const FACTOR_FIRST: f64 = 0.34;
/// Bounds of a factor.
const FACTOR: [f64; 2] = [0.05, 3.0];
/// Variance of a factor without reports; fitted pairs spread by 0.25.
const SPREAD_FIRST: f64 = 0.0625;
/// Variance of a report around what is known. Loads swing by 0.17, but half as much
/// was not worse in trials and learns sooner.
const NOISE: f64 = 0.01;
/// Variance that a factor gains with each report, since pairs change.
const DRIFT: f64 = 2e-5;
/// Share of an error by which a report corrects the load of an image.
const LOAD_RATE: f64 = 0.02;

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
    variance: f64,
}

const FIRST: Factor = Factor {
    value: FACTOR_FIRST,
    variance: SPREAD_FIRST,
};

/// What was learned about pairs of images.
#[derive(Clone, Debug, Default)]
pub struct Interference {
    factors: BTreeMap<(Arc<str>, Arc<str>), Factor>,
    loads: BTreeMap<Arc<str>, f64>,
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
        self.loads.get(serves).copied().unwrap_or(LOAD_FIRST)
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
            let load = self.loads.entry(serves.clone()).or_insert(LOAD_FIRST);
            *load += LOAD_RATE * (used - *load);
            return;
        }
        let error = used - self.load(serves) - self.pressure(serves, beside);
        let known = |fill: &Beside| {
            let key = (serves.clone(), fill.image.clone());
            self.factors.get(&key).map_or(FIRST, |factor| *factor)
        };
        let spread: f64 = beside
            .iter()
            .map(|fill| fill.share * fill.share * known(fill).variance)
            .sum::<f64>()
            + NOISE;
        for fill in beside {
            let key = (serves.clone(), fill.image.clone());
            let factor = self.factors.entry(key).or_insert(FIRST);
            let gain = factor.variance * fill.share / spread;
            factor.value = (factor.value + gain * error).clamp(FACTOR[0], FACTOR[1]);
            factor.variance =
                (factor.variance * (1.0 - gain * fill.share) + DRIFT).min(SPREAD_FIRST);
        }
    }

    /// What was learned, to be kept for a later owner.
    #[must_use]
    pub fn export(&self) -> Vec<Lesson> {
        let pairs = self.factors.iter().map(|((serves, fills), factor)| Lesson {
            serves: serves.clone(),
            fills: fills.clone(),
            factor: factor.value,
            variance: factor.variance,
        });
        pairs.collect()
    }

    /// Takes over what an earlier owner learned.
    pub fn import(&mut self, lessons: &[Lesson]) {
        for lesson in lessons {
            let factor = Factor {
                value: lesson.factor,
                variance: lesson.variance,
            };
            self.factors
                .insert((lesson.serves.clone(), lesson.fills.clone()), factor);
        }
    }
}

/// What was learned about one pair of images.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Lesson {
    /// Image that serves.
    pub serves: Arc<str>,
    /// Image that fills.
    pub fills: Arc<str>,
    /// Share of use that it adds for each share of processors.
    pub factor: f64,
    /// Variance of that.
    pub variance: f64,
}
