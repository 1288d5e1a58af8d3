//! Processors, memory and accelerators, and the pool from which alone they are allocated.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::unit;

/// Amounts of processors, memory and accelerators.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Resources {
    /// Processors in thousandths.
    pub processors: u64,
    /// Memory in bytes.
    pub memory: u64,
    /// Number of accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// Returns whether no amount exceeds that of `limit`.
    #[must_use]
    pub fn fits_within(&self, limit: &Self) -> bool {
        self.processors <= limit.processors
            && self.memory <= limit.memory
            && self.accelerators <= limit.accelerators
    }

    /// Adds the amounts, saturating.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            processors: self.processors.saturating_add(other.processors),
            memory: self.memory.saturating_add(other.memory),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Subtracts the amounts, saturating at zero.
    #[must_use]
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            processors: self.processors.saturating_sub(other.processors),
            memory: self.memory.saturating_sub(other.memory),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns the largest of the three shares of `capacity`: the dominant share. It is infinite if
    /// `capacity` lacks a resource that is needed here.
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        reason = "a share needs no more than 52 bits"
    )]
    pub fn dominant_share_of(&self, capacity: &Self) -> f64 {
        let share = |amount: u64, capacity: u64| match (amount, capacity) {
            (0, _) => 0.0,
            (_, 0) => f64::INFINITY,
            (amount, capacity) => amount as f64 / capacity as f64,
        };
        share(self.processors, capacity.processors)
            .max(share(self.memory, capacity.memory))
            .max(share(
                self.accelerators.into(),
                capacity.accelerators.into(),
            ))
    }
}

impl fmt::Display for Resources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let units = self.processors / 1000;
        let thousandths = self.processors % 1000;
        write!(f, "{units}")?;
        if thousandths > 0 {
            write!(f, ".{thousandths:03}")?;
        }
        write!(f, " processors, {} memory", unit::format_size(self.memory))?;
        write!(f, ", {} accelerators", self.accelerators)
    }
}

/// Capacity of an instance or a quota, and what is allocated of it.
///
/// Every placement is checked by [`Pool::can_allocate`] before it is recorded.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Pool {
    capacity: Resources,
    allocated: Resources,
}

impl Pool {
    /// Creates a pool without allocations.
    #[must_use]
    pub fn new(capacity: Resources) -> Self {
        Self {
            capacity,
            allocated: Resources::default(),
        }
    }

    /// Returns the total capacity.
    #[must_use]
    pub fn capacity(&self) -> &Resources {
        &self.capacity
    }

    /// Returns the allocated amount.
    #[must_use]
    pub fn allocated(&self) -> &Resources {
        &self.allocated
    }

    /// Returns the capacity that is not allocated.
    #[must_use]
    pub fn free(&self) -> Resources {
        self.capacity.minus(&self.allocated)
    }

    /// Changes the capacity. Allocations stay, even if they exceed a smaller capacity.
    pub fn resize(&mut self, capacity: Resources) {
        self.capacity = capacity;
    }

    /// Returns whether `amount` may be allocated. Every placement is checked here and nowhere else.
    #[must_use]
    pub fn can_allocate(&self, amount: &Resources) -> bool {
        self.allocated.plus(amount).fits_within(&self.capacity)
    }

    /// Adds an allocation that the log records.
    pub fn allocate(&mut self, amount: &Resources) {
        self.allocated = self.allocated.plus(amount);
    }

    /// Releases an allocation of `amount`.
    pub fn release(&mut self, amount: &Resources) {
        self.allocated = self.allocated.minus(amount);
    }
}
