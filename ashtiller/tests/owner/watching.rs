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

/// Timeout for every expected event; it costs nothing in virtual time.
const TIMEOUT: Duration = Duration::from_mins(1);
/// Wait of a watch in these tests.
const WAIT: Duration = Duration::from_secs(1);
/// Time beyond its wait after which a watch times out.
const SLACK: Duration = Duration::from_millis(400);

/// Outcomes of a watch.
#[derive(Clone, Copy)]
enum WatchOutcome {
    /// It gets no reply.
    NoReply,
    /// It is answered when its wait is over.
    Unchanged,
    /// A change is reported after this time.
    Changed(Duration),
}

/// A store whose lists are empty and whose watches have these outcomes in turn, the last one for
/// ever.
struct ScriptedStore {
    outcomes: Mutex<Vec<WatchOutcome>>,
}

impl ScriptedStore {
    fn open(outcomes: &[WatchOutcome]) -> Arc<Self> {
        let outcomes = Mutex::new(outcomes.iter().rev().copied().collect());
        Arc::new(Self { outcomes })
    }

    fn next(&self) -> WatchOutcome {
        let mut outcomes = self.outcomes.lock();
        match outcomes.len() {
            1 => outcomes[0],
            _ => outcomes.pop().expect("an outcome"),
        }
    }
}

impl Store for ScriptedStore {
    fn get<'a>(&'a self, key: &'a str, _: bool) -> CallFuture<'a, Option<Item>> {
        Box::pin(async move { Err(Failure::no_effect("read", key, "not asked for")) })
    }

    fn scan<'a>(&'a self, _: &'a str, _: Option<&'a str>) -> CallFuture<'a, Page> {
        Box::pin(async { Ok(Page::default()) })
    }

    fn watch<'a>(&'a self, _: &'a str, at: u64, wait: Duration) -> CallFuture<'a, Watched> {
        let outcome = self.next();
        Box::pin(async move {
            match outcome {
                WatchOutcome::NoReply => {
                    time::sleep(wait + SLACK).await;
                    Err(Failure::unknown_effect(
                        "watch",
                        "store",
                        "no answer in time",
                    ))
                }
                WatchOutcome::Unchanged => {
                    time::sleep(wait).await;
                    Ok(Watched::Changes(Vec::new(), at))
                }
                WatchOutcome::Changed(after) => {
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
    wait: watch::Sender<Duration>,
    seen: mpsc::Receiver<StoreUpdate>,
}

impl Following {
    fn open(store: Arc<ScriptedStore>, wait: Duration) -> Self {
        let (sender, seen) = mpsc::channel(16);
        let wait = watch::Sender::new(wait);
        let receiver = wait.subscribe();
        tokio::spawn(follow::follow(store, "workers/", receiver, sender));
        Self { wait, seen }
    }

    async fn next(&mut self) -> StoreUpdate {
        let seen = time::timeout(TIMEOUT, self.seen.recv()).await;
        seen.expect("an update").expect("a follower")
    }

    async fn list(&mut self) {
        assert!(
            matches!(self.next().await, StoreUpdate::All { .. }),
            "a list"
        );
    }
}

/// A worker that had announced its leaving got starts, since the notice was in the store while
/// every watch waited on a connection that had gone silent. Every watch after the first list gets
/// no reply, while lists can be read. A failed watch was repeated, and the list was read again only
/// after a watch had been answered: no second list came within a minute; now it comes when the
/// first watch times out.
#[tokio::test(start_paused = true)]
async fn a_watch_without_an_answer_is_replaced_by_a_list() {
    let began = Instant::now();
    let mut following = Following::open(ScriptedStore::open(&[WatchOutcome::NoReply]), WAIT);
    following.list().await;
    following.list().await;
    assert!(began.elapsed() < WAIT + SLACK + Duration::from_millis(10));
}

/// An instance that had just become the owner of the log did not know how old its configuration
/// was. A watch with a long wait is in flight when updates must become recent. The wait of a watch
/// was fixed when it began, and a reply without a change was not passed on, so nothing was received
/// within a minute; now within one short wait.
#[tokio::test(start_paused = true)]
async fn a_long_watch_is_replaced_when_updates_must_be_recent() {
    let store = ScriptedStore::open(&[WatchOutcome::Unchanged]);
    let mut following = Following::open(store, follow::LONG_WAIT);
    following.list().await;
    time::sleep(Duration::from_secs(3)).await;
    let owned = Instant::now();
    following.wait.send_replace(WAIT);
    following.next().await;
    assert!(owned.elapsed() <= WAIT, "{:?}", owned.elapsed());
}

/// The known state could be taken for more recent than it was. A watch is answered with a change
/// half a second after it was sent, and the next one reports no change. A reply shows the state at
/// the time when the store sent it, which is only known to be after the request, and after the wait
/// if nothing changed. With the whole wait for the second watch the proof was 1.5 s old when the
/// next one arrived; with what is left of the first wait, 1 s.
#[tokio::test(start_paused = true)]
async fn the_known_state_is_proved_recent_within_one_wait() {
    let outcomes = [WatchOutcome::Changed(WAIT / 2), WatchOutcome::Unchanged];
    let began = Moment::now();
    let mut following = Following::open(ScriptedStore::open(&outcomes), WAIT);
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
