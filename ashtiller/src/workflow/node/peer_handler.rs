//! Handles requests of other instances.

use std::future;
use std::rc::Rc;
use std::sync::Arc;

use futures_util::future::LocalBoxFuture;

use crate::workflow::admission::copy::OverloadCopy;
use crate::workflow::link::RequestHandler;
use crate::workflow::membership::election;
use crate::workflow::membership::member::Version;
use crate::workflow::message::{Heartbeat, HeartbeatReply, PeerRequest, Reply};
use crate::workflow::node::Node;
use crate::workflow::node::forward::REQUEST_TIMEOUT;
use crate::workflow::shares::origins::SubmitSection;

impl Node {
    /// Builds the reply to a heartbeat.
    fn reply_to_heartbeat(&self, heartbeat: &Heartbeat) -> HeartbeatReply {
        let config = self.config();
        if heartbeat.config > config.version {
            // The sender sends it to the owner when it sees this version in the reply.
            tracing::debug!(
                theirs = heartbeat.config,
                ours = config.version,
                "a member has a newer configuration"
            );
        }
        let owns = self.owns();
        // Only the owner of the log maintains the list of members.
        let (members, list) = if owns {
            self.record_heartbeat(heartbeat)
        } else {
            (None, Version::default())
        };
        let newer = config.version > heartbeat.config;
        HeartbeatReply {
            epoch: if owns {
                self.log_owner().map_or(0, |owner| owner.epoch)
            } else {
                0
            },
            incarnation: self.incarnation,
            version: config.version,
            config: newer.then(|| Box::new((*config).clone())),
            members,
            list,
            position: self.position(),
        }
    }
}

impl RequestHandler for Node {
    fn section(&self, reply: &Reply) -> Option<OverloadCopy> {
        let welcome = matches!(reply, Reply::Welcome(_));
        (welcome && self.owns()).then(|| self.overload_copy())
    }

    fn answer(self: Rc<Self>, request: PeerRequest) -> LocalBoxFuture<'static, Reply> {
        Box::pin(async move {
            match request {
                PeerRequest::Heartbeat(heartbeat) => {
                    Reply::Welcome(Box::new(self.reply_to_heartbeat(&heartbeat)))
                }
                PeerRequest::Lead => Reply::Lead(self.log_owner()),
                PeerRequest::OwnerIs(owner) => {
                    self.adopt_log_owner(&owner);
                    Reply::Noted
                }
                // An owner that starts later finds that the log has another owner before it acts.
                PeerRequest::HasEnded(former) => {
                    Reply::Ended(former.incarnation != self.incarnation || !self.owns())
                }
                PeerRequest::Config(config) => {
                    self.adopt_config(&Arc::new(*config));
                    Reply::Noted
                }
                PeerRequest::TakeOver(owner) => {
                    election::take_over(&self, &owner).await;
                    Reply::Lead(self.log_owner())
                }
                PeerRequest::RelayCalls(batch) => {
                    self.relay_server.execute_batch(*batch);
                    Reply::Noted
                }
                PeerRequest::RelayResults(results) => {
                    self.relay_client.deliver_results(*results);
                    Reply::Noted
                }
                request => {
                    let origin = Arc::default();
                    self.ask_local_owner(request, origin, REQUEST_TIMEOUT).await
                }
            }
        })
    }

    fn answer_with_section(
        self: Rc<Self>,
        request: PeerRequest,
        section: &[u8],
    ) -> LocalBoxFuture<'static, Reply> {
        match request {
            PeerRequest::Submit(_) => {
                let SubmitSection { origin } = SubmitSection::decode(section);
                Box::pin(
                    async move { self.ask_local_owner(request, origin, REQUEST_TIMEOUT).await },
                )
            }
            PeerRequest::RelayResults(results) => {
                self.relay_client
                    .deliver_results_with_section(*results, section);
                Box::pin(future::ready(Reply::Noted))
            }
            request => self.answer(request),
        }
    }
}
