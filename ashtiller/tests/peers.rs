//! Connections between processes of the other plane that go silent without a reset.

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

/// Longest wait for anything that must happen; reached only when it never does.
const CAP: Duration = Duration::from_secs(10);
/// Time of a call.
const LIMIT: Duration = Duration::from_secs(1);

struct Greeter;

fn greeting() -> Heartbeat {
    Heartbeat {
        name: "entry-1".into(),
        role: "scheduler".into(),
        revision: 1,
        leaving: false,
        cells: Vec::new(),
    }
}

impl Peer for Greeter {
    fn heartbeat(&self, _: Heartbeat) -> CallFuture<'_, Heartbeat> {
        Box::pin(async { Ok(greeting()) })
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
    rpc::bind(any, LIMIT, Arc::new(Greeter))
        .await
        .expect("port")
}

/// What passed through a proxy.
#[derive(Clone, Copy, Debug, Default)]
struct Passed {
    /// Connections that were opened through it.
    opened: usize,
    /// Connections that their openers closed.
    closed: usize,
    /// Connections before this number pass nothing on any more.
    silent: usize,
}

/// A proxy whose connections can go silent.
struct Proxy {
    address: SocketAddr,
    passed: watch::Sender<Passed>,
}

impl Proxy {
    async fn bind(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("port");
        let address = listener.local_addr().expect("address");
        let passed = watch::Sender::new(Passed::default());
        let told = passed.clone();
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let far = TcpStream::connect(target).await.expect("target");
                let number = told.borrow().opened;
                told.send_modify(|passed| passed.opened += 1);
                let (from_near, to_near) = near.into_split();
                let (from_far, to_far) = far.into_split();
                let told = told.clone();
                tokio::spawn(carry(from_far, to_near, number, told.clone()));
                tokio::spawn(async move {
                    carry(from_near, to_far, number, told.clone()).await;
                    told.send_modify(|passed| passed.closed += 1);
                });
            }
        });
        Self { address, passed }
    }

    /// Passes nothing more on the connections that are open.
    fn silence(&self) {
        self.passed
            .send_modify(|passed| passed.silent = passed.opened);
    }
}

/// Carries bytes one way until their sender ends.
async fn carry(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    number: usize,
    told: watch::Sender<Passed>,
) {
    let mut bytes = vec![0; 4096];
    loop {
        let read = from.read(&mut bytes).await.unwrap_or(0);
        if read == 0 {
            return;
        }
        let silent = number < told.borrow().silent;
        if !silent && to.write_all(&bytes[..read]).await.is_err() {
            return;
        }
    }
}

/// Symptom: after a silence a connection that worked was given up, and the calls on it with
/// it, each time that an older call ended.
///
/// Sequence: two calls are under way on a connection that is silent; the first has no
/// answer in time; a third call opens a new connection and is answered; the second has no
/// answer in time.
///
/// Cause: a call without an answer dropped whatever connection the peer had by then.
///
/// Figure: three connections were opened for the fourth call, of which one is silent.
#[tokio::test]
async fn a_late_failure_keeps_the_newer_connection() {
    let (near, far) = (bind().await, bind().await);
    let proxy = Proxy::bind(far.address()).await;
    let peer = near.client().connect(proxy.address);
    peer.heartbeat(greeting()).await.expect("an answer");
    proxy.silence();
    let second = async {
        time::sleep(LIMIT / 2).await;
        peer.heartbeat(greeting()).await
    };
    let others = async {
        let first = peer.heartbeat(greeting()).await;
        (first, peer.heartbeat(greeting()).await)
    };
    let (second, (first, third)) = tokio::join!(second, others);
    assert!(
        first.is_err() && second.is_err(),
        "the connection is silent"
    );
    third.expect("an answer on a new connection");
    peer.heartbeat(greeting()).await.expect("an answer");
    assert_eq!(proxy.passed.borrow().opened, 2);
}

/// Symptom: a process kept a descriptor and a task for each connection that fell silent.
///
/// Sequence: a connection is silent; a call on it has no answer in time; the next call opens
/// a new one.
///
/// Cause: the task that drives a connection ends with the peer's end only, which a silent
/// peer never sends.
///
/// Figure: the connection was open for all of the 10 s that the test waits.
#[tokio::test]
async fn a_silent_connection_is_closed() {
    let (near, far) = (bind().await, bind().await);
    let proxy = Proxy::bind(far.address()).await;
    let peer = near.client().connect(proxy.address);
    peer.heartbeat(greeting()).await.expect("an answer");
    proxy.silence();
    peer.heartbeat(greeting()).await.expect_err("it is silent");
    peer.heartbeat(greeting()).await.expect("an answer");
    let mut passed = proxy.passed.subscribe();
    let closed = passed.wait_for(|passed| passed.closed == 1);
    time::timeout(CAP, closed)
        .await
        .expect("it is closed")
        .expect("proxy");
}
