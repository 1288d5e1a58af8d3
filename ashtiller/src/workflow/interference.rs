//! How much runs that fill disturb runs that serve, learned from workers' reports.
//!
//! A service's headroom is its latency target over its tail latency: 1 at the target,
//! and falling in a straight line with what the service is used to, by its own load and
//! by what fills beside it. Headrooms are kept as shares of the image's usual one
//! without fills, so that nothing depends on how far targets lie above idle tails. A fill
//! takes a share of it in proportion to the share of the worker's processors that it
//! uses, by a factor that belongs to the pair of images; a report corrects the factors
//! of all fills beside the service by what they fail to explain.

use std::collections::HashMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Usual headroom that is assumed of an image until its first report.
const USUAL_FIRST: f64 = 2.65;
/// Least usual headroom; a service that is always over its target has no room to share.
const USUAL_MIN: f64 = 0.2;
/// Factor that is assumed of a pair without reports; the mean of fitted pairs is 0.64.
const FACTOR_FIRST: f64 = 0.64;
/// Bounds of a factor.
const FACTOR: [f64; 2] = [0.09, 6.0];
/// Variance of a factor without reports; fitted pairs spread by 0.47.
const SPREAD_FIRST: f64 = 0.2225;
/// Variance of a report around what is known. Loads swing by a third, but half as much
/// was not worse in trials and learns sooner.
const NOISE: f64 = 0.036;
/// The same where the load is known from the job's other tasks.
const NOISE_KNOWN: f64 = 0.018;
/// Variance that a factor gains with each report, since pairs change.
const DRIFT: f64 = 7e-5;
/// Share of an error by which a report corrects the usual headroom of an image, at least;
/// the first reports count alike.
const USUAL_RATE: f64 = 0.02;

/// A run that fills, beside a run that serves.
#[derive(Clone, Copy, Debug)]
pub struct NeighborFill {
    /// Image.
    pub image: Image,
    /// Share of the worker's processors that it uses.
    pub share: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Factor {
    value: f64,
    variance: f64,
}

const FIRST: Factor = Factor {
    value: FACTOR_FIRST,
    variance: SPREAD_FIRST,
};

/// Usual headroom of an image without fills, and from how many reports.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Usual {
    value: f64,
    reports: u32,
}

const UNSEEN: Usual = Usual {
    value: USUAL_FIRST,
    reports: 0,
};

/// An image, by its number in this process.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Image(u32);

/// What was learned about pairs of images.
#[derive(Clone, Debug, Default)]
pub struct Interference {
    names: Vec<Arc<str>>,
    numbers: HashMap<Arc<str>, Image>,
    /// By the numbers of the image that serves and of that which fills.
    factors: Vec<Vec<Factor>>,
    /// By the number of the image that serves.
    usual: Vec<Usual>,
}

/// What a table holds for an image, with `first` for those that it lacks.
fn grow<T: Clone>(table: &mut Vec<T>, image: Image, first: T) -> &mut T {
    let place = image.0 as usize;
    if table.len() <= place {
        table.resize(place + 1, first);
    }
    &mut table[place]
}

impl Interference {
    /// Number of an image.
    pub fn number(&mut self, name: &Arc<str>) -> Image {
        if let Some(image) = self.numbers.get(name) {
            return *image;
        }
        let image = Image(u32::try_from(self.names.len()).unwrap_or(u32::MAX));
        self.names.push(name.clone());
        self.numbers.insert(name.clone(), image);
        image
    }

    /// Factor of a pair.
    #[must_use]
    pub fn factor(&self, serves: Image, fills: Image) -> f64 {
        self.known(serves, fills).value
    }

    fn known(&self, serves: Image, fills: Image) -> Factor {
        let row = self.factors.get(serves.0 as usize);
        let known = row.and_then(|row| row.get(fills.0 as usize));
        known.copied().unwrap_or(FIRST)
    }

    fn factor_mut(&mut self, serves: Image, fills: Image) -> &mut Factor {
        let row = grow(&mut self.factors, serves, Vec::new());
        grow(row, fills, FIRST)
    }

