//! Budget of bytes that all clients of a listener share.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes that a connection may hold outside of the budget. It covers ordinary requests, and the bound
/// on connections bounds its sum.
pub const ALLOTMENT: usize = 8 << 10;

/// The budget is used up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Exhausted;

impl fmt::Display for Exhausted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the budget of bytes is used up")
    }
}

impl std::error::Error for Exhausted {}

/// Number of bytes that may be held at once.
#[derive(Debug)]
pub struct ByteBudget {
    total: usize,
    used: AtomicUsize,
}

impl ByteBudget {
    /// Creates a budget.
    #[must_use]
    pub fn new(total: usize) -> Self {
        Self {
            total,
            used: AtomicUsize::new(0),
        }
    }

    /// Returns the bytes in use.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    fn take(&self, bytes: usize) -> Result<(), Exhausted> {
        let order = Ordering::Relaxed;
        let taken = self.used.fetch_update(order, order, |used| {
            let sum = used.checked_add(bytes)?;
            (sum <= self.total).then_some(sum)
        });
        taken.map(|_| ()).map_err(|_| Exhausted)
    }

    fn give_back(&self, bytes: usize) {
        self.used.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// Bytes of a budget that one holder uses; they are given back when it is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Arc<ByteBudget>,
    /// Bytes that are held outside of the budget.
    allotment: usize,
    charged: usize,
}

impl Reservation {
    /// Creates an empty reservation of a holder with an allotment outside of the budget.
    #[must_use]
    pub fn new(budget: Arc<ByteBudget>, allotment: usize) -> Self {
        Self {
            budget,
            allotment,
            charged: 0,
        }
    }

    /// Changes the number of bytes that are held. When it fails, the number stays as it was.
    ///
    /// # Errors
    /// The budget is used up.
    pub fn resize(&mut self, bytes: usize) -> Result<(), Exhausted> {
        let charged = bytes.saturating_sub(self.allotment);
        if charged > self.charged {
            self.budget.take(charged - self.charged)?;
        } else {
            self.budget.give_back(self.charged - charged);
        }
        self.charged = charged;
        Ok(())
    }

    /// Gives everything back.
    pub fn clear(&mut self) {
        self.budget.give_back(self.charged);
        self.charged = 0;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.clear();
    }
}
