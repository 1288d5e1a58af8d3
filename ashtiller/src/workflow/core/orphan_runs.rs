//! Orphaned runs: active on a worker, although the log does not place them there.
//!
//! A start that was given up may be carried out late. The worker is told to stop the run, which
//! takes a while, and until the run is gone it uses capacity and its task must not run elsewhere.

use std::collections::{BTreeMap, BTreeSet};

use crate::resources::Resources;
use crate::workflow::core::{Core, Now};
use crate::workflow::incarnation::Incarnation;
use crate::workflow::record::{Run, Task};

/// An orphaned run and the resources that it uses.
#[derive(Clone, Copy, Debug)]
struct OrphanRun {
    run: Run,
    resources: Resources,
}

/// Orphaned runs by worker, as last listed.
#[derive(Debug, Default)]
pub(super) struct OrphanRuns(BTreeMap<Incarnation, Vec<OrphanRun>>);

impl OrphanRuns {
    /// Returns whether a worker has any.
    pub fn has_any(&self, worker: &Incarnation) -> bool {
        self.0.contains_key(worker)
    }

    /// Returns those on a worker.
    pub fn runs_on(&self, worker: &Incarnation) -> impl Iterator<Item = Run> {
        let orphans = self.0.get(worker).into_iter().flatten();
        orphans.map(|orphan| orphan.run)
    }

    /// Returns whether a run of a task is among them.
    pub fn has_task(&self, task: Task) -> bool {
        let mut runs = self.0.values().flatten();
        runs.any(|orphan| orphan.run.task == task)
    }
}

impl Core {
    /// Replaces the orphaned runs of a worker by those that it has just listed.
    pub(super) fn set_orphans(&mut self, worker: &Incarnation, listed: &[Run]) {
        self.clear_orphans(worker);
        let listed: BTreeSet<Run> = listed.iter().copied().collect();
        let orphans = listed.iter().filter_map(|run| {
            let known = self.log_state.task(run.task);
            let step = known.and_then(|(job, _)| job.step(run.task));
            let capacity = || Some(*self.workers.get(worker)?.pool.capacity());
            let resources = step.map_or_else(capacity, |step| Some(step.reserved()))?;
            Some(OrphanRun {
                run: *run,
                resources,
            })
        });
        let orphans: Vec<OrphanRun> = orphans.collect();
        if orphans.is_empty() {
            return;
        }
        if let Some(worker) = self.workers.get_mut(worker) {
            for orphan in &orphans {
                worker.pool.allocate(&orphan.resources);
            }
        }
        self.orphans.0.insert(worker.clone(), orphans);
    }

    /// Forgets the orphaned runs of a worker, which have ended.
    pub(super) fn clear_orphans(&mut self, worker: &Incarnation) {
        let Some(orphans) = self.orphans.0.remove(worker) else {
            return;
        };
        self.needs_planning = true;
        self.candidate_cache.remove(worker);
        if let Some(worker) = self.workers.get_mut(worker) {
            for orphan in orphans {
                worker.pool.release(&orphan.resources);
            }
            // A start may have waited for this capacity.
            worker.wake();
        }
    }

    /// Forgets the orphaned runs on workers that do not answer and whose leases have expired.
    pub(super) fn expire_orphans(&mut self, now: Now) {
        let expired = self.orphans.0.keys().filter(|id| {
            let worker = self.workers.get(*id);
            worker.is_none_or(|worker| !worker.answers && worker.lease.bound() < now.at)
        });
        let expired: Vec<Incarnation> = expired.cloned().collect();
        for worker in expired {
            self.clear_orphans(&worker);
        }
    }
}
