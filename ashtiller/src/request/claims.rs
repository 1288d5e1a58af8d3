//! Idempotency keys, claimed in the store before a request is sent.
//!
//! A claim is a key that is created if absent, so whichever gateway comes first
//! wins and no agreement between gateways is needed. Claims are written in
//! groups, and the number of groups a second is limited: a claim that comes
//! alone is written at once. Keys live in periods; a claim checks the periods
//! before and after its own, so that a key claimed near a boundary, by gateways
//! whose clocks differ, is still claimed once.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use tokio::time;

use crate::failure::{Failure, RemoteEffect};
use crate::store::{Commit, Store, Write};

/// Prefix of the claims' keys.
pub const PREFIX: &str = "ashtiller/claims/";
/// Length of a period.
const PERIOD: Duration = Duration::from_hours(12);
/// Claims in one group; each takes three steps of a transaction of 64.
const GROUP_MAX: usize = 21;
/// Claims that may wait to be written.
const BACKLOG: usize = 4096;
/// Time for which a claim that was not used is tried to be taken back.
const UNDO_TRIES: u32 = 60;
/// Tries after which an absent key counts as taken back.
const UNDO_LATE: u32 = 5;
/// Pause between such tries.
const UNDO_PAUSE: Duration = Duration::from_secs(1);

/// A key to claim.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Claim {
    /// Client account.
    pub account: Arc<str>,
    /// Hash of the caller's key.
    pub key: u128,
    /// Number that no other claim has.
    pub nonce: u64,
}

/// What became of a claim.
#[derive(Clone, Debug)]
pub enum ClaimResult {
    /// This request may be sent.
    Acquired(Box<str>),
    /// An earlier request has the key.
    AlreadyClaimed,
    /// The store could not be asked; nothing may be sent.
    Refused(Failure),
}

type Asked = (Claim, oneshot::Sender<ClaimResult>);

/// A running group writer.
pub struct ClaimWriter {
    sender: mpsc::Sender<Asked>,
    writer: JoinHandle<()>,
    store: Arc<dyn Store>,
}

impl Drop for ClaimWriter {
    fn drop(&mut self) {
        self.writer.abort();
    }
}

/// Starts a writer that writes at most `rate` groups a second.
#[must_use]
pub fn spawn(store: Arc<dyn Store>, rate: u32) -> ClaimWriter {
    let (sender, receiver) = mpsc::channel(BACKLOG);
    let writer = tokio::spawn(write_groups(store.clone(), receiver, rate));
    ClaimWriter {
        sender,
        writer,
        store,
    }
}

impl ClaimWriter {
    /// Claims a key and waits for the result.
    pub async fn claim(&self, claim: Claim) -> ClaimResult {
        let (asked, answer) = oneshot::channel();
        if self.sender.try_send((claim, asked)).is_err() {
            return ClaimResult::Refused(Failure::no_effect(
                "claim",
                "store",
                "too many claims wait",
            ));
        }
        let gone =
            |_| ClaimResult::Refused(Failure::no_effect("claim", "store", "the writer stopped"));
        answer.await.unwrap_or_else(gone)
    }

    /// Takes back a claim whose request was not sent, so that the caller may repeat
    /// it. Goes on in the background while the store is down.
    pub fn release(&self, key: Box<str>, claim: &Claim) {
        tokio::spawn(take_back(self.store.clone(), key, claim.nonce));
    }
}

async fn write_groups(store: Arc<dyn Store>, mut receiver: mpsc::Receiver<Asked>, rate: u32) {
    let mut bucket = Bucket::new(rate);
    let mut group = Vec::new();
    while receiver.recv_many(&mut group, GROUP_MAX).await > 0 {
        bucket.take().await;
        // What arrived during the pause joins the group.
        while group.len() < GROUP_MAX {
            let Ok(asked) = receiver.try_recv() else {
                break;
            };
            group.push(asked);
        }
        tokio::spawn(write_group(store.clone(), std::mem::take(&mut group)));
    }
}

struct Bucket {
    rate: f64,
    tokens: f64,
    last: time::Instant,
}

impl Bucket {
    fn new(rate: u32) -> Self {
        Self {
            rate: rate.into(),
            tokens: rate.into(),
            last: time::Instant::now(),
        }
    }

