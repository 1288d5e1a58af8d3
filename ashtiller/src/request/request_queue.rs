//! Queue of requests that wait for a slot: latency-critical before batch, round robin
//! between client accounts.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::template::Class;

/// Latency-critical requests served before one batch request, so that batch requests
/// are delayed but never starved.
const CRITICAL_PER_BATCH: u32 = 16;

/// A request for a slot, queued or new.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdmissionRequest {
    /// Id of the request, unique in this gateway.
    pub id: u64,
    /// Client account.
    pub account: Arc<str>,
    /// Class of the service for this account.
    pub class: Class,
    /// Time by which the caller needs the response, since the gateway's start.
    pub deadline: Duration,
    /// Largest number of requests of the account in flight.
    pub max_in_flight: u32,
    /// Largest number of queued requests of the account.
    pub max_queued: u32,
    /// Id of the endpoint that just failed this request.
    pub avoid: Option<u64>,
}

#[derive(Debug, Default)]
struct ClassQueue {
    accounts: BTreeMap<Arc<str>, VecDeque<AdmissionRequest>>,
    rotation: VecDeque<Arc<str>>,
}

impl ClassQueue {
    fn push(&mut self, request: AdmissionRequest) {
        let waiting = self.accounts.entry(request.account.clone()).or_default();
        if waiting.is_empty() {
            self.rotation.push_back(request.account.clone());
        }
        waiting.push_back(request);
    }

    /// Takes the next request, in round-robin order of the accounts, that `may_start`
    /// accepts.
    fn pop(&mut self, may_start: &dyn Fn(&AdmissionRequest) -> bool) -> Option<AdmissionRequest> {
        for _ in 0..self.rotation.len() {
            let account = self.rotation.pop_front()?;
            let waiting = self.accounts.get_mut(&account)?;
            let request = if waiting.front().is_some_and(may_start) {
                waiting.pop_front()
            } else {
                None
            };
            if waiting.is_empty() {
                self.accounts.remove(&account);
            } else {
                self.rotation.push_back(account);
            }
            if request.is_some() {
                return request;
            }
        }
        None
    }

    fn remove(&mut self, account: &Arc<str>, id: u64) -> bool {
        let Some(waiting) = self.accounts.get_mut(account) else {
            return false;
        };
        let size_before = waiting.len();
        waiting.retain(|request| request.id != id);
        let removed = waiting.len() < size_before;
        if waiting.is_empty() {
            self.accounts.remove(account);
            self.rotation.retain(|name| name != account);
        }
        removed
    }

    fn waiting(&self, account: &str) -> usize {
        self.accounts.get(account).map_or(0, VecDeque::len)
    }
}

/// All queued requests of one service.
#[derive(Debug, Default)]
pub struct RequestQueue {
    critical: ClassQueue,
    batch: ClassQueue,
    critical_in_row: u32,
    size: usize,
}

impl RequestQueue {
    /// Returns the number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.size
    }

    /// Returns whether no request is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.size == 0
    }

    /// Returns the number of queued requests of one account.
    #[must_use]
    pub fn waiting(&self, account: &str) -> usize {
        self.critical.waiting(account) + self.batch.waiting(account)
    }

    /// Returns the number of requests that would be served before a new one of
    /// `account` and `class`.
    #[must_use]
    pub fn requests_ahead(&self, account: &str, class: Class) -> usize {
        let queue = match class {
            Class::LatencyCritical => &self.critical,
            Class::Batch => &self.batch,
        };
        let own = queue.waiting(account);
        let others: usize = queue
            .accounts
            .iter()
            .filter(|(name, _)| &***name != account)
            .map(|(_, waiting)| waiting.len().min(own + 1))
            .sum();
        let critical = match class {
            Class::LatencyCritical => 0,
            Class::Batch => {
                self.size
                    - self
                        .batch
                        .accounts
                        .values()
                        .map(VecDeque::len)
                        .sum::<usize>()
            }
        };
        own + others + critical
    }

    /// Adds a request at the end of its account's queue.
    pub fn push(&mut self, request: AdmissionRequest) {
        self.size += 1;
        match request.class {
            Class::LatencyCritical => self.critical.push(request),
            Class::Batch => self.batch.push(request),
        }
    }

    /// Takes the next request that `may_start` accepts.
    pub fn pop(
        &mut self,
        may_start: &dyn Fn(&AdmissionRequest) -> bool,
    ) -> Option<AdmissionRequest> {
        let batch_due = self.critical_in_row >= CRITICAL_PER_BATCH;
        let request = if batch_due {
            self.batch
                .pop(may_start)
                .or_else(|| self.critical.pop(may_start))
        } else {
            self.critical
                .pop(may_start)
                .or_else(|| self.batch.pop(may_start))
        }?;
        match request.class {
            Class::LatencyCritical => self.critical_in_row = self.critical_in_row.saturating_add(1),
            Class::Batch => self.critical_in_row = 0,
        }
        self.size -= 1;
        Some(request)
    }

    /// Removes a request. Returns false if it is no longer queued.
    pub fn remove(&mut self, account: &Arc<str>, id: u64) -> bool {
        let removed = self.critical.remove(account, id) || self.batch.remove(account, id);
        self.size -= usize::from(removed);
        removed
    }
}
