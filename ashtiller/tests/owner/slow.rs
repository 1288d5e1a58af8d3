//! A store that is slow, refuses calls, or ends its watches early, in virtual time.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use ashtiller::clock::Moment;
use ashtiller::failure::Failure;
use ashtiller::store::CallFuture;
use ashtiller::workflow::agents::ORDER_TIMEOUT_MIN;
use ashtiller::workflow::follow::{self, StoreUpdate};
use ashtiller::workflow::kv::{Committed, Item, Page, Store, Txn, Watched};
use ashtiller::workflow::tuning::Tuning;
use tokio::sync::{mpsc, watch};
use tokio::time;

use crate::driver::MS;

/// Time for which a follower is observed.
const SPAN: Duration = Duration::from_mins(1);
/// Timeouts of a list, and of a watch beyond its wait, as the platform's client has them.
const READ_LIMIT: Duration = Duration::from_millis(1200);
const WATCH_SLACK: Duration = Duration::from_millis(400);

/// Behaviors of a store.
#[derive(Clone, Copy)]
enum Behavior {
    /// Every reply takes this long.
    Slow(Duration),
    /// Lists are answered; every watch is told that its history was compacted.
    CompactsHistory,
    /// Watches are answered immediately although nothing changed.
    AnswersEarly,
    /// Every call is refused immediately.
    Refusing,
    /// No watch gets a reply, nor does every other list; the other lists are answered immediately.
    Lossy,
}

/// A store in which nothing changes.
struct UnchangingStore {
    behavior: Behavior,
    lists: AtomicUsize,
    watches: AtomicUsize,
}

impl UnchangingStore {
    fn open(behavior: Behavior) -> Arc<Self> {
        Arc::new(Self {
            behavior,
            lists: AtomicUsize::new(0),
            watches: AtomicUsize::new(0),
        })
    }

    /// Returns the numbers of lists and watches requested so far.
    fn calls(&self) -> (usize, usize) {
        let read = |count: &AtomicUsize| count.load(Ordering::Relaxed);
        (read(&self.lists), read(&self.watches))
    }
}

/// Returns `it` after `delay`, or a failure after `limit` if that is shorter.
async fn answer<T>(
    step: &'static str,
    delay: Duration,
    limit: Duration,
    it: T,
) -> Result<T, Failure> {
    time::sleep(delay.min(limit)).await;
    if delay > limit {
        return Err(Failure::unknown_effect(step, "store", "no answer in time"));
    }
    Ok(it)
}

impl Store for UnchangingStore {
    fn get<'a>(&'a self, key: &'a str, _: bool) -> CallFuture<'a, Option<Item>> {
        Box::pin(async move { Err(Failure::no_effect("read", key, "not asked for")) })
    }

    fn scan<'a>(&'a self, _: &'a str, _: Option<&'a str>) -> CallFuture<'a, Page> {
        let number = self.lists.fetch_add(1, Ordering::Relaxed);
        Box::pin(async move {
            match self.behavior {
                Behavior::Slow(delay) => answer("list", delay, READ_LIMIT, Page::default()).await,
                Behavior::CompactsHistory | Behavior::AnswersEarly => Ok(Page::default()),
                Behavior::Refusing => Err(Failure::no_effect("list", "store", "refused")),
                Behavior::Lossy => {
                    let delay = if number.is_multiple_of(2) { MS } else { SPAN };
                    answer("list", delay, READ_LIMIT, Page::default()).await
                }
            }
        })
    }

    fn watch<'a>(&'a self, _: &'a str, at: u64, wait: Duration) -> CallFuture<'a, Watched> {
        self.watches.fetch_add(1, Ordering::Relaxed);
        let unchanged = Watched::Changes(Vec::new(), at);
        Box::pin(async move {
            match self.behavior {
                Behavior::Slow(delay) => {
                    time::sleep(wait).await;
                    answer("watch", delay, WATCH_SLACK, unchanged).await
                }
                Behavior::Lossy => {
                    time::sleep(wait).await;
                    answer("watch", SPAN, WATCH_SLACK, unchanged).await
                }
                Behavior::CompactsHistory => Ok(Watched::Compacted),
                Behavior::AnswersEarly => Ok(unchanged),
                Behavior::Refusing => Err(Failure::no_effect("watch", "store", "refused")),
            }
        })
    }

    fn commit<'a>(&'a self, _: &'a Txn) -> CallFuture<'a, Committed> {
        Box::pin(async { Err(Failure::no_effect("write", "store", "not asked for")) })
    }
}

/// Follows the list of workers as the owner of a log does.
fn follow(store: Arc<dyn Store>) -> (watch::Sender<Duration>, mpsc::Receiver<StoreUpdate>) {
    follow_for(store, follow::short_wait(Tuning::default().drain))
}

fn follow_for(
    store: Arc<dyn Store>,
    wait: Duration,
) -> (watch::Sender<Duration>, mpsc::Receiver<StoreUpdate>) {
    let (sender, seen) = mpsc::channel(16);
    let wait = watch::Sender::new(wait);
    let receiver = wait.subscribe();
    tokio::spawn(follow::follow(store, "workers/", receiver, sender));
    (wait, seen)
}

