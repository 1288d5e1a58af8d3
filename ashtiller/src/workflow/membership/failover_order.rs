//! Order in which followers try to replace an owner that has failed.
//!
//! The largest instances come first. Instances of one size are ordered by hashes of their names, so
//! that the first ones lie in different availability zones. The delay of the n-th instance grows
//! with the logarithm of n: whichever instances fail together with the owner, the first remaining
//! one waits for only a few delays.

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3;

use crate::workflow::membership::member::Member;

/// Delay of the second instance in the order.
const FIRST_DELAY: Duration = Duration::from_millis(150);

/// Returns the sort key of an instance in the order; the first one has the least.
fn order_key(processors: u64, name: &Arc<str>) -> (Reverse<u64>, u64, Arc<str>) {
    let hash = xxh3::xxh3_64(name.as_bytes());
    (Reverse(processors), hash, name.clone())
}

/// Returns how many eligible members other than `lost_owner` precede an instance of this size and
/// name.
#[must_use]
pub fn rank(processors: u64, name: &Arc<str>, lost_owner: &str, members: &[Member]) -> usize {
    let own_key = order_key(processors, name);
    let others = members
        .iter()
        .filter(|member| *member.name != *lost_owner && member.is_eligible());
    others
        .filter(|member| order_key(member.processors, &member.name) < own_key)
        .count()
}

/// Returns how long an instance of this rank waits before it tries to replace the owner.
#[must_use]
pub fn delay(rank: usize) -> Duration {
    let rank = u32::try_from(rank).unwrap_or(u32::MAX);
    FIRST_DELAY.mul_f64((1.0 + f64::from(rank)).log2())
}