    async fn take(&mut self) {
        let now = time::Instant::now();
        let earned = now.duration_since(self.last).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + earned).min(self.rate);
        self.last = now;
        if self.tokens < 1.0 {
            time::sleep(Duration::from_secs_f64((1.0 - self.tokens) / self.rate)).await;
            self.tokens = 1.0;
            self.last = time::Instant::now();
        }
        self.tokens -= 1.0;
    }
}

async fn write_group(store: Arc<dyn Store>, group: Vec<Asked>) {
    // Two requests with one key in one group: the first is claimed.
    let mut pending: BTreeMap<(Arc<str>, u128), Asked> = BTreeMap::new();
    for (claim, asked) in group {
        let name = (claim.account.clone(), claim.key);
        match pending.entry(name) {
            Entry::Occupied(_) => {
                let _ = asked.send(ClaimResult::AlreadyClaimed);
            }
            Entry::Vacant(place) => {
                place.insert((claim, asked));
            }
        }
    }
    let mut pending: Vec<Asked> = pending.into_values().collect();
    let period = now_period();
    while !pending.is_empty() {
        let writes: Vec<Write> = pending
            .iter()
            .flat_map(|(claim, _)| steps_of(claim, period))
            .collect();
        match store.commit(&writes).await {
            Ok(Commit::Done) => return tell_ours(&store, pending, period),
            Ok(Commit::Conflict(positions)) => pending = drop_taken(pending, &positions),
            Err(failure) => return resolve(&*store, pending, period, &failure).await,
        }
    }
}

fn steps_of(claim: &Claim, period: u64) -> [Write; 3] {
    let value = Bytes::from(claim.nonce.to_string());
    [
        Write::CompareAndSwap {
            key: key_of(claim, period),
            value,
            index: 0,
        },
        Write::CheckAbsent {
            key: key_of(claim, period.saturating_sub(1)),
        },
        Write::CheckAbsent {
            key: key_of(claim, period + 1),
        },
    ]
}

fn key_of(claim: &Claim, period: u64) -> String {
    format!("{PREFIX}{period}/{}/{:032x}", claim.account, claim.key)
}

fn tell_ours(store: &Arc<dyn Store>, pending: Vec<Asked>, period: u64) {
    for (claim, asked) in pending {
        let key: Box<str> = key_of(&claim, period).into();
        if asked.send(ClaimResult::Acquired(key.clone())).is_err() {
            // The request is gone; it was not sent.
            tokio::spawn(take_back(store.clone(), key, claim.nonce));
        }
    }
}

fn drop_taken(pending: Vec<Asked>, positions: &[usize]) -> Vec<Asked> {
    let mut left = Vec::new();
    for (index, (claim, asked)) in pending.into_iter().enumerate() {
        if positions.iter().any(|position| position / 3 == index) {
            let _ = asked.send(ClaimResult::AlreadyClaimed);
        } else {
            left.push((claim, asked));
        }
    }
    left
}

/// After a lost answer each key is read back; what cannot be read is refused.
async fn resolve(store: &dyn Store, pending: Vec<Asked>, period: u64, failure: &Failure) {
    for (claim, asked) in pending {
        let key = key_of(&claim, period);
        let found = match failure.effect {
            RemoteEffect::None => Err(failure.clone()),
            RemoteEffect::Unknown => store.get(&key).await,
        };
        let claimed = match found {
            Ok(Some(item)) if item.value == claim.nonce.to_string() => {
                ClaimResult::Acquired(key.into())
            }
            Ok(Some(_)) => ClaimResult::AlreadyClaimed,
            Ok(None) => ClaimResult::Refused(failure.clone()),
            Err(failure) => ClaimResult::Refused(failure),
        };
        let _ = asked.send(claimed);
    }
}

/// The key of a refused claim in the current period, to be undone.
#[must_use]
pub fn current_key(claim: &Claim) -> Box<str> {
    key_of(claim, now_period()).into()
}

async fn take_back(store: Arc<dyn Store>, key: Box<str>, nonce: u64) {
    for tries in 0..UNDO_TRIES {
        match store.get(&key).await {
            Ok(Some(item)) if item.value == nonce.to_string() => {
                if store.remove(&key, item.index).await.is_ok() {
                    return;
                }
            }
            Ok(Some(_)) => return,
            // A write whose answer was lost may still arrive.
            Ok(None) if tries >= UNDO_LATE => return,
            Ok(None) | Err(_) => {}
        }
        time::sleep(UNDO_PAUSE).await;
    }
}

fn now_period() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since.as_secs() / PERIOD.as_secs()
}
