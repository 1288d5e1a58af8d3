//! When this process learned of the newest owners of the log.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Moment;

/// Owners that are remembered. A forgotten one counts as unknown.
const OWNERS_MAX: usize = 32;

/// The newest owners by epoch, and when each became known.
#[derive(Debug, Default)]
pub struct OwnerHistory(VecDeque<(u64, Moment)>);

impl OwnerHistory {
    /// Records that the owner at `epoch` is known, which is later than all before.
    pub fn note(&mut self, epoch: u64, at: Moment) {
        if self.0.len() >= OWNERS_MAX {
            self.0.pop_front();
        }
        self.0.push_back((epoch, at));
    }

    /// Returns the epochs of the known owners, and for how long each has been known.
    #[must_use]
    pub fn ages(&self) -> Vec<(u64, Duration)> {
        let owners = self.0.iter();
        owners.map(|(epoch, at)| (*epoch, at.elapsed())).collect()
    }
}
