//! Idempotency keys, claimed in the store before a request is sent.
//!
//! A claim creates a key if it is absent, so the first gateway wins and gateways need
//! no agreement among themselves. Claims are written in batches at a limited rate; a
//! single claim is written at once. Keys are stored by period. A claim also checks the
//! periods before and after its own, so that a key claimed near a boundary by gateways
//! whose clocks differ is still claimed only once.

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
/// Claims in one batch. Each takes three operations, and a transaction of the store
/// has at most 64.
const BATCH_MAX: usize = 21;
/// Claims that may be queued for writing.
const QUEUE_MAX: usize = 4096;
/// Attempts to release a claim whose request was not sent.
const RELEASE_ATTEMPTS: u32 = 60;
/// Attempts after which an absent key counts as released.
const RELEASE_ABSENT_AFTER: u32 = 5;
/// Pause between attempts to release a claim.
const RELEASE_PAUSE: Duration = Duration::from_secs(1);

/// A key to claim.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Claim {
    /// Client account.
    pub account: Arc<str>,
    /// Hash of the caller's key.
    pub key: u128,
    /// Number unique to this claim, which shows who created the key.
    pub nonce: u64,
}

/// Result of a claim.
#[derive(Clone, Debug)]
pub enum ClaimResult {
    /// The key in the store is created; the request may be sent.
    Acquired(Box<str>),
    /// An earlier request has the key.
    AlreadyClaimed,
    /// The store gave no definite answer; the request must not be sent.
    Refused(Failure),
}

type PendingClaim = (Claim, oneshot::Sender<ClaimResult>);

/// Handle of the task that writes claims in batches.
pub struct ClaimWriter {
    sender: mpsc::Sender<PendingClaim>,
    writer: JoinHandle<()>,
    store: Arc<dyn Store>,
}

impl Drop for ClaimWriter {
    fn drop(&mut self) {
        self.writer.abort();
    }
}

/// Starts a task that writes at most `rate` batches per second.
#[must_use]
pub fn spawn(store: Arc<dyn Store>, rate: u32) -> ClaimWriter {
    let (sender, receiver) = mpsc::channel(QUEUE_MAX);
    let writer = tokio::spawn(write_batches(store.clone(), receiver, rate));
    ClaimWriter {
        sender,
        writer,
        store,
    }
}

impl ClaimWriter {
    /// Claims a key and waits for the result.
    pub async fn claim(&self, claim: Claim) -> ClaimResult {
        let (reply, receiver) = oneshot::channel();
        if self.sender.try_send((claim, reply)).is_err() {
            return ClaimResult::Refused(Failure::no_effect(
                "claim",
                "store",
                "the queue of claims is full",
            ));
        }
        let stopped =
            |_| ClaimResult::Refused(Failure::no_effect("claim", "store", "the writer stopped"));
        receiver.await.unwrap_or_else(stopped)
    }

    /// Releases a claim whose request was not sent, so that the caller may repeat it.
    /// Runs in the background and retries for a minute if the store is unavailable.
    pub fn release(&self, key: Box<str>, claim: &Claim) {
        tokio::spawn(release_key(self.store.clone(), key, claim.nonce));
    }
}

async fn write_batches(
    store: Arc<dyn Store>,
    mut receiver: mpsc::Receiver<PendingClaim>,
    rate: u32,
) {
    let mut bucket = TokenBucket::new(rate);
    let mut batch = Vec::new();
    while receiver.recv_many(&mut batch, BATCH_MAX).await > 0 {
        bucket.take().await;
        // Claims that arrived during the pause join the batch.
        while batch.len() < BATCH_MAX {
            let Ok(claim) = receiver.try_recv() else {
                break;
            };
            batch.push(claim);
        }
        tokio::spawn(write_batch(store.clone(), std::mem::take(&mut batch)));
    }
}

struct TokenBucket {
    rate: f64,
    tokens: f64,
    last: time::Instant,
}

impl TokenBucket {
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

async fn write_batch(store: Arc<dyn Store>, batch: Vec<PendingClaim>) {
    // Of two requests with the same key in one batch, the first gets the claim.
    let mut pending: BTreeMap<(Arc<str>, u128), PendingClaim> = BTreeMap::new();
    for (claim, reply) in batch {
        let name = (claim.account.clone(), claim.key);
        match pending.entry(name) {
            Entry::Occupied(_) => {
                let _ = reply.send(ClaimResult::AlreadyClaimed);
            }
            Entry::Vacant(vacant) => {
                vacant.insert((claim, reply));
            }
        }
    }
    let mut pending: Vec<PendingClaim> = pending.into_values().collect();
    let period = now_period();
    while !pending.is_empty() {
        let writes: Vec<Write> = pending
            .iter()
            .flat_map(|(claim, _)| writes_for(claim, period))
            .collect();
        match store.commit(&writes).await {
            Ok(Commit::Done) => return report_acquired(&store, pending, period),
            Ok(Commit::Conflict(positions)) => pending = reject_claimed(pending, &positions),
            Err(failure) => return resolve(&*store, pending, period, &failure).await,
        }
    }
}

fn writes_for(claim: &Claim, period: u64) -> [Write; 3] {
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

fn report_acquired(store: &Arc<dyn Store>, pending: Vec<PendingClaim>, period: u64) {
    for (claim, reply) in pending {
        let key: Box<str> = key_of(&claim, period).into();
        if reply.send(ClaimResult::Acquired(key.clone())).is_err() {
            // The request was cancelled before it was sent.
            tokio::spawn(release_key(store.clone(), key, claim.nonce));
        }
    }
}

fn reject_claimed(pending: Vec<PendingClaim>, positions: &[usize]) -> Vec<PendingClaim> {
    let mut remaining = Vec::new();
    for (index, (claim, reply)) in pending.into_iter().enumerate() {
        if positions.iter().any(|position| position / 3 == index) {
            let _ = reply.send(ClaimResult::AlreadyClaimed);
        } else {
            remaining.push((claim, reply));
        }
    }
    remaining
}

/// Resolves claims after a failed write. If the write may have taken effect, each key
/// is read back; a claim that can't be confirmed is refused.
async fn resolve(store: &dyn Store, pending: Vec<PendingClaim>, period: u64, failure: &Failure) {
    for (claim, reply) in pending {
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
        let _ = reply.send(claimed);
    }
}

/// Returns the store key of a claim in the current period, to release a refused claim.
#[must_use]
pub fn current_key(claim: &Claim) -> Box<str> {
    key_of(claim, now_period()).into()
}

async fn release_key(store: Arc<dyn Store>, key: Box<str>, nonce: u64) {
    for attempt in 0..RELEASE_ATTEMPTS {
        match store.get(&key).await {
            Ok(Some(item)) if item.value == nonce.to_string() => {
                if store.remove(&key, item.index).await.is_ok() {
                    return;
                }
            }
            Ok(Some(_)) => return,
            // A write without a response may still take effect.
            Ok(None) if attempt >= RELEASE_ABSENT_AFTER => return,
            Ok(None) | Err(_) => {}
        }
        time::sleep(RELEASE_PAUSE).await;
    }
}

fn now_period() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    elapsed.as_secs() / PERIOD.as_secs()
}
