//! The scheduler's counters.

use std::sync::Arc;

use prometheus::{IntCounter, IntGaugeVec, Opts, Registry};

use crate::cell::Counts;

/// Counters of one scheduler, each registered under `ashtiller_scheduler_`.
pub struct Score {
    /// Log entries written.
    pub entries: IntCounter,
    /// Bytes of log entries.
    pub entry_bytes: IntCounter,
    /// Snapshots begun.
    pub snapshots: IntCounter,
    /// Bytes of snapshots.
    pub snapshot_bytes: IntCounter,
    /// Calls to workers.
    pub calls: IntCounter,
    /// Calls to workers that failed.
    pub calls_failed: IntCounter,
    tasks: IntGaugeVec,
}

impl Score {
    /// Registers the counters.
    ///
    /// # Errors
    /// One of them is registered already.
    pub fn open(registry: &Registry) -> Result<Arc<Self>, prometheus::Error> {
        let tasks = IntGaugeVec::new(
            opts(
                "tasks",
                "Tasks by cell and what became of them since this owner began.",
            ),
            &["cell", "state"],
        )?;
        registry.register(Box::new(tasks.clone()))?;
        Ok(Arc::new(Self {
            entries: count(registry, "log_entries_total", "Log entries written.")?,
            entry_bytes: count(registry, "log_bytes_total", "Bytes of log entries.")?,
            snapshots: count(registry, "snapshots_total", "Snapshots begun.")?,
            snapshot_bytes: count(registry, "snapshot_bytes_total", "Bytes of snapshots.")?,
            calls: count(registry, "worker_calls_total", "Calls to workers.")?,
            calls_failed: count(
                registry,
                "worker_calls_failed_total",
                "Failed calls to workers.",
            )?,
            tasks,
        }))
    }

    /// Shows a cell's counts.
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

    /// Forgets a cell that was released.
    pub fn forget(&self, cell: &str) {
        let states = [
            "running", "queued", "placed", "finished", "failed", "evicted", "resumed", "lost",
            "given-up",
        ];
        for state in states {
            let _ = self.tasks.remove_label_values(&[cell, state]);
        }
    }
}

fn opts(name: &str, help: &str) -> Opts {
    Opts::new(name, help)
        .namespace("ashtiller")
        .subsystem("scheduler")
}

fn count(registry: &Registry, name: &str, help: &str) -> Result<IntCounter, prometheus::Error> {
    let counter = IntCounter::with_opts(opts(name, help))?;
    registry.register(Box::new(counter.clone()))?;
    Ok(counter)
}
