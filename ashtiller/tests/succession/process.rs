//! Processes of earlier owners, and the network on which a later one reaches them.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::future;
use std::net::SocketAddr;
use std::rc::Rc;

use ashtiller::workflow::link::{Dial, RequestHandler, Stream};
use ashtiller::workflow::message::{HeartbeatReply, PeerRequest, Reply};
use futures_util::future::LocalBoxFuture;
use tokio::io;

use crate::net::Net;

/// A process that owned the log, or a later one at its address.
pub struct Process {
    pub incarnation: u64,
    /// Whether it still owns the log as far as it knows.
    pub owns: Cell<bool>,
}

impl RequestHandler for Process {
    fn answer(self: Rc<Self>, request: PeerRequest) -> LocalBoxFuture<'static, Reply> {
        let reply = match request {
            PeerRequest::HasEnded(owner) => {
                Reply::Ended(owner.incarnation != self.incarnation || !self.owns.get())
            }
            PeerRequest::Heartbeat(_) => Reply::Welcome(Box::new(HeartbeatReply {
                incarnation: self.incarnation,
                version: 1,
                ..HeartbeatReply::default()
            })),
            PeerRequest::Lead => Reply::Lead(None),
            _ => Reply::Noted,
        };
        Box::pin(future::ready(reply))
    }
}

/// A network with machines that nothing reaches.
#[derive(Default)]
pub struct Network {
    pub net: Net,
    /// Addresses to which connections hang.
    pub dark: RefCell<HashSet<SocketAddr>>,
}

impl Dial for Network {
    fn dial(&self, address: SocketAddr) -> LocalBoxFuture<'_, io::Result<Box<dyn Stream>>> {
        if self.dark.borrow().contains(&address) {
            return Box::pin(future::pending());
        }
        self.net.dial(address)
    }
}
