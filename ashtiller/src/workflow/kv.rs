//! The key-value service that keeps what must last, as the workflow uses it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::store::Called;

/// A stored value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item {
    /// Key.
    pub key: Arc<str>,
    /// Value.
    pub value: Bytes,
    /// Revision of its last change.
    pub revision: u64,
}

/// Some items below a prefix.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Page {
    /// Items in key order.
    pub items: Vec<Item>,
    /// Whether there are more behind the last one.
    pub more: bool,
    /// Revision of the store at the read.
    pub at: u64,
}

/// What became of one key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// It was written.
    Put(Item),
    /// It is gone.
    Gone(Arc<str>),
}

/// The answer of a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Watched {
    /// Changes in order, and the revision to watch on from.
    Changes(Vec<Change>, u64),
    /// The history since the asked revision is not kept; list again.
    Compacted,
}

/// Writes that happen all or not at all.
#[derive(Clone, Debug, Default)]
pub struct Txn {
    /// Keys and the revisions that they must have; 0 for an absent key.
    pub expect: Vec<(String, u64)>,
    /// Keys to write.
    pub put: Vec<(String, Bytes)>,
    /// Keys to remove.
    pub remove: Vec<String>,
}

/// What became of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Committed {
    /// All of it happened, at this revision.
    Done(u64),
    /// None of it happened; the expected keys as they are.
    Conflict(Vec<Item>),
}

/// The key-value service.
pub trait Store: Send + Sync {
    /// Reads one key; a stale read is cheap and may be seconds old.
    fn get<'a>(&'a self, key: &'a str, stale: bool) -> Called<'a, Option<Item>>;

    /// Reads the items below a prefix, behind the key `after` if there is one.
    fn scan<'a>(&'a self, prefix: &'a str, after: Option<&'a str>) -> Called<'a, Page>;

    /// The same for a log that is replayed: a page must come, however thin the link is.
    fn fetch<'a>(&'a self, prefix: &'a str, after: Option<&'a str>) -> Called<'a, Page> {
        self.scan(prefix, after)
    }

    /// Waits for a change below a prefix after revision `at`, at most `wait`.
    fn watch<'a>(&'a self, prefix: &'a str, at: u64, wait: Duration) -> Called<'a, Watched>;

    /// Makes all writes or none. A failure with unknown effect may still be carried
    /// out as long as its expectations hold.
    fn commit<'a>(&'a self, txn: &'a Txn) -> Called<'a, Committed>;
}
