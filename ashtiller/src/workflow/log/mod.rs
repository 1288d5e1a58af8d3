//! A log of facts in the key-value service.
//!
//! The lead key names the owner. Its revision is the owner's epoch: every entry is
//! written on the condition that it still is, so a former owner writes nothing
//! more once another has written the lead key, however late its calls arrive.

mod compaction;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::time;

use crate::clock::Moment;
use crate::failure::Failure;
use crate::workflow::kv::{Committed, Store, Txn};
use crate::workflow::log_state::LogState;
use crate::workflow::record::{LogOwner, LogRecord};

pub use compaction::PartSize;

/// Pause before a call whose outcome is unknown is made again.
const RETRY: Duration = Duration::from_millis(120);
/// Time within which a living owner writes an entry, and some more.
const GROWTH: Duration = Duration::from_millis(650);
/// Entries between two snapshots.
const SNAPSHOT_EVERY: u64 = 400;
/// Digits of a position in a key.
const POSITION_DIGITS: usize = 12;
/// An address at which nobody listens.
const NOWHERE: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// What the base key holds.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct SnapshotHead {
    /// Entries up to this position are in the snapshot.
    position: u64,
    /// Number of parts of the snapshot.
    parts: u32,
}

/// One entry.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Entry {
    /// Life of the writer, to tell its own entries.
    life: u64,
    /// What happened.
    facts: Vec<LogRecord>,
}

/// The newest entry as it was seen at a time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LogTail {
    newest_position: u64,
    at: time::Instant,
}

/// Why an entry was not written.
#[derive(Clone, Debug)]
pub enum AppendError {
    /// Another process owns the log; the entry was not written and never will be.
    Superseded,
}

/// An entry that is written.
#[derive(Clone, Copy, Debug)]
pub struct Written {
    /// When the successful or first call was sent.
    pub sent: Moment,
    /// A revision of the store that is lower than the epoch of any later owner.
    pub revision: u64,
}

/// A log in the key-value service.
#[derive(Clone)]
pub struct Log {
    store: Arc<dyn Store>,
    prefix: Arc<str>,
    life: u64,
}

/// A log as its new owner finds it.
pub struct Replayed {
    /// Every job.
    pub book: LogState,
    /// Position of the next entry.
    pub next_position: u64,
}

impl Log {
    /// A log below `prefix`; `life` tells this process's writes.
    #[must_use]
    pub fn new(store: Arc<dyn Store>, prefix: &str, life: u64) -> Self {
        Self {
            store,
            prefix: prefix.into(),
            life,
        }
    }

    fn lead_key(&self) -> String {
        format!("{}lead", self.prefix)
    }

