//! Processors, memory and accelerators, and the one place where they are granted.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::unit;

/// An amount of what an instance has.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Resources {
    /// Processors in thousandths.
    pub processors: u64,
    /// Memory in bytes.
    pub memory: u64,
    /// Accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// Whether this amount is within `limit` in every respect.
    #[must_use]
    pub fn fits_within(&self, limit: &Self) -> bool {
        self.processors <= limit.processors
            && self.memory <= limit.memory
            && self.accelerators <= limit.accelerators
    }

    /// The sum of two amounts, saturating.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            processors: self.processors.saturating_add(other.processors),
            memory: self.memory.saturating_add(other.memory),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// What is left of this amount, never below nothing.
    #[must_use]
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            processors: self.processors.saturating_sub(other.processors),
            memory: self.memory.saturating_sub(other.memory),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// The largest of the three shares of `whole`; infinite when `whole` has none.
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        reason = "a share needs no more than 52 bits"
    )]
    pub fn dominant_share_of(&self, whole: &Self) -> f64 {
        let share = |part: u64, whole: u64| match (part, whole) {
            (0, _) => 0.0,
            (_, 0) => f64::INFINITY,
            (part, whole) => part as f64 / whole as f64,
        };
        share(self.processors, whole.processors)
            .max(share(self.memory, whole.memory))
            .max(share(self.accelerators.into(), whole.accelerators.into()))
    }
}

impl fmt::Display for Resources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let whole = self.processors / 1000;
        let part = self.processors % 1000;
        write!(f, "{whole}")?;
        if part > 0 {
            write!(f, ".{part:03}")?;
        }
        write!(f, " processors, {} memory", unit::show_size(self.memory))?;
        write!(f, ", {} accelerators", self.accelerators)
    }
}

/// What an instance or a quota holds and has handed out.
///
/// Every placement of the project asks [`Pool::grants`] before it is recorded.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Pool {
    capacity: Resources,
    allocated: Resources,
}

impl Pool {
    /// A pool with nothing taken.
    #[must_use]
    pub fn new(whole: Resources) -> Self {
        Self {
            capacity: whole,
            allocated: Resources::default(),
        }
    }

    /// All there is.
    #[must_use]
    pub fn capacity(&self) -> &Resources {
        &self.capacity
    }

    /// What is handed out.
    #[must_use]
    pub fn allocated(&self) -> &Resources {
        &self.allocated
    }

    /// What is left.
    #[must_use]
    pub fn free(&self) -> Resources {
        self.capacity.minus(&self.allocated)
    }

    /// Changes the size; what is taken stays taken, even beyond a smaller size.
    pub fn resize(&mut self, whole: Resources) {
        self.capacity = whole;
    }

    /// Whether `amount` may be handed out. Every placement asks here, and nothing
    /// else decides it.
    #[must_use]
    pub fn can_allocate(&self, amount: &Resources) -> bool {
        self.allocated.plus(amount).fits_within(&self.capacity)
    }

    /// Counts an amount whose grant the log records.
    pub fn allocate(&mut self, amount: &Resources) {
        self.allocated = self.allocated.plus(amount);
    }

    /// Takes back `amount`.
    pub fn release(&mut self, amount: &Resources) {
        self.allocated = self.allocated.minus(amount);
    }
}
