//! Allocation of worker capacity to runs.

use std::sync::Arc;

use crate::resources::Resources;
use crate::workflow::core::{Core, Now, sharing_of};
use crate::workflow::incarnation::Incarnation;
use crate::workflow::job::Sharing;
use crate::workflow::live_run::{LiveRun, Stage, Stop};
use crate::workflow::load::account::WorkClass;
use crate::workflow::record::{LogRecord, Run};

/// Whether a placed run still fits into its worker's capacity.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum FitsWhen {
    /// It fits.
    Now,
    /// It fits once the runs that are being withdrawn are known not to run.
    Later,
    /// It does not fit beside the runs that stay.
    Never,
}

impl Core {
    /// Checks whether a run that was placed earlier may still be started, as the worker's capacity
    /// may have shrunk since. All runs that may be going on there count, also those being stopped.
    pub(super) fn check_fit(&self, run: Run, id: &Incarnation) -> FitsWhen {
        let Some(worker) = self.workers.get(id) else {
            return FitsWhen::Never;
        };
        let (capacity, allocated) = (worker.pool.capacity(), worker.pool.allocated());
        if allocated.fits_within(capacity) {
            return FitsWhen::Now;
        }
        if self.orphans.has_any(id) {
            return FitsWhen::Later;
        }
        let withdrawn = worker.runs.iter().filter(|other| {
            let live = self.runs.get(other);
            **other != run
                && live.is_some_and(|live| {
                    live.stop != Stop::None && !matches!(live.stage, Stage::Started(_))
                })
        });
        let resources = withdrawn.filter_map(|other| {
            let (job, _) = self.log_state.task(other.task)?;
            Some(job.step(other.task)?.reserved())
        });
        let remaining = resources.fold(*allocated, |left: Resources, released| {
            left.minus(&released)
        });
        if remaining.fits_within(capacity) {
            FitsWhen::Later
        } else {
            FitsWhen::Never
        }
    }

    /// Allocates a run's resources on its worker.
    pub(super) fn allocate(&mut self, run: Run, id: &Incarnation) {
        let Some((job, _)) = self.log_state.task(run.task) else {
            return;
        };
        let Some(step) = job.step(run.task) else {
            return;
        };
        self.candidate_cache.remove(id);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.pool.allocate(&step.reserved());
        if WorkClass::of(step) == WorkClass::Short {
            worker.short = worker.short.plus(&step.reserved());
        }
        worker.runs.insert(run);
        match step.sharing {
            Sharing::Serves(_) => worker.serving += 1,
            Sharing::Fills => {
                worker.filling += 1;
                worker.filled += step.needs.processors;
            }
            Sharing::Apart => {}
        }
    }

    /// Releases a run's resources on its worker.
    pub(super) fn release(&mut self, run: Run, live: &LiveRun) {
        let Some(job) = self.log_state.jobs.get(&run.task.job) else {
            return;
        };
        let Some(step) = job.step(run.task) else {
            return;
        };
        self.candidate_cache.remove(&live.worker);
        let Some(worker) = self.workers.get_mut(&live.worker) else {
            return;
        };
        if !worker.runs.remove(&run) {
            return;
        }
        // A best-effort run takes no processors that a long-running task could use.
        if !step.fills() && !self.passed_over.is_empty() {
            self.freed_workers.insert(live.worker.clone());
        }
        if !worker.pool.allocated().fits_within(worker.pool.capacity()) {
            // A start may have waited for this capacity.
            worker.wake();
        }
        worker.pool.release(&step.reserved());
        if WorkClass::of(step) == WorkClass::Short {
            worker.short = worker.short.minus(&step.reserved());
        }
        match step.sharing {
            Sharing::Serves(_) => worker.serving -= 1,
            Sharing::Fills => {
                worker.filling -= 1;
                worker.filled -= step.needs.processors;
            }
            Sharing::Apart => {}
        }
    }

    /// Places a run on a worker and records the placement.
    pub(super) fn place_run(
        &mut self,
        run: Run,
        id: &Incarnation,
        ticket: Option<Arc<str>>,
        now: Now,
    ) {
        let Some((job, task)) = self.log_state.task(run.task) else {
            return;
        };
        let Some(step) = job.step(run.task) else {
            return;
        };
        let saved = task.checkpoint.clone();
        let (share, processors) = sharing_of(&mut self.interference, step);
        self.counts.placed += 1;
        self.record_placement_time(run, now.at);
        self.note_suspect_placed(run.task, now);
        let stage = Stage::Recorded(self.position);
        let mut live = LiveRun::new(id.clone(), stage, share, processors, now.at);
        live.checkpoint = saved.clone();
        live.ticket = ticket;
        self.record(LogRecord::Placed(run, id.clone(), saved), now);
        self.record_pending_start(run, now);
        self.record_machine(id, now);
        self.add_run(run, live);
        self.workers_to_wake.insert((self.position, id.clone()));
        self.allocate(run, id);
    }
}
