//! Connections between entry instances, from clients and to the store that go silent for good.

#[path = "../../../platform/client_api.rs"]
mod client_api;
mod clients;
#[path = "../../../platform/codec.rs"]
#[allow(dead_code, reason = "jobs are read with a part of it")]
mod codec;
mod entries;
mod follower;
#[path = "../../../platform/job.rs"]
mod job;
mod lists;
mod net;
mod peer;
mod relays;
#[path = "../../../platform/store.rs"]
mod store;

use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use ashtiller::failure::RemoteEffect;
use ashtiller::workflow::message::{PeerRequest, Reply, State};
use futures_util::future;
use net::Net;
use peer::{ADDRESS, Peer};
use tokio::task::LocalSet;
use tokio::time::{self, Instant};

const MS: Duration = Duration::from_millis(1);
/// Time limit of a client's call to the owner.
const LIMIT: Duration = Duration::from_millis(1500);
/// Time by which a silent connection must be known: what is left of 3 s must do for two
/// more tries of anything that was under way.
const NOTICED: Duration = Duration::from_millis(700);

fn state() -> PeerRequest {
    PeerRequest::State("00000000000000a1".into())
}

/// Three calls are sent on a connection that has gone silent; new connections work. Each
/// waited for its own limit (all three failed after 1,500 ms), because only the
/// end of a call said anything about its connection.
#[tokio::test(start_paused = true)]
async fn calls_on_a_silent_link_fail_together() {
    let played = async {
        let net = Rc::new(Net::default());
        net.host(ADDRESS, Rc::new(Peer::default()));
        let links = net.links();
        let met = links.ask("meet", ADDRESS, &PeerRequest::Lead, LIMIT).await;
        assert!(met.is_ok(), "{met:?}");
        time::sleep(MS * 5000).await;
        net.strike();
        let struck = Instant::now();
        let ask = state();
        let calls = (0..3).map(|_| links.ask("ask", ADDRESS, &ask, LIMIT));
        for failed in future::join_all(calls).await {
            let failure = failed.expect_err("the connection is silent");
            assert_eq!(failure.effect, RemoteEffect::Unknown, "{failure}");
        }
        let took = struck.elapsed();
        assert!(took <= NOTICED, "noticed after {took:?}");
        let again = links.ask("ask", ADDRESS, &ask, LIMIT).await;
        assert_eq!(again.ok(), Some(Reply::State(State::Queued)));
        assert_eq!(net.opened(), 2);
    };
    LocalSet::new().run_until(played).await;
}

/// A peer that takes its time over one call, and answers others, keeps its connection.
#[tokio::test(start_paused = true)]
async fn a_slow_answer_is_no_silent_link() {
    let played = async {
        let net = Rc::new(Net::default());
        let peer = Rc::new(Peer::default());
        peer.takes.set(MS * 1300);
        net.host(ADDRESS, peer);
        let links = net.links();
        let ask = state();
        let calls = (0..3).map(|_| links.ask("ask", ADDRESS, &ask, LIMIT));
        for answer in future::join_all(calls).await {
            assert_eq!(answer.ok(), Some(Reply::State(State::Queued)));
        }
    };
    LocalSet::new().run_until(played).await;
}

/// The connection to a living owner goes silent. The heartbeat on it had no answer in
/// 700 ms, which counted as a silent owner: its follower read the lead to replace it (3
/// reads that must not be stale), and never tried another connection.
#[tokio::test(start_paused = true)]
async fn a_silent_link_is_no_lost_owner() {
    let played = async {
        let (net, peer) = (Rc::new(Net::default()), Rc::new(Peer::default()));
        let (node, store) = follower::open(&net, &peer).await;
        let reads = store.reads.load(Ordering::Relaxed);
        net.strike();
        let struck = Instant::now();
        time::sleep(MS * 3000).await;
        let beats = peer.greeted.borrow();
        let after = beats.iter().find(|at| **at > struck);
        let after = after.map(|at| *at - struck);
        println!("heartbeat {after:?} after the silence began");
        assert_eq!(
            store.reads.load(Ordering::Relaxed),
            reads,
            "looked for an owner"
        );
        assert!(after.is_some_and(|after| after <= NOTICED), "{after:?}");
        assert!(!node.owns());
    };
    LocalSet::new().run_until(played).await;
}

/// An owner that is really silent is replaced as soon as before.
#[tokio::test(start_paused = true)]
async fn a_silent_owner_is_still_replaced() {
    let played = async {
        let (net, peer) = (Rc::new(Net::default()), Rc::new(Peer::default()));
        let (node, _store) = follower::open(&net, &peer).await;
        let last = *peer.greeted.borrow().last().expect("a heartbeat");
        peer.frozen.set(true);
        while !node.owns() && last.elapsed() < MS * 5000 {
            time::sleep(MS).await;
        }
        let took = last.elapsed();
        println!("replaced {took:?} after its last answer");
        assert!(took <= MS * 1400, "{took:?}");
    };
    LocalSet::new().run_until(played).await;
}
/// A client's call is sent to the owner on a connection that has just gone silent. It
/// waited on it for all of its time and ended unknown (1,350 ms), with an owner that
/// answers on any new connection.
#[tokio::test(start_paused = true)]
async fn a_call_on_a_silent_link_is_answered() {
    let played = async {
        let (net, peer) = (Rc::new(Net::default()), Rc::new(Peer::default()));
        let (node, _store) = follower::open(&net, &peer).await;
        net.strike();
        let asked = Instant::now();
        let reply = node.ask_owner(&state(), asked + MS * 1350).await;
        println!("{reply:?} after {:?}", asked.elapsed());
        assert_eq!(reply, Reply::State(State::Queued));
        assert!(asked.elapsed() <= NOTICED, "{:?}", asked.elapsed());
    };
    LocalSet::new().run_until(played).await;
}

/// A call reaches the owner, its connection goes silent before the answer, and the owner
/// refuses the same call when it is asked again. The client heard the refusal, which says
/// that its job never runs, although the first call may still be carried out.
#[tokio::test(start_paused = true)]
async fn a_refusal_after_a_lost_answer_is_no_answer() {
    let played = async {
        let (net, peer) = (Rc::new(Net::default()), Rc::new(Peer::default()));
        let (node, _store) = follower::open(&net, &peer).await;
        peer.takes.set(MS * 20);
        let refused = vec![Reply::Refused(1000); 1000];
        peer.replies.borrow_mut().push_back(Reply::Accepted);
        peer.replies.borrow_mut().extend(refused);
        let ask = state();
        let asked = node.ask_owner(&ask, Instant::now() + MS * 2700);
        let strike = async {
            while peer.asked.get() == 0 {
                time::sleep(MS).await;
            }
            net.strike();
        };
        let (reply, ()) = future::join(asked, strike).await;
        assert!(peer.asked.get() > 1);
        assert_eq!(reply, Reply::Unknown);
    };
    LocalSet::new().run_until(played).await;
}
