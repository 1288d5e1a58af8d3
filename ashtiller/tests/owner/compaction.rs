//! An owner on a link of 2 Mbit/s writes a snapshot of its log. It went out as one write of the
//! whole: that took longer than a write may take, so it was given up and its bytes were in
//! vain (`log not compacted`, `no answer in time`); entries waited behind it, and after 0.8 s of
//! that the log was handed to an instance on a link of the same kind, which had to replay all
//! entries since the beginning (`hands over the log`, `stalled_ms` 800, then `log replayed`,
//! `took_ms` 1,633, 1,687, 2,012 and 2,397 one after the other).

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

/// Bytes a second of a link of 2 Mbit/s.
const RATE: f64 = 250_000.0;
/// Time after which a write is given up.
const LIMIT: Duration = Duration::from_millis(1200);

struct State {
    items: BTreeMap<String, Item>,
    revision: u64,
    /// When all that was sent so far has come through.
    free: Instant,
    /// Writes whose answers are lost, as their count.
    lost: u32,
}

/// A store at the end of a thin link, which carries bytes in the order in which they were sent.
struct Thin(Mutex<State>);

impl Thin {
    fn open(lost: u32) -> Arc<Self> {
        Arc::new(Self(Mutex::new(State {
            items: BTreeMap::new(),
            revision: 0,
            free: Instant::now(),
            lost,
        })))
    }

    /// Sends so many bytes; the result is when they have come through.
    fn send(&self, bytes: usize) -> Instant {
        #[expect(clippy::cast_precision_loss, reason = "bytes of one call")]
        let takes = Duration::from_secs_f64(bytes as f64 * 4.0 / 3.0 / RATE);
        let mut state = self.0.lock();
        state.free = state.free.max(Instant::now()) + takes;
        state.free
    }

    fn apply(&self, txn: &Txn) -> Committed {
        let mut state = self.0.lock();
        let holds = |(key, revision): &(String, u64)| {
            state.items.get(key).map_or(0, |item| item.revision) == *revision
        };
        if !txn.expect.iter().all(holds) {
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

impl Store for Thin {
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
            if through > Instant::now() + LIMIT {
                time::sleep(LIMIT).await;
                return Err(Failure::unknown_effect(
                    "write",
                    "store",
                    "no answer in time",
                ));
            }
            time::sleep_until(through).await;
            let done = self.apply(txn);
            let mut state = self.0.lock();
            if state.lost > 0 && txn.put.iter().any(|(key, _)| key.contains("/snap/")) {
                state.lost -= 1;
                return Err(Failure::unknown_effect(
                    "write",
                    "store",
                    "the answer is lost",
                ));
            }
            Ok(done)
        })
    }
}

fn lead() -> LogOwner {
    LogOwner {
        name: "a".into(),
        address: ([10, 0, 0, 1], 7720).into(),
        incarnation: 1,
        largest: 120,
        former: None,
        epoch: 0,
    }
}

/// A book of open jobs with payloads, as large as so many bytes.
fn book_of(bytes: usize) -> LogState {
    let mut book = LogState::default();
    let mut number = 0;
    while snapshot::encode(&book).unwrap().len() < bytes {
        for _ in 0..20 {
            let mut job = job(&format!("{number:016x}"), vec![step(8)]);
            job.payload = format!("{number:0>3000}").into();
            book.apply(
                &LogRecord::Accepted(Box::new(job), policy(), 1),
                Duration::ZERO,
            );
            number += 1;
        }
    }
    book
}

async fn open(store: &Arc<Thin>) -> (Log, u64) {
    let log = Log::new(store.clone(), "flow/", 1);
    let Ok(Acquisition::Acquired(epoch)) = log.acquire(&lead(), 0).await else {
        panic!("the log has no owner yet");
    };
    (log, epoch)
}

/// Writes a snapshot while entries of 2 KB go out each 50 ms. The result is how many entries
/// were written and the longest time that one took.
async fn compact_beside_entries(store: &Arc<Thin>, book: &LogState) -> (u64, Duration) {
    let (log, epoch) = open(store).await;
    let bytes = snapshot::encode(book).unwrap();
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
async fn a_snapshot_on_a_thin_link_is_written_and_holds_up_no_entry() {
    let store = Thin::open(0);
    let book = book_of(600_000);
    let (entries, longest) = compact_beside_entries(&store, &book).await;
    let stall = Tuning::default().stall;
    assert!(longest < stall, "{longest:?} of {entries} entries");
    let replayed = Log::new(store, "flow/", 2).replay(Duration::ZERO).await;
    let jobs = replayed.expect("a whole log").state.jobs.len();
    assert_eq!(jobs, book.jobs.len());
}

/// The answer to a part is lost, and the next try is smaller; what the first one wrote counts.
#[tokio::test(start_paused = true)]
async fn a_part_whose_answer_was_lost_is_not_written_over() {
    let store = Thin::open(3);
    let book = book_of(200_000);
    compact_beside_entries(&store, &book).await;
    let replayed = Log::new(store, "flow/", 2).replay(Duration::ZERO).await;
    let jobs = replayed.expect("a whole log").state.jobs.len();
    assert_eq!(jobs, book.jobs.len());
}

/// A snapshot takes so long that the next one is written before it. Once entries of before the
/// newer one are removed, the older one must not become the newest: entries between them would be
/// missing.
#[tokio::test(start_paused = true)]
async fn a_snapshot_that_comes_late_replaces_no_newer_one() {
    let store = Thin::open(0);
    let (log, epoch) = open(&store).await;
    let mut book = book_of(100_000);
    let early = snapshot::encode(&book).unwrap();
    let late = tokio::spawn({
        let log = log.clone();
        async move { log.compact(epoch, 0, &early).await }
    });
    time::sleep(100 * MS).await;
    for position in 1..=4 {
        let number = u64::try_from(book.jobs.len()).unwrap();
        let job = job(&format!("{number:016x}"), vec![step(1)]);
        let accepted = LogRecord::Accepted(Box::new(job), policy(), 1);
        book.apply(&accepted, Duration::ZERO);
        let value = log.encode(vec![accepted]).unwrap();
        log.append(epoch, position, value).await.expect("owner");
    }
    // The newer one is small, as most jobs have ended meanwhile.
    let small = snapshot::encode(&LogState::default()).unwrap();
    log.compact(epoch, 4, &small).await.expect("written");
    assert!(late.await.unwrap().is_err(), "it comes late");
    let replayed = log.replay(Duration::ZERO).await.expect("a whole log");
    assert_eq!(replayed.next_position, 5);
    assert!(replayed.state.jobs.is_empty());
}

/// On a link that is fast the parts become large, so that a snapshot takes few calls.
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
