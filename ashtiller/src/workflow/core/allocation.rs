//! Room that runs take at workers.

use std::sync::Arc;

use crate::resources::Resources;
use crate::workflow::core::{Core, Now, share_of};
use crate::workflow::incarnation::Incarnation;
use crate::workflow::job::Sharing;
use crate::workflow::live_run::{LiveRun, Stage, Stop};
use crate::workflow::record::{LogRecord, Run};

/// Whether a start still fits into its worker's room.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum FitsWhen {
    /// It does.
    Now,
    /// Once those that are withdrawn are known not to run.
    Later,
    /// Not with what runs there.
    Never,
}

impl Core {
    /// Whether a run that was placed earlier may still be started: the worker's room may have
    /// shrunk. All that may run there counts, and so does what is being stopped.
    pub(super) fn check_fit(&self, run: Run, id: &Incarnation) -> FitsWhen {
        let Some(worker) = self.workers.get(id) else {
            return FitsWhen::Never;
        };
        let (whole, taken) = (worker.pool.capacity(), worker.pool.allocated());
        if taken.fits_within(whole) {
            return FitsWhen::Now;
        }
        let withdrawn = worker.runs.iter().filter(|other| {
            let live = self.runs.get(other);
            **other != run
                && live.is_some_and(|live| {
                    live.stop != Stop::None && !matches!(live.stage, Stage::Started(_))
                })
        });
        let rooms = withdrawn.filter_map(|other| {
            let (job, _) = self.log_state.task(other.task)?;
            Some(job.step(other.task)?.room())
        });
        let later = rooms.fold(*taken, |left: Resources, room| left.minus(&room));
        if later.fits_within(whole) {
            FitsWhen::Later
        } else {
            FitsWhen::Never
        }
    }

    /// Counts a run in its worker's room.
    pub(super) fn allocate(&mut self, run: Run, id: &Incarnation) {
        let Some((job, _)) = self.log_state.task(run.task) else {
            return;
        };
        let Some(step) = job.step(run.task) else {
            return;
        };
        self.summaries.remove(id);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.pool.allocate(&step.room());
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

    /// Gives back the room of a run.
    pub(super) fn release(&mut self, run: Run, live: &LiveRun) {
        let Some(job) = self.log_state.jobs.get(&run.task.job) else {
            return;
        };
        let Some(step) = job.step(run.task) else {
            return;
        };
        self.summaries.remove(&live.worker);
        let Some(worker) = self.workers.get_mut(&live.worker) else {
            return;
        };
        if !worker.runs.remove(&run) {
            return;
        }
        // What fills takes no processors that a lasting task could have.
        if !step.fills() && !self.passed_over.is_empty() {
            self.freed_workers.insert(live.worker.clone());
        }
        if !worker.pool.allocated().fits_within(worker.pool.capacity()) {
            // A start may have waited for the room.
            worker.wake();
        }
        worker.pool.release(&step.room());
        match step.sharing {
            Sharing::Serves(_) => worker.serving -= 1,
            Sharing::Fills => {
                worker.filling -= 1;
                worker.filled -= step.needs.processors;
            }
            Sharing::Apart => {}
        }
    }

    /// Gives a run to a worker.
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
        let (share, processors) = share_of(&mut self.interference, step);
        self.counts.placed += 1;
        self.record_placement_time(run, now.at);
        let stage = Stage::Recorded(self.position);
        let mut live = LiveRun::new(id.clone(), stage, share, processors, now.at);
        live.checkpoint = saved.clone();
        live.ticket = ticket;
        self.record(LogRecord::Placed(run, id.clone(), saved), now);
        self.runs.insert(run, live);
        self.workers_to_wake.insert(id.clone());
        self.allocate(run, id);
    }
}
