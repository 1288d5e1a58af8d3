//! The keys of the key-value stand-in: compare-and-swap, sessions, revisions.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;

/// A stored value and its revisions.
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

/// One step of a transaction.
#[derive(Clone, Debug)]
pub enum TxnOp {
    /// Write when the key's revision equals `index`; 0 means the key is absent.
    Cas {
        /// Key to write.
        key: String,
        /// New value.
        value: Bytes,
        /// Expected revision.
        index: u64,
    },
    /// Fail when the key exists.
    Absent {
        /// Key to check.
        key: String,
    },
}

/// The whole content of the stand-in.
#[derive(Clone, Debug, Default)]
pub struct KeySpace {
    items: BTreeMap<String, Item>,
    dropped: BTreeMap<String, u64>,
    sessions: BTreeMap<String, (Duration, Instant)>,
    revision: u64,
}

impl KeySpace {
    /// Revision of the last write anywhere.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Revision of the newest write or deletion below `prefix`, at least 1.
    #[must_use]
    pub fn latest_revision(&self, prefix: &str) -> u64 {
        let written = self.range(prefix).map(|(_, item)| item.modified).max();
        let dropped = self
            .dropped
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(_, revision)| *revision)
            .max();
        written.max(dropped).unwrap_or(1)
    }

    /// Items whose key starts with `prefix`.
    pub fn range<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a String, &'a Item)> {
        self.items
            .range(prefix.to_owned()..)
            .take_while(move |(key, _)| key.starts_with(prefix))
    }

    /// One item.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&Item> {
        self.items.get(key)
    }

    /// Writes a key; false when the comparison or the session forbids it.
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

    /// Applies all steps or none; returns the positions of the steps that failed.
    pub fn commit(&mut self, steps: &[TxnOp]) -> Vec<usize> {
        let failed: Vec<usize> = steps
            .iter()
            .enumerate()
            .filter(|(_, step)| match step {
                TxnOp::Cas { key, index, .. } => !self.matches(key, *index),
                TxnOp::Absent { key } => self.items.contains_key(key),
            })
            .map(|(position, _)| position)
            .collect();
        if failed.is_empty() {
            for step in steps {
                if let TxnOp::Cas { key, value, .. } = step {
                    self.write(key, value.clone(), None);
                }
            }
        }
        failed
    }

    /// Deletes one key, or all keys with a prefix.
    pub fn delete(&mut self, key: &str, recurse: bool, cas: Option<u64>) -> bool {
        if cas.is_some_and(|index| !self.matches(key, index)) {
            return false;
        }
        self.drop_where(|name, _| {
            if recurse {
                name.starts_with(key)
            } else {
                name == key
            }
        });
        true
    }

    fn drop_where(&mut self, matches: impl Fn(&str, &Item) -> bool) {
        let gone: Vec<String> = self
            .items
            .iter()
            .filter(|(name, item)| matches(name, item))
            .map(|(name, _)| name.clone())
            .collect();
        for name in gone {
            self.revision += 1;
            self.items.remove(&name);
            self.dropped.insert(name, self.revision);
        }
    }

    /// Opens a session that lapses unless renewed within `ttl`.
    pub fn open_session(&mut self, id: &str, ttl: Duration, now: Instant) {
        self.sessions.insert(id.to_owned(), (ttl, now + ttl));
    }

    /// Renews a session; false when it has lapsed.
    pub fn renew(&mut self, id: &str, now: Instant) -> bool {
        let Some((ttl, until)) = self.sessions.get_mut(id) else {
            return false;
        };
        *until = now + *ttl;
        true
    }

    /// Ends a session and deletes what it holds.
    pub fn end_session(&mut self, id: &str) {
        self.sessions.remove(id);
        self.drop_where(|_, item| item.session.as_deref() == Some(id));
    }

    /// Ends the sessions that have lapsed; true when any did.
    pub fn expire_sessions(&mut self, now: Instant) -> bool {
        let lapsed: Vec<String> = self
            .sessions
            .iter()
            .filter(|(_, (_, until))| *until <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &lapsed {
            self.end_session(id);
        }
        !lapsed.is_empty()
    }
}
