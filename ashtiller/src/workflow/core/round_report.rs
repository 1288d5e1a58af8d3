//! Logs and metrics of placement rounds: what waits, and in which pieces the free capacity lies.

use std::collections::BTreeMap;
use std::fmt::{self, Display};
use std::sync::Arc;
use std::time::Duration;

use crate::workflow::core::eligibility::Eligibility;
use crate::workflow::core::step_priority::WaitingStep;
use crate::workflow::core::{Core, Now};
use crate::workflow::load::account::WorkClass;

/// Minimum time between two log lines about the capacity for waiting steps.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Sizes in processors, in thousandths, for which pieces are counted.
const PIECE_SIZES: [u64; 6] = [1_000, 2_000, 4_000, 8_000, 16_000, 32_000];

/// Free processors of the workers of a service that may get runs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FreeProcessors {
    /// Sum, in thousandths.
    pub total: u64,
    /// Largest number on one worker, in thousandths.
    pub largest: u64,
    /// Number of tasks of each of the [`sizes`](Self::sizes) that find processors.
    pieces: [u64; PIECE_SIZES.len()],
}

impl FreeProcessors {
    fn add(&mut self, free: u64) {
        self.total += free;
        self.largest = self.largest.max(free);
        for (pieces, size) in self.pieces.iter_mut().zip(PIECE_SIZES) {
            *pieces += free / size;
        }
    }

    /// Returns sizes in whole processors, each with the number of tasks of this size that fit.
    pub fn sizes(&self) -> impl Iterator<Item = (u64, u64)> {
        let sizes = PIECE_SIZES.into_iter().map(|size| size / 1000);
        sizes.zip(self.pieces)
    }
}

impl Display for FreeProcessors {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            out,
            "{} in all, {} at most",
            self.total / 1000,
            self.largest / 1000
        )?;
        for (size, pieces) in self.sizes() {
            write!(out, ", {pieces} x {size}")?;
        }
        Ok(())
    }
}

impl Core {
    /// Returns the free processors of the workers that may get runs, by service.
    #[must_use]
    pub fn free_processors(&self, now: Now) -> BTreeMap<Arc<str>, FreeProcessors> {
        let mut free: BTreeMap<Arc<str>, FreeProcessors> = BTreeMap::new();
        for worker in self.workers.values() {
            if self.eligibility(worker, now) == Eligibility::Eligible {
                let sum = free.entry(worker.listed.service.clone()).or_default();
                sum.add(worker.pool.free().processors);
            }
        }
        free
    }

    /// Logs how many steps wait and which capacity is free, at intervals while any waits.
    pub(super) fn log_round(&mut self, waiting: &[WaitingStep], now: Now) {
        if now.at < self.next_round_log || waiting.is_empty() {
            return;
        }
        self.next_round_log = now.at + LOG_INTERVAL;
        let classes = waiting.iter().map(|pending| {
            let job = &self.log_state.jobs[&pending.job];
            WorkClass::of(&job.job.steps[usize::from(pending.step)])
        });
        let classes: Vec<WorkClass> = classes.collect();
        let count = |class| classes.iter().filter(|it| **it == class).count();
        let counts = self.counts;
        for (service, free) in self.free_processors(now) {
            tracing::info!(%service, free_processors = %free,
                long_running = count(WorkClass::LongRunning), short = count(WorkClass::Short),
                best_effort = count(WorkClass::BestEffort), rounds = counts.rounds, limited = counts.limited_rounds,
                steps = counts.steps_examined, candidates = counts.candidates_compared,
                placed = counts.placed, orders = counts.orders, polls = counts.looks,
                entries = counts.entries, done = counts.done, stopped = counts.stopped,
                "steps wait for workers");
        }
    }
}
