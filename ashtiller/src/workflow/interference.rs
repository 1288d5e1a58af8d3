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

use std::collections::HashMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

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

/// Image, as an index that is valid in this process only.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Image(u32);

/// Learned factors of image pairs and usual headrooms of images.
#[derive(Clone, Debug, Default)]
pub struct Interference {
    names: Vec<Arc<str>>,
    numbers: HashMap<Arc<str>, Image>,
    /// Factors by latency-sensitive image, then by best-effort image.
    factors: Vec<Vec<Factor>>,
    /// Usual headrooms by latency-sensitive image.
    usual: Vec<Usual>,
}

/// Returns the table's entry of an image; missing entries are filled with `first`.
fn entry_or_insert<T: Clone>(table: &mut Vec<T>, image: Image, first: T) -> &mut T {
    let place = image.0 as usize;
    if table.len() <= place {
        table.resize(place + 1, first);
    }
    &mut table[place]
}

impl Interference {
    /// Returns the index of an image name, and assigns one to a new name.
    pub fn number(&mut self, name: &Arc<str>) -> Image {
        if let Some(image) = self.numbers.get(name) {
            return *image;
        }
        let image = Image(u32::try_from(self.names.len()).unwrap_or(u32::MAX));
        self.names.push(name.clone());
        self.numbers.insert(name.clone(), image);
        image
    }

    /// Returns the interference factor of a pair.
    #[must_use]
    pub fn factor(&self, serves: Image, fills: Image) -> f64 {
        self.known(serves, fills).value
    }

    fn known(&self, serves: Image, fills: Image) -> Factor {
        let row = self.factors.get(serves.0 as usize);
        let known = row.and_then(|row| row.get(fills.0 as usize));
        known.copied().unwrap_or(FACTOR_UNKNOWN)
    }

    fn factor_mut(&mut self, serves: Image, fills: Image) -> &mut Factor {
        let row = entry_or_insert(&mut self.factors, serves, Vec::new());
        entry_or_insert(row, fills, FACTOR_UNKNOWN)
    }

    fn usual(&self, serves: Image) -> Usual {
        self.usual
            .get(serves.0 as usize)
            .copied()
            .unwrap_or(USUAL_UNKNOWN)
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
        let usual = entry_or_insert(&mut self.usual, serves, USUAL_UNKNOWN);
        usual.reports = usual.reports.saturating_add(1);
        let rate = USUAL_RATE;
        usual.value += rate * (ratio - usual.value);
        usual.value = usual.value.max(USUAL_MIN);
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
            let factor = self.factor_mut(serves, fill.image);
            let gain = factor.variance * fill.share / spread;
            factor.value = (factor.value + gain * error).clamp(FACTOR_BOUNDS[0], FACTOR_BOUNDS[1]);
            let left = factor.variance * (1.0 - gain * fill.share);
            factor.variance = (left + DRIFT_VARIANCE).min(VARIANCE_INITIAL);
        }
    }

    /// Returns all learned factors, to be stored for a later owner.
    #[must_use]
    pub fn export(&self) -> Vec<LearnedFactor> {
        let rows = self.names.iter().zip(&self.factors);
        let pairs = rows.flat_map(|(serves, row)| {
            let pairs = self.names.iter().zip(row);
            pairs.map(move |(fills, factor)| (serves, fills, factor))
        });
        let learned = pairs.filter(|(_, _, factor)| **factor != FACTOR_UNKNOWN);
        let pairs = learned.map(|(serves, fills, factor)| LearnedFactor {
            serves: serves.clone(),
            fills: fills.clone(),
            factor: factor.value,
            variance: factor.variance,
        });
        let alone = self.names.iter().zip(&self.usual);
        let seen = alone.filter(|(_, usual)| usual.reports > 0);
        let alone = seen.map(|(serves, usual)| LearnedFactor {
            serves: serves.clone(),
            fills: Arc::from(""),
            factor: usual.value,
            variance: 1.0 / f64::from(usual.reports),
        });
        let mut factors: Vec<LearnedFactor> = pairs.chain(alone).collect();
        factors.sort_by(|one, two| (&one.serves, &one.fills).cmp(&(&two.serves, &two.fills)));
        factors
    }

    /// Imports the factors that an earlier owner learned.
    pub fn import(&mut self, factors: &[LearnedFactor]) {
        for learned in factors {
            let serves = self.number(&learned.serves);
            if learned.fills.is_empty() {
                *entry_or_insert(&mut self.usual, serves, USUAL_UNKNOWN) = learned.usual();
                continue;
            }
            let fills = self.number(&learned.fills);
            *self.factor_mut(serves, fills) = Factor {
                value: learned.factor,
                variance: learned.variance,
            };
        }
    }
}

/// Learned factor of a pair of images, or usual headroom of one image.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LearnedFactor {
    /// Latency-sensitive image.
    pub serves: Arc<str>,
    /// Best-effort image; empty for the usual headroom of the latency-sensitive image.
    pub fills: Arc<str>,
    /// Share of the headroom that a best-effort run takes for each share of processors; for a
    /// single image, its usual headroom: target divided by tail latency.
    pub factor: f64,
    /// Variance of the factor; for a single image, one divided by the number of reports.
    pub variance: f64,
}

impl LearnedFactor {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a count, which was a u32"
    )]
    fn usual(&self) -> Usual {
        Usual {
            value: self.factor.max(USUAL_MIN),
            reports: (1.0 / self.variance.max(1e-9)).round() as u32,
        }
    }
}
