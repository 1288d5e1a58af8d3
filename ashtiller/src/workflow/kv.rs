//! Interface of the key-value store that holds the persistent state.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::store::CallFuture;

/// A stored value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item {
    /// Key of the value.
    pub key: Arc<str>,
    /// Stored bytes.
    pub value: Bytes,
    /// Revision of the last change.
    pub revision: u64,
}

/// One page of the items below a prefix.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Page {
    /// Items in key order.
    pub items: Vec<Item>,
    /// Whether more items follow the last one.
    pub more: bool,
    /// Revision of the store at the time of the read.
    pub at: u64,
}

/// Change of one key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// The key was written.
    Put(Item),
    /// The key no longer exists.
    Gone(Arc<str>),
}

/// Reply to a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Watched {
    /// Changes in order, and the revision to continue the watch from.
    Changes(Vec<Change>, u64),
    /// The history since the requested revision was compacted; the items have to be listed again.
    Compacted,
}

/// An atomic set of writes.
#[derive(Clone, Debug, Default)]
pub struct Txn {
    /// Keys with the revisions that they must have; 0 for an absent key.
    pub expect: Vec<(String, u64)>,
    /// Keys to write.
    pub put: Vec<(String, Bytes)>,
    /// Keys to delete.
    pub remove: Vec<String>,
}

/// Result of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Committed {
    /// Committed at this revision.
    Done(u64),
    /// Nothing was written; holds the current items of the expected keys.
    Conflict(Vec<Item>),
}

/// Client of the key-value store.
pub trait Store: Send + Sync {
    /// Reads one key; a stale read is cheap and may return data that is seconds old.
    fn get<'a>(&'a self, key: &'a str, stale: bool) -> CallFuture<'a, Option<Item>>;

    /// Reads the items below a prefix, starting after the key `after` if there is one.
    fn scan<'a>(&'a self, prefix: &'a str, after: Option<&'a str>) -> CallFuture<'a, Page>;

    /// Reads a page like [`Store::scan`] for the replay of a log, where a page must arrive even
    /// over a slow link.
    fn fetch<'a>(&'a self, prefix: &'a str, after: Option<&'a str>) -> CallFuture<'a, Page> {
        self.scan(prefix, after)
    }

    /// Waits for a change below a prefix after revision `at`, at most for `wait`.
    fn watch<'a>(&'a self, prefix: &'a str, at: u64, wait: Duration) -> CallFuture<'a, Watched>;

    /// Commits a transaction. After a failure with unknown effect it may still be applied later, as
    /// long as the expected revisions hold.
    fn commit<'a>(&'a self, txn: &'a Txn) -> CallFuture<'a, Committed>;
}
