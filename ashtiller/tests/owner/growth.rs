//! Whether an owner that does not answer still writes to its log.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use ashtiller::failure::Failure;
use ashtiller::store::CallFuture;
use ashtiller::workflow::kv::{Committed, Item, Page, Store, Txn, Watched};
use ashtiller::workflow::log::Log;
use tokio::time::{self, Instant};

/// A log with this many entries.
struct Entries(AtomicU64);

impl Store for Entries {
    fn get<'a>(&'a self, key: &'a str, _: bool) -> CallFuture<'a, Option<Item>> {
        Box::pin(async move { Err(Failure::no_effect("read", key, "not asked for")) })
    }

    fn scan<'a>(&'a self, prefix: &'a str, after: Option<&'a str>) -> CallFuture<'a, Page> {
        let after = after.unwrap_or_default().to_owned();
        let keys = (1..=self.0.load(Ordering::Relaxed)).map(move |at| format!("{prefix}{at:012x}"));
        let items = keys.filter(|key| **key > *after).map(|key| Item {
            key: key.into(),
            value: bytes::Bytes::new(),
            revision: 1,
        });
        let page = Page {
            items: items.collect(),
            more: false,
            at: 1,
        };
        Box::pin(async move { Ok(page) })
    }

    fn watch<'a>(&'a self, key: &'a str, _: u64, _: Duration) -> CallFuture<'a, Watched> {
        Box::pin(async move { Err(Failure::no_effect("watch", key, "not asked for")) })
    }

    fn commit<'a>(&'a self, _: &'a Txn) -> CallFuture<'a, Committed> {
        Box::pin(async { Err(Failure::no_effect("write", "store", "not asked for")) })
    }
}

/// A follower suspects an owner before it replaces it; the time in between counts as observation
/// time.
#[tokio::test]
async fn a_log_that_was_read_a_while_ago_is_judged_immediately() {
    time::pause();
    for (added, expected) in [(0, false), (1, true)] {
        let entries = Arc::new(Entries(AtomicU64::new(7)));
        let log = Log::new(entries.clone(), "flow/", 1);
        let tail = log.read_tail(5).await.expect("the tail of the log");
        time::advance(Duration::from_millis(700)).await;
        entries.0.fetch_add(added, Ordering::Relaxed);
        let asked = Instant::now();
        assert_eq!(log.has_grown(tail).await.expect("answer"), expected);
        assert!(asked.elapsed() < Duration::from_millis(5), "waited again");
    }
}
