//! Follows what stands below a prefix of the key-value service.
//!
//! Each answer says as of when what was seen is whole, even if nothing changed. A
//! connection may go silent at any time, so a watch that gets no answer is not tried
//! again: the list is read at once, over a connection that the store's client opens anew.
//! While the store is slow there are only lists, which overlap.

use std::future;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::future::BoxFuture;
use futures_util::stream::FuturesUnordered;
use tokio::sync::{mpsc, watch};
use tokio::time::{self, Instant};

use crate::clock::Moment;
use crate::failure::Failure;
use crate::workflow::kv::{Change, Item, Store, Watched};
use crate::workflow::store_latency::{PAUSE, StoreLatency};

/// Wait of one watch where news also comes another way; the platform allows 30 s.
/// Shorter, so that a watch that a silent store has forgotten is noticed.
pub const LONG_WAIT: Duration = Duration::from_secs(10);
/// Shortest wait of one watch: a wait of zero could be read as no limit.
const LEAST_WAIT: Duration = Duration::from_millis(1);
/// An answer that comes so much before its wait is over was not cut short: waits are sent,
/// and may be measured, in whole milliseconds.
const ROUNDING: Duration = Duration::from_millis(2);
/// Time within which the platform wants a new configuration to be in force.
const APPLY: Duration = Duration::from_secs(2);

/// Wait of one watch where news must be fresh, given the time for which workers go on
/// after they were told to leave. Half of the bound: the rest is for the time beyond its
/// wait after which a watch is given up, and for a list over a new connection.
#[must_use]
pub fn short_wait(drain: Duration) -> Duration {
    drain.min(APPLY) / 2
}

/// What was seen below a prefix.
#[derive(Clone, Debug)]
pub enum StoreUpdate {
    /// All that stands there, what changed last at the end.
    All {
        /// Items.
        items: Vec<Item>,
        /// No change before this is missing: when the list was asked for.
        as_of: Moment,
    },
    /// What changed, perhaps nothing.
    Changes {
        /// Changes in order.
        changes: Vec<Change>,
        /// No change before this is missing: when the watch was asked for, and if nothing
        /// changed during its whole wait, when that was over.
        as_of: Moment,
    },
}

/// All that stands there, as one call or several told it.
struct List {
    items: Vec<Item>,
    /// Revision to watch from.
    at: u64,
    pages: u32,
}

/// A list that was asked for.
struct Listed {
    sent: Instant,
    /// No change before this is missing.
    as_of: Moment,
    took: Duration,
    answer: Result<List, Failure>,
}

/// What to do next.
enum Next {
    List,
    Watch,
    End,
}

/// Sends what stands below `prefix`, then each change, until the receiver is gone. What
/// was seen is proved fresh again before it is older than `patience`, if the store answers.
pub async fn follow(
    store: Arc<dyn Store>,
    prefix: &'static str,
    patience: watch::Receiver<Duration>,
    seen: mpsc::Sender<StoreUpdate>,
) {
    let now = Instant::now();
    let mut follower = Follower {
        store,
        prefix,
        patience,
        seen,
        at: 0,
        as_of: Moment::now(),
        failing: false,
        lists: FuturesUnordered::new(),
        asked: now,
        due: now,
        tempo: StoreLatency::default(),
        slow: false,
    };
    let mut next = Next::List;
    loop {
        next = match next {
            Next::List => follower.list().await,
            Next::Watch => follower.watch().await,
            Next::End => return,
        };
    }
}

struct Follower {
    store: Arc<dyn Store>,
    prefix: &'static str,
    patience: watch::Receiver<Duration>,
    seen: mpsc::Sender<StoreUpdate>,
    /// Revision to watch from.
    at: u64,
    /// No change before this is missing.
    as_of: Moment,
    /// Whether no watch was answered since a call failed.
    failing: bool,
    /// Lists that are under way.
    lists: FuturesUnordered<BoxFuture<'static, Listed>>,
    /// When the newest list was asked for.
    asked: Instant,
    /// When the next list is asked for, if one is wanted.
    due: Instant,
    tempo: StoreLatency,
    /// Whether lists are read in place of watches.
    slow: bool,
}

impl Follower {
    /// Waits for the next list. One that is overdue is not waited for alone.
    async fn list(&mut self) -> Next {
        loop {
            tokio::select! {
                biased;
                () = self.seen.closed() => return Next::End,
                Some(listed) = self.lists.next() => return self.take_list(listed).await,
                () = time::sleep_until(self.due) => self.ask_list(),
            }
        }
    }

    fn ask_list(&mut self) {
        let (store, prefix) = (self.store.clone(), self.prefix);
        let (sent, as_of) = (Instant::now(), Moment::now());
        self.lists.push(Box::pin(async move {
            let answer = list(&*store, prefix).await;
            let took = sent.elapsed();
            Listed {
                sent,
                as_of,
                took,
                answer,
            }
        }));
        self.asked = sent;
        self.due = sent + self.tempo.pace(*self.patience.borrow());
    }

