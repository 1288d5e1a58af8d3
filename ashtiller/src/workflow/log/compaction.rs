//! Log compaction: writes snapshots to the key-value service and removes the entries that they
//! cover.
//!
//! A snapshot shares the owner's connection to the store with the entries that are appended
//! meanwhile, and callers wait for those entries. It is therefore written in parts that take a
//! bounded time each, with pauses between them in which entries get through.

use std::time::Duration;

use bytes::Bytes;
use tokio::time::{self, Instant};

use crate::failure::{Failure, RemoteEffect};
use crate::workflow::kv::{Committed, Txn};
use crate::workflow::log::{Log, SnapshotHead, entry};
use crate::workflow::log_state::LogState;
use crate::workflow::snapshot;

/// Target time for writing one part: short enough that an entry delayed by it is still written in
/// time.
const PART_TARGET_TIME: Duration = Duration::from_millis(60);
/// Sizes of the first, the smallest and the largest part. The last is that of an entry at most.
const PART_BYTES: [usize; 3] = [16 << 10, 2 << 10, entry::BYTES_MAX];
/// Failed writes of one part after which the snapshot is abandoned.
const MAX_PART_FAILURES: u32 = 6;
/// Delay before a failed write is retried.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Keys removed by one transaction; the store allows 32 entries in one.
const MAX_REMOVED_KEYS: usize = 30;

/// Size of the next part, adapted to the time that earlier parts took.
#[derive(Clone, Copy, Debug)]
pub struct PartSize(usize);

impl Default for PartSize {
    fn default() -> Self {
        Self(PART_BYTES[0])
    }
}

impl PartSize {
    /// Returns the size of the next part in bytes.
    #[must_use]
    pub fn bytes(self) -> usize {
        self.0
    }

    /// Adapts the size to the time that writing a part took: halves it above the target time, and
    /// doubles it below half of that.
    pub fn note_written(&mut self, took: Duration) {
        let size = if took > PART_TARGET_TIME {
            self.0 / 2
        } else if took < PART_TARGET_TIME / 2 {
            self.0 * 2
        } else {
            self.0
        };
        self.0 = size.clamp(PART_BYTES[1], PART_BYTES[2]);
    }

    /// Quarters the size after a part was not written in time.
    pub fn note_failure(&mut self) {
        self.0 = (self.0 / 4).max(PART_BYTES[1]);
    }
}

impl Log {
    /// Writes a snapshot of the state after the durable entry at `position`, then removes the
    /// entries that it replaces.
    ///
    /// # Errors
    /// A read or a write failed; the log is still complete.
    pub async fn compact(&self, epoch: u64, position: u64, snapshot: &[u8]) -> Result<(), Failure> {
        let began = Instant::now();
        let item = self.store.get(&self.head_key(), false).await?;
        let revision = item.as_ref().map_or(0, |item| item.revision);
        let previous: Option<SnapshotHead> =
            item.and_then(|item| postcard::from_bytes(&item.value).ok());
        let parts = self.write_parts(epoch, position, snapshot).await?;
        self.write_head(epoch, SnapshotHead { position, parts }, revision)
            .await?;
        let first = previous.as_ref().map_or(1, |head| head.position + 1);
        let mut obsolete: Vec<String> = (first..=position).map(|at| self.entry_key(at)).collect();
        if let Some(head) = previous {
            obsolete.extend((0..head.parts).map(|part| self.part_key(head.position, part)));
        }
        self.remove_all_fenced(epoch, &obsolete).await?;
        tracing::info!(
            position,
            bytes = snapshot.len(),
            parts,
            removed = obsolete.len(),
            took_ms = began.elapsed().as_millis(),
            "snapshot written"
        );
        Ok(())
    }

    /// Makes this the newest snapshot, on the condition that the head is still at `revision`.
    /// Without this condition a slow snapshot, or a write that takes effect late, could replace a
    /// newer snapshot whose entries are already removed.
    async fn write_head(
        &self,
        epoch: u64,
        head: SnapshotHead,
        revision: u64,
    ) -> Result<(), Failure> {
        let key = self.head_key();
        let value = postcard::to_stdvec(&head)
            .map_err(|error| Failure::no_effect("encode snapshot head", &key, error))?;
        let txn = Txn {
            expect: vec![(self.lead_key(), epoch), (key.clone(), revision)],
            put: vec![(key, value.into())],
            remove: Vec::new(),
        };
        match self.store.commit(&txn).await? {
            Committed::Done(_) => Ok(()),
            Committed::Conflict(_) => Err(superseded("compact log", &self.prefix)),
        }
    }

