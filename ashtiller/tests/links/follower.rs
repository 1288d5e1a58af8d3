//! A real instance that follows an owner, with a store in memory.

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

/// Time of one call to the store.
const CALL: Duration = Duration::from_millis(3);
const SETTINGS: &str = "[instance]\nname = follower\navailability_zone = bern\n\
     [entry]\nhost = 127.0.0.1\nports = 7720,7735\nclients = 127.0.0.1:7721\n\
     readiness = 127.0.0.1:7722\n[platform]\nstore = 127.0.0.1:7723\n";

/// A key-value service in memory.
#[derive(Default)]
pub struct Memory {
    items: Mutex<BTreeMap<String, (Bytes, u64)>>,
    /// Reads that must not be stale; of a follower, each is a look for another owner.
    pub reads: AtomicUsize,
}

impl Memory {
    fn item(&self, key: &str) -> Option<Item> {
        let items = self.items.lock().expect("items");
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
        let mut items = self.items.lock().expect("items");
        let newest = items.values().map(|(_, revision)| *revision).max();
        let next = newest.unwrap_or(0) + 1;
        for (key, value) in &txn.put {
            items.insert(key.clone(), (value.clone(), next));
        }
        Committed::Done(next)
    }
}

impl Store for Memory {
    fn get<'a>(&'a self, key: &'a str, stale: bool) -> CallFuture<'a, Option<Item>> {
        self.reads.fetch_add(usize::from(!stale), Ordering::Relaxed);
        Box::pin(async move {
            time::sleep(CALL).await;
            Ok(self.item(key))
        })
    }

    fn scan<'a>(&'a self, prefix: &'a str, after: Option<&'a str>) -> CallFuture<'a, Page> {
        Box::pin(async move {
            time::sleep(CALL).await;
            let items = self.items.lock().expect("items");
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
            time::sleep(CALL).await;
            Ok(self.write(txn))
        })
    }
}

struct Nobody;

impl WorkerClient for Nobody {
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

impl PlatformCodec for Nobody {
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

/// An instance that has met the owner, and its store.
pub async fn open(net: &Rc<Net>, peer: &Rc<Peer>) -> (Rc<Node>, Arc<Memory>) {
    net.host(crate::peer::ADDRESS, peer.clone());
    let store = Arc::new(Memory::default());
    let outside = Dependencies {
        store: store.clone(),
        agents: Arc::new(Nobody),
        advisor: None,
        machines: None,
        dialect: Arc::new(Nobody),
    };
    let settings = Settings::parse("links.ini", SETTINGS).expect("settings");
    let mut node = Node::open(settings, outside).expect("node");
    Rc::get_mut(&mut node).expect("only one").links = net.links();
    node.adopt_config(&Arc::new(Config {
        version: 1,
        ..Config::default()
    }));
    node.log.acquire(&Peer::as_lead(), 0).await.expect("lead");
    node.spawn();
    while peer.greeted.borrow().len() < 8 {
        time::sleep(CALL).await;
    }
    (node, store)
}
