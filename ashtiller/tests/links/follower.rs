//! A real instance that follows an owner, with an in-memory store.

use std::rc::Rc;
use std::sync::Arc;

use ashtiller::failure::Failure;
use ashtiller::store::CallFuture;
use ashtiller::workflow::agents::{Order, OrderReply, Poll, PollReply, Target, WorkerClient};
use ashtiller::workflow::config::{Config, ListedWorker, OperatorEntry, PlatformCodec};
use ashtiller::workflow::node::{Dependencies, Node};
use ashtiller::workflow::settings::Settings;
use bytes::Bytes;
use tokio::time;

use crate::memory_store::{MemoryStore, STORE_LATENCY};
use crate::net::Net;
use crate::peer::Peer;

const SETTINGS: &str = "[instance]\nname = follower\navailability_zone = bern\n\
     [entry]\nhost = 127.0.0.1\nports = 7720,7735\nclients = 127.0.0.1:7721\n\
     readiness = 127.0.0.1:7722\n[platform]\nstore = 127.0.0.1:7723\n";

/// A platform without workers.
struct NoWorkers;

impl WorkerClient for NoWorkers {
    fn order<'a>(&'a self, to: &'a Target, _: &'a Order) -> CallFuture<'a, OrderReply> {
        Box::pin(async move {
            Err(Failure::no_effect(
                "order",
                &to.incarnation,
                "there are no workers",
            ))
        })
    }

    fn poll<'a>(&'a self, to: &'a Target, _: &'a Poll) -> CallFuture<'a, PollReply> {
        Box::pin(async move {
            Err(Failure::no_effect(
                "look",
                &to.incarnation,
                "there are no workers",
            ))
        })
    }
}

impl PlatformCodec for NoWorkers {
    fn worker_prefix(&self) -> &'static str {
        "workers/"
    }

    fn worker(&self, key: &str, _: &[u8]) -> anyhow::Result<ListedWorker> {
        anyhow::bail!("no worker at {key}")
    }

    fn operator_prefix(&self) -> &'static str {
        "operators/"
    }

    fn operated(&self, _: &str, _: &[u8]) -> anyhow::Result<OperatorEntry> {
        Ok(OperatorEntry::Other)
    }

    fn evacuated(&self, key: &str) -> Option<Arc<str>> {
        key.strip_prefix("operators/evacuated/").map(Arc::from)
    }

    fn wave_status(&self, number: u64, _: bool) -> (String, Bytes) {
        (format!("wave/{number}"), Bytes::new())
    }
}

/// Opens an instance and its store; returns after eight heartbeats to the owner.
pub async fn open(net: &Rc<Net>, peer: &Rc<Peer>) -> (Rc<Node>, Arc<MemoryStore>) {
    net.host(crate::peer::ADDRESS, peer.clone());
    let store = Arc::new(MemoryStore::default());
    let dependencies = Dependencies {
        store: store.clone(),
        agents: Arc::new(NoWorkers),
        advisor: None,
        machines: None,
        codec: Arc::new(NoWorkers),
    };
    let settings = Settings::parse("links.ini", SETTINGS).expect("the settings should parse");
    let mut node = Node::open(settings, dependencies).expect("the node should open");
    Rc::get_mut(&mut node)
        .expect("the node should not be shared yet")
        .links = net.links();
    node.adopt_config(&Arc::new(Config {
        version: 1,
        ..Config::default()
    }));
    node.log
        .acquire(&Peer::as_owner(), 0)
        .await
        .expect("the log should be acquired");
    node.spawn();
    while peer.heartbeats.borrow().len() < 8 {
        time::sleep(STORE_LATENCY).await;
    }
    (node, store)
}
