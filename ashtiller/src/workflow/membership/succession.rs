//! In which order followers replace an owner that is gone.
//!
//! The largest come first, those of one size by name.

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

use crate::workflow::membership::member::Member;

/// Time between two in order.
const STEP: Duration = Duration::from_millis(150);

/// Place in the order, the first one least.
fn place(processors: u64, name: &Arc<str>) -> (Reverse<u64>, Arc<str>) {
    (Reverse(processors), name.clone())
}

/// How many fit members come before an instance of this size and name, once `lost` is gone.
#[must_use]
pub fn rank(processors: u64, name: &Arc<str>, lost: &str, members: &[Member]) -> usize {
    let own = place(processors, name);
    let others = members
        .iter()
        .filter(|member| *member.name != *lost && member.is_fit());
    others
        .filter(|member| place(member.processors, &member.name) < own)
        .count()
}

/// How long an instance waits for those before it.
#[must_use]
pub fn delay(rank: usize) -> Duration {
    let rank = u32::try_from(rank).unwrap_or(u32::MAX);
    STEP * rank
}
