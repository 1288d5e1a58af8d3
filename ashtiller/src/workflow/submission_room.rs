//! Bound on the submissions that wait for the owner of the log, from the clients of all instances.

use std::sync::Arc;

use crate::ingress::{ByteBudget, Exhausted, ProcessResources, Reservation};
use crate::workflow::job::Job;

/// Part of the memory that small submissions may take, and as much for large ones: one in this many.
const MEMORY_SHARE: u64 = 32;
/// Largest size of a small submission in bytes, with its copies.
const SMALL_MAX: usize = 16 << 10;
/// Copies of a submission that exist while it is received and recorded.
const COPIES: usize = 3;

/// Memory for waiting submissions. Small ones have a part of their own, so that they are accepted
/// while large ones are refused.
pub struct SubmissionRoom {
    small: Arc<ByteBudget>,
    large: Arc<ByteBudget>,
}

impl SubmissionRoom {
    /// Creates the room of a process.
    #[must_use]
    pub fn new(resources: &ProcessResources) -> Self {
        let share = usize::try_from(resources.memory / MEMORY_SHARE).unwrap_or(usize::MAX);
        Self {
            small: Arc::new(ByteBudget::new(share)),
            large: Arc::new(ByteBudget::new(share)),
        }
    }

    /// Reserves memory for a job until it is recorded or refused.
    ///
    /// # Errors
    /// There is none left.
    pub fn reserve(&self, job: &Job) -> Result<Reservation, Exhausted> {
        let bytes = job.submitted_bytes().saturating_mul(COPIES);
        let budget = if bytes <= SMALL_MAX {
            &self.small
        } else {
            &self.large
        };
        let mut reservation = Reservation::new(budget.clone(), 0);
        reservation.resize(bytes)?;
        Ok(reservation)
    }
}
