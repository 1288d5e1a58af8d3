//! Snapshots in the key-value service, and the removal of the entries that they replace.
//!
//! A snapshot shares its owner's link with the entries that are appended meanwhile, and callers
//! wait for those. So it is written in parts that take a bounded time each, with pauses between
//! them in which entries get through.

use std::time::Duration;

use bytes::Bytes;
use tokio::time::{self, Instant};

use crate::failure::{Failure, RemoteEffect};
use crate::workflow::kv::{Committed, Txn};
use crate::workflow::log::{Log, SnapshotHead};
use crate::workflow::log_state::LogState;
use crate::workflow::snapshot;

/// Time that one part should take: a delayed entry still counts as written in time.
const PART_TIME: Duration = Duration::from_millis(60);
/// Bytes of the first part, of the smallest and of the largest one. The largest stays under the
/// store's limit on values in base64.
const PART: [usize; 3] = [16 << 10, 2 << 10, 512 << 10];
/// Failed writes of one part after which the snapshot is given up.
const TRIES: u32 = 6;
/// Pause after a failed write.
const RETRY: Duration = Duration::from_millis(250);
/// Keys removed by one call; the store allows 32 entries.
const REMOVE_MAX: usize = 30;

/// How many bytes go into one part, by how long earlier ones took.
#[derive(Clone, Copy, Debug)]
pub struct PartSize(usize);

impl Default for PartSize {
    fn default() -> Self {
        Self(PART[0])
    }
}

impl PartSize {
    /// Bytes of the next part.
    #[must_use]
    pub fn bytes(self) -> usize {
        self.0
    }

    /// A part took so long.
    pub fn note_written(&mut self, took: Duration) {
        let size = if took > PART_TIME {
            self.0 / 2
        } else if took < PART_TIME / 2 {
            self.0 * 2
        } else {
            self.0
        };
        self.0 = size.clamp(PART[1], PART[2]);
    }

    /// A part was not written in time.
    pub fn note_failure(&mut self) {
        self.0 = (self.0 / 4).max(PART[1]);
    }
}

impl Log {
    /// Writes a snapshot of the state after the durable entry at `position`, then removes the
    /// entries that it replaces.
    ///
    /// # Errors
    /// A step failed; the log is still whole.
    pub async fn compact(&self, epoch: u64, position: u64, snapshot: &[u8]) -> Result<(), Failure> {
        let began = Instant::now();
        let item = self.store.get(&self.base_key(), false).await?;
        let revision = item.as_ref().map_or(0, |item| item.revision);
        let former: Option<SnapshotHead> =
            item.and_then(|item| postcard::from_bytes(&item.value).ok());
        let parts = self.write_parts(epoch, position, snapshot).await?;
        self.write_base(epoch, SnapshotHead { position, parts }, revision)
            .await?;
        let first = former.as_ref().map_or(1, |base| base.position + 1);
        let mut old: Vec<String> = (first..=position).map(|at| self.entry_key(at)).collect();
        if let Some(base) = former {
            old.extend((0..base.parts).map(|part| self.part_key(base.position, part)));
        }
        for keys in old.chunks(REMOVE_MAX) {
            self.remove_as_owner(epoch, keys.to_vec()).await?;
        }
        tracing::info!(
            position,
            bytes = snapshot.len(),
            parts,
            removed = old.len(),
            took_ms = began.elapsed().as_millis(),
            "snapshot written"
        );
        Ok(())
    }

    /// Makes a snapshot the newest one in place of that at `revision`. Without this condition, one
    /// that took long, or a write that is carried out late, could replace a newer snapshot whose
    /// entries are removed.
    async fn write_base(
        &self,
        epoch: u64,
        base: SnapshotHead,
        revision: u64,
    ) -> Result<(), Failure> {
        let key = self.base_key();
        let value = postcard::to_stdvec(&base)
            .map_err(|error| Failure::no_effect("encode base", &key, error))?;
        let txn = Txn {
            expect: vec![(self.lead_key(), epoch), (key.clone(), revision)],
            put: vec![(key, value.into())],
            remove: Vec::new(),
        };
        match self.store.commit(&txn).await? {
            Committed::Done(_) => Ok(()),
            Committed::Conflict(_) => Err(superseded(&self.prefix)),
        }
    }

    /// Writes the parts of a snapshot; the result is how many.
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
            let part = &rest[..size.bytes().min(rest.len())];
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
                Err(failure) if failure.effect == RemoteEffect::Unknown && failures < TRIES => {
                    failures += 1;
                    size.note_failure();
                    time::sleep(RETRY).await;
                }
                Err(failure) => return Err(failure),
            }
        }
        Ok(parts)
    }

    /// Writes one part, the beginning of `rest`. An earlier try that was not answered may have
    /// written more of it, or may do so later, so a key is written only once. The result is how
    /// many bytes stand there.
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
            _ => Err(superseded(&self.prefix)),
        }
    }

    /// Reads the newest snapshot, and the position after which entries follow it.
    pub(super) async fn read_snapshot(&self) -> Result<(LogState, u64), Failure> {
        let key = self.base_key();
        let Some(item) = self.store.get(&key, false).await? else {
            return Ok((LogState::default(), 0));
        };
        let base: SnapshotHead = postcard::from_bytes(&item.value)
            .map_err(|error| Failure::no_effect("decode base", &key, error))?;
        let bytes = self.read_parts(&base).await?;
        let book = snapshot::decode(&bytes)
            .map_err(|error| Failure::no_effect("decode snapshot", &key, error))?;
        Ok((book, base.position))
    }

    /// Reads the parts of a snapshot, many in one answer.
    async fn read_parts(&self, base: &SnapshotHead) -> Result<Vec<u8>, Failure> {
        let prefix = self.part_prefix(base.position);
        let mut parts = vec![None; base.parts as usize];
        let mut after = None;
        loop {
            let page = self.store.fetch(&prefix, after.as_deref()).await?;
            for item in &page.items {
                let number = item.key.strip_prefix(&*prefix);
                let number = number.and_then(|digits| usize::from_str_radix(digits, 16).ok());
                // Parts of an earlier try may stand behind the last one.
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

    async fn remove_as_owner(&self, epoch: u64, keys: Vec<String>) -> Result<(), Failure> {
        let txn = Txn {
            expect: vec![(self.lead_key(), epoch)],
            put: Vec::new(),
            remove: keys,
        };
        match self.store.commit(&txn).await? {
            Committed::Done(_) => Ok(()),
            Committed::Conflict(_) => Err(superseded(&self.prefix)),
        }
    }
}

fn superseded(prefix: &str) -> Failure {
    Failure::no_effect("compact log", prefix, "another owner or a newer snapshot")
}
