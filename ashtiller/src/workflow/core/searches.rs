//! Steps for which no worker was found, so that later rounds compare only workers that have changed
//! since.
//!
//! Most of the work of a busy owner would be to compare the same workers for the same steps again.
//! What a best-effort task costs a worker also follows from what is learned elsewhere, so all
//! workers are compared again at intervals.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::workflow::core::advice::StepKey;
use crate::workflow::core::plan::Demand;
use crate::workflow::core::{Core, Now};
use crate::workflow::incarnation::Incarnation;

/// Time after which all workers are compared again.
const FULL_SEARCH_INTERVAL: Duration = Duration::from_secs(1);

/// A search that found no worker.
#[derive(Clone, Debug)]
struct Search {
    demand: Demand,
    excluded: Option<Incarnation>,
    /// Number of the last collection of candidates that was searched.
    collection: u64,
    /// When all candidates were compared.
    full_at: Duration,
}

/// Searches that found no worker, by step.
#[derive(Debug, Default)]
pub(super) struct Searches(BTreeMap<StepKey, Search>);

impl Searches {
    /// Forgets the steps of a job.
    pub fn forget_job(&mut self, number: u32) {
        self.0.retain(|key, _| key.0 != number);
    }

    /// Forgets a step that found a worker.
    pub fn forget(&mut self, key: StepKey) {
        self.0.remove(&key);
    }
}

impl Core {
    /// Returns the number of the collection of candidates up to which workers that have not changed
    /// are known to be unsuitable for a step; 0 if that is known of none.
    pub(super) fn searched_collection(
        &self,
        key: StepKey,
        demand: &Demand,
        excluded: Option<&Incarnation>,
        now: Now,
    ) -> u64 {
        let search = self.searches.0.get(&key).filter(|search| {
            search.excluded.as_ref() == excluded
                && search.demand.is_within(demand)
                && now.at < search.full_at + FULL_SEARCH_INTERVAL
        });
        search.map_or(0, |search| search.collection)
    }

    /// Records that no worker was found for a step, among those that changed after the collection
    /// `since`.
    pub(super) fn note_search(
        &mut self,
        key: StepKey,
        demand: &Demand,
        excluded: Option<&Incarnation>,
        since: u64,
        now: Now,
    ) {
        let collection = self.collections;
        match self.searches.0.get_mut(&key) {
            Some(search) if since > 0 => search.collection = collection,
            _ => {
                let search = Search {
                    demand: demand.clone(),
                    excluded: excluded.cloned(),
                    collection,
                    full_at: now.at,
                };
                self.searches.0.insert(key, search);
            }
        }
    }
}
