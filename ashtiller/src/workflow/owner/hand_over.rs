//! Hands the log to an instance that can do more with it.

use std::time::Duration;

use tokio::task;
use tokio::time::Instant;

use crate::workflow::core::Now;
use crate::workflow::membership::handover::{self, OwnerHealth};
use crate::workflow::message::{PeerRequest, Reply};
use crate::workflow::owner::{Event, HAND_OVER_PAUSE, Owner, TAKE_OVER_LIMIT};

/// Time after which an owner looks for a larger instance, so that members are known.
const SETTLE: Duration = Duration::from_millis(1200);
/// Wait of an entry up to which the store answers well.
const CALM: Duration = Duration::from_millis(100);

impl Owner {
    /// Hands the log to an instance that reaches the store when this one does not,
    /// or is about to stop.
    pub(super) fn consider_hand_over(&mut self, now: Now) {
        let standing = self.owner_health(now);
        let Some(reason) = standing.reason() else {
            return;
        };
        if self
            .last_handover
            .is_some_and(|at| at.elapsed() < HAND_OVER_PAUSE)
        {
            return;
        }
        let own = &self.node.settings.instance.name;
        let members = self.node.members();
        let Some(heir) = handover::choose(own, &standing, reason, &members).cloned() else {
            return;
        };
        self.last_handover = Some(Instant::now());
        tracing::warn!(heir = %heir.name, heir_store_age_ms = heir.store_age, ?reason,
            stalled_ms = standing.stalled.as_millis(), store_age_ms = standing.store_age.as_millis(),
            "hands over the log");
        let (node, lead, sender) = (self.node.clone(), self.lead.clone(), self.sender.clone());
        task::spawn_local(async move {
            let ask = PeerRequest::TakeOver(lead.clone());
            let done = match node
                .links
                .ask("hand over", heir.address, &ask, TAKE_OVER_LIMIT)
                .await
            {
                Ok(Reply::Lead(Some(next))) => {
                    let newer = next.epoch > lead.epoch;
                    node.adopt_lead(&next);
                    newer
                }
                Ok(_) => false,
                Err(failure) => {
                    tracing::warn!(%failure, "not handed over");
                    false
                }
            };
            let _ = sender.send(Event::HandoverFinished(done)).await;
        });
    }

    fn owner_health(&self, now: Now) -> OwnerHealth {
        let stalled = self.core.stalled_for(now);
        let mut standing = OwnerHealth {
            processors: self.node.settings.entry.processors,
            leaving: self.node.is_leaving(),
            stalled,
            store_age: self.node.store_age(),
            is_stable: false,
        };
        let larger = || self.node.any_member(|it| standing.is_smaller_than(it));
        let calm = now.at > SETTLE && stalled < CALM && larger();
        standing.is_stable = calm;
        standing
    }
}
