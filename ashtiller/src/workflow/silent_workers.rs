//! Which workers an owner has not granted a lease to, as the log tells it to later owners.
//!
//! An owner grants a worker no lease before the worker has answered it. While a worker with runs does not
//! answer, its owner records that it has granted it none, and it records the opposite before its first
//! grant. So a later owner knows which owner may have renewed the leases of a worker last.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Owners that are kept. A forgotten one counts as one that may have granted leases to all workers.
const OWNERS_MAX: usize = 32;
/// Workers that are recorded for one owner; each takes some 20 bytes of a log entry. The others count as
/// workers that it may have granted leases to.
const WORKERS_MAX: usize = 1000;

/// Ids of the workers that each of the newest owners has granted no lease to, by the owner's epoch.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct SilentWorkers {
    by_owner: BTreeMap<u64, BTreeSet<Arc<str>>>,
}

impl SilentWorkers {
    /// Reports whether nothing is recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_owner.is_empty()
    }

    /// Records that the owner at `epoch` has granted no lease to these workers.
    pub fn add(&mut self, epoch: u64, workers: &[Arc<str>]) {
        let silent = self.by_owner.entry(epoch).or_default();
        silent.extend(workers.iter().cloned());
        while self.by_owner.len() > OWNERS_MAX {
            self.by_owner.pop_first();
        }
    }

    /// Records that the owner at `epoch` may grant leases to a worker from now on.
    pub fn remove(&mut self, epoch: u64, worker: &str) {
        let Some(silent) = self.by_owner.get_mut(&epoch) else {
            return;
        };
        silent.remove(worker);
        if silent.is_empty() {
            self.by_owner.remove(&epoch);
        }
    }

    /// Drops what is recorded of the owners before `epoch`.
    pub fn forget_before(&mut self, epoch: u64) {
        self.by_owner = self.by_owner.split_off(&epoch);
    }

    /// Reports whether the owner at `epoch` is known to have granted no lease to a worker.
    #[must_use]
    pub fn contains(&self, epoch: u64, worker: &str) -> bool {
        let silent = self.by_owner.get(&epoch);
        silent.is_some_and(|silent| silent.contains(worker))
    }

    /// Returns how many more workers may be recorded for the owner at `epoch`.
    #[must_use]
    pub fn room(&self, epoch: u64) -> usize {
        let silent = self.by_owner.get(&epoch).map_or(0, BTreeSet::len);
        WORKERS_MAX.saturating_sub(silent)
    }
}
