//! Connections that go silent without a reset while new connections to the same peer work.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use ashtiller::endpoint::Phase;
use ashtiller::failure::Failure;
use ashtiller::resources::Resources;
use ashtiller::service_catalog::{Instance, InstanceList, ServiceCatalog};
use ashtiller::service_watcher;
use ashtiller::store::CallFuture;
use ashtiller::web;
use bytes::Bytes;
use hyper::Method;
use support::{TestRequest, TestResponse, World};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{self, Instant};

/// Limit on every wait; reached only when the expected event never happens.
const WAIT_LIMIT: Duration = Duration::from_secs(10);
/// Timeout of a call that is expected to fail.
const SHORT_TIMEOUT: Duration = Duration::from_millis(50);
/// Idle connections that a client keeps.
const MAX_IDLE: usize = 4;

/// How the peer treats the requests that it reads.
#[derive(Clone, Copy)]
struct Behavior {
    /// Whether it responds at all now.
    open: bool,
    /// Connections with a number below this one get no response.
    silent_below: usize,
}

/// A peer that reads every request and responds as its behavior says.
struct Peer {
    address: SocketAddr,
    behavior: watch::Sender<Behavior>,
    opened: Arc<AtomicUsize>,
    read_count: watch::Sender<usize>,
}

impl Peer {
    async fn bind() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("port");
        let address = listener.local_addr().expect("address");
        let behavior = watch::Sender::new(Behavior {
            open: true,
            silent_below: 0,
        });
        let opened = Arc::new(AtomicUsize::new(0));
        let read_count = watch::Sender::new(0);
        let (behavior_updates, open_count, reads) =
            (behavior.subscribe(), opened.clone(), read_count.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let number = open_count.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(answer(
                    stream,
                    number,
                    behavior_updates.clone(),
                    reads.clone(),
                ));
            }
        });
        Self {
            address,
            behavior,
            opened,
            read_count,
        }
    }

    /// Waits until `requests` requests were read.
    async fn wait_for_requests(&self, requests: usize) {
        let mut read_count = self.read_count.subscribe();
        let read_count = read_count.wait_for(|read_count| *read_count >= requests);
        time::timeout(WAIT_LIMIT, read_count)
            .await
            .expect("requests")
            .expect("peer");
    }

    /// Sends nothing more on the connections that are open.
    fn silence(&self) {
        let silent = self.opened();
        self.behavior
            .send_modify(|behavior| behavior.silent_below = silent);
    }

    fn opened(&self) -> usize {
        self.opened.load(Ordering::Relaxed)
    }
}

/// Reads requests without a body and responds to those that the behavior allows.
async fn answer(
    mut stream: TcpStream,
    number: usize,
    mut behavior: watch::Receiver<Behavior>,
    read_count: watch::Sender<usize>,
) {
    let mut read = Vec::new();
    loop {
        while !read.ends_with(b"\r\n\r\n") {
            match stream.read_u8().await {
                Ok(byte) => read.push(byte),
                Err(_) => return,
            }
        }
        read.clear();
        read_count.send_modify(|read_count| *read_count += 1);
        let allowed =
            behavior.wait_for(|behavior| behavior.open && number >= behavior.silent_below);
        if allowed.await.is_err() {
            return;
        }
        let done = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
        if done.await.is_err() {
            return;
        }
    }
}

async fn call(client: &web::Client, peer: &Peer, limit: Duration) -> bool {
    let answer = client.call("test", peer.address, Method::GET, "/", Bytes::new(), limit);
    answer.await.is_ok()
}

/// Makes a client open as many connections as it keeps idle.
async fn open_idle_connections(client: &web::Client, peer: &Peer) {
    peer.behavior.send_modify(|behavior| behavior.open = false);
    let one = || call(client, peer, WAIT_LIMIT);
    let open = async {
        peer.wait_for_requests(MAX_IDLE).await;
        peer.behavior.send_modify(|behavior| behavior.open = true);
    };
    let (first, second, third, fourth, ()) = tokio::join!(one(), one(), one(), one(), open);
    assert!(first && second && third && fourth);
    assert_eq!(peer.opened(), MAX_IDLE);
}

