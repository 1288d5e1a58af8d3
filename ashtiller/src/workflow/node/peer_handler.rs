//! Answers to other instances.

use std::rc::Rc;
use std::sync::Arc;

use futures_util::future::LocalBoxFuture;

use crate::workflow::link::RequestHandler;
use crate::workflow::membership::election;
use crate::workflow::membership::member::Version;
use crate::workflow::message::{Heartbeat, HeartbeatReply, PeerRequest, Reply};
use crate::workflow::node::Node;
use crate::workflow::node::forward::ASK_LIMIT;

impl Node {
    fn welcome(&self, hello: &Heartbeat) -> HeartbeatReply {
        let config = self.config();
        if hello.config > config.version {
            // The sender's own heartbeat brings it when it sees our version.
            tracing::debug!(
                theirs = hello.config,
                ours = config.version,
                "a member has a newer configuration"
            );
        }
        let owns = self.owns();
        // Who does not own the log knows no members to tell of.
        let (members, list) = if owns {
            self.record_heartbeat(hello)
        } else {
            (None, Version::default())
        };
        let newer = config.version > hello.config;
        HeartbeatReply {
            epoch: if owns {
                self.lead().map_or(0, |lead| lead.epoch)
            } else {
                0
            },
            incarnation: self.life,
            version: config.version,
            config: newer.then(|| Box::new((*config).clone())),
            members,
            list,
            position: self.position(),
        }
    }
}

impl RequestHandler for Node {
    fn answer(self: Rc<Self>, ask: PeerRequest) -> LocalBoxFuture<'static, Reply> {
        Box::pin(async move {
            match ask {
                PeerRequest::Heartbeat(hello) => Reply::Welcome(Box::new(self.welcome(&hello))),
                PeerRequest::Lead => Reply::Lead(self.lead()),
                PeerRequest::OwnerIs(lead) => {
                    self.adopt_lead(&lead);
                    Reply::Noted
                }
                // One that begins late finds the log replaced before it does anything.
                PeerRequest::HasEnded(former) => {
                    Reply::Ended(former.incarnation != self.life || !self.owns())
                }
                PeerRequest::Config(config) => {
                    self.adopt_config(&Arc::new(*config));
                    Reply::Noted
                }
                PeerRequest::TakeOver(lead) => {
                    election::take_over(&self, &lead).await;
                    Reply::Lead(self.lead())
                }
                PeerRequest::RelayCalls(parcels) => {
                    self.relay_server.execute_batch(*parcels);
                    Reply::Noted
                }
                PeerRequest::RelayResults(results) => {
                    self.worker_client.deliver_results(*results);
                    Reply::Noted
                }
                ask => self.ask_local_owner(ask, ASK_LIMIT).await,
            }
        })
    }
}
