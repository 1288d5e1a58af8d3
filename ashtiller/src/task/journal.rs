//! A cell's log and snapshots in the store.
//!
//! Entries are keys that are created if absent, at positions that rise by one.
//! Whoever creates the entry at a position has written it; an owner that finds
//! another's entry there has been superseded. Taking over is writing a seal, so
//! it needs no clock and no lock. Blocks of entries before a snapshot are deleted
//! as a whole, but a block with a young seal stays: a paused owner that wakes
//! finds the seal where its next entry would go, not a gap.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::time;

use crate::cell::{Cell, DurableState};
use crate::fact::{Body, Entry};
use crate::failure::{Failure, RemoteEffect};
use crate::record::{self, RecordError};
use crate::session::LeaseTerms;
use crate::store::Store;

/// Prefix of all cells.
pub const PREFIX: &str = "ashtiller/cells/";
/// Positions in one block.
const POSITIONS_PER_BLOCK: u64 = 256;
/// Bytes in one chunk of a snapshot.
const CHUNK_BYTES: usize = 512 << 10;
/// Age after which a seal may be cut.
const SEAL_RETENTION_SECS: u64 = 24 * 3600;
/// First pause before a write with an unknown outcome is tried again.
const RETRY_PAUSE_MIN: Duration = Duration::from_millis(20);
/// Longest such pause.
const RETRY_PAUSE_MAX: Duration = Duration::from_secs(1);

/// Why a cell cannot be opened.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The store could not be asked; try again.
    #[error(transparent)]
    Store(#[from] Failure),
    /// The log holds what this program cannot use; the cell stays closed.
    #[error("{key}: {damage}")]
    Damaged {
        /// Key of the record.
        key: String,
        /// What is wrong with it.
        damage: RecordError,
    },
    /// A position is missing; another owner cuts the log just now, or it is damaged.
    #[error("log of cell {cell}: position {position} is missing")]
    Gap {
        /// Cell.
        cell: Arc<str>,
        /// First position that is missing.
        position: u64,
    },
}

/// Where the newest snapshot is.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
struct SnapshotHead {
    position: u64,
    epoch: u64,
    chunks: u32,
}

/// What became of an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AppendOutcome {
    /// It is durable.
    Durable,
    /// Another owner's entry stands there.
    Superseded,
}

/// The log of a cell, as its owner writes it.
#[derive(Clone)]
pub struct Journal {
    store: Arc<dyn Store>,
    cell: Arc<str>,
    writer: u64,
    epoch: u64,
    seals: BTreeMap<u64, u64>,
    head: SnapshotHead,
    head_index: u64,
    first_kept_block: u64,
    pending_deletions: Vec<String>,
}

/// An opened cell.
pub struct OpenedCell {
    /// Its log.
    pub journal: Journal,
    /// Its state.
    pub cell: Cell,
    /// Position of the next entry.
    pub next_position: u64,
    /// How long leases of the last owner may go on after the seal.
    pub former_lease_bound: Duration,
}

struct Replay {
    cell: Cell,
    next: u64,
    epoch: u64,
    former: Duration,
    seals: BTreeMap<u64, u64>,
}

/// Reads a cell and takes it over by a seal of `owner`.
///
/// # Errors
/// See [`OpenError`]. After an error nothing is owned, though a seal may have been
/// written; the next try supersedes it.
pub async fn open(
    store: Arc<dyn Store>,
    cell: Arc<str>,
    owner: Arc<str>,
    terms: &LeaseTerms,
    horizon: Duration,
) -> Result<OpenedCell, OpenError> {
    let (head, head_index) = read_head(&*store, &cell).await?;
    let lasting = read_snapshot(&*store, &cell, &head).await?;
    let mut replay = Replay {
        cell: Cell::restore(lasting),
        next: head.position + 1,
        epoch: head.epoch,
        former: terms.lease + terms.margin + horizon,
        seals: BTreeMap::new(),
    };
    read_log(&*store, &cell, &mut replay).await?;
    let writer = rand::random();
    let mut journal = Journal {
        store,
        cell,
        writer,
        epoch: 0,
        seals: BTreeMap::new(),
        first_kept_block: 0,
        pending_deletions: Vec::new(),
        head,
        head_index,
    };
    loop {
        journal.epoch = replay.epoch + 1;
        let seal = Body::Seal {
            owner: owner.clone(),
            lease: millis(terms.lease + terms.margin),
            horizon: millis(horizon),
            at: now_secs(),
        };
        let position = replay.next;
        let bytes = journal.encode(seal)?;
        match journal.append(position, bytes).await {
            AppendOutcome::Durable => {
                journal.seals = replay.seals;
                journal.seals.insert(position, now_secs());
                let Replay { cell, former, .. } = replay;
                return Ok(OpenedCell {
                    journal,
                    cell,
                    next_position: position + 1,
                    former_lease_bound: former,
                });
            }
            // The old owner, or a faster successor, wrote first.
            AppendOutcome::Superseded => {
                read_log(&*journal.store, &journal.cell, &mut replay).await?;
            }
        }
    }
}

