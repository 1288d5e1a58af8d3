//! The fence of calls to each worker.
//!
//! An owner's epoch keeps out calls of earlier owners. Within its own time it raises the fence at a
//! worker after each call that failed, so that whatever life takes a later one carries out none of
//! before: a worker that starts again under its id knows nothing of them. Any revision of the store
//! at which the owner held the log will do: a later owner's epoch is higher.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::workflow::core::{Core, Now};
use crate::workflow::incarnation::Incarnation;

/// Time after a fence rose for which answers to calls of before come.
const SETTLES: Duration = Duration::from_secs(3);
/// Workers whose fences are kept apart; some 100 bytes each.
const APART_MAX: usize = 10_000;

/// A fence that has risen.
#[derive(Clone, Copy, Debug)]
struct Raised {
    fence: u64,
    at: Duration,
}

/// Fences of the calls to workers.
#[derive(Debug)]
pub(super) struct Fences {
    /// Fence where none has risen.
    least: u64,
    /// Newest revision of the store that is lower than the epoch of any later owner.
    newest: u64,
    /// By the worker's id: calls to any of its lives may come to the one that is there.
    raised: HashMap<Arc<str>, Raised>,
}

impl Fences {
    /// Those of an owner at this epoch.
    pub fn new(epoch: u64) -> Self {
        Self {
            least: epoch,
            newest: epoch,
            raised: HashMap::new(),
        }
    }

    /// The fence of calls to a worker.
    pub fn of(&self, life: &Incarnation) -> u64 {
        let raised = self.raised.get(life.id());
        raised.map_or(self.least, |it| it.fence.max(self.least))
    }

    fn raise(&mut self, life: &Incarnation, now: Duration) {
        if self.newest <= self.of(life) {
            return;
        }
        if self.raised.len() >= APART_MAX {
            let fences = self.raised.values().map(|it| it.fence);
            self.least = fences.fold(self.least, u64::max);
            self.raised.clear();
        }
        let raised = Raised {
            fence: self.newest,
            at: now,
        };
        self.raised.insert(life.id().into(), raised);
    }

    /// Whether calls to a worker may be under way that its risen fence keeps out.
    fn is_settling(&self, life: &Incarnation, now: Duration) -> bool {
        let raised = self.raised.get(life.id());
        raised.is_some_and(|it| now < it.at + SETTLES)
    }
}

impl Core {
    /// A revision of the store was seen that is lower than the epoch of any later owner.
    pub fn note_revision(&mut self, revision: u64) {
        self.fences.newest = self.fences.newest.max(revision);
    }

    /// A call to a worker failed, or was answered by another life than the one that was meant.
    pub(super) fn raise_fence(&mut self, life: &Incarnation, now: Now) {
        self.fences.raise(life, now.at);
    }

    /// A worker knows a higher fence than that of a call: a later owner's, or one of this owner
    /// that passed the call on its way.
    pub(super) fn note_fenced_reply(&mut self, life: &Incarnation, now: Now) {
        self.superseded |= !self.fences.is_settling(life, now.at);
    }
}