/// Guards against reusing idle connections after one of them went silent. Only the connection of
/// the failed call was dropped, so with four silent idle connections four orders to a worker or
/// writes to the store in a row ran into their timeout (the second one after 10 s), while the peer
/// responded at once on new connections.
#[tokio::test]
async fn one_silent_connection_makes_the_next_call_open_a_new_one() {
    let peer = Peer::bind().await;
    let client = web::Client::default();
    open_idle_connections(&client, &peer).await;
    peer.silence();
    assert!(
        !call(&client, &peer, SHORT_TIMEOUT).await,
        "the connection is silent"
    );
    assert!(
        call(&client, &peer, WAIT_LIMIT).await,
        "a new connection is not silent"
    );
    assert_eq!(peer.opened(), MAX_IDLE + 1);
    // The failed call may have taken effect, so it is not repeated.
    assert!(*peer.read_count.borrow() <= MAX_IDLE + 2);
}

/// Starts a gateway with the peer as its only endpoint.
async fn open_gateway(peer: &Peer) -> World {
    let mut world = World::without_gateways(0, "").await;
    let facts = [("slots", "8"), ("zone", "bern"), ("state", "live")];
    let listed = support::listed("runner-0", peer.address, &facts);
    world.store.set_instances("fleet", vec![listed]);
    world.add_gateway(0).await;
    world.wait_ready(0).await;
    world
}

/// Makes a gateway open as many connections to its endpoint as it keeps idle.
async fn open_idle_endpoint_connections(world: &World, peer: &Peer) {
    let post = |id: &str| TestRequest::post(id, "").send(world.callers(0));
    peer.behavior.send_modify(|behavior| behavior.open = false);
    let open = async {
        peer.wait_for_requests(MAX_IDLE).await;
        peer.behavior.send_modify(|behavior| behavior.open = true);
    };
    let (first, second, third, fourth, ()) =
        tokio::join!(post("1"), post("2"), post("3"), post("4"), open);
    let kept = [first, second, third, fourth];
    assert!(
        kept.iter().all(|response| response.status() == 200),
        "{kept:?}"
    );
    assert_eq!(peer.opened(), MAX_IDLE);
}

/// Guards against the same fault in a gateway: only the connection of the timed-out request was
/// dropped. With four silent idle connections to an endpoint, requests that may not be repeated
/// ended with outcome unknown one after the other (the second with 504 after its timeout of 5 s),
/// while the endpoint responded at once on new connections.
#[tokio::test]
async fn one_silent_endpoint_connection_makes_the_next_request_open_a_new_one() {
    let peer = Peer::bind().await;
    let world = open_gateway(&peer).await;
    open_idle_endpoint_connections(&world, &peer).await;
    peer.silence();
    let short = TestRequest::post("5", "").header("request-timeout", "50ms");
    let lost = short.send(world.callers(0)).await;
    assert_eq!((lost.status(), lost.outcome()), (504, "unknown"));
    let response = TestRequest::post("6", "").send(world.callers(0)).await;
    assert_eq!(response.status(), 200, "{response:?}");
    assert_eq!(peer.opened(), MAX_IDLE + 1);
    // The request that may have run was not sent again.
    assert_eq!(*peer.read_count.borrow(), MAX_IDLE + 2);
}

/// Guards against waiting for a silent connection because its endpoint responds on newer ones.
/// The endpoint was taken for slow with this request, so the attempt lasted until the deadline and
/// a retryable request ended with 504 after 5 s; a first attempt may take 0.6 of the deadline.
#[tokio::test]
async fn responses_on_newer_connections_do_not_extend_the_wait_on_a_silent_one() {
    let peer = Peer::bind().await;
    let world = open_gateway(&peer).await;
    let get = |id: &str| TestRequest::get(id).send(world.callers(0));
    assert_eq!(get("1").await.status(), 200);
    assert_eq!(peer.opened(), 1);
    peer.silence();
    let others = async {
        peer.wait_for_requests(2).await;
        loop {
            let response = get("other").await;
            assert_eq!(response.status(), 200, "{response:?}");
            time::sleep(SHORT_TIMEOUT).await;
        }
    };
    let response: TestResponse = tokio::select! {
        response = get("2") => response,
        () = others => unreachable!("the loop never ends"),
    };
    assert_eq!(response.status(), 200, "{response:?}");
}

