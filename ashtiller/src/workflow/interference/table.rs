//! Table of images, factors and usual headrooms with a limit in bytes.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::workflow::interference::{Factor, Image, Usual};

/// Limit of the table in bytes, as it is encoded in a snapshot.
pub const BYTES_MAX: usize = 512 << 10;
/// Part of the limit that is left when the table was over it.
const BYTES_KEPT: usize = BYTES_MAX / 4 * 3;
/// Encoded bytes of an image beside its name, and of a pair of images.
const IMAGE_BYTES: usize = 16;
const PAIR_BYTES: usize = 16;

/// A value, and the count of uses of the table when it was last used.
#[derive(Clone, Copy, Debug)]
struct Used<T> {
    value: T,
    at: u64,
}

#[derive(Clone, Debug)]
struct Row {
    name: Arc<str>,
    /// Count of uses when the image was last used.
    at: u64,
    usual: Option<Usual>,
    /// Factors by best-effort image.
    factors: BTreeMap<Image, Used<Factor>>,
}

/// Images by number, each with what was learned of it as a latency-sensitive image.
#[derive(Clone, Debug, Default)]
pub(super) struct Table {
    numbers: HashMap<Arc<str>, Image>,
    rows: BTreeMap<Image, Row>,
    next: u32,
    uses: u64,
    bytes: usize,
}

impl Table {
    /// Returns the number of an image name, and assigns one to a new name. Numbers are not reused.
    pub fn number(&mut self, name: &Arc<str>) -> Image {
        self.uses += 1;
        if let Some(image) = self.numbers.get(name) {
            if let Some(row) = self.rows.get_mut(image) {
                row.at = self.uses;
            }
            return *image;
        }
        self.make_room(name.len() + IMAGE_BYTES);
        let image = Image(self.next);
        self.next = self.next.wrapping_add(1);
        self.numbers.insert(name.clone(), image);
        let row = Row {
            name: name.clone(),
            at: self.uses,
            usual: None,
            factors: BTreeMap::new(),
        };
        self.bytes += row_bytes(&row);
        self.rows.insert(image, row);
        image
    }

    /// Returns an estimate of the encoded bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the name of an image.
    pub fn name(&self, image: Image) -> Option<&Arc<str>> {
        self.rows.get(&image).map(|row| &row.name)
    }

    pub fn usual(&self, serves: Image) -> Option<Usual> {
        self.rows.get(&serves)?.usual
    }

    pub fn factor(&self, serves: Image, fills: Image) -> Option<Factor> {
        let factor = self.rows.get(&serves)?.factors.get(&fills)?;
        Some(factor.value)
    }

    /// Sets the usual headroom of an image; returns false if the image is forgotten.
    pub fn set_usual(&mut self, serves: Image, usual: Usual) -> bool {
        self.uses += 1;
        let Some(row) = self.rows.get_mut(&serves) else {
            return false;
        };
        row.at = self.uses;
        row.usual = Some(usual);
        true
    }

    /// Sets the factor of a pair; returns false if one of the images is forgotten.
    pub fn set_factor(&mut self, serves: Image, fills: Image, factor: Factor) -> bool {
        self.uses += 1;
        let at = self.uses;
        for image in [serves, fills] {
            let Some(row) = self.rows.get_mut(&image) else {
                return false;
            };
            row.at = at;
        }
        if self.factor(serves, fills).is_none() {
            self.make_room(PAIR_BYTES);
            self.bytes += PAIR_BYTES;
        }
        let Some(row) = self.rows.get_mut(&serves) else {
            return false;
        };
        row.factors.insert(fills, Used { value: factor, at });
        true
    }

    /// Returns whether no value was set.
    pub fn is_empty(&self) -> bool {
        let mut rows = self.rows.values();
        rows.all(|row| row.usual.is_none() && row.factors.is_empty())
    }

    /// Returns the images with a usual headroom, those used longest ago first.
    pub fn usuals(&self) -> Vec<(Image, Usual)> {
        let rows = self.rows.iter();
        let mut usuals: Vec<_> = rows
            .filter_map(|(image, row)| Some((row.at, *image, row.usual?)))
            .collect();
        usuals.sort_unstable_by_key(|(at, image, _)| (*at, *image));
        usuals
            .into_iter()
            .map(|(_, image, it)| (image, it))
            .collect()
    }

    /// Returns the factors by pair, those used longest ago first.
    pub fn factors(&self) -> Vec<(Image, Image, Factor)> {
        let mut factors: Vec<(u64, Image, Image, Factor)> = Vec::new();
        for (serves, row) in &self.rows {
            let pairs = row.factors.iter();
            factors.extend(pairs.map(|(fills, it)| (it.at, *serves, *fills, it.value)));
        }
        factors.sort_unstable_by_key(|(at, serves, fills, _)| (*at, *serves, *fills));
        let factors = factors.into_iter();
        factors
            .map(|(_, serves, fills, it)| (serves, fills, it))
            .collect()
    }

    /// Forgets what was not used for longest if the table would grow beyond its limit by `bytes`.
    fn make_room(&mut self, bytes: usize) {
        if self.bytes + bytes <= BYTES_MAX {
            return;
        }
        // An image goes after the pairs that it is part of, as it was used whenever they were.
        let mut sizes: Vec<(u64, usize)> = Vec::new();
        for row in self.rows.values() {
            sizes.push((row.at, row.name.len() + IMAGE_BYTES));
            sizes.extend(row.factors.values().map(|it| (it.at, PAIR_BYTES)));
        }
        sizes.sort_unstable();
        let mut left = self.bytes;
        let mut limit = 0;
        for (at, size) in sizes {
            if left + bytes <= BYTES_KEPT {
                break;
            }
            left -= size;
            limit = at + 1;
        }
        self.forget_before(limit);
    }

    /// Forgets what was last used before the use with this count.
    fn forget_before(&mut self, limit: u64) {
        let numbers = &mut self.numbers;
        self.rows.retain(|_, row| {
            let is_kept = row.at >= limit;
            if !is_kept {
                numbers.remove(&row.name);
            }
            is_kept
        });
        for row in self.rows.values_mut() {
            row.factors.retain(|_, factor| factor.at >= limit);
        }
        self.bytes = self.rows.values().map(row_bytes).sum();
    }
}

fn row_bytes(row: &Row) -> usize {
    row.name.len() + IMAGE_BYTES + row.factors.len() * PAIR_BYTES
}
