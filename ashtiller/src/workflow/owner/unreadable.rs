//! Entries that cannot be read, each told once.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Entries that are remembered; beyond it all may be told again. A key has at most 200 bytes.
const MOST: usize = 1000;

/// Entries that cannot be read, by key, with the revision that was told.
#[derive(Debug, Default)]
pub struct UnreadableEntries(BTreeMap<Arc<str>, u64>);

impl UnreadableEntries {
    /// Whether this revision of an entry was not told before.
    pub fn is_new(&mut self, key: &Arc<str>, revision: u64) -> bool {
        if self.0.len() >= MOST {
            self.0.clear();
        }
        self.0.insert(key.clone(), revision) != Some(revision)
    }
}
