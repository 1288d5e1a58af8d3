//! RPC connections between gateways and schedulers that go silent without a reset.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ashtiller::peer::{Heartbeat, JobReply, LoanRequest, Peer, Submission};
use ashtiller::rpc::{self, RpcServer};
use ashtiller::store::CallFuture;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time;

/// Limit on every wait; reached only when the expected event never happens.
const WAIT_LIMIT: Duration = Duration::from_secs(10);
/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// A peer that accepts every call.
struct AcceptingPeer;

fn test_heartbeat() -> Heartbeat {
    Heartbeat {
        name: "entry-1".into(),
        role: "scheduler".into(),
        revision: 1,
        leaving: false,
        cells: Vec::new(),
    }
}

impl Peer for AcceptingPeer {
    fn heartbeat(&self, _: Heartbeat) -> CallFuture<'_, Heartbeat> {
        Box::pin(async { Ok(test_heartbeat()) })
    }

    fn lend(&self, _: LoanRequest) -> CallFuture<'_, Vec<(u64, u32)>> {
        Box::pin(async { Ok(Vec::new()) })
    }

    fn submit(&self, _: Arc<str>, _: Submission) -> CallFuture<'_, JobReply> {
        Box::pin(async { Ok(JobReply::Accepted) })
    }

    fn cancel(&self, _: Arc<str>, _: Arc<str>, _: Arc<str>) -> CallFuture<'_, JobReply> {
        Box::pin(async { Ok(JobReply::Accepted) })
    }

    fn show(&self, _: Arc<str>, _: Arc<str>, _: Arc<str>) -> CallFuture<'_, String> {
        Box::pin(async { Ok(String::new()) })
    }
}

async fn bind() -> RpcServer {
    let any = ([127, 0, 0, 1], 0).into();
    rpc::bind(any, CALL_TIMEOUT, Arc::new(AcceptingPeer))
        .await
        .expect("port")
}

/// Connection counts of a proxy, and which of its connections are silent.
#[derive(Clone, Copy, Debug, Default)]
struct ConnectionCounts {
    /// Connections opened through the proxy.
    opened: usize,
    /// Connections closed by the side that opened them.
    closed: usize,
    /// Connections with a number below this one forward nothing any more.
    silent_below: usize,
}

/// A proxy whose connections can go silent.
struct Proxy {
    address: SocketAddr,
    counts: watch::Sender<ConnectionCounts>,
}

impl Proxy {
    async fn bind(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("port");
        let address = listener.local_addr().expect("address");
        let counts = watch::Sender::new(ConnectionCounts::default());
        let shared = counts.clone();
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let far = TcpStream::connect(target).await.expect("target");
                let number = shared.borrow().opened;
                shared.send_modify(|counts| counts.opened += 1);
                let (from_near, to_near) = near.into_split();
                let (from_far, to_far) = far.into_split();
                let counts = shared.clone();
                tokio::spawn(forward(from_far, to_near, number, counts.clone()));
                tokio::spawn(async move {
                    forward(from_near, to_far, number, counts.clone()).await;
                    counts.send_modify(|counts| counts.closed += 1);
                });
            }
        });
        Self { address, counts }
    }

    /// Forwards nothing more on the connections that are open.
    fn silence(&self) {
        self.counts
            .send_modify(|counts| counts.silent_below = counts.opened);
    }
}

/// Forwards bytes in one direction until the sender closes.
async fn forward(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    number: usize,
    counts: watch::Sender<ConnectionCounts>,
) {
    let mut bytes = vec![0; 4096];
    loop {
        let read = from.read(&mut bytes).await.unwrap_or(0);
        if read == 0 {
            return;
        }
        let silent = number < counts.borrow().silent_below;
        if !silent && to.write_all(&bytes[..read]).await.is_err() {
            return;
        }
    }
}

/// Guards against a late timeout on a silent connection closing the working one that replaced it,
/// with all calls on it. Two calls run on a silent connection; the first times out, a third opens a
/// new connection, then the second times out. A timed-out call dropped the peer's current
/// connection, so three connections, one of them silent, had been opened by the fourth call.
#[tokio::test]
async fn a_late_failure_keeps_the_newer_connection() {
    let (near, far) = (bind().await, bind().await);
    let proxy = Proxy::bind(far.address()).await;
    let peer = near.client().connect(proxy.address);
    peer.heartbeat(test_heartbeat()).await.expect("a response");
    proxy.silence();
    let second = async {
        time::sleep(CALL_TIMEOUT / 2).await;
        peer.heartbeat(test_heartbeat()).await
    };
    let others = async {
        let first = peer.heartbeat(test_heartbeat()).await;
        (first, peer.heartbeat(test_heartbeat()).await)
    };
    let (second, (first, third)) = tokio::join!(second, others);
    assert!(
        first.is_err() && second.is_err(),
        "the connection is silent"
    );
    third.expect("a response on a new connection");
    peer.heartbeat(test_heartbeat()).await.expect("a response");
    assert_eq!(proxy.counts.borrow().opened, 2);
}

/// Guards against leaking a descriptor and a task for each silent connection. The task that drives
/// a connection ended only when the peer closed it, which a silent peer never does; after a
/// timed-out call the connection stayed open for all of the 10 s that the test waits.
#[tokio::test]
async fn a_silent_connection_is_closed() {
    let (near, far) = (bind().await, bind().await);
    let proxy = Proxy::bind(far.address()).await;
    let peer = near.client().connect(proxy.address);
    peer.heartbeat(test_heartbeat()).await.expect("a response");
    proxy.silence();
    peer.heartbeat(test_heartbeat())
        .await
        .expect_err("it is silent");
    peer.heartbeat(test_heartbeat()).await.expect("a response");
    let mut updates = proxy.counts.subscribe();
    let closed = updates.wait_for(|counts| counts.closed == 1);
    time::timeout(WAIT_LIMIT, closed)
        .await
        .expect("it is closed")
        .expect("proxy");
}
