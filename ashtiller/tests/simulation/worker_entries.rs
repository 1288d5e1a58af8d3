//! Entries of workers in the store, and the delays with which owners read them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use ashtiller::workflow::config::ListedWorker;
use ashtiller::workflow::core::{Core, Now};

/// Time for which a draining worker still accepts starts.
const DRAIN_GRACE: Duration = Duration::from_secs(2);

/// Entries of workers, and all changes to them in order.
#[derive(Default)]
pub struct WorkerEntries {
    entries: BTreeMap<Arc<str>, ListedWorker>,
    changes: Vec<Change>,
    /// Times at which workers began to drain.
    draining_since: BTreeMap<Arc<str>, Duration>,
}

enum Change {
    Put(ListedWorker),
    Removed(Arc<str>),
}

/// Position of an owner in the changes.
#[derive(Clone, Copy, Default)]
pub struct Watch {
    /// Number of changes that the owner has read.
    read: usize,
    /// Time until which the owner reads no changes.
    pub silent_until: Duration,
    /// Whether the history is compacted meanwhile, so that the owner reads a list instead.
    pub compacted: bool,
}

impl WorkerEntries {
    pub fn put(&mut self, listed: ListedWorker) {
        self.entries
            .insert(listed.incarnation.id().into(), listed.clone());
        self.changes.push(Change::Put(listed));
    }

    /// Replaces a worker's entry, but keeps its drain state.
    pub fn change(&mut self, listed: ListedWorker) {
        let Some(entry) = self.entries.get(listed.incarnation.id()) else {
            return;
        };
        let (draining, remaining) = (entry.draining, entry.remaining);
        self.put(ListedWorker {
            draining,
            remaining,
            ..listed
        });
    }

    pub fn remove(&mut self, id: &Arc<str>) {
        self.entries.remove(id);
        self.changes.push(Change::Removed(id.clone()));
    }

    /// Marks a worker as draining; returns false if it was before or has no entry.
    pub fn drain(&mut self, id: &Arc<str>, now: Duration) -> bool {
        let Some(entry) = self.entries.get(id).filter(|entry| !entry.draining) else {
            return false;
        };
        let listed = ListedWorker {
            draining: true,
            remaining: Some(DRAIN_GRACE),
            ..entry.clone()
        };
        self.draining_since.insert(id.clone(), now);
        self.put(listed);
        true
    }

    /// Replaces the entry of a restarted worker, which does not drain any more.
    pub fn restart(&mut self, listed: ListedWorker) {
        self.draining_since.remove(listed.incarnation.id());
        self.put(listed);
    }

    /// Returns whether a worker is listed and does not drain.
    pub fn is_open(&self, id: &Arc<str>) -> bool {
        self.entries.get(id).is_some_and(|entry| !entry.draining)
    }

    /// Returns whether a worker must get no starts, because it has been draining for long.
    pub fn refuses_starts(&self, id: &Arc<str>, now: Duration) -> bool {
        let since = self.draining_since.get(id);
        since.is_some_and(|since| now > *since + DRAIN_GRACE)
    }

    /// Sends the list of all workers to an owner.
    pub fn list(&self, core: &mut Core, now: Now) -> Watch {
        core.list_all(self.entries.values().cloned().collect(), now);
        core.note_complete_listing(now.at);
        Watch {
            read: self.changes.len(),
            ..Watch::default()
        }
    }

    /// Sends the changes that an owner has not read, unless its watch is silent.
    pub fn send_changes(&self, watch: Watch, core: &mut Core, now: Now) -> Watch {
        if now.at < watch.silent_until {
            return watch;
        }
        if watch.compacted {
            return self.list(core, now);
        }
        for change in &self.changes[watch.read..] {
            match change {
                Change::Put(listed) => core.list_worker(listed.clone(), now),
                Change::Removed(id) => core.unlist_id(id, now),
            }
        }
        core.note_complete_listing(now.at);
        Watch {
            read: self.changes.len(),
            ..watch
        }
    }
}
