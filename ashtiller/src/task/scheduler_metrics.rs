//! Metrics of the scheduler.

use std::sync::Arc;

use prometheus::{IntCounter, IntGaugeVec, Registry};

use crate::cell::Counts;
use crate::counters::Counters;

/// Metrics of one scheduler; their registered names begin with `ashtiller_scheduler_`.
pub struct SchedulerMetrics {
    /// Log entries written.
    pub entries: IntCounter,
    /// Bytes of log entries.
    pub entry_bytes: IntCounter,
    /// Snapshots started.
    pub snapshots: IntCounter,
    /// Bytes of snapshots.
    pub snapshot_bytes: IntCounter,
    /// Calls to workers.
    pub calls: IntCounter,
    /// Calls to workers that failed.
    pub calls_failed: IntCounter,
    tasks: IntGaugeVec,
}

impl SchedulerMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    /// A metric of the same name is already registered.
    pub fn register(registry: &Registry) -> Result<Arc<Self>, prometheus::Error> {
        let counters = Counters::new(registry, "scheduler");
        let help = "Tasks by cell and what became of them since this owner began.";
        let tasks = counters.register_gauge_vec("tasks", help, &["cell", "state"])?;
        Ok(Arc::new(Self {
            entries: counters.register_counter("log_entries_total", "Log entries written.")?,
            entry_bytes: counters.register_counter("log_bytes_total", "Bytes of log entries.")?,
            snapshots: counters.register_counter("snapshots_total", "Snapshots begun.")?,
            snapshot_bytes: counters
                .register_counter("snapshot_bytes_total", "Bytes of snapshots.")?,
            calls: counters.register_counter("worker_calls_total", "Calls to workers.")?,
            calls_failed: counters
                .register_counter("worker_calls_failed_total", "Failed calls to workers.")?,
            tasks,
        }))
    }

    /// Sets the gauges of a cell.
    pub fn publish(&self, cell: &str, counts: &Counts, running: usize, queued: usize) {
        let set = |state: &str, value: u64| {
            let gauge = self.tasks.with_label_values(&[cell, state]);
            gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        };
        set("running", running as u64);
        set("queued", queued as u64);
        set("placed", counts.placed);
        set("finished", counts.finished);
        set("failed", counts.failed);
        set("evicted", counts.evicted);
        set("resumed", counts.resumed);
        set("lost", counts.lost);
        set("given-up", counts.given_up);
    }

    /// Removes the gauges of a cell that was released.
    pub fn remove_cell(&self, cell: &str) {
        let states = [
            "running", "queued", "placed", "finished", "failed", "evicted", "resumed", "lost",
            "given-up",
        ];
        for state in states {
            let _ = self.tasks.remove_label_values(&[cell, state]);
        }
    }
}
