//! A log of records in the key-value service.
//!
//! The lead key names the owner, and its revision is the owner's epoch. Every entry is written on
//! the condition that this revision is unchanged. This fences off a former owner: once another
//! process has written the lead key, its writes fail, however late they arrive.

mod compaction;
pub mod entry;
pub mod predecessors;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::time;

use crate::clock::Moment;
use crate::failure::Failure;
use crate::workflow::kv::{Committed, Store, Txn};
use crate::workflow::log::entry::Entry;
use crate::workflow::log_state::LogState;
use crate::workflow::record::{LogOwner, LogRecord};

pub use compaction::PartSize;

/// Delay before a call whose outcome is unknown is retried.
const RETRY_DELAY: Duration = Duration::from_millis(120);
/// Time within which an owner that is alive writes an entry, with a margin.
const GROWTH_WAIT: Duration = Duration::from_millis(650);
/// Entries between two snapshots.
const SNAPSHOT_EVERY: u64 = 400;
/// Hexadecimal digits of a position in a key.
const POSITION_DIGITS: usize = 12;
/// An address at which nothing listens.
const UNREACHABLE_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// The value of the `base` key: the newest snapshot.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct SnapshotHead {
    /// Position of the last entry that the snapshot covers.
    position: u64,
    /// Number of parts of the snapshot.
    parts: u32,
}

/// Position of the newest entry, and when it was read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LogTail {
    newest_position: u64,
    at: time::Instant,
}

/// Why an entry was not written.
#[derive(Clone, Debug)]
pub enum AppendError {
    /// Another process owns the log: the entry was not written and never will be.
    Superseded,
    /// The store refuses the entry, and would refuse each repetition.
    Refused(Failure),
}

/// The acknowledgement of an entry that is durable.
#[derive(Clone, Copy, Debug)]
pub struct Written {
    /// When the call that proves the ownership of the log was sent, or shortly before.
    pub sent: Moment,
    /// A revision of the store that is lower than the epoch of any later owner.
    pub revision: u64,
    /// Whether learned values were left out, because the store refused the entry with them.
    pub is_reduced: bool,
}

/// A log in the key-value service.
#[derive(Clone)]
pub struct Log {
    store: Arc<dyn Store>,
    prefix: Arc<str>,
    incarnation: u64,
    /// Size limit of a part of a snapshot in bytes.
    part_bytes: usize,
}

/// State of a log after a replay.
pub struct Replayed {
    /// State after the last entry.
    pub state: LogState,
    /// Position of the next entry.
    pub next_position: u64,
}

impl Log {
    /// Returns the log whose keys begin with `prefix`; `incarnation` marks the writes of this
    /// process.
    #[must_use]
    pub fn new(store: Arc<dyn Store>, prefix: &str, incarnation: u64) -> Self {
        Self {
            store,
            prefix: prefix.into(),
            incarnation,
            part_bytes: entry::BYTES_MAX,
        }
    }

    /// Limits the parts of snapshots to `bytes`.
    #[must_use]
    pub fn with_parts_of(mut self, bytes: usize) -> Self {
        self.part_bytes = bytes;
        self
    }

    fn lead_key(&self) -> String {
        format!("{}lead", self.prefix)
    }

    fn head_key(&self) -> String {
        format!("{}base", self.prefix)
    }

    fn entry_prefix(&self) -> String {
        format!("{}log/", self.prefix)
    }

    fn entry_key(&self, position: u64) -> String {
        format!("{}log/{position:0POSITION_DIGITS$x}", self.prefix)
    }

    fn part_prefix(&self, position: u64) -> String {
        format!("{}snap/{position:012x}/", self.prefix)
    }

    fn part_key(&self, position: u64, part: u32) -> String {
        format!("{}{part:02x}", self.part_prefix(position))
    }

    /// Reads the record of the owner. With `stale`, the answer may be seconds old.
    ///
    /// # Errors
    /// The store did not answer.
    pub async fn read_owner(&self, stale: bool) -> Result<Option<LogOwner>, Failure> {
        let key = self.lead_key();
        let Some(item) = self.store.get(&key, stale).await? else {
            return Ok(None);
        };
        Ok(Some(decode_lead(&key, &item.value, item.revision)))
    }

