//! Watches the instances of one service in the platform's catalog.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time;

use crate::service_catalog::{Instance, ServiceCatalog};

/// Longest wait of one watch; when it ends, the whole list is read again. Together with the
/// slack of a call (2 s) and the pause after it (1 s by default), it bounds how long a silent
/// connection can hide a change: an endpoint that is leaving gets no new work after a few
/// seconds.
const WATCH_WAIT: Duration = Duration::from_secs(2);

/// A running watch of one service; dropping it ends the watch.
pub struct ServiceWatcher {
    list: watch::Receiver<Arc<Vec<Instance>>>,
    task: JoinHandle<()>,
}

impl ServiceWatcher {
    /// Returns the list as last read; it is empty before the first read.
    #[must_use]
    pub fn list(&self) -> Arc<Vec<Instance>> {
        self.list.borrow().clone()
    }

    /// Returns a receiver that is notified of each change.
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

/// Starts to watch a service; a failed read is retried after `pause`.
#[must_use]
pub fn spawn(
    catalog: Arc<dyn ServiceCatalog>,
    service: Arc<str>,
    pause: Duration,
) -> ServiceWatcher {
    let (sender, list) = watch::channel(Arc::default());
    let task = tokio::spawn(watch_service(catalog, service, pause, sender));
    ServiceWatcher { list, task }
}

async fn watch_service(
    catalog: Arc<dyn ServiceCatalog>,
    service: Arc<str>,
    pause: Duration,
    sender: watch::Sender<Arc<Vec<Instance>>>,
) {
    let mut index = 0;
    loop {
        let Ok(listed) = catalog.watch(&service, index, WATCH_WAIT).await else {
            time::sleep(pause).await;
            index = 0;
            continue;
        };
        // A catalog that returns no index, or whose index went back because it
        // restarted, is read again after a pause.
        if listed.index == 0 || listed.index < index {
            time::sleep(pause).await;
        }
        index = listed.index;
        // An empty list more likely comes from a fault of the platform than from the
        // loss of all instances; those that are gone are detected when they don't respond.
        if !listed.instances.is_empty() {
            sender.send_replace(Arc::new(listed.instances));
        }
    }
}
