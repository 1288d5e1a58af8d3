//! Questions to whoever owns the log.

use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::{self, Instant};

use crate::failure::{Failure, RemoteEffect};
use crate::workflow::message::{PeerRequest, Reply};
use crate::workflow::node::Node;
use crate::workflow::owner::OwnerRequest;

/// Pause between two tries to reach the owner.
const AGAIN: Duration = Duration::from_millis(40);
/// Time limit of one question to the owner.
pub(super) const ASK_LIMIT: Duration = Duration::from_millis(1500);

impl Node {
    /// Asks the owner of the log, wherever it is, and goes on until `deadline`.
    pub async fn ask_owner(&self, ask: &PeerRequest, deadline: Instant) -> Reply {
        // Epoch of the last owner that may have done it.
        let mut doubt = None;
        loop {
            let epoch = self.lead().map_or(0, |lead| lead.epoch);
            match self.try_owner(ask, deadline).await {
                Ok(Reply::NotOwner) => {}
                Ok(Reply::Unknown) => doubt = Some(epoch),
                // The earlier call may yet reach the same owner; a later owner has the
                // whole log, and its refusal holds.
                Ok(Reply::Refused(_)) if doubt == Some(epoch) => {}
                Ok(reply) => return reply,
                Err(failure) => {
                    if failure.effect == RemoteEffect::Unknown {
                        doubt = Some(epoch);
                    }
                    tracing::debug!(%failure, "owner not reached");
                }
            }
            if Instant::now() + AGAIN >= deadline {
                let retry = self.settings.tuning.retry.as_millis();
                return if doubt.is_some() {
                    Reply::Unknown
                } else {
                    Reply::Refused(u32::try_from(retry).unwrap_or(u32::MAX))
                };
            }
            let mut lead = self.watch_lead();
            let _ = time::timeout(AGAIN, lead.changed()).await;
        }
    }

    async fn try_owner(&self, ask: &PeerRequest, deadline: Instant) -> Result<Reply, Failure> {
        let left = deadline.saturating_duration_since(Instant::now());
        if self.owns() {
            return Ok(self.ask_local_owner(ask.clone(), left).await);
        }
        let Some(lead) = self.lead().filter(|lead| lead.incarnation != self.life) else {
            return Ok(Reply::NotOwner);
        };
        self.links
            .ask("ask owner", lead.address, ask, left.min(ASK_LIMIT))
            .await
    }

    /// Asks the log that this process owns.
    pub(super) async fn ask_local_owner(&self, ask: PeerRequest, limit: Duration) -> Reply {
        let Some(owner) = self.owner.borrow().clone() else {
            return Reply::NotOwner;
        };
        let (sender, reply) = oneshot::channel();
        if owner.try_send(OwnerRequest { ask, reply: sender }).is_err() {
            return Reply::Refused(1000);
        }
        match time::timeout(limit, reply).await {
            Ok(Ok(reply)) => reply,
            // The owner ended before it decided, or is still at it.
            Ok(Err(_)) | Err(_) => Reply::Unknown,
        }
    }
}
