//! Slots of one endpoint that one gateway may use: allocated, lent and borrowed.
//!
//! The endpoints' slots are divided among the gateways, so that each gateway knows
//! from its own count whether a slot is free. Every message between borrower and
//! lender replaces the loan as a whole; without messages the loan expires. The counts
//! need not be exact: a slot that is counted twice costs a short wait at the endpoint
//! and breaks no guarantee.

use std::sync::Arc;
use std::time::Duration;

/// A loan between two gateways.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Loan {
    /// The other gateway.
    pub peer: Arc<str>,
    /// Number of slots.
    pub count: u32,
    /// When the loan expires, since the gateway's start.
    pub until: Duration,
}

/// Slots of one endpoint.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Slots {
    allocated: u32,
    lent: Vec<Loan>,
    borrowed: Vec<Loan>,
}

impl Slots {
    /// Sets the number of slots allocated to this gateway.
    pub fn set_allocated(&mut self, count: u32) {
        self.allocated = count;
    }

    /// Returns the number of slots allocated to this gateway.
    #[must_use]
    pub fn allocated(&self) -> u32 {
        self.allocated
    }

    /// Returns the number of slots that this gateway may use at `now`.
    #[must_use]
    pub fn usable(&self, now: Duration) -> u32 {
        (self.allocated + count_at(&self.borrowed, now)).saturating_sub(count_at(&self.lent, now))
    }

    /// Replaces the loan to `peer`.
    pub fn set_lent(&mut self, peer: &Arc<str>, count: u32, until: Duration) {
        replace_loan(&mut self.lent, peer, count, until);
    }

    /// Replaces the loan from `peer`.
    pub fn set_borrowed(&mut self, peer: &Arc<str>, count: u32, until: Duration) {
        replace_loan(&mut self.borrowed, peer, count, until);
    }

    /// Returns the number of slots lent to `peer` at `now`.
    #[must_use]
    pub fn lent_to(&self, peer: &str, now: Duration) -> u32 {
        self.lent
            .iter()
            .filter(|loan| &*loan.peer == peer && loan.until > now)
            .map(|loan| loan.count)
            .sum()
    }

    /// Returns the number of slots borrowed from `peer` at `now`.
    #[must_use]
    pub fn borrowed_from(&self, peer: &str, now: Duration) -> u32 {
        self.borrowed
            .iter()
            .filter(|loan| &*loan.peer == peer && loan.until > now)
            .map(|loan| loan.count)
            .sum()
    }

    /// Returns the number of slots borrowed from all gateways at `now`.
    #[must_use]
    pub fn borrowed(&self, now: Duration) -> u32 {
        count_at(&self.borrowed, now)
    }

    /// Returns the number of slots lent to all gateways at `now`.
    #[must_use]
    pub fn lent(&self, now: Duration) -> u32 {
        count_at(&self.lent, now)
    }
}

fn count_at(loans: &[Loan], now: Duration) -> u32 {
    loans
        .iter()
        .filter(|loan| loan.until > now)
        .map(|loan| loan.count)
        .sum()
}

fn replace_loan(loans: &mut Vec<Loan>, peer: &Arc<str>, count: u32, until: Duration) {
    loans.retain(|loan| loan.peer != *peer);
    if count > 0 {
        loans.push(Loan {
            peer: peer.clone(),
            count,
            until,
        });
    }
}