    fn usual(&self, serves: Image) -> Usual {
        self.usual.get(serves.0 as usize).copied().unwrap_or(UNSEEN)
    }

    /// Headroom of an image that answers this many times faster than its target, as a
    /// share of its usual one.
    #[must_use]
    pub fn headroom(&self, serves: Image, times: f64) -> f64 {
        times / self.usual(serves).value
    }

    /// Headroom of an image at its target, as a share of its usual one.
    #[must_use]
    pub fn floor(&self, serves: Image) -> f64 {
        1.0 / self.usual(serves).value
    }

    /// What fills beside an image take of its headroom.
    #[must_use]
    pub fn pressure(&self, serves: Image, beside: &[NeighborFill]) -> f64 {
        let each = |fill: &NeighborFill| self.factor(serves, fill.image) * fill.share;
        beside.iter().map(each).sum()
    }

    /// Learns how many times faster than its target an image answers without fills.
    fn learn_usual(&mut self, serves: Image, times: f64) {
        let usual = grow(&mut self.usual, serves, UNSEEN);
        usual.reports = usual.reports.saturating_add(1);
        let rate = USUAL_RATE;
        usual.value += rate * (times - usual.value);
        usual.value = usual.value.max(USUAL_MIN);
    }

    /// Learns from a report: how many times faster than its target an image answers
    /// beside these fills, and its headroom without them where that is known from
    /// elsewhere.
    pub fn learn(&mut self, serves: Image, times: f64, own: Option<f64>, beside: &[NeighborFill]) {
        if beside.is_empty() {
            self.learn_usual(serves, times);
            return;
        }
        let noise = if own.is_some() { NOISE_KNOWN } else { NOISE };
        let expected = own.unwrap_or(1.0) - self.pressure(serves, beside);
        let error = expected - self.headroom(serves, times);
        let each =
            |fill: &NeighborFill| fill.share * fill.share * self.known(serves, fill.image).variance;
        let spread = beside.iter().map(each).sum::<f64>() + noise;
        for fill in beside {
            let factor = self.factor_mut(serves, fill.image);
            let gain = factor.variance * fill.share / spread;
            factor.value = (factor.value + gain * error).clamp(FACTOR[0], FACTOR[1]);
            let left = factor.variance * (1.0 - gain * fill.share);
            factor.variance = (left + DRIFT).min(SPREAD_FIRST);
        }
    }

    /// What was learned, to be kept for a later owner.
    #[must_use]
    pub fn export(&self) -> Vec<LearnedFactor> {
        let rows = self.names.iter().zip(&self.factors);
        let pairs = rows.flat_map(|(serves, row)| {
            let pairs = self.names.iter().zip(row);
            pairs.map(move |(fills, factor)| (serves, fills, factor))
        });
        let learned = pairs.filter(|(_, _, factor)| **factor != FIRST);
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
        let mut lessons: Vec<LearnedFactor> = pairs.chain(alone).collect();
        lessons.sort_by(|one, two| (&one.serves, &one.fills).cmp(&(&two.serves, &two.fills)));
        lessons
    }

    /// Takes over what an earlier owner learned.
    pub fn import(&mut self, lessons: &[LearnedFactor]) {
        for lesson in lessons {
            let serves = self.number(&lesson.serves);
            if lesson.fills.is_empty() {
                *grow(&mut self.usual, serves, UNSEEN) = lesson.usual();
                continue;
            }
            let fills = self.number(&lesson.fills);
            *self.factor_mut(serves, fills) = Factor {
                value: lesson.factor,
                variance: lesson.variance,
            };
        }
    }
}

/// What was learned about one pair of images, or about one image by itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LearnedFactor {
    /// Image that serves.
    pub serves: Arc<str>,
    /// Image that fills; empty for a lesson about the image that serves by itself.
    pub fills: Arc<str>,
    /// Share of its headroom that a fill takes for each share of processors; by itself,
    /// the usual headroom: target over tail.
    pub factor: f64,
    /// Variance of that; by itself, one over the number of reports.
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
