//! Decides when an owner hands the log over to another instance, and to which.

use std::cmp::Reverse;
use std::time::Duration;

use crate::workflow::membership::member::{MAX_STORE_AGE_MS, Member};
use crate::workflow::node::PROBE_INTERVAL;

/// Time without an answer of the store after which the log is handed over to an instance that
/// reaches it: above the slowest answers seen, which took 0.35 s.
const HANDOVER_STALL: Duration = Duration::from_millis(800);
/// Time within which an owner that can reach the store again does: its pending call times out after
/// at most 1.2 s and is then retried.
const RECONNECT_TIME: Duration = Duration::from_millis(1400);
/// Time by which answers to calls in flight may arrive after the store became unreachable.
const LATE_REPLY_MARGIN: Duration = Duration::from_millis(100);
/// Latency of the store in milliseconds from which on it counts as slow for all instances.
const SLOW_STORE_MS: u32 = 150;
/// Largest age of a member's last heartbeat.
const MAX_HEARTBEAT_AGE: Duration = Duration::from_millis(300);
/// An instance is larger than another if its processors are at least this multiple of the
/// other's, as numerator and denominator.
pub const LARGER_RATIO: (u64, u64) = (3, 2);

/// Why an owner hands the log over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HandoverReason {
    /// The owner is shutting down.
    Leaving,
    /// The owner has not reached the store for this time.
    Cut(Duration),
    /// A larger instance is available.
    Small,
}

/// Whether the store answers other instances while it does not answer this owner.
#[derive(Clone, Copy, Debug, Default)]
pub struct CutDetector {
    /// How long this owner had waited when a member was first known to reach the store.
    reached_at: Option<Duration>,
}

impl CutDetector {
    /// Returns whether this owner is cut off from the store, after it has waited for `stalled`;
    /// `reached` tells whether a member reaches the store.
    pub fn is_cut(&mut self, stalled: Duration, reached: bool) -> bool {
        if !reached {
            self.reached_at = None;
            return false;
        }
        let reached_at = *self.reached_at.get_or_insert(stalled);
        // A member reaches the store again after an outage for all: this owner will as well, with
        // its next call.
        let returned = reached_at > HANDOVER_STALL + PROBE_INTERVAL;
        !returned || stalled >= reached_at + RECONNECT_TIME
    }
}

/// State of an owner on which a handover is decided.
#[derive(Clone, Copy, Debug)]
pub struct OwnerHealth {
    /// Processors in thousandths.
    pub processors: u64,
    /// Whether the owner is shutting down.
    pub leaving: bool,
    /// Time for which the entry in flight has waited for the store.
    pub stalled: Duration,
    /// Time since the store last answered any call.
    pub store_age: Duration,
    /// Whether the store answers fast enough for a handover to a larger instance.
    pub is_stable: bool,
}

impl OwnerHealth {
    /// Returns why the log should be handed over, or `None` if it should stay.
    #[must_use]
    pub fn reason(&self) -> Option<HandoverReason> {
        // If the store answers other calls, the answer to the entry is delayed by a queue that the
        // load of this owner causes. A successor would cause the same queue, after a replay of the
        // log.
        let cut_off = self.store_age.saturating_add(LATE_REPLY_MARGIN) >= self.stalled;
        match () {
            () if self.leaving => Some(HandoverReason::Leaving),
            () if self.stalled >= HANDOVER_STALL && cut_off => {
                Some(HandoverReason::Cut(self.stalled))
            }
            () if self.is_stable => Some(HandoverReason::Small),
            () => None,
        }
    }

    /// Returns whether a member is smaller than this owner by the ratio above.
    #[must_use]
    pub fn is_larger_than(&self, member: &Member) -> bool {
        self.processors * LARGER_RATIO.1 >= member.processors * LARGER_RATIO.0
    }

    /// Returns whether a member is larger than this owner by the ratio above.
    #[must_use]
    pub fn is_smaller_than(&self, member: &Member) -> bool {
        member.processors * LARGER_RATIO.1 >= self.processors * LARGER_RATIO.0
    }
}

/// Chooses the member that should take over the log from the owner called `own_name`.
#[must_use]
pub fn choose<'a>(
    own_name: &str,
    health: &OwnerHealth,
    reason: HandoverReason,
    members: &'a [Member],
) -> Option<&'a Member> {
    // Only a contact with the store after this instance lost it shows that it is reachable.
    let max_age_ms = match reason {
        HandoverReason::Cut(stalled) => {
            let age = stalled.saturating_sub(MAX_HEARTBEAT_AGE).as_millis();
            u32::try_from(age).unwrap_or(MAX_STORE_AGE_MS)
        }
        HandoverReason::Leaving | HandoverReason::Small => MAX_STORE_AGE_MS,
    };
    let others = members.iter().filter(|member| {
        *member.name != *own_name && !member.leaving && member.store_age < max_age_ms
    });
    let responsive = others
        .filter(|member| reason == HandoverReason::Leaving || member.store_took < SLOW_STORE_MS);
    let eligible = responsive
        .filter(|member| reason != HandoverReason::Small || health.is_smaller_than(member));
    eligible.min_by_key(|member| (Reverse(member.processors), member.store_age))
}
