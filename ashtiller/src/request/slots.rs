//! Slots of one endpoint that one gateway may use: dealt, lent and borrowed.
//!
//! The endpoints' slots are dealt among the gateways, so that each gateway knows
//! from its own count whether a slot is free. A loan is replaced as a whole with
//! every message between borrower and lender and lapses when they fall silent.
//! Nothing here must be exact: a slot counted twice costs a short wait at the
//! endpoint, never a promise.

use std::sync::Arc;
use std::time::Duration;

/// A loan between two gateways.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Loan {
    /// The other gateway.
    pub peer: Arc<str>,
    /// Number of slots.
    pub count: u32,
    /// When it lapses.
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
    /// Sets the number of slots dealt to this gateway.
    pub fn set_allocated(&mut self, count: u32) {
        self.allocated = count;
    }

    /// Slots dealt to this gateway.
    #[must_use]
    pub fn allocated(&self) -> u32 {
        self.allocated
    }

    /// Slots that this gateway may use at `now`.
    #[must_use]
    pub fn usable(&self, now: Duration) -> u32 {
        (self.allocated + sum(&self.borrowed, now)).saturating_sub(sum(&self.lent, now))
    }

    /// Replaces what is lent to `peer`.
    pub fn lend(&mut self, peer: &Arc<str>, count: u32, until: Duration) {
        replace(&mut self.lent, peer, count, until);
    }

    /// Replaces what is borrowed from `peer`.
    pub fn borrow_from(&mut self, peer: &Arc<str>, count: u32, until: Duration) {
        replace(&mut self.borrowed, peer, count, until);
    }

    /// Slots lent to `peer` at `now`.
    #[must_use]
    pub fn lent_to(&self, peer: &str, now: Duration) -> u32 {
        self.lent
            .iter()
            .filter(|loan| &*loan.peer == peer && loan.until > now)
            .map(|loan| loan.count)
            .sum()
    }

    /// Slots borrowed from `peer` at `now`.
    #[must_use]
    pub fn borrowed_from(&self, peer: &str, now: Duration) -> u32 {
        self.borrowed
            .iter()
            .filter(|loan| &*loan.peer == peer && loan.until > now)
            .map(|loan| loan.count)
            .sum()
    }

    /// Slots borrowed from anyone at `now`.
    #[must_use]
    pub fn borrowed(&self, now: Duration) -> u32 {
        sum(&self.borrowed, now)
    }

    /// Slots lent to anyone at `now`.
    #[must_use]
    pub fn lent(&self, now: Duration) -> u32 {
        sum(&self.lent, now)
    }
}

fn sum(loans: &[Loan], now: Duration) -> u32 {
    loans
        .iter()
        .filter(|loan| loan.until > now)
        .map(|loan| loan.count)
        .sum()
}

fn replace(loans: &mut Vec<Loan>, peer: &Arc<str>, count: u32, until: Duration) {
    loans.retain(|loan| loan.peer != *peer);
    if count > 0 {
        loans.push(Loan {
            peer: peer.clone(),
            count,
            until,
        });
    }
}
