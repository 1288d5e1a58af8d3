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
    /// Reply to calls of clients, if it serves them.
    reply: RefCell<Option<Reply>>,
}

impl Process {
    pub fn new(incarnation: u64, owns: bool) -> Rc<Self> {
        Rc::new(Self {
            incarnation,
            owns: owns.into(),
            reply: RefCell::default(),
        })
    }

    /// Makes the process answer all calls of clients so.
    pub fn reply_to_clients(&self, reply: Reply) {
        *self.reply.borrow_mut() = Some(reply);
    }
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
            PeerRequest::Cancel(_) | PeerRequest::State(_) | PeerRequest::Pending(_) => {
                self.reply.borrow().clone().unwrap_or(Reply::NotOwner)
            }
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
