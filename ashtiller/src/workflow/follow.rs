//! Follows the items below a prefix of the key-value store.
//!
//! Each update tells the time up to which it is complete, even if nothing changed. A connection may
//! stop answering at any time, so a watch without an answer is not retried: the items are listed at
//! once, over a connection that the store's client opens anew. While the store is slow, only lists
//! are used, and they overlap.

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

/// Wait of one watch where news also comes another way; the platform allows 30 s. A shorter wait
/// reveals sooner a watch that the store has lost without notice.
pub const LONG_WAIT: Duration = Duration::from_secs(10);
/// Shortest wait of one watch: a wait of zero could be understood as no limit.
const WATCH_WAIT_MIN: Duration = Duration::from_millis(1);
/// Tolerance for an answer before the end of its wait that still counts as complete: waits are
/// sent, and may be measured, in whole milliseconds.
const ROUNDING_TOLERANCE: Duration = Duration::from_millis(2);
/// Time within which the platform requires a new configuration to be applied.
const CONFIG_APPLY_MAX: Duration = Duration::from_secs(2);

/// Returns the wait of one watch whose news must be fresh; `drain` is the time for which workers
/// continue after they were told to leave. It is half of the bound: the rest is for the time after
/// which an unanswered watch is given up, and for a list over a new connection.
#[must_use]
pub fn short_wait(drain: Duration) -> Duration {
    drain.min(CONFIG_APPLY_MAX) / 2
}

/// An update of the items below a prefix.
#[derive(Clone, Debug)]
pub enum StoreUpdate {
    /// All items.
    All {
        /// Items, the one changed last at the end.
        items: Vec<Item>,
        /// Time up to which all changes are included: when the list was requested.
        as_of: Moment,
    },
    /// Changes, possibly none.
    Changes {
        /// Changes in order.
        changes: Vec<Change>,
        /// Time up to which all changes are included: when the watch was sent or, if nothing
        /// changed during its whole wait, the end of the wait.
        as_of: Moment,
    },
}

/// All items below a prefix, read in one page or several.
struct List {
    items: Vec<Item>,
    /// Revision to watch from.
    at: u64,
    pages: u32,
}

/// Result of a list call.
struct ListResult {
    sent: Instant,
    /// Time up to which all changes are included.
    as_of: Moment,
    took: Duration,
    answer: Result<List, Failure>,
}

/// Next step of the follower.
enum Next {
    List,
    Watch,
    End,
}

