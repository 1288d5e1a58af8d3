//! Log and snapshots of a cell in the key-value store.
//!
//! Entries are keys at consecutive positions that are created only if absent. The owner that
//! creates the key has written the entry at that position; an owner that finds another owner's
//! entry there has been superseded. A new owner takes over by writing a seal, which needs no clock
//! and no lock. Blocks of entries before a snapshot are deleted as a whole, but a block with a
//! recent seal is kept: an owner that resumes after a pause then finds the seal at the position of
//! its next entry, not a gap.

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

/// Key prefix of all cells.
pub const PREFIX: &str = "ashtiller/cells/";
/// Number of log positions in a block; old entries are deleted by block.
const POSITIONS_PER_BLOCK: u64 = 256;
/// Maximum size of a snapshot chunk in bytes.
const CHUNK_BYTES: usize = 512 << 10;
/// Age in seconds after which a seal may be deleted.
const SEAL_RETENTION_SECS: u64 = 24 * 3600;
/// Initial backoff before a write with an unknown outcome is retried.
const RETRY_PAUSE_MIN: Duration = Duration::from_millis(20);
/// Maximum backoff.
const RETRY_PAUSE_MAX: Duration = Duration::from_secs(1);

/// Error that prevents a cell from being opened.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The store could not be reached; opening can be retried.
    #[error(transparent)]
    Store(#[from] Failure),
    /// A record is damaged or has an unsupported version, so the cell is not opened.
    #[error("{key}: {damage}")]
    Damaged {
        /// Key of the record.
        key: String,
        /// Decoding error.
        damage: RecordError,
    },
    /// A position is missing, because another owner is deleting old entries or the log is damaged.
    #[error("log of cell {cell}: position {position} is missing")]
    Gap {
        /// Name of the cell.
        cell: Arc<str>,
        /// First missing position.
        position: u64,
    },
}

/// Location of the newest snapshot.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
struct SnapshotHead {
    position: u64,
    epoch: u64,
    chunks: u32,
}

/// Outcome of appending an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AppendOutcome {
    /// The entry is durable.
    Durable,
    /// Another owner's entry is at that position.
    Superseded,
}

/// Log and snapshots of a cell, as its owner writes them.
#[derive(Clone)]
pub struct Journal {
    store: Arc<dyn Store>,
    cell: Arc<str>,
    owner: Arc<str>,
    writer: u64,
    epoch: u64,
    seals: BTreeMap<u64, u64>,
    head: SnapshotHead,
    head_index: u64,
    next_block_to_delete: u64,
    pending_deletions: Vec<String>,
}

/// Cell that was replayed and taken over.
pub struct OpenedCell {
    /// Log of the cell.
    pub journal: Journal,
    /// State of the cell after the replay.
    pub cell: Cell,
    /// Position of the next entry.
    pub next_position: u64,
    /// Maximum time for which leases of earlier owners stay valid after the seal.
    pub former_lease_bound: Duration,
}

struct Replay {
    cell: Cell,
    next_position: u64,
    epoch: u64,
    former_lease_bound: Duration,
    seals: BTreeMap<u64, u64>,
}