    fn base_key(&self) -> String {
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

    /// Who owns the log. A stale answer may be seconds old.
    ///
    /// # Errors
    /// The store did not answer, or the key cannot be read.
    pub async fn read_lead(&self, stale: bool) -> Result<Option<LogOwner>, Failure> {
        let key = self.lead_key();
        let Some(item) = self.store.get(&key, stale).await? else {
            return Ok(None);
        };
        Ok(Some(decode_lead(&key, &item.value, item.revision)))
    }

    /// Makes `mine` the owner in place of the owner at epoch `former`, 0 for none.
    ///
    /// # Errors
    /// The store did not answer; the lead may have been written.
    pub async fn acquire(&self, mine: &LogOwner, former: u64) -> Result<Acquisition, Failure> {
        let key = self.lead_key();
        let value = postcard::to_stdvec(mine)
            .map_err(|error| Failure::no_effect("encode lead", &key, error))?;
        let txn = Txn {
            expect: vec![(key.clone(), former)],
            put: vec![(key.clone(), value.into())],
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

    /// Reads the whole log. Only an owner may: others could read while it grows.
    ///
    /// # Errors
    /// The store did not answer, or something in the log cannot be read.
    pub async fn replay(&self, now: Duration) -> Result<Replayed, Failure> {
        let (mut book, base) = self.read_snapshot().await?;
        book.index(now);
        let prefix = self.entry_prefix();
        let mut next = base + 1;
        let mut after = self.entry_key(base);
        loop {
            let page = self.store.fetch(&prefix, Some(&after)).await?;
            for item in &page.items {
                after = item.key.to_string();
                // Positions have no gaps; anything else is not ours.
                if position_of(&item.key) != Some(next) {
                    tracing::warn!(key = %item.key, next, "key is no entry of the log; it is passed over");
                    continue;
                }
                let entry: Entry = postcard::from_bytes(&item.value)
                    .map_err(|error| Failure::no_effect("decode entry", &item.key, error))?;
                for fact in &entry.facts {
                    book.apply(fact, now);
                }
                next += 1;
            }
            if !page.more || page.items.is_empty() {
                return Ok(Replayed {
                    book,
                    next_position: next,
                });
            }
        }
    }

    /// Position of the newest entry, looked for behind an earlier one.
    ///
    /// # Errors
    /// The store did not answer.
    pub async fn read_tail(&self, behind: u64) -> Result<LogTail, Failure> {
        let at = time::Instant::now();
        let prefix = self.entry_prefix();
        let mut newest = behind;
        let mut after = self.entry_key(behind);
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

    /// Whether entries were added since an earlier sight; waits for as long as a living
    /// owner would need to add one.
    ///
    /// # Errors
    /// The store did not answer.
    pub async fn has_grown(&self, since: LogTail) -> Result<bool, Failure> {
        time::sleep_until(since.at + GROWTH).await;
        Ok(self.read_tail(since.newest_position).await?.newest_position != since.newest_position)
    }

    /// Encodes an entry.
    ///
    /// # Errors
    /// It cannot be encoded.
    pub fn encode(&self, facts: Vec<LogRecord>) -> Result<Bytes, Failure> {
        let entry = Entry {
            life: self.life,
            facts,
        };
        postcard::to_stdvec(&entry)
            .map(Bytes::from)
            .map_err(|error| Failure::no_effect("encode entry", &*self.prefix, error))
    }

    /// Writes an entry, again and again until it is known to be written or that it
    /// never will be.
    ///
    /// # Errors
    /// Another process owns the log.
    pub async fn append(
        &self,
        epoch: u64,
        position: u64,
        value: Bytes,
    ) -> Result<Written, AppendError> {
        let key = self.entry_key(position);
        let txn = Txn {
            expect: vec![(self.lead_key(), epoch), (key.clone(), 0)],
            put: vec![(key.clone(), value.clone())],
            remove: Vec::new(),
        };
        let mut tries = 0u32;
        loop {
            let sent = Moment::now();
            match self.store.commit(&txn).await {
                Ok(Committed::Done(revision)) => return Ok(Written { sent, revision }),
                Ok(Committed::Conflict(items)) => {
                    let ours = items
                        .iter()
                        .find(|item| *item.key == *key && item.value == value);
                    let Some(ours) = ours else {
                        return Err(AppendError::Superseded);
                    };
                    // An earlier try had its effect; it proves nothing about now.
                    let sent = self.confirm_lead(epoch, sent).await?;
                    let revision = ours.revision;
                    return Ok(Written { sent, revision });
                }
                Err(failure) => {
                    tries += 1;
                    if tries == 1 {
                        tracing::warn!(position, %failure, "entry not confirmed; it is written again");
                    }
                    time::sleep(RETRY).await;
                }
            }
        }
    }

    /// The entry is written; whether the lead is still held is another question, and
    /// a former owner must not act on the entry any more.
    async fn confirm_lead(&self, epoch: u64, mut sent: Moment) -> Result<Moment, AppendError> {
        loop {
            match self.read_lead(false).await {
                Ok(Some(lead)) if lead.epoch == epoch => return Ok(sent),
                Ok(_) => return Err(AppendError::Superseded),
                Err(failure) => {
                    tracing::warn!(%failure, "lead not read; it is read again");
                    time::sleep(RETRY).await;
                    sent = Moment::now();
                }
            }
        }
    }

    /// Whether a snapshot is due behind this position.
    #[must_use]
    pub fn is_snapshot_due(position: u64) -> bool {
        position.is_multiple_of(SNAPSHOT_EVERY)
    }
}

/// What became of an attempt to own a log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Acquisition {
    /// It is ours, at this epoch.
    Acquired(u64),
    /// Another process has it.
    HeldByOther(Option<LogOwner>),
}

/// The owner that a lead key names. Others may write there too: what cannot be read names an
/// owner that is nowhere, which ends the one before and is replaced like any that has ended.
fn decode_lead(key: &str, value: &[u8], revision: u64) -> LogOwner {
    let lead = postcard::from_bytes(value).unwrap_or_else(|error| {
        tracing::error!(key, revision, %error, "lead cannot be read; nobody owns the log");
        LogOwner {
            name: "".into(),
            address: NOWHERE,
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

/// Position of an entry; none for a key that is no entry's.
fn position_of(key: &str) -> Option<u64> {
    let digits = key.rsplit('/').next().unwrap_or_default();
    let whole = digits.len() == POSITION_DIGITS;
    whole
        .then(|| u64::from_str_radix(digits, 16).ok())
        .flatten()
}