    /// Writes the parts of a snapshot; returns their number.
    async fn write_parts(
        &self,
        epoch: u64,
        position: u64,
        snapshot: &[u8],
    ) -> Result<u32, Failure> {
        let mut size = PartSize::default();
        let mut rest = snapshot;
        let mut parts = 0;
        let mut failures = 0;
        while !rest.is_empty() {
            let part = &rest[..size.bytes().min(self.part_bytes).min(rest.len())];
            let key = self.part_key(position, parts);
            let sent = Instant::now();
            match self.write_part(epoch, key, part, rest).await {
                Ok(written) => {
                    let took = sent.elapsed();
                    size.note_written(took);
                    rest = &rest[written..];
                    parts += 1;
                    failures = 0;
                    time::sleep(took).await;
                }
                Err(failure)
                    if failure.effect == RemoteEffect::Unknown && failures < MAX_PART_FAILURES =>
                {
                    failures += 1;
                    size.note_failure();
                    time::sleep(RETRY_DELAY).await;
                }
                Err(failure) => return Err(failure),
            }
        }
        Ok(parts)
    }

    /// Writes one part, a prefix of `rest`; returns the number of bytes stored under its key. An
    /// earlier attempt that got no answer may have written a longer part, or may still do so, and
    /// so each key is written only once.
    async fn write_part(
        &self,
        epoch: u64,
        key: String,
        part: &[u8],
        rest: &[u8],
    ) -> Result<usize, Failure> {
        let txn = Txn {
            expect: vec![(self.lead_key(), epoch), (key.clone(), 0)],
            put: vec![(key.clone(), Bytes::copy_from_slice(part))],
            remove: Vec::new(),
        };
        let items = match self.store.commit(&txn).await? {
            Committed::Done(_) => return Ok(part.len()),
            Committed::Conflict(items) => items,
        };
        let earlier = items.iter().find(|item| *item.key == *key);
        match earlier {
            Some(item) if !item.value.is_empty() && rest.starts_with(&item.value) => {
                Ok(item.value.len())
            }
            _ => Err(superseded("compact log", &self.prefix)),
        }
    }

    /// Reads the newest snapshot; returns its state and the position of its last entry.
    pub(super) async fn read_snapshot(&self) -> Result<(LogState, u64), Failure> {
        let key = self.head_key();
        let Some(item) = self.store.get(&key, false).await? else {
            return Ok((LogState::default(), 0));
        };
        let head: SnapshotHead = postcard::from_bytes(&item.value)
            .map_err(|error| Failure::no_effect("decode snapshot head", &key, error))?;
        let bytes = self.read_parts(&head).await?;
        let state = snapshot::decode(&bytes)
            .map_err(|error| Failure::no_effect("decode snapshot", &key, error))?;
        Ok((state, head.position))
    }

    /// Reads the parts of a snapshot by pages.
    async fn read_parts(&self, head: &SnapshotHead) -> Result<Vec<u8>, Failure> {
        let prefix = self.part_prefix(head.position);
        let mut parts = vec![None; head.parts as usize];
        let mut after = None;
        loop {
            let page = self.store.fetch(&prefix, after.as_deref()).await?;
            for item in &page.items {
                let number = item.key.strip_prefix(&*prefix);
                let number = number.and_then(|digits| usize::from_str_radix(digits, 16).ok());
                // Parts of an earlier attempt may follow the last one.
                if let Some(part) = number.and_then(|number| parts.get_mut(number)) {
                    *part = Some(item.value.clone());
                }
            }
            after = page.items.last().map(|item| item.key.to_string());
            if !page.more || after.is_none() {
                break;
            }
        }
        let parts: Option<Vec<Bytes>> = parts.into_iter().collect();
        let parts = parts
            .ok_or_else(|| Failure::no_effect("read snapshot", &prefix, "a part is missing"))?;
        Ok(parts.concat())
    }

    /// Removes keys on the condition that the owner at `epoch` was not replaced.
    pub(super) async fn remove_all_fenced(
        &self,
        epoch: u64,
        keys: &[String],
    ) -> Result<(), Failure> {
        for keys in keys.chunks(MAX_REMOVED_KEYS) {
            self.remove_fenced(epoch, keys.to_vec()).await?;
        }
        Ok(())
    }

    async fn remove_fenced(&self, epoch: u64, keys: Vec<String>) -> Result<(), Failure> {
        let txn = Txn {
            expect: vec![(self.lead_key(), epoch)],
            put: Vec::new(),
            remove: keys,
        };
        match self.store.commit(&txn).await? {
            Committed::Done(_) => Ok(()),
            Committed::Conflict(_) => Err(superseded("remove keys", &self.prefix)),
        }
    }
}

fn superseded(step: &'static str, prefix: &str) -> Failure {
    Failure::no_effect(step, prefix, "another owner or a newer snapshot")
}
