//! An owner on a link of 2 Mbit/s wrote a snapshot as a single write. That took longer than the
//! write timeout, so the write was abandoned and its bytes were wasted (`log not compacted`, `no
//! answer in time`). Log entries queued behind it; after 0.8 s the log was handed over (`hands over
//! the log`, `stalled_ms` 800) to an instance on a similar link, which had to replay every entry
//! since the beginning (`log replayed`, `took_ms` 1,633, 1,687, 2,012 and 2,397 one after the
//! other).

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use ashtiller::failure::Failure;
use ashtiller::store::CallFuture;
use ashtiller::workflow::kv::{Committed, Item, Page, Store, Txn, Watched};
use ashtiller::workflow::log::{Acquisition, Log, PartSize};
use ashtiller::workflow::log_state::LogState;
use ashtiller::workflow::record::{LogOwner, LogRecord};
use ashtiller::workflow::snapshot;
use ashtiller::workflow::tuning::Tuning;
use bytes::Bytes;
use parking_lot::Mutex;
use tokio::time::{self, Instant};

use crate::driver::{MS, job, policy, step};

/// Bandwidth of a link of 2 Mbit/s.
const LINK_BYTES_PER_SECOND: f64 = 250_000.0;
/// Time after which a write is abandoned.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1200);

struct State {
    items: BTreeMap<String, Item>,
    revision: u64,
    /// Time at which everything sent so far has arrived.
    link_free: Instant,
    /// Number of further snapshot writes whose replies are lost.
    replies_to_lose: u32,
}

/// A store behind a slow link that transmits bytes in the order in which they were sent.
struct SlowLinkStore(Mutex<State>);

impl SlowLinkStore {
    fn open(replies_to_lose: u32) -> Arc<Self> {
        Arc::new(Self(Mutex::new(State {
            items: BTreeMap::new(),
            revision: 0,
            link_free: Instant::now(),
            replies_to_lose,
        })))
    }

    /// Sends bytes over the link and returns the time at which they have arrived.
    fn send(&self, bytes: usize) -> Instant {
        #[expect(clippy::cast_precision_loss, reason = "bytes of one call")]
        let takes = Duration::from_secs_f64(bytes as f64 * 4.0 / 3.0 / LINK_BYTES_PER_SECOND);
        let mut state = self.0.lock();
        state.link_free = state.link_free.max(Instant::now()) + takes;
        state.link_free
    }

    fn apply(&self, txn: &Txn) -> Committed {
        let mut state = self.0.lock();
        let matches = |(key, revision): &(String, u64)| {
            state.items.get(key).map_or(0, |item| item.revision) == *revision
        };
        if !txn.expect.iter().all(matches) {
            let items = txn.expect.iter();
            let items = items.filter_map(|(key, _)| state.items.get(key).cloned());
            return Committed::Conflict(items.collect());
        }
        state.revision += 1;
        let revision = state.revision;
        for (key, value) in &txn.put {
            let item = Item {
                key: key.as_str().into(),
                value: value.clone(),
                revision,
            };
            state.items.insert(key.clone(), item);
        }
        for key in &txn.remove {
            state.items.remove(key);
        }
        Committed::Done(revision)
    }
}

impl Store for SlowLinkStore {
    fn get<'a>(&'a self, key: &'a str, _: bool) -> CallFuture<'a, Option<Item>> {
        Box::pin(async move { Ok(self.0.lock().items.get(key).cloned()) })
    }

    fn scan<'a>(&'a self, prefix: &'a str, after: Option<&'a str>) -> CallFuture<'a, Page> {
        let state = self.0.lock();
        let below = state.items.values().filter(|it| it.key.starts_with(prefix));
        let behind = below.filter(|it| after.is_none_or(|after| &*it.key > after));
        let mut items: Vec<Item> = behind.cloned().collect();
        let more = items.len() > 3;
        items.truncate(3);
        Box::pin(async move { Ok(Page { items, more, at: 1 }) })
    }

    fn watch<'a>(&'a self, key: &'a str, _: u64, _: Duration) -> CallFuture<'a, Watched> {
        Box::pin(async move { Err(Failure::no_effect("watch", key, "not asked for")) })
    }

    fn commit<'a>(&'a self, txn: &'a Txn) -> CallFuture<'a, Committed> {
        Box::pin(async move {
            let bytes = txn.put.iter().map(|(key, value)| key.len() + value.len());
            let through = self.send(bytes.sum());
            if through > Instant::now() + WRITE_TIMEOUT {
                time::sleep(WRITE_TIMEOUT).await;
                return Err(Failure::unknown_effect(
                    "write",
                    "store",
                    "no answer in time",
                ));
            }
            time::sleep_until(through).await;
            let done = self.apply(txn);
            let mut state = self.0.lock();
            if state.replies_to_lose > 0 && txn.put.iter().any(|(key, _)| key.contains("/snap/")) {
                state.replies_to_lose -= 1;
                return Err(Failure::unknown_effect(
                    "write",
                    "store",
                    "the reply is lost",
                ));
            }
            Ok(done)
        })
    }
}

fn owner() -> LogOwner {
    LogOwner {
        name: "a".into(),
        address: ([10, 0, 0, 1], 7720).into(),
        incarnation: 1,
        largest: 120,
        former: None,
        epoch: 0,
    }
}