async fn read_head(store: &dyn Store, cell: &str) -> Result<(SnapshotHead, u64), OpenError> {
    let key = head_key(cell);
    match store.get(&key).await? {
        None => Ok((SnapshotHead::default(), 0)),
        Some(item) => Ok((decode(&key, &item.value)?, item.index)),
    }
}

async fn read_snapshot(
    store: &dyn Store,
    cell: &str,
    head: &SnapshotHead,
) -> Result<DurableState, OpenError> {
    if head.chunks == 0 {
        return Ok(DurableState::default());
    }
    let prefix = snapshot_prefix(cell, head.position, head.epoch);
    let view = store.list(&prefix).await?;
    if view.items.len() != head.chunks as usize {
        return Err(OpenError::Gap {
            cell: cell.into(),
            position: head.position,
        });
    }
    let bytes: Vec<u8> = view
        .items
        .iter()
        .flat_map(|item| item.value.iter().copied())
        .collect();
    decode(&prefix, &bytes)
}

async fn read_log(
    store: &dyn Store,
    cell: &Arc<str>,
    replay: &mut Replay,
) -> Result<(), OpenError> {
    let view = store.list(&log_prefix(cell)).await?;
    for item in &view.items {
        let Some(position) = parse_position(&item.key) else {
            continue;
        };
        if position > replay.next {
            return Err(OpenError::Gap {
                cell: cell.clone(),
                position: replay.next,
            });
        }
        let entry: Entry = decode(&item.key, &item.value)?;
        replay_entry(replay, position, &entry);
    }
    Ok(())
}

fn replay_entry(replay: &mut Replay, position: u64, entry: &Entry) {
    if let Body::Seal { at, .. } = &entry.body {
        replay.seals.insert(position, *at);
    }
    if position < replay.next {
        return;
    }
    replay.next = position + 1;
    replay.epoch = replay.epoch.max(entry.epoch);
    match &entry.body {
        Body::Seal { lease, horizon, .. } => {
            replay.former = Duration::from_millis(lease.saturating_add(*horizon));
        }
        Body::Facts(facts) => {
            for fact in facts {
                replay.cell.apply(fact, position, Duration::ZERO);
            }
        }
        // Without horizon: the owner has said that it renews no more.
        Body::Handover => replay.former = replay.former.min(Duration::from_mins(1)),
    }
}

fn decode<T: serde::de::DeserializeOwned>(key: &str, bytes: &[u8]) -> Result<T, OpenError> {
    record::decode(bytes).map_err(|damage| OpenError::Damaged {
        key: key.to_owned(),
        damage,
    })
}

impl Journal {
    /// Epoch of this owner.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Encodes an entry of this owner.
    ///
    /// # Errors
    /// The entry cannot be written.
    pub fn encode(&self, body: Body) -> Result<Bytes, OpenError> {
        let entry = Entry {
            epoch: self.epoch,
            writer: self.writer,
            body,
        };
        let bytes = record::encode(&entry).map_err(|damage| OpenError::Damaged {
            key: log_prefix(&self.cell),
            damage,
        })?;
        Ok(bytes.into())
    }

    /// Writes an entry and returns when its fate is known, however long the store
    /// is down: an unknown outcome is read back, and the same bytes are written
    /// again only where nothing stands.
    pub async fn append(&self, position: u64, bytes: Bytes) -> AppendOutcome {
        let key = log_key(&self.cell, position);
        let mut pause = RETRY_PAUSE_MIN;
        loop {
            let swapped = self.store.swap(&key, bytes.clone(), 0).await;
            match self.resolve_write(&key, &bytes, swapped).await {
                WriteOutcome::Known(appended) => return appended,
                WriteOutcome::Unknown => {
                    time::sleep(pause).await;
                    pause = (pause * 2).min(RETRY_PAUSE_MAX);
                }
            }
        }
    }