/// Replays a cell and takes it over by writing a seal of `owner`.
///
/// # Errors
/// See [`OpenError`]. After an error the cell is not owned, though a seal may have been written;
/// the next attempt supersedes it.
pub async fn open(
    store: Arc<dyn Store>,
    cell: Arc<str>,
    owner: Arc<str>,
    terms: &LeaseTerms,
    horizon: Duration,
) -> Result<OpenedCell, OpenError> {
    let (head, head_index) = read_head(&*store, &cell).await?;
    let state = read_snapshot(&*store, &cell, &head).await?;
    let mut replay = Replay {
        cell: Cell::restore(state),
        next_position: head.position + 1,
        epoch: head.epoch,
        former_lease_bound: terms.lease + terms.margin + horizon,
        seals: BTreeMap::new(),
    };
    read_log(&*store, &cell, &mut replay).await?;
    let writer = rand::random();
    let mut journal = Journal {
        store,
        cell,
        owner,
        writer,
        epoch: 0,
        seals: BTreeMap::new(),
        next_block_to_delete: 0,
        pending_deletions: Vec::new(),
        head,
        head_index,
    };
    loop {
        journal.epoch = replay.epoch + 1;
        let position = replay.next_position;
        let bytes = journal.encode(journal.seal(terms, horizon))?;
        match journal.append(position, bytes).await {
            AppendOutcome::Durable => {
                journal.seals = replay.seals;
                journal.seals.insert(position, now_secs());
                let Replay {
                    cell,
                    former_lease_bound,
                    ..
                } = replay;
                return Ok(OpenedCell {
                    journal,
                    cell,
                    next_position: position + 1,
                    former_lease_bound,
                });
            }
            // The previous owner or another successor wrote this position first.
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
    let listing = store.list(&prefix).await?;
    if listing.items.len() != head.chunks as usize {
        return Err(OpenError::Gap {
            cell: cell.into(),
            position: head.position,
        });
    }
    let bytes: Vec<u8> = listing
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
    let listing = store.list(&log_prefix(cell)).await?;
    for item in &listing.items {
        let Some(position) = parse_position(&item.key) else {
            continue;
        };
        if position > replay.next_position {
            return Err(OpenError::Gap {
                cell: cell.clone(),
                position: replay.next_position,
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
    if position < replay.next_position {
        return;
    }
    replay.next_position = position + 1;
    replay.epoch = replay.epoch.max(entry.epoch);
    match &entry.body {
        Body::Seal { lease, horizon, .. } => {
            replay.former_lease_bound = Duration::from_millis(lease.saturating_add(*horizon));
        }
        Body::Facts(records) => {
            for record in records {
                replay.cell.apply(record, position, Duration::ZERO);
            }
        }
        // The entry does not say how long its writer still had to wait for the leases of earlier
        // owners, so the bound of the writer's seal stays.
        Body::Handover => {}
    }
}

fn decode<T: serde::de::DeserializeOwned>(key: &str, bytes: &[u8]) -> Result<T, OpenError> {
    record::decode(bytes).map_err(|damage| OpenError::Damaged {
        key: key.to_owned(),
        damage,
    })
}

impl Journal {
    /// Returns the epoch of this owner.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Encodes an entry of this owner.
    ///
    /// # Errors
    /// The entry cannot be serialized.
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

    /// Encodes the last entry of this owner, which grants no lease from now on and may have to wait
    /// for `former_wait` until the leases of earlier owners have expired.
    ///
    /// It is a seal, so that every version of the program reads the bound from it.
    ///
    /// # Errors
    /// The entry cannot be serialized.
    pub fn encode_handover(
        &self,
        terms: &LeaseTerms,
        former_wait: Duration,
    ) -> Result<Bytes, OpenError> {
        // The successor waits for the sum of lease and horizon, which has to cover the later of the
        // two ends. Seals count whole milliseconds.
        let beyond_lease = former_wait.saturating_sub(terms.lease + terms.margin);
        let horizon = Duration::from_millis(millis(beyond_lease).saturating_add(1));
        self.encode(self.seal(terms, horizon))
    }

    fn seal(&self, terms: &LeaseTerms, horizon: Duration) -> Body {
        Body::Seal {
            owner: self.owner.clone(),
            lease: millis(terms.lease + terms.margin),
            horizon: millis(horizon),
            at: now_secs(),
        }
    }

    /// Writes an entry and returns once the outcome is known, however long the store is down. After
    /// a write with an unknown outcome the position is read back, and the same bytes are written
    /// again only if it is still empty.
    pub async fn append(&self, position: u64, bytes: Bytes) -> AppendOutcome {
        let key = log_key(&self.cell, position);
        let mut backoff = RETRY_PAUSE_MIN;
        loop {
            let result = self.store.compare_and_swap(&key, bytes.clone(), 0).await;
            match self.resolve_write(&key, &bytes, result).await {
                WriteOutcome::Known(outcome) => return outcome,
                WriteOutcome::Unknown => {
                    time::sleep(backoff).await;
                    backoff = (backoff * 2).min(RETRY_PAUSE_MAX);
                }
            }
        }
    }

    async fn resolve_write(
        &self,
        key: &str,
        bytes: &Bytes,
        result: Result<bool, Failure>,
    ) -> WriteOutcome {
        match result {
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

    /// Returns whether there is no entry at `position`.
    ///
    /// # Errors
    /// The store cannot be reached.
    pub async fn is_free(&self, position: u64) -> Result<bool, Failure> {
        Ok(self
            .store
            .get(&log_key(&self.cell, position))
            .await?
            .is_none())
    }

    /// Writes a snapshot of the state after `position`, which must be durable, and deletes the log
    /// before it. Returns the journal with the new snapshot head.
    ///
    /// # Errors
    /// The store cannot be reached, or another owner has written a snapshot. The old snapshot and
    /// log stay valid.
    pub async fn snapshot(mut self, position: u64, state: Bytes) -> Result<Self, Failure> {
        let prefix = snapshot_prefix(&self.cell, position, self.epoch);
        let mut chunks = 0;
        for chunk in state.chunks(CHUNK_BYTES) {
            let key = format!("{prefix}{chunks:04}");
            self.store
                .compare_and_swap(&key, Bytes::copy_from_slice(chunk), 0)
                .await?;
            chunks += 1;
        }
        let previous = std::mem::replace(
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
        if !self
            .store
            .compare_and_swap(&key, value.into(), self.head_index)
            .await?
        {
            return Err(Failure::no_effect(
                "snapshot",
                &self.cell,
                "another owner wrote one",
            ));
        }
        self.head_index = self.store.get(&key).await?.map_or(0, |item| item.index);
        if previous.chunks > 0 {
            self.pending_deletions.push(snapshot_prefix(
                &self.cell,
                previous.position,
                previous.epoch,
            ));
        }
        self.delete_superseded(position).await;
        Ok(self)
    }

    /// Deletes what the snapshot replaces. Prefixes that cannot be deleted now are deleted with the
    /// next snapshot.
    async fn delete_superseded(&mut self, position: u64) {
        let now = now_secs();
        self.seals
            .retain(|_, at| now.saturating_sub(*at) < SEAL_RETENTION_SECS);
        for block in self.next_block_to_delete..position / POSITIONS_PER_BLOCK {
            let range = block * POSITIONS_PER_BLOCK..(block + 1) * POSITIONS_PER_BLOCK;
            if self.seals.range(range).next().is_none() {
                self.pending_deletions.push(block_prefix(&self.cell, block));
            }
        }
        self.next_block_to_delete = position / POSITIONS_PER_BLOCK;
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
