//! Connections that go silent without a reset, while new ones to the same peer work.

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
use support::{Ask, Got, World};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{self, Instant};

/// Longest wait for anything that must happen; reached only when it never does.
const CAP: Duration = Duration::from_secs(10);
/// Limit of a call that is not answered.
const SHORT: Duration = Duration::from_millis(50);
/// Connections that a client keeps idle.
const KEPT: usize = 4;

/// What the peer does with the requests that it reads.
#[derive(Clone, Copy)]
struct Manner {
    /// Whether it answers at all now.
    open: bool,
    /// Connections opened before this number are never answered.
    silent: usize,
}

/// A peer that reads every request, and answers as it is told.
struct Peer {
    address: SocketAddr,
    manner: watch::Sender<Manner>,
    opened: Arc<AtomicUsize>,
    heard: watch::Sender<usize>,
}

impl Peer {
    async fn bind() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("port");
        let address = listener.local_addr().expect("address");
        let manner = watch::Sender::new(Manner {
            open: true,
            silent: 0,
        });
        let opened = Arc::new(AtomicUsize::new(0));
        let heard = watch::Sender::new(0);
        let (told, count, reads) = (manner.subscribe(), opened.clone(), heard.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let number = count.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(answer(stream, number, told.clone(), reads.clone()));
            }
        });
        Self {
            address,
            manner,
            opened,
            heard,
        }
    }

    /// Waits until so many requests were read.
    async fn hear(&self, requests: usize) {
        let mut heard = self.heard.subscribe();
        let heard = heard.wait_for(|heard| *heard >= requests);
        time::timeout(CAP, heard)
            .await
            .expect("requests")
            .expect("peer");
    }

    /// Says nothing more on the connections that are open.
    fn silence(&self) {
        let silent = self.opened();
        self.manner.send_modify(|manner| manner.silent = silent);
    }

    fn opened(&self) -> usize {
        self.opened.load(Ordering::Relaxed)
    }
}

