//! What workers say of themselves in the store, and how late owners hear of it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use ashtiller::workflow::config::ListedWorker;
use ashtiller::workflow::core::{Core, Now};

/// Time after its word that it drains for which a worker still takes starts.
const DRAIN: Duration = Duration::from_secs(2);

/// Changes of workers' entries, in order.
#[derive(Default)]
pub struct News {
    entries: BTreeMap<Arc<str>, ListedWorker>,
    changes: Vec<Change>,
    /// Since when workers drain.
    drained: BTreeMap<Arc<str>, Duration>,
}

enum Change {
    Put(ListedWorker),
    Gone(Arc<str>),
}

/// How an owner hears of changes.
#[derive(Clone, Copy, Default)]
pub struct Channel {
    /// Changes that it has heard.
    heard: usize,
    /// Until when it hears nothing.
    pub silent: Duration,
    /// Whether history is gone when it hears again: it gets a list.
    pub compacted: bool,
}

impl News {
    pub fn put(&mut self, listed: ListedWorker) {
        self.entries
            .insert(listed.incarnation.id().into(), listed.clone());
        self.changes.push(Change::Put(listed));
    }

    /// A worker says something else of itself, but that it drains.
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
        self.changes.push(Change::Gone(id.clone()));
    }

    /// A worker says that it drains; false if it did before.
    pub fn drain(&mut self, id: &Arc<str>, now: Duration) -> bool {
        let Some(entry) = self.entries.get(id).filter(|entry| !entry.draining) else {
            return false;
        };
        let listed = ListedWorker {
            draining: true,
            remaining: Some(DRAIN),
            ..entry.clone()
        };
        self.drained.insert(id.clone(), now);
        self.put(listed);
        true
    }

    /// A worker has started again and does not drain any more.
    pub fn restart(&mut self, listed: ListedWorker) {
        self.drained.remove(listed.incarnation.id());
        self.put(listed);
    }

    /// Whether a worker takes no start any more.
    pub fn is_over(&self, id: &Arc<str>, now: Duration) -> bool {
        let since = self.drained.get(id);
        since.is_some_and(|since| now > *since + DRAIN)
    }

    /// Lists all workers for an owner.
    pub fn list(&self, core: &mut Core, now: Now) -> Channel {
        core.list_all(self.entries.values().cloned().collect(), now);
        core.note_complete_listing(now.at);
        Channel {
            heard: self.changes.len(),
            ..Channel::default()
        }
    }

    /// Tells an owner what it has not heard, unless its channel is silent.
    pub fn tell(&self, channel: Channel, core: &mut Core, now: Now) -> Channel {
        if now.at < channel.silent {
            return channel;
        }
        if channel.compacted {
            return self.list(core, now);
        }
        for change in &self.changes[channel.heard..] {
            match change {
                Change::Put(listed) => core.list_worker(listed.clone(), now),
                Change::Gone(id) => core.unlist_id(id, now),
            }
        }
        core.note_complete_listing(now.at);
        Channel {
            heard: self.changes.len(),
            ..channel
        }
    }
}
