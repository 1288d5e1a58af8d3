//! A peer instance whose answers a test sets.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ashtiller::workflow::admission::copy::OverloadCopy;
use ashtiller::workflow::link::RequestHandler;
use ashtiller::workflow::message::{HeartbeatReply, PeerRequest, Reply, State};
use ashtiller::workflow::record::LogOwner;
use futures_util::future::LocalBoxFuture;
use tokio::time::{self, Instant};

/// Address at which the peer listens.
pub const ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 7820);

/// A peer that owns the log.
#[derive(Default)]
pub struct Peer {
    /// Whether the peer answers nothing.
    pub is_frozen: Cell<bool>,
    /// Time that a client's request takes.
    pub request_duration: Cell<Duration>,
    /// Answers to the next requests of clients; any further one is told that its job is queued.
    pub replies: RefCell<VecDeque<Reply>>,
    /// Arrival times of heartbeats.
    pub heartbeats: RefCell<Vec<Instant>>,
    /// Section after the replies to heartbeats.
    pub section: RefCell<Option<OverloadCopy>>,
    /// Number of clients' requests that arrived.
    pub request_count: Cell<usize>,
    /// Section after the newest submission.
    pub last_section: RefCell<Vec<u8>>,
}

impl Peer {
    /// Returns the owner record of this peer, as of the first revision of the store.
    pub fn as_owner() -> LogOwner {
        LogOwner {
            name: "owner".into(),
            address: ADDRESS,
            incarnation: 7,
            largest: 1000,
            former: None,
            epoch: 1,
        }
    }

    fn handle_heartbeat(&self) -> Reply {
        self.heartbeats.borrow_mut().push(Instant::now());
        let owner = Self::as_owner();
        Reply::Welcome(Box::new(HeartbeatReply {
            epoch: owner.epoch,
            incarnation: owner.incarnation,
            version: 1,
            ..HeartbeatReply::default()
        }))
    }

    async fn handle_request(&self) -> Reply {
        self.request_count.set(self.request_count.get() + 1);
        let reply = self.replies.borrow_mut().pop_front();
        time::sleep(self.request_duration.get()).await;
        reply.unwrap_or(Reply::State(State::Queued))
    }
}

impl RequestHandler for Peer {
    fn section(&self, reply: &Reply) -> Option<OverloadCopy> {
        let section = self.section.borrow().clone();
        section.filter(|_| matches!(reply, Reply::Welcome(_)))
    }

    fn answer(self: Rc<Self>, request: PeerRequest) -> LocalBoxFuture<'static, Reply> {
        Box::pin(async move {
            if self.is_frozen.get() {
                return future::pending().await;
            }
            match request {
                PeerRequest::Heartbeat(_) => self.handle_heartbeat(),
                PeerRequest::Lead => Reply::Lead(Some(Self::as_owner())),
                PeerRequest::OwnerIs(_) | PeerRequest::Config(_) => Reply::Noted,
                _ => self.handle_request().await,
            }
        })
    }

    fn answer_with_section(
        self: Rc<Self>,
        request: PeerRequest,
        section: &[u8],
    ) -> LocalBoxFuture<'static, Reply> {
        if matches!(request, PeerRequest::Submit(_)) {
            *self.last_section.borrow_mut() = section.to_vec();
        }
        self.answer(request)
    }
}
