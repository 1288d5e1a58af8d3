//! In which order followers replace an owner that is gone.
//!
//! The largest come first. Those of one size come in the order of hashes of their names, so that
//! the first ones lie in different availability zones, and the wait of the n-th grows with the
//! logarithm of n: whoever is lost together with the owner, few waits lie between it and the
//! first that is left.

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3;

use crate::workflow::membership::member::Member;

/// Wait of the second in order.
const STEP: Duration = Duration::from_millis(150);

/// Place in the order, the first one least.
fn place(processors: u64, name: &Arc<str>) -> (Reverse<u64>, u64, Arc<str>) {
    let hash = xxh3::xxh3_64(name.as_bytes());
    (Reverse(processors), hash, name.clone())
}

/// How many fit members come before an instance of this size and name, once `lost` is gone.
#[must_use]
pub fn rank(processors: u64, name: &Arc<str>, lost: &str, members: &[Member]) -> usize {
    let own = place(processors, name);
    let others = members
        .iter()
        .filter(|member| *member.name != *lost && member.is_eligible());
    others
        .filter(|member| place(member.processors, &member.name) < own)
        .count()
}

/// How long an instance waits for those before it.
#[must_use]
pub fn delay(rank: usize) -> Duration {
    let rank = u32::try_from(rank).unwrap_or(u32::MAX);
    STEP.mul_f64((1.0 + f64::from(rank)).log2())
}
