//! Interface to the platform's key-value store.
//!
//! The platform counts every call; a watch counts as one, however long it waits. A call that
//! fails with [`RemoteEffect::Unknown`](crate::failure::RemoteEffect::Unknown) may have taken
//! effect: the caller reads the value back before it continues.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;

use crate::failure::Failure;

/// Future of a call to the store or to another process.
pub type CallFuture<'a, T> = BoxFuture<'a, Result<T, Failure>>;

/// A stored value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item {
    /// Key.
    pub key: Arc<str>,
    /// Value.
    pub value: Bytes,
    /// Revision of the last write, to be expected by a later compare-and-swap.
    pub index: u64,
}

/// Items below a prefix and the index from which to continue watching.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct View {
    /// Items in key order.
    pub items: Vec<Item>,
    /// Index to pass to the next [`Store::watch`].
    pub index: u64,
}

/// One operation of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Write {
    /// Writes a key if its revision is `index`; 0 expects an absent key.
    CompareAndSwap {
        /// Key.
        key: String,
        /// New value.
        value: Bytes,
        /// Expected revision.
        index: u64,
    },
    /// Checks that a key is absent and writes nothing.
    CheckAbsent {
        /// Key.
        key: String,
    },
}

/// Result of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Commit {
    /// All operations were applied.
    Done,
    /// Nothing was applied; the operations at these positions failed their check.
    Conflict(Vec<usize>),
}

/// The key-value store.
pub trait Store: Send + Sync {
    /// Reads one key.
    fn get<'a>(&'a self, key: &'a str) -> CallFuture<'a, Option<Item>>;

    /// Reads all keys below a prefix.
    fn list<'a>(&'a self, prefix: &'a str) -> CallFuture<'a, View>;

    /// Waits until the keys below `prefix` have changed since `index`, at most
    /// `wait`, and reads them.
    fn watch<'a>(&'a self, prefix: &'a str, index: u64, wait: Duration) -> CallFuture<'a, View>;

    /// Writes a key if its revision is `index`, where 0 expects an absent key; returns
    /// false if it is not.
    fn compare_and_swap<'a>(
        &'a self,
        key: &'a str,
        value: Bytes,
        index: u64,
    ) -> CallFuture<'a, bool>;

    /// Applies all operations or none; a transaction holds at most 64.
    fn commit<'a>(&'a self, writes: &'a [Write]) -> CallFuture<'a, Commit>;

    /// Deletes a key if its revision is `index`; returns false if it is not.
    fn remove<'a>(&'a self, key: &'a str, index: u64) -> CallFuture<'a, bool>;

    /// Deletes every key below a prefix.
    fn remove_all<'a>(&'a self, prefix: &'a str) -> CallFuture<'a, ()>;

    /// Opens a lease that expires `ttl` after its last renewal; returns its id.
    fn open_lease(&self, ttl: Duration) -> CallFuture<'_, Arc<str>>;

    /// Renews a lease; returns false when it has expired.
    fn renew<'a>(&'a self, lease: &'a str) -> CallFuture<'a, bool>;

    /// Revokes a lease and deletes the keys that it holds.
    fn revoke<'a>(&'a self, lease: &'a str) -> CallFuture<'a, ()>;

    /// Writes a key that is deleted when the lease ends; returns false when another lease
    /// holds it.
    fn acquire<'a>(&'a self, key: &'a str, value: Bytes, lease: &'a str) -> CallFuture<'a, bool>;
}
