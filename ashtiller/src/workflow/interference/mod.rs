//! Model of the interference of best-effort runs (fills) with latency-sensitive runs (services),
//! learned from workers' reports.
//!
//! A service's headroom is its latency target divided by its tail latency: 1 at the target, and
//! falling linearly with its utilization, by its own load and by the best-effort runs beside it.
//! Headrooms are stored relative to the image's usual headroom without best-effort runs, so that
//! nothing depends on how far targets lie above idle tail latencies. A best-effort run reduces the
//! headroom in proportion to the share of the worker's processors that it uses, by a factor that
//! belongs to the pair of images. A report corrects the factors of all best-effort runs beside the
//! service by the part of the reduction that they fail to explain.

pub mod recorded;
mod table;

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::workflow::interference::table::Table;

pub use recorded::{FactorTable, LearnedFactor};

/// Usual headroom assumed for an image before its first report.
const USUAL_INITIAL: f64 = 2.65;
/// Lower bound of the usual headroom; a service that is always over its target has no processors to
/// share.
const USUAL_MIN: f64 = 0.2;
/// Factor assumed for a pair of images without reports; the mean of fitted pairs is 0.64.
const FACTOR_INITIAL: f64 = 0.64;
/// Lower and upper bound of a factor.
const FACTOR_BOUNDS: [f64; 2] = [0.09, 6.0];
/// Variance of a factor without reports; the standard deviation of fitted pairs is 0.47.
const VARIANCE_INITIAL: f64 = 0.2225;
/// Variance of a report around the model. Loads swing by a third; assuming half of that swing was
/// no worse in trials and learns sooner.
const NOISE_VARIANCE: f64 = 0.036;
/// Same variance if the load is known from the job's other tasks.
const NOISE_VARIANCE_KNOWN: f64 = 0.018;
/// Variance that a factor gains with each report, since pairs change over time.
const DRIFT_VARIANCE: f64 = 7e-5;
/// Share of the error by which each report corrects the usual headroom of an image.
const USUAL_RATE: f64 = 0.02;

/// A best-effort run beside a latency-sensitive run.
#[derive(Clone, Copy, Debug)]
pub struct NeighborFill {
    /// Image of the best-effort run.
    pub image: Image,
    /// Share of the worker's processors that it uses.
    pub share: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Factor {
    value: f64,
    variance: f64,
}

const FACTOR_UNKNOWN: Factor = Factor {
    value: FACTOR_INITIAL,
    variance: VARIANCE_INITIAL,
};

/// Usual headroom of an image without best-effort runs, and the number of reports behind it.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Usual {
    value: f64,
    reports: u32,
}

const USUAL_UNKNOWN: Usual = Usual {
    value: USUAL_INITIAL,
    reports: 0,
};

/// Image, as a number that is valid in this process only.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Image(u32);

/// Learned factors of image pairs and usual headrooms of images, as far as they were used lately.
///
/// Callers name the images, so the table has a limit in bytes: what was not used for longest is
/// forgotten, and counts as never learned.
#[derive(Clone, Debug, Default)]
pub struct Interference {
    table: Table,
    /// Usual headrooms, and factors beside a best-effort image, that changed since their last record.
    changed: BTreeSet<(Image, Option<Image>)>,
    /// Where the next record begins in the order of the changes.
    next_change: Option<(Image, Option<Image>)>,
}

impl Interference {
    /// Returns the number of an image name, and assigns one to a new name.
    pub fn number(&mut self, name: &Arc<str>) -> Image {
        self.table.number(name)
    }

    /// Returns the interference factor of a pair.
    #[must_use]
    pub fn factor(&self, serves: Image, fills: Image) -> f64 {
        self.known(serves, fills).value
    }

    /// Returns an estimate of the bytes that the table takes in a snapshot.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.table.bytes()
    }

    fn known(&self, serves: Image, fills: Image) -> Factor {
        self.table.factor(serves, fills).unwrap_or(FACTOR_UNKNOWN)
    }

    fn usual(&self, serves: Image) -> Usual {
        self.table.usual(serves).unwrap_or(USUAL_UNKNOWN)
    }

    /// Converts a headroom, the target divided by the tail latency, to a share of the image's usual
    /// one.
    #[must_use]
    pub fn headroom(&self, serves: Image, ratio: f64) -> f64 {
        ratio / self.usual(serves).value
    }

    /// Returns the headroom of an image at its latency target, as a share of its usual one.
    #[must_use]
    pub fn floor(&self, serves: Image) -> f64 {
        1.0 / self.usual(serves).value
    }

    /// Returns the headroom that best-effort runs take from an image beside them.
    #[must_use]
    pub fn headroom_loss(&self, serves: Image, neighbors: &[NeighborFill]) -> f64 {
        let each = |fill: &NeighborFill| self.factor(serves, fill.image) * fill.share;
        neighbors.iter().map(each).sum()
    }

    /// Learns the headroom of an image without best-effort runs.
    fn learn_usual(&mut self, serves: Image, ratio: f64) {
        let Usual { value, reports } = self.usual(serves);
        let value = value + USUAL_RATE * (ratio - value);
        let usual = Usual {
            value: value.max(USUAL_MIN),
            reports: reports.saturating_add(1),
        };
        if self.table.set_usual(serves, usual) {
            self.changed.insert((serves, None));
        }
    }

    /// Learns from a report: `ratio` is the target divided by the tail latency of an image beside
    /// these best-effort runs; `own` is its headroom without them, relative to the usual one, if
    /// that is known from elsewhere.
    pub fn learn(
        &mut self,
        serves: Image,
        ratio: f64,
        own: Option<f64>,
        neighbors: &[NeighborFill],
    ) {
        if neighbors.is_empty() {
            self.learn_usual(serves, ratio);
            return;
        }
        let noise = if own.is_some() {
            NOISE_VARIANCE_KNOWN
        } else {
            NOISE_VARIANCE
        };
        let expected = own.unwrap_or(1.0) - self.headroom_loss(serves, neighbors);
        let error = expected - self.headroom(serves, ratio);
        let each =
            |fill: &NeighborFill| fill.share * fill.share * self.known(serves, fill.image).variance;
        let spread = neighbors.iter().map(each).sum::<f64>() + noise;
        for fill in neighbors {
            let Factor { value, variance } = self.known(serves, fill.image);
            let gain = variance * fill.share / spread;
            let left = variance * (1.0 - gain * fill.share);
            let factor = Factor {
                value: (value + gain * error).clamp(FACTOR_BOUNDS[0], FACTOR_BOUNDS[1]),
                variance: (left + DRIFT_VARIANCE).min(VARIANCE_INITIAL),
            };
            if self.table.set_factor(serves, fill.image, factor) {
                self.changed.insert((serves, Some(fill.image)));
            }
        }
    }
}
