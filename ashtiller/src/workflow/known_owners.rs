//! How long owners of the log have been known, as the log tells it to later owners.
//!
//! There is no common clock, but a duration that one owner has measured is a lower bound for every
//! later reader. So an owner that has just started its process knows the age of the owners before it,
//! and of the records between two of these durations.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Owners that are kept. A forgotten one counts as unknown.
const OWNERS_MAX: usize = 32;

/// The newest owners by epoch, and for how many milliseconds each had been known at least.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct KnownOwners {
    ages: BTreeMap<u64, u64>,
    /// Epoch of the newest owner that recorded ages, and its own age then.
    writer: (u64, u64),
    /// Milliseconds for which owners held the log between the first and the last of these records, at
    /// least.
    held: u64,
}

impl KnownOwners {
    /// Reports whether no owner is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ages.is_empty()
    }

    /// Adds ages that the owner at epoch `writer` has recorded; returns true if they are its first.
    pub fn note(&mut self, writer: u64, ages: &[(u64, u64)]) -> bool {
        for (epoch, age) in ages {
            let known = self.ages.entry(*epoch).or_default();
            *known = (*known).max(*age);
        }
        while self.ages.len() > OWNERS_MAX {
            self.ages.pop_first();
        }
        let own = ages.iter().find(|(epoch, _)| *epoch == writer);
        let own = own.map_or(0, |(_, age)| *age);
        let (last, before) = self.writer;
        if writer < last {
            return false;
        }
        let is_first = writer > last;
        // An owner writes nothing more once a later one is known.
        self.held += if is_first {
            own
        } else {
            own.saturating_sub(before)
        };
        self.writer = (writer, if is_first { own } else { own.max(before) });
        is_first
    }

    /// Returns for how many milliseconds owners held the log until the last record, at least.
    #[must_use]
    pub fn held(&self) -> u64 {
        self.held
    }

    /// Returns the epochs of the owners, and for how long each had been known.
    pub fn ages(&self) -> impl Iterator<Item = (u64, Duration)> {
        let ages = self.ages.iter();
        ages.map(|(epoch, age)| (*epoch, Duration::from_millis(*age)))
    }
}
