//! Follows the platform's list of the instances of one service.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time;

use crate::service_catalog::{Instance, ServiceCatalog};

/// Longest wait of a watch; its end reads the whole list again. With the slack of a call
/// (2 s) and the pause after it (1 s, unless set), it bounds what a silent connection hides:
/// an endpoint that leaves gets no new work after a few seconds.
const WAIT: Duration = Duration::from_secs(2);

/// A running follower.
pub struct ServiceWatcher {
    list: watch::Receiver<Arc<Vec<Instance>>>,
    task: JoinHandle<()>,
}

impl ServiceWatcher {
    /// The list as last read; empty before the first reading.
    #[must_use]
    pub fn list(&self) -> Arc<Vec<Instance>> {
        self.list.borrow().clone()
    }

    /// A receiver that is told of each change.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Arc<Vec<Instance>>> {
        self.list.clone()
    }
}

impl Drop for ServiceWatcher {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts to follow a service; a failed reading is tried again after `pause`.
#[must_use]
pub fn spawn(
    roster: Arc<dyn ServiceCatalog>,
    service: Arc<str>,
    pause: Duration,
) -> ServiceWatcher {
    let (sender, list) = watch::channel(Arc::default());
    let task = tokio::spawn(follow(roster, service, pause, sender));
    ServiceWatcher { list, task }
}

async fn follow(
    roster: Arc<dyn ServiceCatalog>,
    service: Arc<str>,
    pause: Duration,
    sender: watch::Sender<Arc<Vec<Instance>>>,
) {
    let mut index = 0;
    loop {
        let Ok(listed) = roster.watch(&service, index, WAIT).await else {
            time::sleep(pause).await;
            index = 0;
            continue;
        };
        // A platform without positions, or one that has begun anew, is read again
        // after a pause.
        if listed.index == 0 || listed.index < index {
            time::sleep(pause).await;
        }
        index = listed.index;
        // An empty list is more likely the platform's trouble than the truth;
        // instances that are gone show themselves by not answering.
        if !listed.instances.is_empty() {
            sender.send_replace(Arc::new(listed.instances));
        }
    }
}
