//! Watches the store for the configuration and for the owner of the log, on every instance.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::task;
use tokio::time::{self, Instant};

use crate::workflow::config::OperatorEntry;
use crate::workflow::follow::{self, StoreUpdate};
use crate::workflow::kv::{Change, Item};
use crate::workflow::node::Node;

/// Interval at which the lead key is read, which also checks that the store is reachable.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);

impl Node {
    pub(super) async fn follow_config(self: Rc<Self>) {
        let (sender, mut updates) = mpsc::channel(16);
        let prefix = self.codec.operator_prefix();
        task::spawn_local(follow::follow(
            self.store.clone(),
            prefix,
            self.watch_long_poll_wait(),
            sender,
        ));
        while let Some(update) = updates.recv().await {
            self.note_store_contact();
            self.evacuations
                .send_modify(|known| known.take(&*self.codec, &update));
            let items = match update {
                StoreUpdate::All { items, .. } => items,
                StoreUpdate::Changes { changes, .. } => {
                    changes.into_iter().filter_map(into_put).collect()
                }
            };
            for item in items {
                match self.codec.operated(&item.key, &item.value) {
                    Ok(OperatorEntry::Config(config, limits)) => {
                        self.adopt_client_limits(limits);
                        self.adopt_config(&Arc::new(config));
                    }
                    Ok(OperatorEntry::Wave(wave)) => self.adopt_wave(wave),
                    Ok(OperatorEntry::Other) => {}
                    Err(error) => {
                        tracing::error!(key = %item.key, revision = item.revision, %error,
                            "failed to parse the configuration; keeping the last valid one");
                    }
                }
            }
        }
    }

    pub(super) async fn probe_store(self: Rc<Self>) {
        let mut failed = false;
        loop {
            let began = Instant::now();
            match self.log.read_owner(true).await {
                Ok(lead) => {
                    self.store_latency.set(began.elapsed());
                    self.note_store_contact();
                    if failed {
                        tracing::info!("store answers again");
                    }
                    failed = false;
                    if let Some(lead) = lead {
                        self.adopt_log_owner(&lead);
                    }
                }
                Err(failure) => {
                    if !failed {
                        tracing::warn!(%failure, "store does not answer");
                    }
                    failed = true;
                }
            }
            time::sleep(PROBE_INTERVAL).await;
        }
    }
}

fn into_put(change: Change) -> Option<Item> {
    match change {
        Change::Put(item) => Some(item),
        Change::Gone(_) => None,
    }
}