    /// Tries to make `mine` the owner in place of the owner at epoch `former`; 0 stands for none.
    /// The owner that `mine` names as its predecessor is recorded as replaced.
    ///
    /// # Errors
    /// The store did not answer; the lead key may have been written.
    pub async fn acquire(&self, mine: &LogOwner, former: u64) -> Result<Acquisition, Failure> {
        let key = self.lead_key();
        let value = postcard::to_stdvec(mine)
            .map_err(|error| Failure::no_effect("encode lead", &key, error))?;
        let mut put = Vec::new();
        if let Some(predecessor) = &mine.former {
            put.push(self.encode_predecessor(predecessor)?);
        }
        // The last one, so that it has the revision of the answer in any case.
        put.push((key.clone(), value.into()));
        let txn = Txn {
            expect: vec![(key.clone(), former)],
            put,
            remove: Vec::new(),
        };
        match self.store.commit(&txn).await? {
            Committed::Done(revision) => Ok(Acquisition::Acquired(revision)),
            Committed::Conflict(items) => {
                let Some(item) = items.into_iter().find(|item| *item.key == *key) else {
                    return Ok(Acquisition::HeldByOther(None));
                };
                let lead = decode_lead(&key, &item.value, item.revision);
                if lead.incarnation == mine.incarnation {
                    return Ok(Acquisition::Acquired(item.revision));
                }
                Ok(Acquisition::HeldByOther(Some(lead)))
            }
        }
    }

    /// Replays the whole log. Only the owner may call this: for any other process the log could
    /// grow during the replay.
    ///
    /// # Errors
    /// The store did not answer, or the snapshot or an entry cannot be decoded.
    pub async fn replay(&self, now: Duration) -> Result<Replayed, Failure> {
        let (mut log_state, head_position) = self.read_snapshot().await?;
        log_state.index(now);
        let prefix = self.entry_prefix();
        let mut next = head_position + 1;
        let mut after = self.entry_key(head_position);
        loop {
            let page = self.store.fetch(&prefix, Some(&after)).await?;
            for item in &page.items {
                after = item.key.to_string();
                // Positions have no gaps; any other key is not an entry of this log.
                if position_of(&item.key) != Some(next) {
                    tracing::warn!(
                        key = %item.key,
                        next,
                        "skipping a key that is not the next entry of the log"
                    );
                    continue;
                }
                let entry = Entry::decode(&item.value)
                    .map_err(|error| Failure::no_effect("decode entry", &item.key, error))?;
                for record in &entry.records {
                    log_state.apply(record, now);
                }
                next += 1;
            }
            if !page.more || page.items.is_empty() {
                return Ok(Replayed {
                    state: log_state,
                    next_position: next,
                });
            }
        }
    }

    /// Reads the position of the newest entry, scanning from the entry after `after_position`.
    ///
    /// # Errors
    /// The store did not answer.
    pub async fn read_tail(&self, after_position: u64) -> Result<LogTail, Failure> {
        let at = time::Instant::now();
        let prefix = self.entry_prefix();
        let mut newest = after_position;
        let mut after = self.entry_key(after_position);
        loop {
            let page = self.store.scan(&prefix, Some(&after)).await?;
            let Some(last) = page.items.last() else {
                return Ok(LogTail {
                    newest_position: newest,
                    at,
                });
            };
            after = last.key.to_string();
            let positions = page.items.iter().filter_map(|item| position_of(&item.key));
            newest = positions.fold(newest, u64::max);
            if !page.more {
                return Ok(LogTail {
                    newest_position: newest,
                    at,
                });
            }
        }
    }

    /// Returns whether entries were added since `since` was read, after waiting for as long as an
    /// owner that is alive would need to add one.
    ///
    /// # Errors
    /// The store did not answer.
    pub async fn has_grown(&self, since: LogTail) -> Result<bool, Failure> {
        time::sleep_until(since.at + GROWTH_WAIT).await;
        Ok(self.read_tail(since.newest_position).await?.newest_position != since.newest_position)
    }

    /// Encodes an entry.
    ///
    /// # Errors
    /// The entry cannot be encoded.
    pub fn encode(&self, records: Vec<LogRecord>) -> Result<Bytes, Failure> {
        Entry::encode(self.incarnation, records)
            .map(Bytes::from)
            .map_err(|error| Failure::no_effect("encode entry", &*self.prefix, error))
    }

