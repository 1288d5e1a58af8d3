//! Keys of the key-value stand-in, with compare-and-swap, sessions and revisions.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;

/// Stored value with its revisions.
#[derive(Clone, Debug)]
pub struct Item {
    /// Opaque value.
    pub value: Bytes,
    /// Revision that created the key.
    pub created: u64,
    /// Revision of the last write.
    pub modified: u64,
    /// Session that holds the key, if any.
    pub session: Option<String>,
}

/// Operation of a transaction.
#[derive(Clone, Debug)]
pub enum TxnOp {
    /// Writes the key if its revision equals `index`; 0 stands for an absent key.
    Cas {
        /// Key to write.
        key: String,
        /// New value.
        value: Bytes,
        /// Expected revision.
        index: u64,
    },
    /// Fails if the key exists.
    Absent {
        /// Key to check.
        key: String,
    },
}

/// Contents of the key-value stand-in.
#[derive(Clone, Debug, Default)]
pub struct KeySpace {
    items: BTreeMap<String, Item>,
    deleted: BTreeMap<String, u64>,
    sessions: BTreeMap<String, (Duration, Instant)>,
    revision: u64,
}

impl KeySpace {
    /// Returns the revision of the last write to any key.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the revision of the latest write or deletion below `prefix`, at least 1.
    #[must_use]
    pub fn latest_revision(&self, prefix: &str) -> u64 {
        let written = self.range(prefix).map(|(_, item)| item.modified).max();
        let deleted = self
            .deleted
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(_, revision)| *revision)
            .max();
        written.max(deleted).unwrap_or(1)
    }

    /// Returns the items whose key starts with `prefix`.
    pub fn range<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a String, &'a Item)> {
        self.items
            .range(prefix.to_owned()..)
            .take_while(move |(key, _)| key.starts_with(prefix))
    }

    /// Returns the item of a key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&Item> {
        self.items.get(key)
    }

    /// Writes a key; returns false if the comparison or the session forbids it.
    pub fn put(
        &mut self,
        key: &str,
        value: Bytes,
        cas: Option<u64>,
        acquire: Option<&str>,
    ) -> bool {
        if cas.is_some_and(|index| !self.matches(key, index)) {
            return false;
        }
        if let Some(session) = acquire {
            let held = self.items.get(key).and_then(|item| item.session.as_deref());
            if !self.sessions.contains_key(session) || held.is_some_and(|held| held != session) {
                return false;
            }
        }
        self.write(key, value, acquire);
        true
    }

    fn matches(&self, key: &str, index: u64) -> bool {
        self.items.get(key).map_or(0, |item| item.modified) == index
    }

    fn write(&mut self, key: &str, value: Bytes, acquire: Option<&str>) {
        self.revision += 1;
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let session = acquire.map(str::to_owned);
        let item = Item {
            value,
            created,
            modified: self.revision,
            session,
        };
        self.items.insert(key.to_owned(), item);
    }

    /// Applies all operations or none; returns the positions of those that failed.
    pub fn commit(&mut self, ops: &[TxnOp]) -> Vec<usize> {
        let failed: Vec<usize> = ops
            .iter()
            .enumerate()
            .filter(|(_, op)| match op {
                TxnOp::Cas { key, index, .. } => !self.matches(key, *index),
                TxnOp::Absent { key } => self.items.contains_key(key),
            })
            .map(|(position, _)| position)
            .collect();
        if failed.is_empty() {
            for op in ops {
                if let TxnOp::Cas { key, value, .. } = op {
                    self.write(key, value.clone(), None);
                }
            }
        }
        failed
    }

    /// Deletes one key, or all keys with a prefix; returns false if the comparison forbids it.
    pub fn delete(&mut self, key: &str, recurse: bool, cas: Option<u64>) -> bool {
        if cas.is_some_and(|index| !self.matches(key, index)) {
            return false;
        }
        self.delete_where(|name, _| {
            if recurse {
                name.starts_with(key)
            } else {
                name == key
            }
        });
        true
    }

    fn delete_where(&mut self, matches: impl Fn(&str, &Item) -> bool) {
        let names: Vec<String> = self
            .items
            .iter()
            .filter(|(name, item)| matches(name, item))
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            self.revision += 1;
            self.items.remove(&name);
            self.deleted.insert(name, self.revision);
        }
    }

    /// Opens a session that expires unless it is renewed within `ttl`.
    pub fn open_session(&mut self, id: &str, ttl: Duration, now: Instant) {
        self.sessions.insert(id.to_owned(), (ttl, now + ttl));
    }

    /// Renews a session; returns false if it has expired.
    pub fn renew(&mut self, id: &str, now: Instant) -> bool {
        let Some((ttl, until)) = self.sessions.get_mut(id) else {
            return false;
        };
        *until = now + *ttl;
        true
    }

    /// Ends a session and deletes the keys that it holds.
    pub fn end_session(&mut self, id: &str) {
        self.sessions.remove(id);
        self.delete_where(|_, item| item.session.as_deref() == Some(id));
    }

    /// Ends the expired sessions; returns whether there were any.
    pub fn expire_sessions(&mut self, now: Instant) -> bool {
        let expired: Vec<String> = self
            .sessions
            .iter()
            .filter(|(_, (_, until))| *until <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &expired {
            self.end_session(id);
        }
        !expired.is_empty()
    }
}
