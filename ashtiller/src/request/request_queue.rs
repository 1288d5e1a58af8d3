//! Requests that wait for a slot: fair between client accounts, urgent first.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::template::Class;

/// One batch request is served after this many latency-critical ones, so that
/// batch work is slowed but never starved.
const BATCH_EVERY: u32 = 16;

/// A request that waits or asks for a slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdmissionRequest {
    /// Number of the request, unique in this gateway.
    pub id: u64,
    /// Client account.
    pub account: Arc<str>,
    /// Class of the service for this account.
    pub class: Class,
    /// When the answer must be there.
    pub deadline: Duration,
    /// Most requests of the account in flight.
    pub max_in_flight: u32,
    /// Most requests of the account that wait.
    pub max_queued: u32,
    /// Endpoint that just failed this request.
    pub avoid: Option<u64>,
}

#[derive(Debug, Default)]
struct Lane {
    accounts: BTreeMap<Arc<str>, VecDeque<AdmissionRequest>>,
    turns: VecDeque<Arc<str>>,
}

impl Lane {
    fn push(&mut self, ticket: AdmissionRequest) {
        let waiting = self.accounts.entry(ticket.account.clone()).or_default();
        if waiting.is_empty() {
            self.turns.push_back(ticket.account.clone());
        }
        waiting.push_back(ticket);
    }

    /// Takes the next ticket in turn whose account `may` have another in flight.
    fn pop(&mut self, may: &dyn Fn(&AdmissionRequest) -> bool) -> Option<AdmissionRequest> {
        for _ in 0..self.turns.len() {
            let account = self.turns.pop_front()?;
            let waiting = self.accounts.get_mut(&account)?;
            let ticket = if waiting.front().is_some_and(may) {
                waiting.pop_front()
            } else {
                None
            };
            if waiting.is_empty() {
                self.accounts.remove(&account);
            } else {
                self.turns.push_back(account);
            }
            if ticket.is_some() {
                return ticket;
            }
        }
        None
    }

    fn remove(&mut self, account: &Arc<str>, id: u64) -> bool {
        let Some(waiting) = self.accounts.get_mut(account) else {
            return false;
        };
        let before = waiting.len();
        waiting.retain(|ticket| ticket.id != id);
        let removed = waiting.len() < before;
        if waiting.is_empty() {
            self.accounts.remove(account);
            self.turns.retain(|name| name != account);
        }
        removed
    }

    fn waiting(&self, account: &str) -> usize {
        self.accounts.get(account).map_or(0, VecDeque::len)
    }
}

/// All waiting requests of one service.
#[derive(Debug, Default)]
pub struct RequestQueue {
    urgent: Lane,
    batch: Lane,
    served: u32,
    size: usize,
}

impl RequestQueue {
    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.size
    }

    /// Whether nobody waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.size == 0
    }

    /// Waiting requests of one account.
    #[must_use]
    pub fn waiting(&self, account: &str) -> usize {
        self.urgent.waiting(account) + self.batch.waiting(account)
    }

    /// Requests that a new one of `account` and `class` would wait for.
    #[must_use]
    pub fn requests_ahead(&self, account: &str, class: Class) -> usize {
        let lane = match class {
            Class::LatencyCritical => &self.urgent,
            Class::Batch => &self.batch,
        };
        let own = lane.waiting(account);
        let others: usize = lane
            .accounts
            .iter()
            .filter(|(name, _)| &***name != account)
            .map(|(_, waiting)| waiting.len().min(own + 1))
            .sum();
        let before = match class {
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
        own + others + before
    }

    /// Adds a request at the end of its account's turn.
    pub fn push(&mut self, ticket: AdmissionRequest) {
        self.size += 1;
        match ticket.class {
            Class::LatencyCritical => self.urgent.push(ticket),
            Class::Batch => self.batch.push(ticket),
        }
    }

    /// Takes the next request whose account `may` have another in flight.
    pub fn pop(&mut self, may: &dyn Fn(&AdmissionRequest) -> bool) -> Option<AdmissionRequest> {
        let batch_first = self.served >= BATCH_EVERY;
        let ticket = if batch_first {
            self.batch.pop(may).or_else(|| self.urgent.pop(may))
        } else {
            self.urgent.pop(may).or_else(|| self.batch.pop(may))
        }?;
        match ticket.class {
            Class::LatencyCritical => self.served = self.served.saturating_add(1),
            Class::Batch => self.served = 0,
        }
        self.size -= 1;
        Some(ticket)
    }

    /// Removes a request that gave up; false when it no longer waits.
    pub fn remove(&mut self, account: &Arc<str>, id: u64) -> bool {
        let removed = self.urgent.remove(account, id) || self.batch.remove(account, id);
        self.size -= usize::from(removed);
        removed
    }
}
