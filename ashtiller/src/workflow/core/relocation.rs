//! Runs that would do better elsewhere: beside services that they disturb, or on a worker
//! that says nothing.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::workflow::core::candidates::{self, PlacementRequest};
use crate::workflow::core::plan::{Demand, PlacementRound};
use crate::workflow::core::{Core, Now, share_of};
use crate::workflow::live_run::{Stop, StopReason};
use crate::workflow::record::{Run, Task};

/// Time for which a run that fills is slowed down before it moves: one stuck task makes
/// its whole job late.
const CROWDED: Duration = Duration::from_millis(400);

/// Progress up to which a run that keeps no checkpoints moves, in percent.
const LOSS_MAX: u32 = 20;

impl Core {
    /// Tasks that may have copies and whose only run is on a worker that says nothing.
    pub(super) fn collect_copyable_tasks(&self) -> Vec<Task> {
        let silent = self
            .workers
            .values()
            .filter(|worker| worker.fenced && !worker.answers);
        let runs = silent.flat_map(|worker| worker.runs.iter());
        let copied = runs.filter(|run| {
            self.log_state.task(run.task).is_some_and(|(job, task)| {
                let copies = job
                    .step(run.task)
                    .is_some_and(|step| step.speculative && !step.gang);
                let alone = !task.done && task.live.len() == 1;
                copies && job.outcome.is_none() && alone && !self.is_suspect(run.task)
            })
        });
        copied.map(|run| run.task).collect()
    }

    /// Starts a copy rather than wait for the lease of a worker that says nothing.
    pub(super) fn place_copy(&mut self, task: Task, placing: &mut PlacementRound, now: Now) {
        let Some((job, state)) = self.log_state.task(task) else {
            return;
        };
        if job.policy.advice.is_some() {
            return;
        }
        let (service, spec, failed_on) = (
            job.policy.service.clone(),
            job.job.clone(),
            state.failed_on.clone(),
        );
        let step = &spec.steps[usize::from(task.step)];
        let (share, _) = share_of(&mut self.interference, step);
        let wish = PlacementRequest {
            service: &service,
            step,
            share,
            resources: step.room(),
            failed_on,
            runs_per_worker: candidates::count_runs_per_worker(self, task),
            advised: None,
            excluded: None,
            suspect: false,
            selectivity: 0.0,
        };
        let Some(place) = self.choose_worker(&placing.fleet, &wish) else {
            return;
        };
        let id = placing.fleet[place].id.clone();
        if !placing.fleet[place].add_run(&wish, &self.interference) {
            placing.fleet[place].close();
        }
        let number = self.next_run_number(task);
        tracing::info!(%task, run = number, worker = %id, "copy of a run whose worker does not answer");
        self.place_run(Run { task, number }, &id, None, now);
    }

    /// Runs that fill and stand still for the services beside them.
    pub(super) fn collect_throttled_runs(&self, now: Now) -> Vec<Run> {
        if !self.terms.switches.move_fills {
            return Vec::new();
        }
        let crowded = self.runs.iter().filter(|(_, live)| {
            live.stop == Stop::None && live.slow.is_some_and(|since| now.at >= since + CROWDED)
        });
        crowded.map(|(run, _)| *run).collect()
    }

    /// Stops a run that stands still when there is a worker where it would go on.
    pub(super) fn consider_move(&mut self, run: Run, placing: &mut PlacementRound, now: Now) {
        let Some((job, state)) = self.log_state.task(run.task) else {
            return;
        };
        let (service, spec) = (job.policy.service.clone(), job.job.clone());
        let step = &spec.steps[usize::from(run.task.step)];
        let Some(live) = self.runs.get(&run) else {
            return;
        };
        if job.policy.advice.is_some() || step.gang {
            return;
        }
        if !step.checkpoints && live.percent > LOSS_MAX {
            return;
        }
        let selective = self.selectivity((run.task.job, run.task.occurrence, run.task.step), now);
        let demand = Demand {
            service: service.clone(),
            share: live.share,
            resources: step.room(),
            selectivity: selective,
        };
        if placing.is_known_unplaceable(&demand) {
            return;
        }
        let wish = PlacementRequest {
            service: &service,
            step,
            share: live.share,
            resources: step.room(),
            failed_on: state.failed_on.clone(),
            runs_per_worker: BTreeMap::new(),
            advised: None,
            excluded: None,
            suspect: false,
            selectivity: selective,
        };
        let Some(place) = self.choose_worker(&placing.fleet, &wish) else {
            placing.note_unplaceable(demand);
            return;
        };
        if placing.fleet[place].id == live.worker {
            return;
        }
        tracing::debug!(task = %run.task, run = run.number, from = %live.worker, "run that stands still moves");
        placing.fleet[place].add_run(&wish, &self.interference);
        self.request_stop(run, StopReason::Crowded);
    }
}
