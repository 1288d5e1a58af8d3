//! What answers of the store prove when they pass each other or come early, in virtual time.

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

/// Longest wait for anything that must happen; in virtual time it costs nothing.
const CAP: Duration = Duration::from_mins(1);
/// Wait of a watch in these tests.
const WAIT: Duration = Duration::from_secs(1);

/// A store of one item. Each list takes so many milliseconds and shows the store at a
/// revision; watches are answered without a change after half of their wait.
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

/// What a follower tells first: as of when, in milliseconds from its begin, and the
/// revision of the item if there was a list.
async fn first_seen(lists: &[(u32, u64)], most: usize) -> Vec<(u128, Option<u64>)> {
    let begin = Moment::now();
    let lists = lists.iter().rev().copied().collect();
    let (sender, mut seen) = mpsc::channel(16);
    let (_patience, patience) = watch::channel(WAIT);
    let store = Arc::new(Lists(Mutex::new(lists)));
    tokio::spawn(follow::follow(store, "workers/", patience, sender));
    let mut told = Vec::new();
    while told.len() < most {
        let seen = time::timeout(CAP, seen.recv()).await;
        told.push(match seen.expect("something seen").expect("a follower") {
            StoreUpdate::All { items, as_of } => {
                (as_of.since(begin).as_millis(), Some(items[0].revision))
            }
            StoreUpdate::Changes { changes, as_of } => {
                assert!(changes.is_empty());
                (as_of.since(begin).as_millis(), None)
            }
        });
    }
    told
}

/// Lists overlap while the store is slow. The first shows that it is; the third is answered
/// before the second, which is older; the fourth was read before the third, though it was
/// asked for later. Without a check of when each was asked for, what was told as of 800 ms
/// was then told as of 400; without one of revisions, revision 4 followed 5.
#[tokio::test(start_paused = true)]
async fn an_older_list_does_not_undo_a_newer_one() {
    let lists = [(900, 1), (900, 3), (450, 5), (450, 4), (450, 6), (450, 6)];
    let told = first_seen(&lists, 4).await;
    let revisions: Vec<_> = told.iter().map(|(_, revision)| *revision).collect();
    assert_eq!(revisions, [Some(1), Some(5), None, Some(6)], "{told:?}");
    assert!(told.is_sorted_by_key(|(as_of, _)| *as_of), "{told:?}");
    assert_eq!((told[0].0, told[1].0), (0, 800));
}

/// A watch that waits may be cut. An answer without a change that comes before the wait is
/// over may have been on its way since the watch was sent, at 0 ms and, 250 ms after that
/// at the earliest, at 500 ms; taken as of their arrival two such counted as of 500 and 1000.
#[tokio::test(start_paused = true)]
async fn an_early_answer_proves_no_more_than_its_call() {
    let told = first_seen(&[(0, 1)], 3).await;
    assert_eq!(told, [(0, Some(1)), (0, None), (500, None)]);
}