/// Reads requests without a body, and answers those that it may.
async fn answer(
    mut stream: TcpStream,
    number: usize,
    mut told: watch::Receiver<Manner>,
    heard: watch::Sender<usize>,
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
        heard.send_modify(|heard| *heard += 1);
        let may = told.wait_for(|manner| manner.open && number >= manner.silent);
        if may.await.is_err() {
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

/// Has a client keep as many idle connections as it ever does.
async fn keep_links(client: &web::Client, peer: &Peer) {
    peer.manner.send_modify(|manner| manner.open = false);
    let one = || call(client, peer, CAP);
    let open = async {
        peer.hear(KEPT).await;
        peer.manner.send_modify(|manner| manner.open = true);
    };
    let (first, second, third, fourth, ()) = tokio::join!(one(), one(), one(), one(), open);
    assert!(first && second && third && fourth);
    assert_eq!(peer.opened(), KEPT);
}

/// Symptom: orders to a worker and writes to the store failed four times in a row,
/// each for its whole limit, while new connections to the same peer worked.
///
/// Sequence: four idle connections are kept; all go silent without a reset; one call
/// gets no answer in time; the next call takes the next of the kept connections.
///
/// Cause: only the connection of the call that failed was dropped.
///
/// Figure: the second call had no answer within 10 s, while the peer answered at once on
/// any connection opened after the silence began.
#[tokio::test]
async fn one_silent_link_makes_the_next_call_open_a_new_one() {
    let peer = Peer::bind().await;
    let client = web::Client::default();
    keep_links(&client, &peer).await;
    peer.silence();
    assert!(!call(&client, &peer, SHORT).await, "the link is silent");
    assert!(call(&client, &peer, CAP).await, "a new link is not silent");
    assert_eq!(peer.opened(), KEPT + 1);
    // The call that failed may have had its effect: it was not made again.
    assert!(*peer.heard.borrow() <= KEPT + 2);
}

/// A gateway in front of the peer as its only endpoint.
async fn open_gateway(peer: &Peer) -> World {
    let mut world = World::without_gateways(0, "").await;
    let facts = [("slots", "8"), ("zone", "bern"), ("state", "live")];
    let listed = support::listed("runner-0", peer.address, &facts);
    world.store.set_instances("fleet", vec![listed]);
    world.add_gateway(0).await;
    world.wait_ready(0).await;
    world
}

/// Has a gateway keep as many idle connections to its endpoint.
async fn keep_endpoint_links(world: &World, peer: &Peer) {
    let post = |id: &str| Ask::post(id, "").send(world.callers(0));
    peer.manner.send_modify(|manner| manner.open = false);
    let open = async {
        peer.hear(KEPT).await;
        peer.manner.send_modify(|manner| manner.open = true);
    };
    let (first, second, third, fourth, ()) =
        tokio::join!(post("1"), post("2"), post("3"), post("4"), open);
    let kept = [first, second, third, fourth];
    assert!(kept.iter().all(|got| got.status() == 200), "{kept:?}");
    assert_eq!(peer.opened(), KEPT);
}

/// Symptom: requests that may not be repeated ended unknown one after the other, each
/// after its whole time, while new connections to the endpoint worked.
///
/// Sequence: four connections to an endpoint are idle; all go silent without a reset; one
/// request gets no answer in time; the next one takes the next of the idle connections.
///
/// Cause: only the connection of the request that failed was dropped.
///
/// Figure: the second request got 504 after its time of 5 s, while the endpoint answered at
/// once on any connection opened after the silence began.
#[tokio::test]
async fn one_silent_link_to_an_endpoint_makes_the_next_request_open_a_new_one() {
    let peer = Peer::bind().await;
    let world = open_gateway(&peer).await;
    keep_endpoint_links(&world, &peer).await;
    peer.silence();
    let short = Ask::post("5", "").header("request-timeout", "50ms");
    let lost = short.send(world.callers(0)).await;
    assert_eq!((lost.status(), lost.outcome()), (504, "unknown"));
    let got = Ask::post("6", "").send(world.callers(0)).await;
    assert_eq!(got.status(), 200, "{got:?}");
    assert_eq!(peer.opened(), KEPT + 1);
    // What may have run was not sent again.
    assert_eq!(*peer.heard.borrow(), KEPT + 2);
}

/// Symptom: a request that may be repeated ended unknown on a connection that had gone
/// silent, although its endpoint answered others all the time.
///
/// Sequence: a connection is idle and goes silent; a request is sent on it; others are
/// answered on a connection opened after that.
///
/// Cause: an endpoint that answers others was taken for one that is slow with this request,
/// whatever connection the answers came on; so the attempt lasted up to the deadline.
///
/// Figure: 504 after all of 5 s; a first attempt may take 0.6 of them.
#[tokio::test]
async fn answers_on_newer_links_do_not_vouch_for_a_silent_one() {
    let peer = Peer::bind().await;
    let world = open_gateway(&peer).await;
    let get = |id: &str| Ask::get(id).send(world.callers(0));
    assert_eq!(get("1").await.status(), 200);
    assert_eq!(peer.opened(), 1);
    peer.silence();
    let others = async {
        peer.hear(2).await;
        loop {
            let got = get("other").await;
            assert_eq!(got.status(), 200, "{got:?}");
            time::sleep(SHORT).await;
        }
    };
    let got: Got = tokio::select! {
        got = get("2") => got,
        () = others => unreachable!("it has no end"),
    };
    assert_eq!(got.status(), 200, "{got:?}");
}

/// Symptom: callers that wait less than their service allows got no answer, one after the
/// other, while new connections to the endpoint worked.
///
/// Sequence: four connections to an endpoint are idle; all go silent; a request is sent on
/// one; its caller hangs up; the next request takes the next of the idle connections.
///
/// Cause: only an attempt that ended by its own time said anything about the others.
///
/// Figure: the second request got 504 after its time of 5 s.
#[tokio::test]
async fn a_caller_that_hangs_up_on_a_silent_link_makes_the_others_suspect() {
    let peer = Peer::bind().await;
    let world = open_gateway(&peer).await;
    keep_endpoint_links(&world, &peer).await;
    peer.silence();
    tokio::select! {
        got = Ask::post("5", "").send(world.callers(0)) => unreachable!("{got:?}"),
        () = peer.hear(KEPT + 1) => {}
    }
    let operators = world.gateways[0].operators();
    support::until("nothing is in flight", async || {
        let dump = support::get_json(operators, "/dump").await;
        dump["services"]["fleet"]["in_flight"] == 0
    })
    .await;
    let got = Ask::post("6", "").send(world.callers(0)).await;
    assert_eq!(got.status(), 200, "{got:?}");
    assert_eq!(peer.opened(), KEPT + 1);
}

/// Time that a silent watch has beyond its wait.
const SLACK: Duration = Duration::from_secs(2);

/// A list of one instance, on connections that go silent.
struct List {
    /// When its instance began to leave, and the connections went silent.
    leaves: Instant,
}

impl ServiceCatalog for List {
    fn watch<'a>(&'a self, _: &'a str, index: u64, wait: Duration) -> CallFuture<'a, InstanceList> {
        Box::pin(async move {
            let asked = Instant::now();
            if index > 0 {
                time::sleep(wait).await;
            }
            if asked <= self.leaves && self.leaves < Instant::now() {
                time::sleep(SLACK).await;
                return Err(Failure::unknown_effect(
                    "instances",
                    "list",
                    "no answer in time",
                ));
            }
            let leaving = Instant::now() > self.leaves;
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

/// Symptom: an endpoint that was leaving got new work for a minute.
///
/// Sequence: a watch of the list is under way; its connection goes silent; an endpoint
/// begins to leave, of which the watch never hears.
///
/// Cause: a watch waited 60 s, and its connection was known to be silent only after that.
///
/// Figure: 62 s until the list was read again; a leaving endpoint may get work for a few
/// seconds.
#[tokio::test(start_paused = true)]
async fn a_silent_watch_hides_a_leaving_endpoint_for_seconds_only() {
    let leaves = Instant::now() + Duration::from_millis(100);
    let pause = Duration::from_secs(1);
    let follower = service_watcher::spawn(Arc::new(List { leaves }), "fleet".into(), pause);
    let mut lists = follower.subscribe();
    let told = lists.wait_for(|list| list.iter().any(|one| one.phase == Phase::Leaving));
    drop(told.await.expect("follower"));
    let took = leaves.elapsed();
    assert!(took <= Duration::from_secs(5), "{took:?}");
}