/// Sends all items below `prefix`, then each change, until the receiver is dropped. An update that
/// proves completeness follows before the last one is older than `longest_wait`, provided that the
/// store answers in time.
pub async fn follow(
    store: Arc<dyn Store>,
    prefix: &'static str,
    longest_wait: watch::Receiver<Duration>,
    updates: mpsc::Sender<StoreUpdate>,
) {
    let now = Instant::now();
    let mut follower = Follower {
        store,
        prefix,
        longest_wait,
        updates,
        at: 0,
        as_of: Moment::now(),
        failing: false,
        lists: FuturesUnordered::new(),
        requested: now,
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
    longest_wait: watch::Receiver<Duration>,
    updates: mpsc::Sender<StoreUpdate>,
    /// Revision to watch from.
    at: u64,
    /// Time up to which all changes are included.
    as_of: Moment,
    /// Whether a call has failed and no watch was answered since.
    failing: bool,
    /// Lists in flight.
    lists: FuturesUnordered<BoxFuture<'static, ListResult>>,
    /// Time at which the newest list was requested.
    requested: Instant,
    /// Time at which the next list is due, if one is wanted.
    due: Instant,
    tempo: StoreLatency,
    /// Whether lists replace watches because the store is slow.
    slow: bool,
}

impl Follower {
    /// Waits for the next list; further lists are requested while one is overdue.
    async fn list(&mut self) -> Next {
        loop {
            tokio::select! {
                biased;
                () = self.updates.closed() => return Next::End,
                Some(listed) = self.lists.next() => return self.handle_list(listed).await,
                () = time::sleep_until(self.due) => self.request_list(),
            }
        }
    }

    fn request_list(&mut self) {
        let (store, prefix) = (self.store.clone(), self.prefix);
        let (sent, as_of) = (Instant::now(), Moment::now());
        self.lists.push(Box::pin(async move {
            let answer = list(&*store, prefix).await;
            let took = sent.elapsed();
            ListResult {
                sent,
                as_of,
                took,
                answer,
            }
        }));
        self.requested = sent;
        self.due = sent + self.tempo.pace(*self.longest_wait.borrow());
    }

    async fn handle_list(&mut self, listed: ListResult) -> Next {
        let ListResult {
            sent,
            as_of,
            took,
            answer,
        } = listed;
        let list = match answer {
            Ok(list) => list,
            Err(failure) => {
                self.tempo.note_failure(took);
                // The lists in flight may still be answered; the next one stays due as before.
                if self.lists.is_empty() {
                    self.due = sent + PAUSE;
                }
                return self.note_failure(&failure);
            }
        };
        self.tempo.note_list(took, list.pages);
        let next = self.choose_next();
        // Answers may overtake each other on their connections.
        if as_of < self.as_of {
            return next;
        }
        self.as_of = as_of;
        if list.at < self.at {
            let changes = Vec::new();
            return self
                .send_update(StoreUpdate::Changes { changes, as_of }, next)
                .await;
        }
        self.at = list.at;
        let items = list.items;
        self.send_update(StoreUpdate::All { items, as_of }, next)
            .await
    }

    /// Chooses between watching and, if the store is too slow for that, listing again.
    fn choose_next(&mut self) -> Next {
        let longest = *self.longest_wait.borrow();
        let slow = self.tempo.is_slow(longest);
        if slow != self.slow {
            let took = self.tempo.list().as_millis();
            tracing::info!(
                prefix = self.prefix,
                took_ms = took,
                slow,
                "store latency changed; lists replace watches while it is slow"
            );
        }
        self.slow = slow;
        if slow {
            self.due = self.requested + self.tempo.pace(longest);
            return Next::List;
        }
        self.lists.clear();
        Next::Watch
    }

    async fn watch(&mut self) -> Next {
        let (sent, requested) = (Instant::now(), Moment::now());
        let longest = *self.longest_wait.borrow();
        // An answer with changes proves nothing later than its call, so the next wait ends when the
        // previous one would have.
        let wait = longest
            .saturating_sub(requested.since(self.as_of))
            .max(WATCH_WAIT_MIN);
        let answer = tokio::select! {
            answer = self.store.watch(self.prefix, self.at, wait) => answer,
            () = wait_until_shorter(&mut self.longest_wait, longest) => return Next::Watch,
            () = self.updates.closed() => return Next::End,
        };
        match answer {
            Ok(Watched::Changes(changes, at)) => {
                self.note_answer();
                self.at = at;
                let next = self.handle_changes(changes, requested, wait).await;
                if next.is_none() {
                    time::sleep_until(sent + PAUSE).await;
                }
                next.unwrap_or(Next::Watch)
            }
            Ok(Watched::Compacted) => {
                tracing::info!(
                    prefix = self.prefix,
                    at = self.at,
                    "watch history was compacted; listing again"
                );
                self.due = sent + PAUSE;
                Next::List
            }
            Err(failure) => {
                // A call that timed out was pause enough, but one that was refused was not.
                self.due = sent + PAUSE;
                self.note_failure(&failure)
            }
        }
    }

    /// Sends the update of a watch that was sent at `requested`, with the time up to which it is
    /// complete.
    ///
    /// An answer with changes comes at once, some time after the watch was sent. Without changes
    /// the store answers only at the end of the wait, which began after the watch was sent: such an
    /// answer proves completeness until the end of the wait, however late it arrives. But a waiting
    /// watch may be cut short: an answer without changes from before the end of its wait may have
    /// been under way since it was sent, and proves completeness only until then; the result is
    /// `None` in this case.
    async fn handle_changes(
        &mut self,
        changes: Vec<Change>,
        requested: Moment,
        wait: Duration,
    ) -> Option<Next> {
        let (now, end) = (Moment::now(), requested.plus(wait));
        let complete = changes.is_empty() && now.plus(ROUNDING_TOLERANCE) >= end;
        let cut_short = changes.is_empty() && !complete;
        if complete {
            self.tempo.note_watch(now.since(end));
        }
        let as_of = if complete { now.min(end) } else { requested };
        self.as_of = as_of;
        let next = self
            .send_update(StoreUpdate::Changes { changes, as_of }, Next::Watch)
            .await;
        (!cut_short || matches!(next, Next::End)).then_some(next)
    }

    async fn send_update(&mut self, update: StoreUpdate, next: Next) -> Next {
        match self.updates.send(update).await {
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

    /// Handles a failed call: entries may have expired or reappeared unnoticed, so all items are
    /// listed again.
    fn note_failure(&mut self, failure: &Failure) -> Next {
        if !self.failing {
            let age = self.as_of.elapsed().as_millis();
            tracing::info!(prefix = self.prefix, %failure, age_ms = age, "watch or list failed; listing again");
        }
        self.failing = true;
        Next::List
    }
}

/// Waits until the wait of one watch is to be shorter than `longest`.
async fn wait_until_shorter(longest_wait: &mut watch::Receiver<Duration>, longest: Duration) {
    let gone = longest_wait.wait_for(|wait| *wait < longest).await.is_err();
    if gone {
        future::pending::<()>().await;
    }
}

/// Lists all items below a prefix.
async fn list(store: &dyn Store, prefix: &str) -> Result<List, Failure> {
    let first = store.scan(prefix, None).await?;
    // Later pages may be newer; watching from the revision of the first misses nothing.
    let at = first.at;
    let mut items = first.items;
    let mut more = first.more;
    let mut pages = 1;
    while more {
        // Pages are in key order.
        let Some(last) = items.last().map(|item| item.key.clone()) else {
            break;
        };
        let page = store.scan(prefix, Some(&last)).await?;
        more = page.more && !page.items.is_empty();
        pages += 1;
        items.extend(page.items);
    }
    // The order in which a watch would have reported them: of two incarnations of one worker, the
    // newer comes last.
    items.sort_by_key(|item| item.revision);
    Ok(List { items, at, pages })
}
