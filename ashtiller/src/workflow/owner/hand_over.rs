//! Hands the log over to an instance in a better position to own it.

use std::time::Duration;

use tokio::task;
use tokio::time::Instant;

use crate::workflow::core::Now;
use crate::workflow::membership::handover::{self, CutDetector, HandoverReason, OwnerHealth};
use crate::workflow::message::{PeerRequest, Reply};
use crate::workflow::owner::{Event, HANDOVER_RETRY_DELAY, Owner, TAKEOVER_TIMEOUT};

/// Time after which a new owner looks for a larger instance; by then it knows the members.
const MEMBERS_SETTLE_TIME: Duration = Duration::from_millis(1200);
/// Longest wait of an entry for the store at which the store counts as responsive.
const MAX_STABLE_STALL: Duration = Duration::from_millis(100);

impl Owner {
    /// Starts a handover if this instance is shutting down or cannot reach the store, or if a
    /// larger instance is available.
    pub(super) fn consider_hand_over(&mut self, now: Now) {
        let health = self.owner_health(now);
        let Some(reason) = health.reason() else {
            self.cut_detector = CutDetector::default();
            return;
        };
        if self
            .last_handover
            .is_some_and(|at| at.elapsed() < HANDOVER_RETRY_DELAY)
        {
            return;
        }
        let own = &self.node.settings.instance.name;
        let members = self.node.members();
        let successor = handover::choose(own, &health, reason, &members).cloned();
        let is_cut = match reason {
            HandoverReason::Cut(stalled) => self.cut_detector.is_cut(stalled, successor.is_some()),
            HandoverReason::Leaving | HandoverReason::Small => true,
        };
        let Some(successor) = successor else {
            return;
        };
        // A smaller instance may need seconds to replay the log.
        if !is_cut && health.is_larger_than(&successor) {
            return;
        }
        self.last_handover = Some(Instant::now());
        tracing::warn!(heir = %successor.name, heir_store_age_ms = successor.store_age, ?reason,
            stalled_ms = health.stalled.as_millis(), store_age_ms = health.store_age.as_millis(),
            "hands over the log");
        let (node, log_owner, sender) = (
            self.node.clone(),
            self.ownership.clone(),
            self.event_sender.clone(),
        );
        task::spawn_local(async move {
            let request = PeerRequest::TakeOver(log_owner.clone());
            let handed_over = match node
                .links
                .ask("hand over", successor.address, &request, TAKEOVER_TIMEOUT)
                .await
            {
                Ok(Reply::Lead(Some(next))) => {
                    let newer = next.epoch > log_owner.epoch;
                    node.adopt_log_owner(&next);
                    newer
                }
                Ok(_) => false,
                Err(failure) => {
                    tracing::warn!(%failure, "handover failed");
                    false
                }
            };
            let _ = sender.send(Event::HandoverFinished(handed_over)).await;
        });
    }

    fn owner_health(&self, now: Now) -> OwnerHealth {
        let stalled = self.core.stalled_for(now);
        let mut health = OwnerHealth {
            processors: self.node.settings.entry.processors,
            leaving: self.node.is_leaving(),
            stalled,
            store_age: self.node.store_age(),
            is_stable: false,
        };
        let has_larger = || self.node.any_member(|it| health.is_smaller_than(it));
        let stable = now.at > MEMBERS_SETTLE_TIME && stalled < MAX_STABLE_STALL && has_larger();
        health.is_stable = stable;
        health
    }
}
