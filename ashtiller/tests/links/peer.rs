//! An instance that answers as a test says.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ashtiller::workflow::link::RequestHandler;
use ashtiller::workflow::message::{HeartbeatReply, PeerRequest, Reply, State};
use ashtiller::workflow::record::LogOwner;
use futures_util::future::LocalBoxFuture;
use tokio::time::{self, Instant};

/// Where it listens.
pub const ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 7820);

/// Owner of the log.
#[derive(Default)]
pub struct Peer {
    /// Whether it answers nothing.
    pub frozen: Cell<bool>,
    /// Time that it needs for a call of a client.
    pub takes: Cell<Duration>,
    /// Answers to clients' calls in turn; then the job is queued.
    pub replies: RefCell<VecDeque<Reply>>,
    /// When heartbeats came.
    pub greeted: RefCell<Vec<Instant>>,
    /// Clients' calls that came.
    pub asked: Cell<usize>,
}

impl Peer {
    /// It as the owner at the first revision of the store.
    pub fn as_lead() -> LogOwner {
        LogOwner {
            name: "owner".into(),
            address: ADDRESS,
            incarnation: 7,
            largest: 1000,
            former: None,
            epoch: 1,
        }
    }

    fn welcome(&self) -> Reply {
        self.greeted.borrow_mut().push(Instant::now());
        let lead = Self::as_lead();
        Reply::Welcome(Box::new(HeartbeatReply {
            epoch: lead.epoch,
            incarnation: lead.incarnation,
            version: 1,
            ..HeartbeatReply::default()
        }))
    }

    async fn serve(&self) -> Reply {
        self.asked.set(self.asked.get() + 1);
        let reply = self.replies.borrow_mut().pop_front();
        time::sleep(self.takes.get()).await;
        reply.unwrap_or(Reply::State(State::Queued))
    }
}

impl RequestHandler for Peer {
    fn answer(self: Rc<Self>, ask: PeerRequest) -> LocalBoxFuture<'static, Reply> {
        Box::pin(async move {
            if self.frozen.get() {
                return future::pending().await;
            }
            match ask {
                PeerRequest::Heartbeat(_) => self.welcome(),
                PeerRequest::Lead => Reply::Lead(Some(Self::as_lead())),
                PeerRequest::OwnerIs(_) | PeerRequest::Config(_) => Reply::Noted,
                _ => self.serve().await,
            }
        })
    }
}