/// Returns a state of open jobs with payloads, whose snapshot has at least this size.
fn state_of_size(bytes: usize) -> LogState {
    let mut state = LogState::default();
    let mut number = 0;
    while snapshot::encode(&state).unwrap().len() < bytes {
        for _ in 0..20 {
            let mut job = job(&format!("{number:016x}"), vec![step(8)]);
            job.payload = format!("{number:0>3000}").into();
            state.apply(
                &LogRecord::Accepted(Box::new(job), policy(), 1),
                Duration::ZERO,
            );
            number += 1;
        }
    }
    state
}

async fn open(store: &Arc<SlowLinkStore>) -> (Log, u64) {
    let log = Log::new(store.clone(), "flow/", 1);
    let Ok(Acquisition::Acquired(epoch)) = log.acquire(&owner(), 0).await else {
        panic!("the log has no owner yet");
    };
    (log, epoch)
}

/// Writes a snapshot while entries of 2 KB are appended every 50 ms. Returns the number of entries
/// written and the longest time that one of them took.
async fn compact_beside_entries(store: &Arc<SlowLinkStore>, state: &LogState) -> (u64, Duration) {
    let (log, epoch) = open(store).await;
    let bytes = snapshot::encode(state).unwrap();
    let compacted = tokio::spawn({
        let log = log.clone();
        async move { log.compact(epoch, 0, &bytes).await }
    });
    let (mut position, mut longest) = (0, Duration::ZERO);
    while !compacted.is_finished() {
        position += 1;
        let value = log.encode(Vec::new()).unwrap();
        let padded = Bytes::from([&value[..], &[0; 2000]].concat());
        let sent = Instant::now();
        log.append(epoch, position, padded).await.expect("owner");
        longest = longest.max(sent.elapsed());
        time::sleep(50 * MS).await;
    }
    compacted.await.unwrap().expect("the snapshot is written");
    (position, longest)
}

#[tokio::test(start_paused = true)]
async fn a_snapshot_on_a_slow_link_is_written_and_delays_no_entry() {
    let store = SlowLinkStore::open(0);
    let state = state_of_size(600_000);
    let (entries, longest) = compact_beside_entries(&store, &state).await;
    let stall = Tuning::default().stall;
    assert!(longest < stall, "{longest:?} of {entries} entries");
    let replayed = Log::new(store, "flow/", 2).replay(Duration::ZERO).await;
    let jobs = replayed.expect("a whole log").state.jobs.len();
    assert_eq!(jobs, state.jobs.len());
}

/// The reply to a part is lost and the retry is smaller; the bytes of the first attempt count.
#[tokio::test(start_paused = true)]
async fn a_part_whose_reply_was_lost_is_not_overwritten() {
    let store = SlowLinkStore::open(3);
    let state = state_of_size(200_000);
    compact_beside_entries(&store, &state).await;
    let replayed = Log::new(store, "flow/", 2).replay(Duration::ZERO).await;
    let jobs = replayed.expect("a whole log").state.jobs.len();
    assert_eq!(jobs, state.jobs.len());
}

/// Writing a snapshot takes so long that the next one is finished first. Once the entries before
/// the newer snapshot are removed, the older one must not become the newest: the entries between
/// them would be missing.
#[tokio::test(start_paused = true)]
async fn a_snapshot_that_finishes_late_replaces_no_newer_one() {
    let store = SlowLinkStore::open(0);
    let (log, epoch) = open(&store).await;
    let mut state = state_of_size(100_000);
    let early = snapshot::encode(&state).unwrap();
    let late = tokio::spawn({
        let log = log.clone();
        async move { log.compact(epoch, 0, &early).await }
    });
    time::sleep(100 * MS).await;
    for position in 1..=4 {
        let number = u64::try_from(state.jobs.len()).unwrap();
        let job = job(&format!("{number:016x}"), vec![step(1)]);
        let accepted = LogRecord::Accepted(Box::new(job), policy(), 1);
        state.apply(&accepted, Duration::ZERO);
        let value = log.encode(vec![accepted]).unwrap();
        log.append(epoch, position, value).await.expect("owner");
    }
    // The newer snapshot is small, as most jobs have ended meanwhile.
    let small = snapshot::encode(&LogState::default()).unwrap();
    log.compact(epoch, 4, &small).await.expect("written");
    assert!(late.await.unwrap().is_err(), "it is outdated");
    let replayed = log.replay(Duration::ZERO).await.expect("a whole log");
    assert_eq!(replayed.next_position, 5);
    assert!(replayed.state.jobs.is_empty());
}

/// On a fast link the parts grow, so that a snapshot takes few calls.
#[test]
fn parts_grow_where_they_are_fast_and_shrink_where_they_are_slow() {
    let mut size = PartSize::default();
    let first = size.bytes();
    for _ in 0..20 {
        size.note_written(5 * MS);
    }
    assert_eq!(size.bytes(), 512 << 10);
    for _ in 0..20 {
        size.note_written(200 * MS);
    }
    assert!(size.bytes() < first, "{}", size.bytes());
    size.note_failure();
    assert!(size.bytes() > 0);
}
