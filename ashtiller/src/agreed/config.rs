//! The actor that keeps the configuration in force in step with the store.
//!
//! One watch waits on the head. A heartbeat from another process that names a
//! newer revision makes it look at once, past a watch that is stuck.

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

/// Longest wait of the watch. Its end shows what a watch that was not woken missed,
/// so it bounds how long a change can stay unseen.
const WAIT: Duration = Duration::from_millis(2500);
/// Pause after a failed call.
const PAUSE: Duration = Duration::from_millis(500);
/// Writes in one repair transaction, the head among them.
const REPAIR_MAX: usize = 32;

/// A running configuration actor.
pub struct Config {
    actor: ActorRef<Keeper>,
    active: watch::Receiver<Arc<ActiveConfig>>,
    watcher: JoinHandle<()>,
}

impl Config {
    /// The configuration in force.
    #[must_use]
    pub fn active(&self) -> Arc<ActiveConfig> {
        self.active.borrow().clone()
    }

    /// A receiver that is told of each change.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Arc<ActiveConfig>> {
        self.active.clone()
    }

    /// Another process knows `revision`; looks at the store when it is newer.
    pub fn observe_revision(&self, revision: u64) {
        if revision > self.active.borrow().revision {
            let _ = self.actor.tell(Look).try_send();
        }
    }
}

impl Drop for Config {
    fn drop(&mut self) {
        self.watcher.abort();
        self.actor.kill();
    }
}

/// Starts the actor; it keeps trying while the store is down.
pub fn spawn(store: Arc<dyn Store>) -> Config {
    let (sender, force) = watch::channel(Arc::new(ActiveConfig::default()));
    let actor = Keeper::spawn(Keeper {
        store: store.clone(),
        ledger: ConfigState::default(),
        sender,
    });
    let watcher = tokio::spawn(watch_head(store, actor.clone()));
    Config {
        actor,
        active: force,
        watcher,
    }
}

async fn watch_head(store: Arc<dyn Store>, actor: ActorRef<Keeper>) {
    let mut index = 0;
    loop {
        let Ok(view) = store.watch(config_state::HEAD_KEY, index, WAIT).await else {
            time::sleep(PAUSE).await;
            index = 0;
            continue;
        };
        let head = view.items.first().map(|item| item.value.clone());
        match actor.ask(Seen { head }).await {
            Ok(true) => index = view.index,
            Ok(false) => time::sleep(PAUSE).await,
            Err(_) => return,
        }
    }
}

struct Keeper {
    store: Arc<dyn Store>,
    ledger: ConfigState,
    sender: watch::Sender<Arc<ActiveConfig>>,
}

impl Actor for Keeper {
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
        tracing::error!(%error, "the configuration actor panicked and goes on");
        Ok(ControlFlow::Continue(()))
    }
}

/// The watch returned.
struct Seen {
    head: Option<Bytes>,
}

/// Read the head now.
struct Look;

impl Message<Seen> for Keeper {
    type Reply = bool;

    async fn handle(&mut self, seen: Seen, _: &mut Context<Self, bool>) -> bool {
        let Some(head) = read_head(seen.head.as_deref()) else {
            return false;
        };
        match self.follow(&head).await {
            Ok(()) => true,
            Err(failure) => {
                tracing::debug!(%failure, "configuration not read");
                false
            }
        }
    }
}

impl Message<Look> for Keeper {
    type Reply = ();

    async fn handle(&mut self, _: Look, _: &mut Context<Self, ()>) {
        if let Ok(item) = self.store.get(config_state::HEAD_KEY).await {
            let value = item.map(|item| item.value);
            if let Some(head) = read_head(value.as_deref()) {
                let _ = self.follow(&head).await;
            }
        }
    }
}

/// An absent head is an empty one; a damaged head is none.
fn read_head(value: Option<&[u8]>) -> Option<Head> {
    match value {
        None => Some(Head::default()),
        Some(value) => serde_json::from_slice(value).ok(),
    }
}

