//! The actor that keeps the active configuration up to date with the store.
//!
//! A watch waits for changes of the head key. When a heartbeat from another process names
//! a newer revision, the actor reads the head at once, in case the watch is stuck.

use std::collections::BTreeMap;
use std::ops::ControlFlow;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use kameo::Actor;
use kameo::actor::{ActorRef, Spawn};
use kameo::message::{Context, Message};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time;

use crate::config_state::{
    self, ActiveConfig, AdoptResult, ConfigState, Head, HeadAction, StoredTemplate,
};
use crate::failure::Failure;
use crate::store::{Commit, Store, Write};

/// Longest wait of the watch. When it ends, the head is read even if the watch was not
/// notified, so this bounds how long a change can go unnoticed.
const WATCH_WAIT: Duration = Duration::from_millis(2500);
/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Most accounts written in one repair transaction, besides the head.
const MAX_REPAIRED_ACCOUNTS: usize = 32;

/// A running configuration actor.
pub struct Config {
    actor: ActorRef<ConfigActor>,
    active: watch::Receiver<Arc<ActiveConfig>>,
    watcher: JoinHandle<()>,
}

impl Config {
    /// Returns the active configuration.
    #[must_use]
    pub fn active(&self) -> Arc<ActiveConfig> {
        self.active.borrow().clone()
    }

    /// Returns a receiver that is notified of each change.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Arc<ActiveConfig>> {
        self.active.clone()
    }

    /// Records that another process knows `revision`; reads the store if it is newer than
    /// the active one.
    pub fn observe_revision(&self, revision: u64) {
        if revision > self.active.borrow().revision {
            let _ = self.actor.tell(ReadHead).try_send();
        }
    }
}

impl Drop for Config {
    fn drop(&mut self) {
        self.watcher.abort();
        self.actor.kill();
    }
}

/// Starts the actor; it retries while the store is down.
pub fn spawn(store: Arc<dyn Store>) -> Config {
    let (sender, active) = watch::channel(Arc::new(ActiveConfig::default()));
    let actor = ConfigActor::spawn(ConfigActor {
        store: store.clone(),
        state: ConfigState::default(),
        sender,
    });
    let watcher = tokio::spawn(watch_head(store, actor.clone()));
    Config {
        actor,
        active,
        watcher,
    }
}

async fn watch_head(store: Arc<dyn Store>, actor: ActorRef<ConfigActor>) {
    let mut index = 0;
    loop {
        let Ok(view) = store.watch(config_state::HEAD_KEY, index, WATCH_WAIT).await else {
            time::sleep(RETRY_DELAY).await;
            index = 0;
            continue;
        };
        let head = view.items.first().map(|item| item.value.clone());
        match actor.ask(HeadRead { head }).await {
            Ok(true) => index = view.index,
            Ok(false) => time::sleep(RETRY_DELAY).await,
            Err(_) => return,
        }
    }
}

struct ConfigActor {
    store: Arc<dyn Store>,
    state: ConfigState,
    sender: watch::Sender<Arc<ActiveConfig>>,
}

impl Actor for ConfigActor {
    type Args = Self;
    type Error = std::convert::Infallible;

    async fn on_start(args: Self, _: ActorRef<Self>) -> Result<Self, Self::Error> {
        Ok(args)
    }

    async fn on_panic(
        &mut self,
        _: kameo::actor::WeakActorRef<Self>,
        error: kameo::error::PanicError,
    ) -> Result<ControlFlow<kameo::error::ActorStopReason>, Self::Error> {
        tracing::error!(%error, "configuration actor panicked; it continues");
        Ok(ControlFlow::Continue(()))
    }
}

/// Message: the watch returned this value of the head.
struct HeadRead {
    head: Option<Bytes>,
}

/// Message: read the head now.
struct ReadHead;

impl Message<HeadRead> for ConfigActor {
    type Reply = bool;

    async fn handle(&mut self, read: HeadRead, _: &mut Context<Self, bool>) -> bool {
        let Some(head) = decode_head(read.head.as_deref()) else {
            return false;
        };
        match self.apply_head(&head).await {
            Ok(()) => true,
            Err(failure) => {
                tracing::debug!(%failure, "reading the configuration failed");
                false
            }
        }
    }
}

impl Message<ReadHead> for ConfigActor {
    type Reply = ();

    async fn handle(&mut self, _: ReadHead, _: &mut Context<Self, ()>) {
        if let Ok(item) = self.store.get(config_state::HEAD_KEY).await {
            let value = item.map(|item| item.value);
            if let Some(head) = decode_head(value.as_deref()) {
                let _ = self.apply_head(&head).await;
            }
        }
    }
}

