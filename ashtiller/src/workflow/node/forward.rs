//! Forwards requests to the owner of the log.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::{self, Instant};

use crate::failure::{Failure, RemoteEffect};
use crate::workflow::admission::refusals;
use crate::workflow::message::{PeerRequest, Reply};
use crate::workflow::node::Node;
use crate::workflow::owner::{OwnerRequest, ReplySender};
use crate::workflow::shares::origins::SubmitSection;

/// Delay between two attempts to reach the owner.
const RETRY_DELAY: Duration = Duration::from_millis(40);
/// Timeout of one request to the owner.
pub(super) const REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);

impl Node {
    /// Sends a request to the owner of the log, in this process or another one, and retries until
    /// `deadline`. Returns `Unknown` if the request may have taken effect.
    pub async fn ask_owner(&self, request: &PeerRequest, deadline: Instant) -> Reply {
        // Epoch of the last owner that may have executed the request.
        let mut uncertain_epoch = None;
        loop {
            let epoch = self.log_owner().map_or(0, |owner| owner.epoch);
            match self.send_to_owner(request, deadline).await {
                Ok(Reply::NotOwner) => {}
                Ok(Reply::Unknown) => uncertain_epoch = Some(epoch),
                // The earlier call may still reach the same owner. The refusal of a later owner is
                // final, because it has the whole log.
                Ok(Reply::Refused(_)) if uncertain_epoch == Some(epoch) => {}
                Ok(reply) => return reply,
                Err(failure) => {
                    if failure.effect == RemoteEffect::Unknown {
                        uncertain_epoch = Some(epoch);
                    }
                    tracing::debug!(%failure, "failed to reach the owner");
                }
            }
            if Instant::now() + RETRY_DELAY >= deadline {
                return if uncertain_epoch.is_some() {
                    Reply::Unknown
                } else {
                    self.refusal(request)
                };
            }
            let mut owner = self.watch_log_owner();
            let _ = time::timeout(RETRY_DELAY, owner.changed()).await;
        }
    }

    /// Returns the refusal of a request that no owner has decided. The retry delay differs between
    /// jobs, so that callers who were refused at one moment do not return at one moment.
    fn refusal(&self, request: &PeerRequest) -> Reply {
        let tuning = &self.settings.tuning;
        let delay = match request {
            PeerRequest::Submit(job) if tuning.switches.admission_control => {
                self.links.retry_delay(&job.id, tuning.retry)
            }
            _ => tuning.retry,
        };
        Reply::Refused(refusals::millis(delay))
    }

    async fn send_to_owner(
        &self,
        request: &PeerRequest,
        deadline: Instant,
    ) -> Result<Reply, Failure> {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if self.owns() {
            let origin = self.settings.instance.zone.clone();
            return Ok(self
                .ask_local_owner(request.clone(), origin, remaining)
                .await);
        }
        let Some(owner) = self
            .log_owner()
            .filter(|owner| owner.incarnation != self.incarnation)
        else {
            return Ok(Reply::NotOwner);
        };
        let section = self.section_after(request)?;
        self.links
            .ask_with_section(
                "ask owner",
                owner.address,
                request,
                &section,
                remaining.min(REQUEST_TIMEOUT),
            )
            .await
    }

    /// Returns the encoded section after a request to the owner: the origin of a submission.
    fn section_after(&self, request: &PeerRequest) -> Result<Vec<u8>, Failure> {
        if !matches!(request, PeerRequest::Submit(_)) || !self.settings.tuning.switches.fair_shares
        {
            return Ok(Vec::new());
        }
        let origin = self.settings.instance.zone.clone();
        let section = SubmitSection { origin }.encode();
        section.map_err(|error| Failure::no_effect("encode origin", request.kind(), error))
    }

    /// Sends a request to the owner of the log in this process. A job of it was taken from its caller
    /// in zone `origin`; empty if unknown.
    pub(super) async fn ask_local_owner(
        &self,
        request: PeerRequest,
        origin: Arc<str>,
        timeout: Duration,
    ) -> Reply {
        let Some(owner) = self.owner.borrow().clone() else {
            return Reply::NotOwner;
        };
        let refusal = self.refusal(&request);
        let reservation = match &request {
            PeerRequest::Submit(job) => match self.room.reserve(job) {
                Ok(reservation) => Some(reservation),
                Err(exhausted) => {
                    tracing::debug!(job = %job.id, %exhausted, "submission refused");
                    self.metrics.note_room_refusal();
                    return refusal;
                }
            },
            _ => None,
        };
        let (sender, reply) = oneshot::channel();
        if owner
            .try_send(OwnerRequest {
                request,
                origin,
                reply: ReplySender::new(sender, reservation),
            })
            .is_err()
        {
            return refusal;
        }
        match time::timeout(timeout, reply).await {
            Ok(Ok(reply)) => reply,
            // The owner ended before it decided, or has not decided yet.
            Ok(Err(_)) | Err(_) => Reply::Unknown,
        }
    }
}
