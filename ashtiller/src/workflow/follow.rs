//! Follows what stands below a prefix of the key-value service.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::time;

use crate::failure::Failure;
use crate::workflow::kv::{Change, Item, Store, Watched};

/// Wait of one watch where news also comes another way; the platform allows 30 s.
/// Shorter, so that a watch that a silent store has forgotten is noticed.
pub const LONG_WAIT: Duration = Duration::from_secs(10);
/// Pause after a failed call.
const PAUSE: Duration = Duration::from_millis(250);

/// What was seen below a prefix.
#[derive(Clone, Debug)]
pub enum Seen {
    /// All that stands there, what changed last at the end.
    All {
        /// Items.
        items: Vec<Item>,
    },
    /// What changed.
    Changes {
        /// Changes in order.
        changes: Vec<Change>,
    },
}

/// Sends what stands below `prefix`, then each change, until the receiver is gone. One
/// watch waits for as long as `patience` says.
pub async fn follow(
    store: Arc<dyn Store>,
    prefix: &'static str,
    patience: watch::Receiver<Duration>,
    seen: mpsc::Sender<Seen>,
) {
    loop {
        let (items, mut at) = match list(&*store, prefix).await {
            Ok(listed) => listed,
            Err(failure) => {
                tracing::info!(prefix, %failure, "list not read");
                time::sleep(PAUSE).await;
                continue;
            }
        };
        if seen.send(Seen::All { items }).await.is_err() {
            return;
        }
        let mut failed = false;
        loop {
            let wait = *patience.borrow();
            match store.watch(prefix, at, wait).await {
                Ok(Watched::Changes(changes, next)) => {
                    at = next;
                    if failed {
                        tracing::info!(prefix, "watch answers again");
                        // Entries may have lapsed or come back unseen.
                        break;
                    }
                    if !changes.is_empty() && seen.send(Seen::Changes { changes }).await.is_err() {
                        return;
                    }
                }
                Ok(Watched::Compacted) => {
                    tracing::info!(prefix, at, "history is gone; listing again");
                    break;
                }
                Err(failure) => {
                    if !failed {
                        tracing::info!(prefix, %failure, "watch failed");
                    }
                    failed = true;
                    time::sleep(PAUSE).await;
                }
            }
            if seen.is_closed() {
                return;
            }
        }
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
