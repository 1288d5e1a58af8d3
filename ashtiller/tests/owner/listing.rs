//! Lists of the contents of the store.

use std::sync::Arc;
use std::time::Duration;

use ashtiller::failure::Failure;
use ashtiller::store::CallFuture;
use ashtiller::workflow::follow::{self, StoreUpdate};
use ashtiller::workflow::kv::{Committed, Item, Page, Store, Txn, Watched};
use tokio::sync::{mpsc, watch};

/// A store of three items on two pages, which never change.
struct Pages;

fn item(key: &str, revision: u64) -> Item {
    Item {
        key: key.into(),
        value: bytes::Bytes::new(),
        revision,
    }
}

impl Store for Pages {
    fn get<'a>(&'a self, key: &'a str, _: bool) -> CallFuture<'a, Option<Item>> {
        Box::pin(async move { Err(Failure::no_effect("read", key, "not asked for")) })
    }

    fn scan<'a>(&'a self, _: &'a str, after: Option<&'a str>) -> CallFuture<'a, Page> {
        let (items, more) = match after {
            None => (vec![item("workers/a", 9), item("workers/b", 3)], true),
            Some("workers/b") => (vec![item("workers/c", 5)], false),
            Some(_) => (Vec::new(), false),
        };
        Box::pin(async move { Ok(Page { items, more, at: 9 }) })
    }

    fn watch<'a>(&'a self, _: &'a str, at: u64, _: Duration) -> CallFuture<'a, Watched> {
        Box::pin(async move {
            std::future::pending::<()>().await;
            Ok(Watched::Changes(Vec::new(), at))
        })
    }

    fn commit<'a>(&'a self, _: &'a Txn) -> CallFuture<'a, Committed> {
        Box::pin(async { Err(Failure::no_effect("write", "store", "not asked for")) })
    }
}

#[tokio::test]
async fn what_changed_last_is_listed_last() {
    let (sender, mut seen) = mpsc::channel(1);
    let (_wait, wait) = watch::channel(follow::LONG_WAIT);
    let follow = follow::follow(Arc::new(Pages), "workers/", wait, sender);
    let following = tokio::spawn(follow);
    let Some(StoreUpdate::All { items, .. }) = seen.recv().await else {
        panic!("no list");
    };
    let keys: Vec<&str> = items.iter().map(|item| &*item.key).collect();
    assert_eq!(keys, ["workers/b", "workers/c", "workers/a"]);
    following.abort();
}
