//! Clients' connections that go silent.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ashtiller::workflow::config::{Config, Queue};
use ashtiller::workflow::job::Policy;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{self, LocalSet};
use tokio::time;

use crate::client_api::{self, ClientApi};
use crate::follower;
use crate::net::Net;
use crate::peer::Peer;

/// Longest wait for anything that must happen; reached only when it never does.
const CAP: Duration = Duration::from_secs(30);
/// A submission whose body never comes whole, from a client that waits 300 ms.
const HALF: &str = "POST /q/00000000000000a1 HTTP/1.1\r\nhost: jobs\r\nx-deadline-ms: 300\r\n\
     content-length: 100\r\n\r\n{";

/// A question of a client that waits longer than the test.
const WHOLE: &str = "GET /q/00000000000000a1 HTTP/1.1\r\nhost: jobs\r\n\
     x-deadline-ms: 100000\r\n\r\n";

fn config() -> Config {
    let policy = Policy {
        service: "fleet".into(),
        priority: 0,
        attempts: 2,
        extension: 2.0,
        target: Duration::from_millis(250),
        advice: None,
    };
    Config {
        version: 2,
        queues: vec![Queue {
            host: "jobs".into(),
            prefix: "/q/".into(),
            policy,
        }],
        body_max: 1 << 16,
        ..Config::default()
    }
}

async fn read_to_end(mut stream: TcpStream) -> String {
    let mut answer = String::new();
    let read = stream.read_to_string(&mut answer);
    time::timeout(CAP, read)
        .await
        .expect("the connection ends")
        .expect("text");
    answer
}

async fn until(mut check: impl FnMut() -> bool) {
    let happened = async {
        while !check() {
            time::sleep(Duration::from_millis(1)).await;
        }
    };
    time::timeout(CAP, happened).await.expect("it happens");
}

/// A client's connection goes silent in the middle of a body. The call was under way for
/// good (30 s and on), since the time that its client waits bounded only what came after
/// the body; a planned stop waits for calls under way.
#[tokio::test]
async fn a_body_that_stays_away_ends_its_call() {
    let played = async {
        let (net, peer) = (Rc::new(Net::default()), Rc::new(Peer::default()));
        let (node, _store) = follower::open(&net, &peer).await;
        node.adopt_config(&Arc::new(config()));
        let front = ClientApi::new(node);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("port");
        let address = listener.local_addr().expect("address");
        task::spawn_local(front.clone().serve(listener));
        let mut client = TcpStream::connect(address).await.expect("connection");
        client
            .write_all(HALF.as_bytes())
            .await
            .expect("half a call");
        let answer = read_to_end(client).await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert_eq!(front.in_flight(), 0);
    };
    LocalSet::new().run_until(played).await;
}

/// The balancer's connection goes silent before its question. It was kept for good (30 s
/// and on), one more for each time that it happens: nothing bounded the wait for a head.
#[tokio::test]
async fn a_silent_question_for_readiness_is_not_kept() {
    let played = async {
        let (net, peer) = (Rc::new(Net::default()), Rc::new(Peer::default()));
        let (node, _store) = follower::open(&net, &peer).await;
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("port");
        let address = listener.local_addr().expect("address");
        task::spawn_local(client_api::serve_readiness(node, listener));
        let balancer = TcpStream::connect(address).await.expect("connection");
        read_to_end(balancer).await;
    };
    LocalSet::new().run_until(played).await;
}

/// A client gives up and closes its connection while its call is under way. The call was
/// counted as under way for good (30 s and on): it is dropped with its connection, and only
/// its end took it off the count. A planned stop waited for it until its last moment.
#[tokio::test]
async fn a_call_ends_with_its_connection() {
    let played = async {
        let (net, peer) = (Rc::new(Net::default()), Rc::new(Peer::default()));
        let (node, _store) = follower::open(&net, &peer).await;
        node.adopt_config(&Arc::new(config()));
        peer.takes.set(CAP * 2);
        let front = ClientApi::new(node);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("port");
        let address = listener.local_addr().expect("address");
        task::spawn_local(front.clone().serve(listener));
        let mut client = TcpStream::connect(address).await.expect("connection");
        client.write_all(WHOLE.as_bytes()).await.expect("a call");
        until(|| front.in_flight() == 1).await;
        drop(client);
        until(|| front.in_flight() == 0).await;
    };
    LocalSet::new().run_until(played).await;
}
