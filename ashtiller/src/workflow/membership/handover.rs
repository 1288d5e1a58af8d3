//! When an owner hands the log to another instance, and to which.

use std::cmp::Reverse;
use std::time::Duration;

use crate::workflow::membership::member::{MAX_STORE_AGE_MS, Member};

/// Time without the store after which the log is handed to an instance that has it:
/// above the slowest answers that were seen, 0.35 s.
const HAND_OVER: Duration = Duration::from_millis(800);
/// Answers to calls that were under way when the store was lost may come so much later.
const LATE_ANSWER: Duration = Duration::from_millis(100);
/// Answers of the store above this, in milliseconds, say that it is slow for all.
const SLOW: u32 = 150;
/// Age that a member's last heartbeat may have.
const HELLO_AGE: Duration = Duration::from_millis(300);
/// An instance is larger than another when its processors are at least this ratio.
pub const LARGER_BY: (u64, u64) = (3, 2);

/// Why the log goes to another instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HandoverReason {
    /// This one is about to stop.
    Leaving,
    /// This one has not reached the store for so long.
    Cut(Duration),
    /// A larger one is there.
    Small,
}

/// How an owner stands.
#[derive(Clone, Copy, Debug)]
pub struct OwnerHealth {
    /// Processors, in thousandths.
    pub processors: u64,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// How long the entry under way has waited for the store.
    pub stalled: Duration,
    /// Time since the store last answered anything.
    pub store_age: Duration,
    /// Whether it is calm enough to hand the log to a larger instance.
    pub is_stable: bool,
}

impl OwnerHealth {
    /// Why it should hand the log over, if it should.
    #[must_use]
    pub fn reason(&self) -> Option<HandoverReason> {
        // If the store answers other calls, its answer to the entry waits in a queue of this
        // owner's making, which a successor would have as well, behind a replay of the log.
        let cut = self.store_age.saturating_add(LATE_ANSWER) >= self.stalled;
        match () {
            () if self.leaving => Some(HandoverReason::Leaving),
            () if self.stalled >= HAND_OVER && cut => Some(HandoverReason::Cut(self.stalled)),
            () if self.is_stable => Some(HandoverReason::Small),
            () => None,
        }
    }

    /// Whether a member is larger.
    #[must_use]
    pub fn is_smaller_than(&self, member: &Member) -> bool {
        member.processors * LARGER_BY.1 >= self.processors * LARGER_BY.0
    }
}

/// The member that should get the log from an owner with this name.
#[must_use]
pub fn choose<'a>(
    own: &str,
    standing: &OwnerHealth,
    reason: HandoverReason,
    members: &'a [Member],
) -> Option<&'a Member> {
    // Only contact with the store after this instance lost it says anything.
    let oldest = match reason {
        HandoverReason::Cut(stalled) => {
            let age = stalled.saturating_sub(HELLO_AGE).as_millis();
            u32::try_from(age).unwrap_or(MAX_STORE_AGE_MS)
        }
        HandoverReason::Leaving | HandoverReason::Small => MAX_STORE_AGE_MS,
    };
    let others = members
        .iter()
        .filter(|member| *member.name != *own && !member.leaving && member.store_age < oldest);
    let fast =
        others.filter(|member| reason == HandoverReason::Leaving || member.store_took < SLOW);
    let fit =
        fast.filter(|member| reason != HandoverReason::Small || standing.is_smaller_than(member));
    fit.min_by_key(|member| (Reverse(member.processors), member.store_age))
}
