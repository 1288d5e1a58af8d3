//! Follows what stands below a prefix of the key-value service.
//!
//! Each answer says as of when what was seen is whole, even if nothing changed. A
//! connection may go silent at any time, so a watch that gets no answer is not tried
//! again: the list is read at once, over a connection that the store's client opens anew.

use std::future;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::time::{self, Instant};

use crate::failure::Failure;
use crate::workflow::kv::{Change, Item, Store, Watched};

/// Wait of one watch where news also comes another way; the platform allows 30 s.
/// Shorter, so that a watch that a silent store has forgotten is noticed.
pub const LONG_WAIT: Duration = Duration::from_secs(10);
/// Shortest wait of one watch: a wait of zero could be read as no limit.
const LEAST_WAIT: Duration = Duration::from_millis(1);
/// Time within which the platform wants a new configuration to be in force.
const APPLY: Duration = Duration::from_secs(2);
/// Least time between a call that failed and the next one.
const PAUSE: Duration = Duration::from_millis(250);

/// Wait of one watch where news must be fresh, given the time for which workers go on
/// after they were told to leave. Half of the bound: the rest is for the time beyond its
/// wait after which a watch is given up, and for a list over a new connection.
#[must_use]
pub fn short_wait(drain: Duration) -> Duration {
    drain.min(APPLY) / 2
}

/// What was seen below a prefix.
#[derive(Clone, Debug)]
pub enum Seen {
    /// All that stands there, what changed last at the end.
    All {
        /// Items.
        items: Vec<Item>,
        /// No change before this is missing: when the list was asked for.
        as_of: Instant,
    },
    /// What changed, perhaps nothing.
    Changes {
        /// Changes in order.
        changes: Vec<Change>,
        /// No change before this is missing: when the watch was asked for, and if nothing
        /// changed, when its wait was over.
        as_of: Instant,
    },
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
    seen: mpsc::Sender<Seen>,
) {
    let mut follower = Follower {
        store,
        prefix,
        patience,
        seen,
        at: 0,
        as_of: Instant::now(),
        failing: false,
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
    seen: mpsc::Sender<Seen>,
    /// Revision to watch from.
    at: u64,
    /// No change before this is missing.
    as_of: Instant,
    /// Whether no watch was answered since a call failed.
    failing: bool,
}

impl Follower {
    async fn list(&mut self) -> Next {
        let sent = Instant::now();
        match list(&*self.store, self.prefix).await {
            Ok((items, at)) => {
                self.at = at;
                self.as_of = sent;
                self.tell(Seen::All { items, as_of: sent }).await
            }
            Err(failure) => self.note_failure(sent, &failure).await,
        }
    }

    async fn watch(&mut self) -> Next {
        let sent = Instant::now();
        let longest = *self.patience.borrow();
        // An answer with changes proves nothing later than its call, so the next wait
        // ends when the one before would have.
        let wait = longest.saturating_sub(sent - self.as_of).max(LEAST_WAIT);
        let answer = tokio::select! {
            answer = self.store.watch(self.prefix, self.at, wait) => answer,
            () = wait_shorter(&mut self.patience, longest) => return Next::Watch,
            () = self.seen.closed() => return Next::End,
        };
        match answer {
            Ok(Watched::Changes(changes, at)) => {
                self.note_answer();
                self.at = at;
                self.as_of = if changes.is_empty() {
                    Instant::now().min(sent + wait)
                } else {
                    sent
                };
                let as_of = self.as_of;
                self.tell(Seen::Changes { changes, as_of }).await
            }
            Ok(Watched::Compacted) => {
                tracing::info!(
                    prefix = self.prefix,
                    at = self.at,
                    "history is gone; listing again"
                );
                Next::List
            }
            Err(failure) => self.note_failure(sent, &failure).await,
        }
    }

    async fn tell(&self, seen: Seen) -> Next {
        match self.seen.send(seen).await {
            Ok(()) => Next::Watch,
            Err(_) => Next::End,
        }
    }

    fn note_answer(&mut self) {
        if self.failing {
            tracing::info!(prefix = self.prefix, "watch answers again");
        }
        self.failing = false;
    }

    /// After a call that was sent at `sent` and failed: entries may have lapsed or come
    /// back unseen, so all are listed again.
    async fn note_failure(&mut self, sent: Instant, failure: &Failure) -> Next {
        if !self.failing {
            let age = self.as_of.elapsed().as_millis();
            tracing::info!(prefix = self.prefix, %failure, age_ms = age, "not followed; listing again");
        }
        self.failing = true;
        // A call that waited in vain was pause enough; one that was refused was not.
        time::sleep_until(sent + PAUSE).await;
        if self.seen.is_closed() {
            Next::End
        } else {
            Next::List
        }
    }
}

/// Until the wait of one watch is to be shorter than `longest`.
async fn wait_shorter(patience: &mut watch::Receiver<Duration>, longest: Duration) {
    let gone = patience.wait_for(|wait| *wait < longest).await.is_err();
    if gone {
        future::pending::<()>().await;
    }
}

/// All items below a prefix, and a revision to watch from.
async fn list(store: &dyn Store, prefix: &str) -> Result<(Vec<Item>, u64), Failure> {
    let first = store.scan(prefix, None).await?;
    // Later pages may be newer; watching from the first misses nothing.
    let at = first.at;
    let mut items = first.items;
    let mut more = first.more;
    while more {
        // Pages are in the order of keys.
        let Some(last) = items.last().map(|item| item.key.clone()) else {
            break;
        };
        let page = store.scan(prefix, Some(&last)).await?;
        more = page.more && !page.items.is_empty();
        items.extend(page.items);
    }
    // As a watch would have told it: of two lives of one worker the newer comes last.
    items.sort_by_key(|item| item.revision);
    Ok((items, at))
}
