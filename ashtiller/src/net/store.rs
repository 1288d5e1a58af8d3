//! The platform's key-value service, as this project uses it.
//!
//! Every call is counted by the platform, a waiting watch as one. An `Err` whose
//! effect is [`Effect::Unknown`](crate::failure::Effect::Unknown) may have been
//! carried out; the caller reads back before it goes on.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;

use crate::failure::Failure;

/// Result of a call to the store.
pub type CallFuture<'a, T> = BoxFuture<'a, Result<T, Failure>>;

/// A stored value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item {
    /// Key.
    pub key: Arc<str>,
    /// Value.
    pub value: Bytes,
    /// Revision of the last write, for a later comparison.
    pub index: u64,
}

/// Items below a prefix and the position from which to watch on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct View {
    /// Items in key order.
    pub items: Vec<Item>,
    /// Position to pass to the next [`Store::watch`].
    pub index: u64,
}

/// One step of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Write {
    /// Write a key when its revision is `index`, 0 for an absent key.
    CompareAndSwap {
        /// Key.
        key: String,
        /// New value.
        value: Bytes,
        /// Expected revision.
        index: u64,
    },
    /// Only check that a key is absent.
    CheckAbsent {
        /// Key.
        key: String,
    },
}

/// What became of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Commit {
    /// All writes happened.
    Done,
    /// None happened; these positions did not compare.
    Conflict(Vec<usize>),
}

/// The key-value service.
pub trait Store: Send + Sync {
    /// Reads one key.
    fn get<'a>(&'a self, key: &'a str) -> CallFuture<'a, Option<Item>>;

    /// Reads all keys below a prefix.
    fn list<'a>(&'a self, prefix: &'a str) -> CallFuture<'a, View>;

    /// Waits until the keys below `prefix` differ from position `index`, at most
    /// `wait`, and reads them.
    fn watch<'a>(&'a self, prefix: &'a str, index: u64, wait: Duration) -> CallFuture<'a, View>;

    /// Writes a key when its revision is `index`, 0 for an absent key.
    fn compare_and_swap<'a>(
        &'a self,
        key: &'a str,
        value: Bytes,
        index: u64,
    ) -> CallFuture<'a, bool>;

    /// Makes all writes or none; at most 64.
    fn commit<'a>(&'a self, writes: &'a [Write]) -> CallFuture<'a, Commit>;

    /// Deletes a key when its revision is `index`.
    fn remove<'a>(&'a self, key: &'a str, index: u64) -> CallFuture<'a, bool>;

    /// Deletes every key below a prefix.
    fn remove_all<'a>(&'a self, prefix: &'a str) -> CallFuture<'a, ()>;

    /// Opens a lease that ends `ttl` after its last renewal.
    fn open_lease(&self, ttl: Duration) -> CallFuture<'_, Arc<str>>;

    /// Renews a lease; false when it has ended.
    fn renew<'a>(&'a self, lease: &'a str) -> CallFuture<'a, bool>;

    /// Ends a lease and deletes what it holds.
    fn revoke<'a>(&'a self, lease: &'a str) -> CallFuture<'a, ()>;

    /// Writes a key that is deleted when the lease ends; false when another holds it.
    fn acquire<'a>(&'a self, key: &'a str, value: Bytes, lease: &'a str) -> CallFuture<'a, bool>;
}
