//! What replies of the store prove when they are reordered or arrive early, in virtual time.

use std::sync::Arc;
use std::time::Duration;

use ashtiller::clock::Moment;
use ashtiller::failure::Failure;
use ashtiller::store::CallFuture;
use ashtiller::workflow::follow::{self, StoreUpdate};
use ashtiller::workflow::kv::{Committed, Item, Page, Store, Txn, Watched};
use parking_lot::Mutex;
use tokio::sync::{mpsc, watch};
use tokio::time;

use crate::driver::MS;

/// Timeout for every expected event; it costs nothing in virtual time.
const TIMEOUT: Duration = Duration::from_mins(1);
/// Wait of a watch in these tests.
const WAIT: Duration = Duration::from_secs(1);

/// A store of one item, with the delay in milliseconds and the revision of each list, the next one
/// last. Watches are answered without a change after half of their wait.
struct Lists(Mutex<Vec<(u32, u64)>>);

impl Store for Lists {
    fn get<'a>(&'a self, key: &'a str, _: bool) -> CallFuture<'a, Option<Item>> {
        Box::pin(async move { Err(Failure::no_effect("read", key, "not asked for")) })
    }

    fn scan<'a>(&'a self, prefix: &'a str, _: Option<&'a str>) -> CallFuture<'a, Page> {
        let (millis, at) = self.0.lock().pop().expect("a list");
        let item = Item {
            key: prefix.into(),
            value: bytes::Bytes::new(),
            revision: at,
        };
        let page = Page {
            items: vec![item],
            more: false,
            at,
        };
        Box::pin(async move {
            time::sleep(millis * MS).await;
            Ok(page)
        })
    }

    fn watch<'a>(&'a self, _: &'a str, at: u64, wait: Duration) -> CallFuture<'a, Watched> {
        Box::pin(async move {
            time::sleep(wait / 2).await;
            Ok(Watched::Changes(Vec::new(), at))
        })
    }

    fn commit<'a>(&'a self, _: &'a Txn) -> CallFuture<'a, Committed> {
        Box::pin(async { Err(Failure::no_effect("write", "store", "not asked for")) })
    }
}

/// Returns the first updates of a follower: the time in milliseconds from its start as of which
/// each is valid, and the revision of the item if the update is a list.
async fn first_seen(lists: &[(u32, u64)], most: usize) -> Vec<(u128, Option<u64>)> {
    let start = Moment::now();
    let lists = lists.iter().rev().copied().collect();
    let (sender, mut seen) = mpsc::channel(16);
    let (_wait, wait) = watch::channel(WAIT);
    let store = Arc::new(Lists(Mutex::new(lists)));
    tokio::spawn(follow::follow(store, "workers/", wait, sender));
    let mut updates = Vec::new();
    while updates.len() < most {
        let seen = time::timeout(TIMEOUT, seen.recv()).await;
        updates.push(match seen.expect("an update").expect("a follower") {
            StoreUpdate::All { items, as_of } => {
                (as_of.since(start).as_millis(), Some(items[0].revision))
            }
            StoreUpdate::Changes { changes, as_of } => {
                assert!(changes.is_empty());
                (as_of.since(start).as_millis(), None)
            }
        });
    }
    updates
}

/// Lists overlap while the store is slow. The first list shows that it is slow; the third is
/// answered before the second, which is older; the fourth was read before the third, though
/// requested later. Without a check of the request times, an update as of 800 ms was followed by
/// one as of 400 ms; without a check of revisions, revision 4 followed revision 5.
#[tokio::test(start_paused = true)]
async fn an_older_list_does_not_undo_a_newer_one() {
    let lists = [(900, 1), (900, 3), (450, 5), (450, 4), (450, 6), (450, 6)];
    let updates = first_seen(&lists, 4).await;
    let revisions: Vec<_> = updates.iter().map(|(_, revision)| *revision).collect();
    assert_eq!(revisions, [Some(1), Some(5), None, Some(6)], "{updates:?}");
    assert!(updates.is_sorted_by_key(|(as_of, _)| *as_of), "{updates:?}");
    assert_eq!((updates[0].0, updates[1].0), (0, 800));
}

/// A waiting watch may be cut off. A reply without a change that arrives before the wait is over
/// may have been in flight since the watch was sent. Watches are sent at least 250 ms apart, here
/// at 0 and 500 ms; when such replies counted as of their arrival, two of them counted as of 500
/// and 1000 ms.
#[tokio::test(start_paused = true)]
async fn an_early_reply_proves_nothing_after_its_request() {
    let updates = first_seen(&[(0, 1)], 3).await;
    assert_eq!(updates, [(0, Some(1)), (0, None), (500, None)]);
}
