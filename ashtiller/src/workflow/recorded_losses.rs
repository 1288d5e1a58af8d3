//! Runs that were lost with their workers and count against their tasks, by worker: what a later
//! finding on the cause of the loss takes back.

use std::collections::{BTreeMap, VecDeque};

use crate::workflow::blame::LostRun;
use crate::workflow::incarnation::Incarnation;
use crate::workflow::record::Run;

/// Number of the recorded losses among the extensions of a snapshot.
pub const EXTENSION: u8 = 10;
/// Lost runs that are kept; each takes some 15 bytes of a snapshot.
const RUNS_MAX: usize = 4096;

/// Lost runs by worker. Those of the workers that were lost first are dropped first.
#[derive(Clone, Debug, Default)]
pub struct RecordedLosses {
    by_worker: BTreeMap<Incarnation, Vec<LostRun>>,
    /// Workers in the order in which they were first recorded.
    order: VecDeque<Incarnation>,
    /// Number of runs.
    count: usize,
}

impl RecordedLosses {
    /// Adds runs that were lost with a worker.
    pub fn add(&mut self, worker: &Incarnation, lost_runs: Vec<LostRun>) {
        if lost_runs.is_empty() {
            return;
        }
        self.count += lost_runs.len();
        let known = self.by_worker.entry(worker.clone());
        if let std::collections::btree_map::Entry::Vacant(_) = known {
            self.order.push_back(worker.clone());
        }
        known.or_default().extend(lost_runs);
        while self.count > RUNS_MAX
            && let Some(oldest) = self.order.pop_front()
        {
            let dropped = self.by_worker.remove(&oldest).unwrap_or_default();
            self.count -= dropped.len();
        }
    }

    /// Removes and returns these runs, which were lost with a worker.
    pub fn take(&mut self, worker: &Incarnation, runs: &[Run]) -> Vec<LostRun> {
        let Some(lost_runs) = self.by_worker.get_mut(worker) else {
            return Vec::new();
        };
        let taken = lost_runs.extract_if(.., |lost| runs.contains(&lost.run));
        let taken: Vec<LostRun> = taken.collect();
        self.count -= taken.len();
        if lost_runs.is_empty() {
            self.by_worker.remove(worker);
            self.order.retain(|other| other != worker);
        }
        taken
    }

    /// Discounts the loss of these runs with a worker, and returns them as they were.
    pub fn discount(&mut self, worker: &Incarnation, runs: &[Run]) -> Vec<LostRun> {
        let lost_runs = self.by_worker.get_mut(worker).into_iter().flatten();
        let mut former = Vec::new();
        for lost in lost_runs.filter(|lost| runs.contains(&lost.run)) {
            former.push(*lost);
            *lost = lost.discounted();
        }
        former
    }

    /// Reports whether runs are recorded as lost with a worker.
    #[must_use]
    pub fn contains(&self, worker: &Incarnation) -> bool {
        self.by_worker.contains_key(worker)
    }

    /// Returns the runs that are recorded as lost with a worker.
    #[must_use]
    pub fn of(&self, worker: &Incarnation) -> &[LostRun] {
        self.by_worker.get(worker).map_or(&[], Vec::as_slice)
    }

    /// Reports whether nothing is recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_worker.is_empty()
    }

    /// Encodes the runs for which `is_needed` holds, in the order of their workers.
    ///
    /// # Errors
    /// Fails if a value cannot be encoded.
    pub fn encode(&self, is_needed: impl Fn(&LostRun) -> bool) -> Result<Vec<u8>, postcard::Error> {
        let workers = self.order.iter();
        let workers = workers.filter_map(|worker| {
            let lost_runs = self.by_worker.get(worker)?.iter().copied();
            let lost_runs: Vec<LostRun> = lost_runs.filter(&is_needed).collect();
            (!lost_runs.is_empty()).then_some((worker, lost_runs))
        });
        let workers: Vec<(&Incarnation, Vec<LostRun>)> = workers.collect();
        postcard::to_stdvec(&workers)
    }

    /// Decodes what [`Self::encode`] returned.
    ///
    /// # Errors
    /// Fails if the bytes are no such value.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let workers: Vec<(Incarnation, Vec<LostRun>)> = postcard::from_bytes(bytes)?;
        let mut losses = Self::default();
        for (worker, lost_runs) in workers {
            losses.add(&worker, lost_runs);
        }
        Ok(losses)
    }
}