/// Guards against ignoring attempts that the caller abandons. Only a timed-out attempt made the
/// other idle connections suspect. When four of them went silent and callers hung up before the
/// service's timeout, each next request took the next silent connection; the second ended with 504
/// after its timeout of 5 s.
#[tokio::test]
async fn a_caller_that_hangs_up_on_a_silent_connection_makes_the_others_suspect() {
    let peer = Peer::bind().await;
    let world = open_gateway(&peer).await;
    open_idle_endpoint_connections(&world, &peer).await;
    peer.silence();
    tokio::select! {
        early = TestRequest::post("5", "").send(world.callers(0)) => unreachable!("{early:?}"),
        () = peer.wait_for_requests(MAX_IDLE + 1) => {}
    }
    let operators = world.gateways[0].operators();
    support::wait_until("nothing is in flight", async || {
        let dump = support::get_json(operators, "/dump").await;
        dump["services"]["fleet"]["in_flight"] == 0
    })
    .await;
    let response = TestRequest::post("6", "").send(world.callers(0)).await;
    assert_eq!(response.status(), 200, "{response:?}");
    assert_eq!(peer.opened(), MAX_IDLE + 1);
}

/// Time after its wait at which a silent watch fails.
const WATCH_SLACK: Duration = Duration::from_secs(2);

/// A catalog of one instance whose watch connections go silent.
struct SilentCatalog {
    /// When the instance starts to leave and the connections go silent.
    leaves_at: Instant,
}

impl ServiceCatalog for SilentCatalog {
    fn watch<'a>(&'a self, _: &'a str, index: u64, wait: Duration) -> CallFuture<'a, InstanceList> {
        Box::pin(async move {
            let asked = Instant::now();
            if index > 0 {
                time::sleep(wait).await;
            }
            if asked <= self.leaves_at && self.leaves_at < Instant::now() {
                time::sleep(WATCH_SLACK).await;
                return Err(Failure::unknown_effect(
                    "instances",
                    "list",
                    "no answer in time",
                ));
            }
            let leaving = Instant::now() > self.leaves_at;
            let phase = if leaving { Phase::Leaving } else { Phase::Live };
            Ok(InstanceList {
                instances: vec![instance(phase)],
                index: 1,
            })
        })
    }
}

fn instance(phase: Phase) -> Instance {
    Instance {
        name: "runner-0".into(),
        address: ([127, 0, 0, 1], 1).into(),
        phase,
        zone: "bern".into(),
        rack: "".into(),
        slots: 8,
        resources: Resources::default(),
    }
}

/// Guards against new work for an endpoint that has been leaving for a minute. The connection of a
/// watch on the list went silent before the endpoint started to leave; a watch waited 60 s, so the
/// list was read again only after 62 s. A leaving endpoint may get work for a few seconds.
#[tokio::test(start_paused = true)]
async fn a_silent_watch_hides_a_leaving_endpoint_for_seconds_only() {
    let leaves_at = Instant::now() + Duration::from_millis(100);
    let pause = Duration::from_secs(1);
    let follower =
        service_watcher::spawn(Arc::new(SilentCatalog { leaves_at }), "fleet".into(), pause);
    let mut lists = follower.subscribe();
    let listed = lists.wait_for(|list| list.iter().any(|one| one.phase == Phase::Leaving));
    drop(listed.await.expect("follower"));
    let took = leaves_at.elapsed();
    assert!(took <= Duration::from_secs(5), "{took:?}");
}