    async fn take_list(&mut self, listed: Listed) -> Next {
        let Listed {
            sent,
            as_of,
            took,
            answer,
        } = listed;
        let list = match answer {
            Ok(list) => list,
            Err(failure) => {
                self.tempo.note_failure(took);
                // Those under way may still be answered; the next is due as it was.
                if self.lists.is_empty() {
                    self.due = sent + PAUSE;
                }
                return self.note_failure(&failure);
            }
        };
        self.tempo.note_list(took, list.pages);
        let next = self.choose_way();
        // Answers may pass each other on their connections.
        if as_of < self.as_of {
            return next;
        }
        self.as_of = as_of;
        if list.at < self.at {
            let changes = Vec::new();
            return self
                .tell(StoreUpdate::Changes { changes, as_of }, next)
                .await;
        }
        self.at = list.at;
        let items = list.items;
        self.tell(StoreUpdate::All { items, as_of }, next).await
    }

    /// Whether to watch from now on, or to list again since the store is too slow for it.
    fn choose_way(&mut self) -> Next {
        let longest = *self.patience.borrow();
        let slow = self.tempo.is_slow(longest);
        if slow != self.slow {
            let took = self.tempo.list().as_millis();
            tracing::info!(
                prefix = self.prefix,
                took_ms = took,
                slow,
                "store's speed has changed; lists in place of watches while it is slow"
            );
        }
        self.slow = slow;
        if slow {
            self.due = self.asked + self.tempo.pace(longest);
            return Next::List;
        }
        self.lists.clear();
        Next::Watch
    }

    async fn watch(&mut self) -> Next {
        let (sent, asked) = (Instant::now(), Moment::now());
        let longest = *self.patience.borrow();
        // An answer with changes proves nothing later than its call, so the next wait
        // ends when the one before would have.
        let wait = longest
            .saturating_sub(asked.since(self.as_of))
            .max(LEAST_WAIT);
        let answer = tokio::select! {
            answer = self.store.watch(self.prefix, self.at, wait) => answer,
            () = wait_shorter(&mut self.patience, longest) => return Next::Watch,
            () = self.seen.closed() => return Next::End,
        };
        match answer {
            Ok(Watched::Changes(changes, at)) => {
                self.note_answer();
                self.at = at;
                let next = self.take_changes(changes, asked, wait).await;
                if next.is_none() {
                    time::sleep_until(sent + PAUSE).await;
                }
                next.unwrap_or(Next::Watch)
            }
            Ok(Watched::Compacted) => {
                tracing::info!(
                    prefix = self.prefix,
                    at = self.at,
                    "history is gone; listing again"
                );
                self.due = sent + PAUSE;
                Next::List
            }
            Err(failure) => {
                // A call that waited in vain was pause enough; one that was refused was not.
                self.due = sent + PAUSE;
                self.note_failure(&failure)
            }
        }
    }

    /// Tells what a watch that was sent at `sent` has answered, and as of when it is whole.
    ///
    /// With a change it was answered at once, some time after it was sent. Without one the
    /// store has no reason to answer but the end of the wait, which began after the watch
    /// was sent: the answer proves the end of the wait, however late it comes. A watch that
    /// waits may be cut, however; an answer without a change from before the end of its
    /// wait may have been on its way ever since, and proves no more than that it was sent;
    /// the result is nothing then.
    async fn take_changes(
        &mut self,
        changes: Vec<Change>,
        asked: Moment,
        wait: Duration,
    ) -> Option<Next> {
        let (now, end) = (Moment::now(), asked.plus(wait));
        let whole = changes.is_empty() && now.plus(ROUNDING) >= end;
        let cut = changes.is_empty() && !whole;
        if whole {
            self.tempo.note_watch(now.since(end));
        }
        let as_of = if whole { now.min(end) } else { asked };
        self.as_of = as_of;
        let next = self
            .tell(StoreUpdate::Changes { changes, as_of }, Next::Watch)
            .await;
        (!cut || matches!(next, Next::End)).then_some(next)
    }

    async fn tell(&mut self, seen: StoreUpdate, next: Next) -> Next {
        match self.seen.send(seen).await {
            Ok(()) => next,
            Err(_) => Next::End,
        }
    }

    fn note_answer(&mut self) {
        if self.failing {
            tracing::info!(prefix = self.prefix, "watch answers again");
        }
        self.failing = false;
    }

    /// After a call that failed: entries may have lapsed or come back unseen, so all are
    /// listed again.
    fn note_failure(&mut self, failure: &Failure) -> Next {
        if !self.failing {
            let age = self.as_of.elapsed().as_millis();
            tracing::info!(prefix = self.prefix, %failure, age_ms = age, "not followed; listing again");
        }
        self.failing = true;
        Next::List
    }
}

/// Until the wait of one watch is to be shorter than `longest`.
async fn wait_shorter(patience: &mut watch::Receiver<Duration>, longest: Duration) {
    let gone = patience.wait_for(|wait| *wait < longest).await.is_err();
    if gone {
        future::pending::<()>().await;
    }
}

/// All items below a prefix.
async fn list(store: &dyn Store, prefix: &str) -> Result<List, Failure> {
    let first = store.scan(prefix, None).await?;
    // Later pages may be newer; watching from the first misses nothing.
    let at = first.at;
    let mut items = first.items;
    let mut more = first.more;
    let mut pages = 1;
    while more {
        // Pages are in the order of keys.
        let Some(last) = items.last().map(|item| item.key.clone()) else {
            break;
        };
        let page = store.scan(prefix, Some(&last)).await?;
        more = page.more && !page.items.is_empty();
        pages += 1;
        items.extend(page.items);
    }
    // As a watch would have told it: of two lives of one worker the newer comes last.
    items.sort_by_key(|item| item.revision);
    Ok(List { items, at, pages })
}
