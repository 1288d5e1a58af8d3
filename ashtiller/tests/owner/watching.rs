//! Watches of the store that are silent or too slow, in virtual time.

use std::sync::Arc;
use std::time::Duration;

use ashtiller::clock::Moment;
use ashtiller::failure::Failure;
use ashtiller::store::CallFuture;
use ashtiller::workflow::follow::{self, StoreUpdate};
use ashtiller::workflow::kv::{Change, Committed, Item, Page, Store, Txn, Watched};
use parking_lot::Mutex;
use tokio::sync::{mpsc, watch};
use tokio::time::{self, Instant};

/// Longest wait for anything that must happen; in virtual time it costs nothing.
const CAP: Duration = Duration::from_mins(1);
/// Wait of a watch in these tests.
const WAIT: Duration = Duration::from_secs(1);
/// Time beyond its wait after which a call for a watch is given up.
const SLACK: Duration = Duration::from_millis(400);

/// What becomes of a watch.
#[derive(Clone, Copy)]
enum Fate {
    /// It gets no answer.
    Silent,
    /// It is answered when its wait is over.
    Quiet,
    /// A change is answered after this time.
    Changed(Duration),
}

/// A store whose lists are empty and whose watches end as told, the last fate for ever.
struct Told {
    fates: Mutex<Vec<Fate>>,
}

impl Told {
    fn open(fates: &[Fate]) -> Arc<Self> {
        let fates = Mutex::new(fates.iter().rev().copied().collect());
        Arc::new(Self { fates })
    }

    fn next(&self) -> Fate {
        let mut fates = self.fates.lock();
        match fates.len() {
            1 => fates[0],
            _ => fates.pop().expect("a fate"),
        }
    }
}

impl Store for Told {
    fn get<'a>(&'a self, key: &'a str, _: bool) -> CallFuture<'a, Option<Item>> {
        Box::pin(async move { Err(Failure::no_effect("read", key, "not asked for")) })
    }

    fn scan<'a>(&'a self, _: &'a str, _: Option<&'a str>) -> CallFuture<'a, Page> {
        Box::pin(async { Ok(Page::default()) })
    }

    fn watch<'a>(&'a self, _: &'a str, at: u64, wait: Duration) -> CallFuture<'a, Watched> {
        let fate = self.next();
        Box::pin(async move {
            match fate {
                Fate::Silent => {
                    time::sleep(wait + SLACK).await;
                    Err(Failure::unknown_effect(
                        "watch",
                        "store",
                        "no answer in time",
                    ))
                }
                Fate::Quiet => {
                    time::sleep(wait).await;
                    Ok(Watched::Changes(Vec::new(), at))
                }
                Fate::Changed(after) => {
                    time::sleep(after).await;
                    let gone = Change::Gone("workers/a".into());
                    Ok(Watched::Changes(vec![gone], at + 1))
                }
            }
        })
    }

    fn commit<'a>(&'a self, _: &'a Txn) -> CallFuture<'a, Committed> {
        Box::pin(async { Err(Failure::no_effect("write", "store", "not asked for")) })
    }
}

struct Following {
    patience: watch::Sender<Duration>,
    seen: mpsc::Receiver<StoreUpdate>,
}

impl Following {
    fn open(store: Arc<Told>, wait: Duration) -> Self {
        let (sender, seen) = mpsc::channel(16);
        let patience = watch::Sender::new(wait);
        let told = patience.subscribe();
        tokio::spawn(follow::follow(store, "workers/", told, sender));
        Self { patience, seen }
    }

    async fn next(&mut self) -> StoreUpdate {
        let seen = time::timeout(CAP, self.seen.recv()).await;
        seen.expect("something seen").expect("a follower")
    }

    async fn list(&mut self) {
        assert!(
            matches!(self.next().await, StoreUpdate::All { .. }),
            "a list"
        );
    }
}

/// Symptom: a worker that said it leaves was given starts, since its word stood in the
/// store while every watch waited on a connection that had gone silent.
///
/// Sequence: a list is read; every watch after it gets no answer, while lists can be read.
///
/// Cause: a watch that failed was tried again, and the list was read again only once a
/// watch had answered.
///
/// Figure: no second list within a minute; now when the first watch is given up.
#[tokio::test(start_paused = true)]
async fn a_watch_without_an_answer_is_replaced_by_a_list() {
    let began = Instant::now();
    let mut following = Following::open(Told::open(&[Fate::Silent]), WAIT);
    following.list().await;
    following.list().await;
    assert!(began.elapsed() < WAIT + SLACK + Duration::from_millis(10));
}

/// Symptom: an instance that had just begun to own the log did not know how old its
/// configuration was.
///
/// Sequence: a watch with a long wait is under way; then news must be fresh.
///
/// Cause: the wait of a watch was fixed when it began, and an answer without a change
/// was not passed on.
///
/// Figure: nothing was heard within a minute; now within one short wait.
#[tokio::test(start_paused = true)]
async fn a_long_watch_gives_way_when_news_must_be_fresh() {
    let store = Told::open(&[Fate::Quiet]);
    let mut following = Following::open(store, follow::LONG_WAIT);
    following.list().await;
    time::sleep(Duration::from_secs(3)).await;
    let owned = Instant::now();
    following.patience.send_replace(WAIT);
    following.next().await;
    assert!(owned.elapsed() <= WAIT, "{:?}", owned.elapsed());
}

/// Symptom: what was believed could be taken for fresher than it was.
///
/// Sequence: a watch is answered with a change half a second after it was asked for, and
/// the next one says that nothing changed.
///
/// Cause: an answer tells what stood when the store sent it, which is only known to be
/// after it was asked for, and after its wait if nothing changed.
///
/// Figure: with the whole wait for the second watch the proof was 1.5 s old when the next
/// came; with what is left of the first wait, 1 s.
#[tokio::test(start_paused = true)]
async fn what_was_seen_is_proved_fresh_within_one_wait() {
    let fates = [Fate::Changed(WAIT / 2), Fate::Quiet];
    let began = Moment::now();
    let mut following = Following::open(Told::open(&fates), WAIT);
    following.list().await;
    let StoreUpdate::Changes { changes, as_of } = following.next().await else {
        panic!("no change");
    };
    assert_eq!((changes.len(), as_of), (1, began));
    let StoreUpdate::Changes { changes, as_of } = following.next().await else {
        panic!("no answer");
    };
    assert_eq!((changes.len(), as_of), (0, began.plus(WAIT)));
    assert_eq!(began.elapsed(), WAIT);
}
