//! Ids of jobs that were cancelled before they were submitted.
//!
//! A client that gets no answer to a submission may cancel it at another instance, while the submission is
//! still under way: in the socket of a suspended process, or between two instances. Its cancellation is
//! acknowledged, so the job must not run when it arrives later. The log keeps such ids for as long as a copy
//! of the submission may be under way.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Number of the cancelled ids among the extensions of a snapshot.
pub const EXTENSION: u8 = 8;
/// Ids that are kept; each takes some 150 bytes. Further cancellations of unknown jobs are refused.
pub const IDS_MAX: usize = 10_000;
/// Longest id that is kept, in bytes.
pub const ID_BYTES_MAX: usize = 256;

/// Cancelled ids, the oldest one first.
#[derive(Clone, Debug, Default)]
pub struct CancelledIds {
    ids: BTreeSet<Arc<str>>,
    /// Ids in the order of their cancellations, with the time on this owner's clock.
    order: VecDeque<(Arc<str>, Duration)>,
}

impl CancelledIds {
    /// Adds an id that was cancelled, for the last time, by `now` at the latest.
    pub fn insert(&mut self, id: &Arc<str>, now: Duration) {
        if !self.ids.insert(id.clone()) {
            self.order.retain(|(other, _)| other != id);
        }
        self.order.push_back((id.clone(), now));
        while self.ids.len() > IDS_MAX {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((id, _)) = self.order.pop_front() {
            self.ids.remove(&id);
        }
    }

    /// Forgets the ids that were cancelled before `limit`.
    pub fn forget_before(&mut self, limit: Duration) {
        while self.order.front().is_some_and(|(_, at)| *at < limit) {
            self.remove_oldest();
        }
    }

    /// Reports whether an id was cancelled.
    #[must_use]
    pub fn contains(&self, id: &str) -> bool {
        self.ids.contains(id)
    }

    /// Reports whether one more id can be kept.
    #[must_use]
    pub fn has_room_for(&self, id: &str) -> bool {
        id.len() <= ID_BYTES_MAX && self.ids.len() < IDS_MAX
    }

    /// Returns the number of ids.
    #[must_use]
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Reports whether no id is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    /// Encodes the ids for a snapshot.
    ///
    /// # Errors
    /// Fails if they cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        let ids: Vec<&Arc<str>> = self.order.iter().map(|(id, _)| id).collect();
        postcard::to_stdvec(&ids)
    }

    /// Decodes the ids of a snapshot; their time is `now`.
    ///
    /// # Errors
    /// Fails if the bytes are no valid ids.
    pub fn decode(bytes: &[u8], now: Duration) -> Result<Self, postcard::Error> {
        let ids: Vec<Arc<str>> = postcard::from_bytes(bytes)?;
        let mut cancelled = Self::default();
        for id in &ids {
            cancelled.insert(id, now);
        }
        Ok(cancelled)
    }

    /// Sets the time of all ids: a new owner counts from its beginning.
    pub fn set_times(&mut self, now: Duration) {
        for (_, at) in &mut self.order {
            *at = now;
        }
    }
}
