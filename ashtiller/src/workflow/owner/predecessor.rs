//! Polls the replaced owner until it is known to have ended.

use std::rc::Rc;
use std::time::Duration;

use tokio::task;
use tokio::time;

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
    /// Sends [`Event::PredecessorEnded`] once the owner that this one replaced is known to have
    /// ended.
    pub(super) fn watch_predecessor(&mut self) {
        let Some(predecessor) = self.ownership.former else {
            let now = self.now();
            self.core.note_predecessor_ended(0, now);
            return;
        };
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
