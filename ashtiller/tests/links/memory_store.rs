//! An in-memory key-value store in virtual time.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use ashtiller::store::CallFuture;
use ashtiller::workflow::kv::{Change, Committed, Item, Page, Store, Txn, Watched};
use bytes::Bytes;
use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::time;

/// Latency of one call to the store.
pub const STORE_LATENCY: Duration = Duration::from_millis(3);

/// Contents of the store and all changes that led to them.
#[derive(Default)]
struct Contents {
    items: BTreeMap<String, (Bytes, u64)>,
    /// Changes with their key and revision, in order.
    history: Vec<(String, u64, Change)>,
    /// Revision of the last transaction that was committed.
    revision: u64,
}

impl Contents {
    fn item(&self, key: &str) -> Option<Item> {
        let (value, revision) = self.items.get(key)?.clone();
        Some(Item {
            key: key.into(),
            value,
            revision,
        })
    }

    fn commit(&mut self, txn: &Txn) -> Committed {
        let differs = |(key, revision): &(String, u64)| {
            self.item(key).map_or(0, |item| item.revision) != *revision
        };
        if txn.expect.iter().any(differs) {
            let keys = txn.expect.iter();
            return Committed::Conflict(keys.filter_map(|(key, _)| self.item(key)).collect());
        }
        self.revision += 1;
        for (key, value) in &txn.put {
            self.put(key, value);
        }
        for key in &txn.remove {
            self.remove(key);
        }
        Committed::Done(self.revision)
    }

    fn put(&mut self, key: &str, value: &Bytes) {
        let revision = self.revision;
        let item = Item {
            key: key.into(),
            value: value.clone(),
            revision,
        };
        self.items.insert(key.into(), (value.clone(), revision));
        self.history.push((key.into(), revision, Change::Put(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let change = Change::Gone(key.into());
            self.history.push((key.into(), self.revision, change));
        }
    }

    fn page(&self, prefix: &str, after: Option<&str>) -> Page {
        let keys = self.items.keys().filter(|key| {
            key.starts_with(prefix) && after.is_none_or(|after| key.as_str() > after)
        });
        Page {
            items: keys.filter_map(|key| self.item(key)).collect(),
            more: false,
            at: self.revision,
        }
    }

    /// Returns the changes below `prefix` after revision `at`.
    fn changes(&self, prefix: &str, at: u64) -> Vec<Change> {
        let later = self
            .history
            .iter()
            .filter(|(key, revision, _)| key.starts_with(prefix) && *revision > at);
        later.map(|(_, _, change)| change.clone()).collect()
    }
}

/// An in-memory key-value store.
#[derive(Default)]
pub struct MemoryStore {
    contents: Mutex<Contents>,
    /// Revision of the last transaction, for watches.
    newest: watch::Sender<u64>,
    /// Count of consistent reads. A follower makes them only to look for another owner.
    pub consistent_reads: AtomicUsize,
}

impl Store for MemoryStore {
    fn get<'a>(&'a self, key: &'a str, stale: bool) -> CallFuture<'a, Option<Item>> {
        self.consistent_reads
            .fetch_add(usize::from(!stale), Ordering::Relaxed);
        Box::pin(async move {
            time::sleep(STORE_LATENCY).await;
            Ok(self.contents.lock().item(key))
        })
    }

    fn scan<'a>(&'a self, prefix: &'a str, after: Option<&'a str>) -> CallFuture<'a, Page> {
        Box::pin(async move {
            time::sleep(STORE_LATENCY).await;
            Ok(self.contents.lock().page(prefix, after))
        })
    }

    fn watch<'a>(&'a self, prefix: &'a str, at: u64, wait: Duration) -> CallFuture<'a, Watched> {
        Box::pin(async move {
            let mut newest = self.newest.subscribe();
            let change = async {
                loop {
                    newest.mark_unchanged();
                    let changes = self.contents.lock().changes(prefix, at);
                    // The sender lives as long as the store.
                    if !changes.is_empty() || newest.changed().await.is_err() {
                        return;
                    }
                }
            };
            // An answer without changes comes at the end of the wait.
            let _ = time::timeout(wait, change).await;
            let contents = self.contents.lock();
            let changes = contents.changes(prefix, at);
            Ok(Watched::Changes(changes, contents.revision.max(at)))
        })
    }

    fn commit<'a>(&'a self, txn: &'a Txn) -> CallFuture<'a, Committed> {
        Box::pin(async move {
            time::sleep(STORE_LATENCY).await;
            let committed = self.contents.lock().commit(txn);
            if let Committed::Done(revision) = committed {
                self.newest.send_replace(revision);
            }
            Ok(committed)
        })
    }
}
