//! Asks whether the owner that was replaced has ended.

use std::time::Duration;

use tokio::task;
use tokio::time;

use crate::workflow::message::{PeerRequest, Reply};
use crate::workflow::node::Node;
use crate::workflow::owner::{Event, Owner};
use crate::workflow::record::PreviousOwner;

/// Time limit of one question.
const ASK_LIMIT: Duration = Duration::from_millis(500);
/// Pause between two questions: an owner that is alive hears within some 250 ms that it is
/// replaced.
const PAUSE: Duration = Duration::from_millis(250);

impl Owner {
    /// Takes note when the owner that this one replaced is known to have ended.
    pub(super) fn watch_predecessor(&mut self) {
        let Some(former) = self.lead.former else {
            let now = self.now();
            self.core.note_former_owner_ended(0, now);
            return;
        };
        let (node, sender) = (self.node.clone(), self.sender.clone());
        task::spawn_local(async move {
            let asked = async {
                while !has_ended(&node, &former).await {
                    time::sleep(PAUSE).await;
                }
            };
            tokio::select! {
                () = asked => {
                    let _ = sender.send(Event::PredecessorEnded(former.epoch)).await;
                }
                () = sender.closed() => {}
            }
        });
    }
}

/// Whether an owner is known to have ended: its process says so, another process answers at
/// its address, or nobody listens there any more.
async fn has_ended(node: &std::rc::Rc<Node>, former: &PreviousOwner) -> bool {
    if former.incarnation == node.life {
        return true;
    }
    let ask = PeerRequest::HasEnded(*former);
    match node
        .links
        .ask("ask former owner", former.address, &ask, ASK_LIMIT)
        .await
    {
        Ok(Reply::Ended(ended)) => ended,
        Ok(_) => false,
        Err(failure) => failure.is_connection_refused(),
    }
}
