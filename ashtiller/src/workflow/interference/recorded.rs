//! Learned interference in log records and snapshots.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::workflow::interference::{Factor, Image, Interference, USUAL_MIN, Usual};

/// Size limit of one record in bytes. What does not fit follows in the next one.
pub const RECORD_BYTES_MAX: usize = 32 << 10;
/// Encoded bytes of a value, at most: two indexes and two numbers.
const VALUE_BYTES: usize = 18;
/// Encoded bytes of the length of a name, at most.
const LENGTH_BYTES: usize = 5;

/// Learned values, with each image name once. Values refer to names by their index.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct FactorTable {
    /// Names of images.
    images: Vec<Arc<str>>,
    /// Image, its usual headroom and the number of reports behind it.
    usual: Vec<(u32, f32, u32)>,
    /// Latency-sensitive image, best-effort image, factor and its variance.
    factors: Vec<(u32, u32, f32, f32)>,
}

/// Builds a table, and assigns an index to each image that it names.
struct Builder<'a> {
    interference: &'a Interference,
    table: FactorTable,
    indexes: BTreeMap<Image, u32>,
    bytes: usize,
}

impl<'a> Builder<'a> {
    fn new(interference: &'a Interference) -> Self {
        Self {
            interference,
            table: FactorTable::default(),
            indexes: BTreeMap::new(),
            bytes: 0,
        }
    }

    /// Returns the bytes by which the table grows with a value that names these images.
    fn growth(&self, images: &[Image]) -> usize {
        let new = images.iter().filter(|it| !self.indexes.contains_key(it));
        let names = new.filter_map(|image| self.interference.table.name(*image));
        let names: usize = names.map(|name| name.len() + LENGTH_BYTES).sum();
        names + VALUE_BYTES
    }

    fn index(&mut self, image: Image) -> Option<u32> {
        if let Some(index) = self.indexes.get(&image) {
            return Some(*index);
        }
        let name = self.interference.table.name(image)?.clone();
        let index = u32::try_from(self.table.images.len()).ok()?;
        self.bytes += name.len() + LENGTH_BYTES;
        self.table.images.push(name);
        self.indexes.insert(image, index);
        Some(index)
    }

    #[expect(clippy::cast_possible_truncation, reason = "learned values are rough")]
    fn add_usual(&mut self, image: Image, usual: Usual) {
        if let Some(index) = self.index(image) {
            self.bytes += VALUE_BYTES;
            let value = usual.value as f32;
            self.table.usual.push((index, value, usual.reports));
        }
    }

    #[expect(clippy::cast_possible_truncation, reason = "learned values are rough")]
    fn add_factor(&mut self, serves: Image, fills: Image, factor: Factor) {
        if let (Some(serves), Some(fills)) = (self.index(serves), self.index(fills)) {
            self.bytes += VALUE_BYTES;
            let (value, variance) = (factor.value as f32, factor.variance as f32);
            self.table.factors.push((serves, fills, value, variance));
        }
    }

    /// Adds the present value of a changed entry; returns false if the record has no room for it.
    fn add_change(&mut self, change: (Image, Option<Image>)) -> bool {
        let table = &self.interference.table;
        let (serves, fills) = change;
        let growth = self.growth(&[serves, fills.unwrap_or(serves)]);
        if self.bytes + growth > RECORD_BYTES_MAX {
            return false;
        }
        // A value that was forgotten since is left out.
        match fills {
            None => {
                if let Some(usual) = table.usual(serves) {
                    self.add_usual(serves, usual);
                }
            }
            Some(fills) => {
                if let Some(factor) = table.factor(serves, fills) {
                    self.add_factor(serves, fills, factor);
                }
            }
        }
        true
    }
}

impl Interference {
    /// Returns all learned values, those used longest ago first.
    #[must_use]
    pub fn export(&self) -> FactorTable {
        let mut builder = Builder::new(self);
        for (image, usual) in self.table.usuals() {
            builder.add_usual(image, usual);
        }
        for (serves, fills, factor) in self.table.factors() {
            builder.add_factor(serves, fills, factor);
        }
        builder.table
    }

    /// Returns values that have changed since their last record, as many as one record holds, and counts
    /// them as recorded. None if nothing has changed.
    pub fn take_changed(&mut self) -> Option<FactorTable> {
        let after = self.next_change.map_or(Bound::Unbounded, Bound::Included);
        let changed = self.changed.range((after, Bound::Unbounded));
        let before = self
            .next_change
            .map_or(Bound::Excluded((Image(0), None)), Bound::Excluded);
        let changed = changed.chain(self.changed.range((Bound::Unbounded, before)));
        let mut builder = Builder::new(self);
        let mut taken = Vec::new();
        let mut next = None;
        for change in changed {
            if !builder.add_change(*change) {
                next = Some(*change);
                break;
            }
            taken.push(*change);
        }
        let table = builder.table;
        self.next_change = next;
        for change in taken {
            self.changed.remove(&change);
        }
        (!table.images.is_empty()).then_some(table)
    }

    /// Adds the values of a table. Those that refer to no name are skipped.
    pub fn import(&mut self, table: &FactorTable) {
        let images: Vec<Image> = table.images.iter().map(|it| self.number(it)).collect();
        let image = |index: &u32| images.get(*index as usize).copied();
        for (index, value, reports) in &table.usual {
            if let Some(serves) = image(index) {
                self.import_usual(serves, f64::from(*value), *reports);
            }
        }
        for (serves, fills, value, variance) in &table.factors {
            if let (Some(serves), Some(fills)) = (image(serves), image(fills)) {
                self.import_factor(serves, fills, f64::from(*value), f64::from(*variance));
            }
        }
    }

    /// Adds the values of a record or snapshot of an earlier version.
    pub fn import_earlier(&mut self, factors: &[LearnedFactor]) {
        for learned in factors {
            let serves = self.number(&learned.serves);
            if learned.fills.is_empty() {
                self.import_usual(serves, learned.factor, learned.reports());
            } else {
                let fills = self.number(&learned.fills);
                self.import_factor(serves, fills, learned.factor, learned.variance);
            }
        }
    }

    fn import_usual(&mut self, serves: Image, value: f64, reports: u32) {
        if value.is_finite() {
            let value = value.max(USUAL_MIN);
            self.table.set_usual(serves, Usual { value, reports });
        }
    }

    fn import_factor(&mut self, serves: Image, fills: Image, value: f64, variance: f64) {
        if value.is_finite() && variance.is_finite() {
            let factor = Factor { value, variance };
            self.table.set_factor(serves, fills, factor);
        }
    }

    /// Returns whether nothing was learned.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }
}

/// Learned factor of a pair of images, or usual headroom of one image, as earlier versions record them.
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
    fn reports(&self) -> u32 {
        (1.0 / self.variance.max(1e-9)).round() as u32
    }
}
