//! A real instance that follows an owner, with an in-memory store.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use ashtiller::failure::Failure;
use ashtiller::store::CallFuture;
use ashtiller::workflow::agents::{Order, OrderReply, Poll, PollReply, Target, WorkerClient};
use ashtiller::workflow::config::{Config, ListedWorker, OperatorEntry, PlatformCodec};
use ashtiller::workflow::kv::{Committed, Item, Page, Store, Txn, Watched};
use ashtiller::workflow::node::{Dependencies, Node};
use ashtiller::workflow::settings::Settings;
use bytes::Bytes;
use tokio::time;

use crate::net::Net;
use crate::peer::Peer;

/// Latency of one call to the store.
const STORE_LATENCY: Duration = Duration::from_millis(3);
const SETTINGS: &str = "[instance]\nname = follower\navailability_zone = bern\n\
     [entry]\nhost = 127.0.0.1\nports = 7720,7735\nclients = 127.0.0.1:7721\n\
     readiness = 127.0.0.1:7722\n[platform]\nstore = 127.0.0.1:7723\n";

/// An in-memory key-value store.
#[derive(Default)]
pub struct MemoryStore {
    items: Mutex<BTreeMap<String, (Bytes, u64)>>,
    /// Count of consistent reads. A follower makes them only to look for another owner.
    pub consistent_reads: AtomicUsize,
}

impl MemoryStore {
    fn item(&self, key: &str) -> Option<Item> {
        let items = self.items.lock().expect("the lock should not be poisoned");
        let (value, revision) = items.get(key)?.clone();
        Some(Item {
            key: key.into(),
            value,
            revision,
        })
    }

    fn write(&self, txn: &Txn) -> Committed {
        let differs = |(key, revision): &&(String, u64)| {
            self.item(key).map_or(0, |item| item.revision) != *revision
        };
        if txn.expect.iter().any(|expected| differs(&expected)) {
            let keys = txn.expect.iter();
            return Committed::Conflict(keys.filter_map(|(key, _)| self.item(key)).collect());
        }
        let mut items = self.items.lock().expect("the lock should not be poisoned");
        let newest_revision = items.values().map(|(_, revision)| *revision).max();
        let next = newest_revision.unwrap_or(0) + 1;
        for (key, value) in &txn.put {
            items.insert(key.clone(), (value.clone(), next));
        }
        Committed::Done(next)
    }
}

impl Store for MemoryStore {
    fn get<'a>(&'a self, key: &'a str, stale: bool) -> CallFuture<'a, Option<Item>> {
        self.consistent_reads
            .fetch_add(usize::from(!stale), Ordering::Relaxed);
        Box::pin(async move {
            time::sleep(STORE_LATENCY).await;
            Ok(self.item(key))
        })
    }

    fn scan<'a>(&'a self, prefix: &'a str, after: Option<&'a str>) -> CallFuture<'a, Page> {
        Box::pin(async move {
            time::sleep(STORE_LATENCY).await;
            let items = self.items.lock().expect("the lock should not be poisoned");
            let keys = items.keys().filter(|key| {
                key.starts_with(prefix) && after.is_none_or(|after| key.as_str() > after)
            });
            let keys: Vec<String> = keys.cloned().collect();
            drop(items);
            let items = keys.iter().filter_map(|key| self.item(key)).collect();
            Ok(Page {
                items,
                ..Page::default()
            })
        })
    }

    fn watch<'a>(&'a self, _: &'a str, at: u64, wait: Duration) -> CallFuture<'a, Watched> {
        Box::pin(async move {
            time::sleep(wait).await;
            Ok(Watched::Changes(Vec::new(), at))
        })
    }

    fn commit<'a>(&'a self, txn: &'a Txn) -> CallFuture<'a, Committed> {
        Box::pin(async move {
            time::sleep(STORE_LATENCY).await;
            Ok(self.write(txn))
        })
    }
}

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