fn as_of(seen: &StoreUpdate) -> Moment {
    match seen {
        StoreUpdate::All { as_of, .. } | StoreUpdate::Changes { as_of, .. } => *as_of,
    }
}

/// Returns the time, in thousandths, for which starts are held because the list of workers is old.
async fn held_share(store: Arc<dyn Store>) -> u32 {
    let (_wait, mut seen) = follow(store);
    let begin = Moment::now();
    let (mut listed, mut held, mut total) = (begin, 0, 0);
    while begin.elapsed() < SPAN {
        while let Ok(seen) = seen.try_recv() {
            listed = listed.max(as_of(&seen));
        }
        total += 1;
        held += u32::from(listed.elapsed() + ORDER_TIMEOUT_MIN >= Tuning::default().drain);
        time::sleep(5 * MS).await;
    }
    held * 1000 / total
}

/// Starts waited for more than half of the time while the store answered slowly. Every reply took
/// longer than the time beyond its wait after which a watch times out, so every watch failed, and
/// only then was the list requested. A watch that could not be answered in time was tried every
/// time, and calls were made one after the other, so the age of the list grew to the wait, the
/// slack and two replies. Starts were held for 14 % of a minute with replies of 450 ms, 24 % at
/// 600, 52 % at 1000 and 66 % at 1150 ms; now never. A healthy store still gets one call a second.
#[tokio::test(start_paused = true)]
async fn starts_continue_while_the_store_is_slow() {
    let mut held = Vec::new();
    for millis in [4, 100, 350, 450, 600, 800, 1000, 1150, 1300] {
        let store = UnchangingStore::open(Behavior::Slow(millis * MS));
        let share = held_share(store.clone()).await;
        let (lists, watches) = store.calls();
        println!("replies after {millis} ms: held {share} ‰, {lists} lists, {watches} watches");
        if millis < 400 {
            assert!(
                lists == 1 && watches <= 61,
                "{lists} lists, {watches} watches"
            );
        }
        assert!(lists + watches <= 150, "{lists} lists, {watches} watches");
        if millis < 1200 && share > 0 {
            held.push((millis, share));
        }
    }
    assert!(held.is_empty(), "starts are held: {held:?}");
}

/// The store got calls without limit, each of them billed, while it refused calls or had compacted
/// its history. Every watch is told that its history was compacted, or is answered immediately
/// although nothing changed; the list can be read. Only a failed call was followed by a pause, and
/// an early reply without a change counted as proof up to its arrival, though it may have been in
/// flight for long. 17 lists and 16 watches were sent at the first instant, until the queue of
/// updates was full; now at most four of each are sent a second, and an update is as old as its
/// call.
#[tokio::test(start_paused = true)]
async fn a_store_that_ends_watches_early_gets_few_calls() {
    for behavior in [
        Behavior::CompactsHistory,
        Behavior::AnswersEarly,
        Behavior::Refusing,
    ] {
        let store = UnchangingStore::open(behavior);
        let (_wait, mut seen) = follow(store.clone());
        let begin = Moment::now();
        let mut latest = begin;
        while begin.elapsed() < SPAN {
            while let Ok(seen) = seen.try_recv() {
                assert!(as_of(&seen) <= Moment::now());
                latest = as_of(&seen);
            }
            let (lists, watches) = store.calls();
            let most = 2 + usize::try_from(begin.elapsed().as_millis()).expect("a minute") / 250;
            assert!(
                lists <= most && watches <= most,
                "{lists} lists, {watches} watches"
            );
            time::sleep(5 * MS).await;
        }
        let known = !matches!(behavior, Behavior::Refusing);
        assert_eq!(latest.elapsed() < Duration::from_secs(1), known);
    }
}

/// A configuration could take effect 2.6 s after the store had accepted it, though the platform
/// allows 2 s. The connection of a watch goes silent, and so does that of the list requested next;
/// the one after that works. The list was waited for alone until its timeout of 1.2 s. The known
/// state became 2.601 s old; now 1.801 s.
#[tokio::test(start_paused = true)]
async fn a_list_without_an_answer_is_not_waited_for_alone() {
    let (_wait, mut seen) = follow(UnchangingStore::open(Behavior::Lossy));
    let begin = Moment::now();
    let (mut known, mut oldest) = (begin, Duration::ZERO);
    while begin.elapsed() < SPAN {
        let seen = time::timeout(SPAN, seen.recv()).await;
        let seen = seen.expect("an update").expect("a follower");
        oldest = oldest.max(known.elapsed());
        known = as_of(&seen);
    }
    println!("the known state became {oldest:?} old");
    assert!(oldest < Duration::from_secs(2), "{oldest:?}");
}

/// A silent store costs every instance that does not own the log no more calls than consecutive
/// lists, as there are many such instances: 50 a minute, where overlapping lists would be 150.
#[tokio::test(start_paused = true)]
async fn a_silent_store_gets_few_calls_from_instances_that_do_not_own_the_log() {
    let store = UnchangingStore::open(Behavior::Slow(SPAN));
    let _followed = follow_for(store.clone(), follow::LONG_WAIT);
    time::sleep(SPAN).await;
    let (lists, watches) = store.calls();
    println!("{lists} lists, {watches} watches");
    assert!(
        lists <= 51 && watches == 0,
        "{lists} lists, {watches} watches"
    );
}