    /// Writes an entry, and retries until it is known to be durable or known never to be written. An
    /// entry that the store refuses is written without the values that can be learned again.
    ///
    /// # Errors
    /// Another process owns the log, or the store refuses the entry also without these values.
    pub async fn append(
        &self,
        epoch: u64,
        position: u64,
        value: Bytes,
    ) -> Result<Written, AppendError> {
        let key = self.entry_key(position);
        let mut txn = Txn {
            expect: vec![(self.lead_key(), epoch), (key.clone(), 0)],
            put: vec![(key.clone(), value)],
            remove: Vec::new(),
        };
        let mut is_reduced = false;
        let mut tries = 0u32;
        loop {
            let sent = Moment::now();
            match self.store.commit(&txn).await {
                Ok(Committed::Done(revision)) => {
                    return Ok(Written {
                        sent,
                        revision,
                        is_reduced,
                    });
                }
                Ok(Committed::Conflict(items)) => {
                    let own = items
                        .iter()
                        .find(|item| *item.key == *key && item.value == txn.put[0].1);
                    let Some(own) = own else {
                        return Err(AppendError::Superseded);
                    };
                    // An earlier attempt took effect, which does not prove that this process
                    // still owns the log.
                    let sent = self.confirm_lead(epoch, sent).await?;
                    let revision = own.revision;
                    return Ok(Written {
                        sent,
                        revision,
                        is_reduced,
                    });
                }
                Err(failure) if failure.is_final => {
                    let value = &txn.put[0].1;
                    tracing::error!(position, bytes = value.len(), %failure, is_reduced,
                        "the store refuses an entry of the log");
                    let Some(reduced) = entry::without_learned(value) else {
                        return Err(AppendError::Refused(failure));
                    };
                    txn.put[0].1 = reduced;
                    is_reduced = true;
                }
                Err(failure) => {
                    tries += 1;
                    if tries == 1 {
                        tracing::warn!(position, %failure, "entry not confirmed; retrying");
                    }
                    time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Confirms, after an entry was found written, that this process still owns the log: a former
    /// owner must not act on the entry. Returns a moment no later than the one at which the
    /// confirming read was sent.
    async fn confirm_lead(&self, epoch: u64, mut sent: Moment) -> Result<Moment, AppendError> {
        loop {
            match self.read_owner(false).await {
                Ok(Some(lead)) if lead.epoch == epoch => return Ok(sent),
                Ok(_) => return Err(AppendError::Superseded),
                Err(failure) => {
                    tracing::warn!(%failure, "failed to read the lead key; retrying");
                    time::sleep(RETRY_DELAY).await;
                    sent = Moment::now();
                }
            }
        }
    }

    /// Writes a key outside the log, on the condition that the owner at `epoch` was not replaced.
    /// Returns false if it was.
    ///
    /// # Errors
    /// The store did not answer; the key may be written later, unless the owner is replaced before.
    pub async fn put_fenced(&self, epoch: u64, key: String, value: Bytes) -> Result<bool, Failure> {
        let txn = Txn {
            expect: vec![(self.lead_key(), epoch)],
            put: vec![(key, value)],
            remove: Vec::new(),
        };
        let committed = self.store.commit(&txn).await?;
        Ok(matches!(committed, Committed::Done(_)))
    }

    /// Returns whether a snapshot is due after the entry at this position.
    #[must_use]
    pub fn is_snapshot_due(position: u64) -> bool {
        position.is_multiple_of(SNAPSHOT_EVERY)
    }
}

/// Result of an attempt to become the owner of a log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Acquisition {
    /// This process owns the log, at this epoch.
    Acquired(u64),
    /// Another process owns the log, or the key changed and names none.
    HeldByOther(Option<LogOwner>),
}

/// Decodes the owner that a lead key names. Other programs may write this key too: a value that
/// cannot be decoded yields an owner at an unreachable address, which supersedes the previous one
/// and is replaced like any owner that has ended.
fn decode_lead(key: &str, value: &[u8], revision: u64) -> LogOwner {
    let lead = postcard::from_bytes(value).unwrap_or_else(|error| {
        tracing::error!(key, revision, %error, "lead key cannot be decoded; the log has no owner");
        LogOwner {
            name: "".into(),
            address: UNREACHABLE_ADDRESS,
            incarnation: 0,
            largest: 0,
            former: None,
            epoch: 0,
        }
    });
    LogOwner {
        epoch: revision,
        ..lead
    }
}

/// Parses the position of an entry; `None` if the key is not that of an entry.
fn position_of(key: &str) -> Option<u64> {
    let digits = key.rsplit('/').next().unwrap_or_default();
    let complete = digits.len() == POSITION_DIGITS;
    complete
        .then(|| u64::from_str_radix(digits, 16).ok())
        .flatten()
}
