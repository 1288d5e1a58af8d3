//! Runs on workers that do not answer: their tasks start elsewhere once the leases have expired.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::workflow::core::wait_report::WAIT_LOG_INTERVAL;
use crate::workflow::core::{Core, Now};
use crate::workflow::record::Run;
use crate::workflow::worker::Worker;

/// Wait of a long-running task from which it is logged.
const LOG_DELAY: Duration = Duration::from_secs(3);
/// Interval between two checks for such tasks.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Why runs on a silent worker are not given up yet.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum LeaseHold {
    /// The lease that this owner granted.
    Lease,
    /// Leases of earlier owners, which may still renew them.
    EarlierOwners,
    /// Starts that the worker's next incarnation may carry out late.
    LateStarts,
}

impl LeaseHold {
    /// Returns the name in logs, metrics and dumps.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Lease => "lease",
            Self::EarlierOwners => "earlier_owners",
            Self::LateStarts => "late_starts",
        }
    }
}

/// Runs on silent workers that are held for one reason.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HeldRuns {
    /// Number of workers.
    pub workers: u32,
    /// Number of runs.
    pub runs: u32,
    /// Number of runs of long-running tasks.
    pub long_running: u32,
    /// Longest time since the last answer of a worker with long-running tasks, or since this owner
    /// began.
    pub longest: Duration,
}

/// The end of a wait of long-running tasks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseWait {
    /// What held their runs last.
    pub hold: LeaseHold,
    /// Time since the last answer of their worker, or since this owner began.
    pub waited: Duration,
    /// Number of tasks.
    pub tasks: u32,
}

impl Core {
    /// Returns what holds the runs of a silent worker.
    pub(super) fn lease_hold(&self, worker: &Worker, now: Now) -> LeaseHold {
        let outlasts = |run: &Run| self.may_outlast(*run, now);
        let is_over = worker.lease.bound() < now.at;
        let replaced = worker.replaced_since.is_some();
        if is_over && replaced && worker.runs.iter().any(outlasts) {
            LeaseHold::LateStarts
        } else if worker.fenced {
            LeaseHold::Lease
        } else {
            LeaseHold::EarlierOwners
        }
    }

    /// Returns the time since a worker last answered this owner, which may never have been.
    pub(super) fn silence_of(&self, worker: &Worker, now: Now) -> Duration {
        now.at.saturating_sub(worker.last_answer.max(self.began))
    }

    fn count_long_running<'a>(&self, runs: impl IntoIterator<Item = &'a Run>) -> u32 {
        let runs = runs.into_iter();
        let long_running = runs.filter(|run| self.is_long_running_task(run.task));
        u32::try_from(long_running.count()).unwrap_or(u32::MAX)
    }

    /// Returns the runs on silent workers by what holds them.
    #[must_use]
    pub fn held_runs(&self, now: Now) -> BTreeMap<LeaseHold, HeldRuns> {
        let mut held: BTreeMap<LeaseHold, HeldRuns> = BTreeMap::new();
        let silent = self.workers.values();
        for worker in silent.filter(|worker| !worker.answers && !worker.runs.is_empty()) {
            let long_running = self.count_long_running(&worker.runs);
            let sum = held.entry(self.lease_hold(worker, now)).or_default();
            sum.workers += 1;
            sum.runs += u32::try_from(worker.runs.len()).unwrap_or(u32::MAX);
            sum.long_running += long_running;
            if long_running > 0 {
                sum.longest = sum.longest.max(self.silence_of(worker, now));
            }
        }
        if self.awaits_unlisted_workers {
            let unlisted = self.runs_of_unlisted_workers();
            let long_running = self.count_long_running(&unlisted);
            let sum = held.entry(LeaseHold::EarlierOwners).or_default();
            sum.runs += u32::try_from(unlisted.len()).unwrap_or(u32::MAX);
            sum.long_running += long_running;
            if long_running > 0 {
                sum.longest = sum.longest.max(now.at.saturating_sub(self.began));
            }
        }
        held.retain(|_, sum| sum.runs > 0);
        held
    }

    /// Logs what holds the runs of long-running tasks, if it has for long.
    pub(super) fn log_held_runs(&mut self, now: Now) {
        if now.at < self.next_held_log {
            return;
        }
        self.next_held_log = now.at + CHECK_INTERVAL;
        let held = self.held_runs(now);
        let held = held.iter().filter(|(_, sum)| sum.longest >= LOG_DELAY);
        for (hold, sum) in held {
            self.next_held_log = now.at + WAIT_LOG_INTERVAL;
            tracing::info!(
                hold = hold.name(),
                workers = sum.workers,
                runs = sum.runs,
                lasting = sum.long_running,
                waited_ms = sum.longest.as_millis(),
                "runs on silent workers wait for leases to expire"
            );
        }
    }

    /// Records that runs which waited for leases to expire are given up.
    pub(super) fn note_leases_expired(&mut self, runs: &[Run], hold: LeaseHold, waited: Duration) {
        let tasks = self.count_long_running(runs);
        if tasks > 0 {
            self.ended_lease_waits.push(LeaseWait {
                hold,
                waited,
                tasks,
            });
        }
    }

    /// Returns the waits of long-running tasks that ended since the last call.
    pub fn drain_lease_waits(&mut self) -> Vec<LeaseWait> {
        std::mem::take(&mut self.ended_lease_waits)
    }
}