/// Decodes the head; an absent one is empty, and `None` means that it cannot be decoded.
fn decode_head(value: Option<&[u8]>) -> Option<Head> {
    match value {
        None => Some(Head::default()),
        Some(value) => serde_json::from_slice(value).ok(),
    }
}

impl ConfigActor {
    async fn apply_head(&mut self, head: &Head) -> Result<(), Failure> {
        match self.state.next_action(head) {
            HeadAction::UpToDate => Ok(()),
            HeadAction::Read(accounts) => self.read(head, &accounts).await,
            HeadAction::ReadAll => self.read_all(head).await,
            HeadAction::Repair(missing) => self.repair(missing).await,
        }
    }

    async fn read(&mut self, head: &Head, accounts: &[Arc<str>]) -> Result<(), Failure> {
        for account in accounts {
            let key = format!("{}{account}", config_state::ACCOUNT_PREFIX);
            if let Some(item) = self.store.get(&key).await? {
                self.adopt(account, &item.value);
            }
        }
        self.state.advance_to(head.revision, false);
        self.publish();
        Ok(())
    }

    async fn read_all(&mut self, head: &Head) -> Result<(), Failure> {
        let view = self.store.list(config_state::ACCOUNT_PREFIX).await?;
        let mut stored_revisions = BTreeMap::new();
        for item in &view.items {
            let Some(account) = item.key.strip_prefix(config_state::ACCOUNT_PREFIX) else {
                continue;
            };
            let account = Arc::from(account);
            if let Some(revision) = self.adopt(&account, &item.value) {
                stored_revisions.insert(account, revision);
            }
        }
        self.state.advance_to(head.revision, true);
        self.publish();
        let missing = self.state.missing_in_store(&stored_revisions);
        if missing.is_empty() {
            Ok(())
        } else {
            self.repair(missing).await
        }
    }

    fn adopt(&mut self, account: &Arc<str>, value: &[u8]) -> Option<u64> {
        let stored: StoredTemplate = match serde_json::from_slice(value) {
            Ok(stored) => stored,
            Err(error) => {
                tracing::warn!(%account, %error, "ignored an undecodable template");
                return None;
            }
        };
        let revision = stored.revision;
        match self.state.adopt(account, stored) {
            AdoptResult::Adopted => tracing::info!(%account, revision, "configuration is active"),
            AdoptResult::Older => {
                tracing::warn!(%account, revision, "ignored an older template");
            }
            AdoptResult::Invalid(mistakes) => {
                tracing::warn!(%account, %mistakes, "ignored an invalid template");
            }
            AdoptResult::Same => {}
        }
        Some(revision)
    }

    fn publish(&self) {
        self.sender.send_replace(Arc::new(self.state.active()));
    }

    /// Writes the newer values again after the store went back to an older state. Several
    /// processes may do so at once; compare-and-swap lets one of them succeed.
    async fn repair(&mut self, missing: Vec<(Arc<str>, StoredTemplate)>) -> Result<(), Failure> {
        let item = self.store.get(config_state::HEAD_KEY).await?;
        let (value, index) = item.map_or((None, 0), |item| (Some(item.value), item.index));
        let Some(mut head) = decode_head(value.as_deref()) else {
            return Ok(());
        };
        let mut writes = Vec::new();
        for (account, stored) in missing.into_iter().take(MAX_REPAIRED_ACCOUNTS) {
            if let Some(write) = self.repair_write(&account, &stored).await? {
                writes.push(write);
                head.changes.push(config_state::Change {
                    revision: stored.revision,
                    account,
                });
            }
        }
        head.revision = head.revision.max(self.state.revision());
        head.changes.sort_by_key(|change| change.revision);
        writes.push(config_state::swap(
            config_state::HEAD_KEY.to_owned(),
            &head,
            index,
        ));
        let committed = self.store.commit(&writes).await? == Commit::Done;
        if committed {
            tracing::warn!(
                revision = head.revision,
                "store went back to an older state; newer templates written again"
            );
        }
        Ok(())
    }

    async fn repair_write(
        &self,
        account: &Arc<str>,
        stored: &StoredTemplate,
    ) -> Result<Option<Write>, Failure> {
        let key = format!("{}{account}", config_state::ACCOUNT_PREFIX);
        let item = self.store.get(&key).await?;
        let index = item.as_ref().map_or(0, |item| item.index);
        let current =
            item.and_then(|item| serde_json::from_slice::<StoredTemplate>(&item.value).ok());
        let older = current.is_none_or(|current| current.revision < stored.revision);
        Ok(older.then(|| config_state::swap(key, stored, index)))
    }
}
