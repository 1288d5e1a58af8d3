//! Rendezvous hashing: who comes first for a key among the present names.

use std::sync::Arc;

use xxhash_rust::xxh3;

/// Names in the order of their weight for `key`, heaviest first.
#[must_use]
pub fn rank(key: &str, names: &[Arc<str>]) -> Vec<Arc<str>> {
    let mut ranked: Vec<_> = names
        .iter()
        .map(|name| (weigh(key, name), name.clone()))
        .collect();
    ranked.sort_by(|one, other| other.cmp(one));
    ranked.into_iter().map(|(_, name)| name).collect()
}

/// The heaviest name for `key`.
#[must_use]
pub fn first<'a>(key: &str, names: impl IntoIterator<Item = &'a Arc<str>>) -> Option<Arc<str>> {
    names
        .into_iter()
        .max_by_key(|name| (weigh(key, name), (*name).clone()))
        .cloned()
}

fn weigh(key: &str, name: &str) -> u64 {
    xxh3::xxh3_64_with_seed(key.as_bytes(), xxh3::xxh3_64(name.as_bytes()))
}
