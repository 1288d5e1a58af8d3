//! Entries of the store that cannot be parsed; each revision is logged once.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Entries that are remembered; when there are more, all of them may be logged again. A key has
/// at most 200 bytes.
const MAX_REMEMBERED: usize = 1000;

/// Keys of the entries that cannot be parsed, with the revision that was logged.
#[derive(Debug, Default)]
pub struct UnreadableEntries(BTreeMap<Arc<str>, u64>);

impl UnreadableEntries {
    /// Records a revision of an entry; returns whether it was not logged before.
    pub fn is_new(&mut self, key: &Arc<str>, revision: u64) -> bool {
        if self.0.len() >= MAX_REMEMBERED {
            self.0.clear();
        }
        self.0.insert(key.clone(), revision) != Some(revision)
    }
}