impl Keeper {
    async fn follow(&mut self, head: &Head) -> Result<(), Failure> {
        match self.ledger.next_action(head) {
            HeadAction::UpToDate => Ok(()),
            HeadAction::Read(accounts) => self.read(head, &accounts).await,
            HeadAction::ReadAll => self.read_all(head).await,
            HeadAction::Repair(lost) => self.repair(lost).await,
        }
    }

    async fn read(&mut self, head: &Head, accounts: &[Arc<str>]) -> Result<(), Failure> {
        for account in accounts {
            let key = format!("{}{account}", config_state::ACCOUNT_PREFIX);
            if let Some(item) = self.store.get(&key).await? {
                self.take(account, &item.value);
            }
        }
        self.ledger.advance_to(head.revision, false);
        self.publish();
        Ok(())
    }

    async fn read_all(&mut self, head: &Head) -> Result<(), Failure> {
        let view = self.store.list(config_state::ACCOUNT_PREFIX).await?;
        let mut seen = BTreeMap::new();
        for item in &view.items {
            let Some(account) = item.key.strip_prefix(config_state::ACCOUNT_PREFIX) else {
                continue;
            };
            let account = Arc::from(account);
            if let Some(revision) = self.take(&account, &item.value) {
                seen.insert(account, revision);
            }
        }
        self.ledger.advance_to(head.revision, true);
        self.publish();
        let lost = self.ledger.missing_in_store(&seen);
        if lost.is_empty() {
            Ok(())
        } else {
            self.repair(lost).await
        }
    }

    fn take(&mut self, account: &Arc<str>, value: &[u8]) -> Option<u64> {
        let stored: StoredTemplate = match serde_json::from_slice(value) {
            Ok(stored) => stored,
            Err(error) => {
                tracing::warn!(%account, %error, "a damaged template was left out");
                return None;
            }
        };
        let revision = stored.revision;
        match self.ledger.adopt(account, stored) {
            AdoptResult::Adopted => tracing::info!(%account, revision, "configuration in force"),
            AdoptResult::Older => {
                tracing::warn!(%account, revision, "an older template was refused");
            }
            AdoptResult::Invalid(mistakes) => {
                tracing::warn!(%account, %mistakes, "an invalid template was left out");
            }
            AdoptResult::Same => {}
        }
        Some(revision)
    }

    fn publish(&self) {
        self.sender.send_replace(Arc::new(self.ledger.active()));
    }

    /// Writes newer values again after the store fell back. Several processes may
    /// do so at once; the comparison lets one of them win.
    async fn repair(&mut self, lost: Vec<(Arc<str>, StoredTemplate)>) -> Result<(), Failure> {
        let item = self.store.get(config_state::HEAD_KEY).await?;
        let (value, index) = item.map_or((None, 0), |item| (Some(item.value), item.index));
        let Some(mut head) = read_head(value.as_deref()) else {
            return Ok(());
        };
        let mut writes = Vec::new();
        for (account, stored) in lost.into_iter().take(REPAIR_MAX) {
            if let Some(write) = self.repair_one(&account, &stored).await? {
                writes.push(write);
                head.changes.push(config_state::Change {
                    revision: stored.revision,
                    account,
                });
            }
        }
        head.revision = head.revision.max(self.ledger.revision());
        head.changes.sort_by_key(|change| change.revision);
        writes.push(config_state::swap(
            config_state::HEAD_KEY.to_owned(),
            &head,
            index,
        ));
        let done = self.store.commit(&writes).await? == Commit::Done;
        if done {
            tracing::warn!(
                revision = head.revision,
                "the store fell back; newer templates written"
            );
        }
        Ok(())
    }

    async fn repair_one(
        &self,
        account: &Arc<str>,
        stored: &StoredTemplate,
    ) -> Result<Option<Write>, Failure> {
        let key = format!("{}{account}", config_state::ACCOUNT_PREFIX);
        let item = self.store.get(&key).await?;
        let index = item.as_ref().map_or(0, |item| item.index);
        let found =
            item.and_then(|item| serde_json::from_slice::<StoredTemplate>(&item.value).ok());
        let older = found.is_none_or(|found| found.revision < stored.revision);
        Ok(older.then(|| config_state::swap(key, stored, index)))
    }
}