    async fn resolve_write(
        &self,
        key: &str,
        bytes: &Bytes,
        swapped: Result<bool, Failure>,
    ) -> WriteOutcome {
        match swapped {
            Ok(true) => return WriteOutcome::Known(AppendOutcome::Durable),
            Err(failure) if failure.effect == RemoteEffect::None => return WriteOutcome::Unknown,
            _ => {}
        }
        match self.store.get(key).await {
            Ok(Some(item)) if item.value == *bytes => WriteOutcome::Known(AppendOutcome::Durable),
            Ok(Some(_)) => WriteOutcome::Known(AppendOutcome::Superseded),
            Ok(None) | Err(_) => WriteOutcome::Unknown,
        }
    }

    /// Whether nobody has written at `position`.
    ///
    /// # Errors
    /// The store cannot be asked.
    pub async fn is_free(&self, position: u64) -> Result<bool, Failure> {
        Ok(self
            .store
            .get(&log_key(&self.cell, position))
            .await?
            .is_none())
    }

    /// Writes a snapshot of the state after `position`, which must be durable, and
    /// cuts the log before it. Returns the journal with the new head.
    ///
    /// # Errors
    /// The store cannot be asked; the old snapshot and log stay good.
    pub async fn snapshot(mut self, position: u64, state: Bytes) -> Result<Self, Failure> {
        let prefix = snapshot_prefix(&self.cell, position, self.epoch);
        let mut chunks = 0;
        for chunk in state.chunks(CHUNK_BYTES) {
            let key = format!("{prefix}{chunks:04}");
            self.store
                .swap(&key, Bytes::copy_from_slice(chunk), 0)
                .await?;
            chunks += 1;
        }
        let old = std::mem::replace(
            &mut self.head,
            SnapshotHead {
                position,
                epoch: self.epoch,
                chunks,
            },
        );
        let value = record::encode(&self.head)
            .map_err(|damage| Failure::no_effect("snapshot", &self.cell, damage))?;
        let key = head_key(&self.cell);
        if !self.store.swap(&key, value.into(), self.head_index).await? {
            return Err(Failure::no_effect(
                "snapshot",
                &self.cell,
                "another owner wrote one",
            ));
        }
        self.head_index = self.store.get(&key).await?.map_or(0, |item| item.index);
        if old.chunks > 0 {
            self.pending_deletions
                .push(snapshot_prefix(&self.cell, old.position, old.epoch));
        }
        self.delete_superseded(position).await;
        Ok(self)
    }

    /// Deletes what the snapshot replaces; what cannot be deleted now is deleted
    /// with the next snapshot.
    async fn delete_superseded(&mut self, position: u64) {
        let now = now_secs();
        self.seals
            .retain(|_, at| now.saturating_sub(*at) < SEAL_RETENTION_SECS);
        for block in self.first_kept_block..position / POSITIONS_PER_BLOCK {
            let range = block * POSITIONS_PER_BLOCK..(block + 1) * POSITIONS_PER_BLOCK;
            if self.seals.range(range).next().is_none() {
                self.pending_deletions.push(block_prefix(&self.cell, block));
            }
        }
        self.first_kept_block = position / POSITIONS_PER_BLOCK;
        while let Some(prefix) = self.pending_deletions.pop() {
            if self.store.remove_all(&prefix).await.is_err() {
                self.pending_deletions.push(prefix);
                return;
            }
        }
    }
}

enum WriteOutcome {
    Known(AppendOutcome),
    Unknown,
}

fn log_prefix(cell: &str) -> String {
    format!("{PREFIX}{cell}/log/")
}

fn block_prefix(cell: &str, block: u64) -> String {
    format!("{}{block:010}/", log_prefix(cell))
}

fn log_key(cell: &str, position: u64) -> String {
    format!(
        "{}{position:012}",
        block_prefix(cell, position / POSITIONS_PER_BLOCK)
    )
}

fn parse_position(key: &str) -> Option<u64> {
    key.rsplit_once('/')?.1.parse().ok()
}

fn head_key(cell: &str) -> String {
    format!("{PREFIX}{cell}/snapshot-head")
}

fn snapshot_prefix(cell: &str, position: u64, epoch: u64) -> String {
    format!("{PREFIX}{cell}/snapshot/{position:012}-{epoch}/")
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn now_secs() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs()
}
