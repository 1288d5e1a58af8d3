//! Rendezvous hashing: ranks names for a key, such that a change of the names moves few keys.

use std::sync::Arc;

use xxhash_rust::xxh3;

/// Returns the names in the order of their weights for `key`, the highest first.
#[must_use]
pub fn rank(key: &str, names: &[Arc<str>]) -> Vec<Arc<str>> {
    let mut weighted: Vec<_> = names
        .iter()
        .map(|name| (weight_of(key, name), name.clone()))
        .collect();
    weighted.sort_by(|one, other| other.cmp(one));
    weighted.into_iter().map(|(_, name)| name).collect()
}

/// Returns the name with the highest weight for `key`; `None` if there are no names.
#[must_use]
pub fn first<'a>(key: &str, names: impl IntoIterator<Item = &'a Arc<str>>) -> Option<Arc<str>> {
    names
        .into_iter()
        .max_by_key(|name| (weight_of(key, name), (*name).clone()))
        .cloned()
}

fn weight_of(key: &str, name: &str) -> u64 {
    xxh3::xxh3_64_with_seed(key.as_bytes(), xxh3::xxh3_64(name.as_bytes()))
}
