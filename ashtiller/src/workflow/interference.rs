//! How much runs that fill disturb runs that serve, learned from workers' reports.
//!
//! A service whose tail latency is `t` without load answers at `t / (1 - u)` when it
//! is used to the share `u`. What fills beside it adds to `u` in proportion to the
//! share of the worker's processors that it uses, by a factor that belongs to the
//! pair of images. So a reported tail tells `u`, and the factors of all fills beside
//! it are corrected by what they fail to explain.

use std::collections::HashMap;
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
/// The same where the load is known from the job's other tasks.
const NOISE_KNOWN: f64 = 0.005;
/// Variance that a factor gains with each report, since pairs change.
const DRIFT: f64 = 2e-5;
/// Share of an error by which a report corrects the load of an image.
const LOAD_RATE: f64 = 0.02;

/// A run that fills, beside a run that serves.
#[derive(Clone, Copy, Debug)]
pub struct Beside {
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
    loads: Vec<f64>,
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

    /// Share of use by the own load of an image.
    #[must_use]
    pub fn load(&self, serves: Image) -> f64 {
        self.loads
            .get(serves.0 as usize)
            .copied()
            .unwrap_or(LOAD_FIRST)
    }

    /// What fills beside an image adds to its share of use.
    #[must_use]
    pub fn pressure(&self, serves: Image, beside: &[Beside]) -> f64 {
        let each = |fill: &Beside| self.factor(serves, fill.image) * fill.share;
        beside.iter().map(each).sum()
    }

    /// Learns from a report: the share of use of an image beside these fills, and its
    /// own load where that is known from elsewhere.
    pub fn learn(&mut self, serves: Image, used: f64, load: Option<f64>, beside: &[Beside]) {
        if beside.is_empty() {
            let load = grow(&mut self.loads, serves, LOAD_FIRST);
            *load += LOAD_RATE * (used - *load);
            return;
        }
        let noise = if load.is_some() { NOISE_KNOWN } else { NOISE };
        let load = load.unwrap_or_else(|| self.load(serves));
        let error = used - load - self.pressure(serves, beside);
        let each =
            |fill: &Beside| fill.share * fill.share * self.known(serves, fill.image).variance;
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
    pub fn export(&self) -> Vec<Lesson> {
        let rows = self.names.iter().zip(&self.factors);
        let pairs = rows.flat_map(|(serves, row)| {
            let pairs = self.names.iter().zip(row);
            pairs.map(move |(fills, factor)| (serves, fills, factor))
        });
        let learned = pairs.filter(|(_, _, factor)| **factor != FIRST);
        let mut lessons: Vec<Lesson> = learned
            .map(|(serves, fills, factor)| Lesson {
                serves: serves.clone(),
                fills: fills.clone(),
                factor: factor.value,
                variance: factor.variance,
            })
            .collect();
        lessons.sort_by(|one, two| (&one.serves, &one.fills).cmp(&(&two.serves, &two.fills)));
        lessons
    }

    /// Takes over what an earlier owner learned.
    pub fn import(&mut self, lessons: &[Lesson]) {
        for lesson in lessons {
            let factor = Factor {
                value: lesson.factor,
                variance: lesson.variance,
            };
            let (serves, fills) = (self.number(&lesson.serves), self.number(&lesson.fills));
            *self.factor_mut(serves, fills) = factor;
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
