//! Fencing tokens of the calls to each worker.
//!
//! An owner's epoch fences off calls of earlier owners. During its own term the owner raises the
//! fence of a worker after each failed call, so that whichever incarnation receives a later call
//! rejects the earlier ones: a worker that restarts under its id remembers none of them. Any store
//! revision at which the owner held the log can serve as the new fence, because the epoch of a
//! later owner is higher.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use crate::workflow::core::{Core, Now, incarnations};
use crate::workflow::incarnation::Incarnation;
use crate::workflow::worker::Worker;

/// Time after raising a fence during which replies to earlier calls may still arrive.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Limit of workers with a fence of their own; each takes some 100 bytes.
const RAISED_MAX: usize = 10_000;

/// A raised fence and the time at which it was raised.
#[derive(Clone, Copy, Debug)]
struct RaisedFence {
    fence: u64,
    at: Duration,
}

/// Fencing tokens of the calls to workers.
#[derive(Debug)]
pub(super) struct Fences {
    /// Lower bound of all fences, which applies where none was raised.
    floor: u64,
    /// Newest revision of the store that is lower than the epoch of any later owner.
    newest_revision: u64,
    /// Raised fences by worker id, since a call to any incarnation may reach the current one.
    raised: HashMap<Arc<str>, RaisedFence>,
    /// Ids of workers whose fence is to rise once there is a newer revision.
    pending: HashSet<Arc<str>>,
}

impl Fences {
    /// Returns the fences of an owner with this epoch.
    pub fn new(epoch: u64) -> Self {
        Self {
            floor: epoch,
            newest_revision: epoch,
            raised: HashMap::new(),
            pending: HashSet::new(),
        }
    }

    /// Returns the fence of calls to a worker.
    pub fn of(&self, incarnation: &Incarnation) -> u64 {
        let raised = self.raised.get(incarnation.id());
        raised.map_or(self.floor, |it| it.fence.max(self.floor))
    }

    fn raise(&mut self, incarnation: &Incarnation, now: Duration) {
        if self.newest_revision <= self.of(incarnation) {
            self.pending.insert(incarnation.id().into());
            return;
        }
        self.pending.remove(incarnation.id());
        if self.raised.len() >= RAISED_MAX {
            let fences = self.raised.values().map(|it| it.fence);
            self.floor = fences.fold(self.floor, u64::max);
            self.raised.clear();
        }
        let raised = RaisedFence {
            fence: self.newest_revision,
            at: now,
        };
        self.raised.insert(incarnation.id().into(), raised);
    }

    /// Raises the fences that had to wait for a newer revision.
    pub fn raise_pending(&mut self, now: Duration) {
        for id in std::mem::take(&mut self.pending) {
            self.raise(&Incarnation::new(&id, None), now);
        }
    }

    /// Returns whether a worker has answered a poll since its fence rose after the last failed
    /// call, and thus rejects all calls that have failed.
    pub fn rejects_earlier_calls(&self, worker: &Worker) -> bool {
        let incarnation = worker.incarnation();
        worker.answered_fence >= self.of(incarnation) && !self.pending.contains(incarnation.id())
    }

    /// Returns whether calls that the raised fence rejects may still be in flight.
    fn is_settling(&self, incarnation: &Incarnation, now: Duration) -> bool {
        let raised = self.raised.get(incarnation.id());
        raised.is_some_and(|it| now < it.at + SETTLE_TIME)
    }
}

impl Core {
    /// Records a store revision that is lower than the epoch of any later owner.
    pub fn note_revision(&mut self, revision: u64) {
        self.fences.newest_revision = self.fences.newest_revision.max(revision);
    }

    /// Raises the fence of a worker after a call that failed or that another incarnation answered.
    pub(super) fn raise_fence(&mut self, incarnation: &Incarnation, now: Now) {
        self.fences.raise(incarnation, now.at);
        // Another incarnation may have taken the worker's place, and it knows of no ended run.
        for id in incarnations::incarnations_of_id(&self.workers, incarnation.id()) {
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.ended_runs.clear();
            }
        }
    }

    /// Handles a call rejected for its fence. The worker knows a higher one: that of a later owner,
    /// or one of this owner whose call overtook the rejected one.
    pub(super) fn note_fenced_reply(&mut self, incarnation: &Incarnation, now: Now) {
        self.superseded |= !self.fences.is_settling(incarnation, now.at);
    }
}
