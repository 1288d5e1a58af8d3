//! Answers to other instances.

use std::rc::Rc;
use std::sync::Arc;

use futures_util::future::LocalBoxFuture;

use crate::workflow::link::Answers;
use crate::workflow::membership::campaign;
use crate::workflow::membership::member::Version;
use crate::workflow::message::{Ask, Hello, Reply, Welcome};
use crate::workflow::node::Node;
use crate::workflow::node::ask::ASK_LIMIT;

impl Node {
    fn welcome(&self, hello: &Hello) -> Welcome {
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
            self.hear_member(hello)
        } else {
            (None, Version::default())
        };
        let newer = config.version > hello.config;
        Welcome {
            epoch: if owns {
                self.lead().map_or(0, |lead| lead.epoch)
            } else {
                0
            },
            life: self.life,
            version: config.version,
            config: newer.then(|| Box::new((*config).clone())),
            members,
            list,
            position: self.position(),
        }
    }
}

impl Answers for Node {
    fn answer(self: Rc<Self>, ask: Ask) -> LocalBoxFuture<'static, Reply> {
        Box::pin(async move {
            match ask {
                Ask::Hello(hello) => Reply::Welcome(Box::new(self.welcome(&hello))),
                Ask::Lead => Reply::Lead(self.lead()),
                Ask::Leads(lead) => {
                    self.adopt_lead(&lead);
                    Reply::Noted
                }
                // One that begins late finds the log replaced before it does anything.
                Ask::HasEnded(former) => Reply::Ended(former.life != self.life || !self.owns()),
                Ask::Config(config) => {
                    self.adopt_config(&Arc::new(*config));
                    Reply::Noted
                }
                Ask::TakeOver(lead) => {
                    campaign::take_over(&self, &lead).await;
                    Reply::Lead(self.lead())
                }
                Ask::Carry(parcels) => {
                    self.carrier.carry(*parcels);
                    Reply::Noted
                }
                Ask::Carried(results) => {
                    self.calls.take(*results);
                    Reply::Noted
                }
                ask => self.ask_here(ask, ASK_LIMIT).await,
            }
        })
    }
}
