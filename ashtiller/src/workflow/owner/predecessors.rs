//! Asks earlier owners whether they have ended.

use std::rc::Rc;
use std::time::Duration;

use tokio::task;
use tokio::time;

use crate::workflow::log::predecessors::{self, ReplacedOwner};
use crate::workflow::message::{PeerRequest, Reply};
use crate::workflow::node::Node;
use crate::workflow::owner::{Event, Owner};
use crate::workflow::record::PreviousOwner;

/// Timeout of one query.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between two queries. An owner that is alive learns within about 250 ms that it was
/// replaced.
const QUERY_INTERVAL: Duration = Duration::from_millis(250);

impl Owner {
    /// Asks each earlier owner until it is known to have ended; the log names an epoch before which
    /// all have. `replaced` are the records of replaced owners.
    pub(super) fn watch_predecessors(&mut self, replaced: &[ReplacedOwner]) {
        let Some(former) = self.ownership.former else {
            // Without a lead key a log with entries had owners all the same: the key was removed.
            if !self.core.has_history() {
                let now = self.now();
                self.core.note_predecessor_ended(0, now);
            }
            return;
        };
        let cleared = self.core.log_state().cleared;
        let mut running = predecessors::trace_predecessors(replaced, self.ownership.epoch);
        running.retain(|predecessor| predecessor.epoch >= cleared);
        if running.is_empty() {
            running.push(former);
        }
        let epochs: Vec<u64> = running
            .iter()
            .map(|predecessor| predecessor.epoch)
            .collect();
        self.core.set_predecessors(&epochs);
        for predecessor in running {
            self.watch_predecessor(predecessor);
        }
        self.remove_ended_owners(replaced, cleared);
    }

    /// Sends [`Event::PredecessorEnded`] once an earlier owner is known to have ended.
    fn watch_predecessor(&self, predecessor: PreviousOwner) {
        let (node, sender) = (self.node.clone(), self.event_sender.clone());
        task::spawn_local(async move {
            let ended = async {
                while !has_ended(&node, &predecessor).await {
                    time::sleep(QUERY_INTERVAL).await;
                }
            };
            tokio::select! {
                () = ended => {
                    let _ = sender.send(Event::PredecessorEnded(predecessor.epoch)).await;
                }
                () = sender.closed() => {}
            }
        });
    }

    /// Removes the records of owners before the epoch `cleared`.
    fn remove_ended_owners(&self, replaced: &[ReplacedOwner], cleared: u64) {
        let (log, epoch, replaced) = (
            self.node.log.clone(),
            self.ownership.epoch,
            replaced.to_vec(),
        );
        task::spawn_local(async move {
            if let Err(failure) = log.remove_replaced_owners(epoch, &replaced, cleared).await {
                tracing::info!(%failure, "records of ended owners not removed; a later owner will");
            }
        });
    }
}

/// Returns whether an owner is known to have ended: its process says so, another process answers
/// at its address, or nothing listens there any more.
async fn has_ended(node: &Rc<Node>, predecessor: &PreviousOwner) -> bool {
    if predecessor.incarnation == node.incarnation {
        return true;
    }
    let request = PeerRequest::HasEnded(*predecessor);
    match node
        .links
        .ask(
            "ask former owner",
            predecessor.address,
            &request,
            QUERY_TIMEOUT,
        )
        .await
    {
        Ok(Reply::Ended(ended)) => ended,
        Ok(_) => false,
        Err(failure) => failure.is_connection_refused(),
    }
}
