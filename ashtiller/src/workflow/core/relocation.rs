//! Runs that should continue on another worker: fills that are throttled for the services beside
//! them, and copies of runs that are slow or whose worker does not answer.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::workflow::core::candidates::{self, PlacementRequest};
use crate::workflow::core::plan::{Demand, PlacementRound};
use crate::workflow::core::selectivity::Tolerance;
use crate::workflow::core::unconfirmed_starts::Site;
use crate::workflow::core::{Core, Now, sharing_of};
use crate::workflow::live_run::{Stop, StopReason};
use crate::workflow::record::{Run, Task};

/// Time for which a best-effort run is throttled before it moves. One stuck task makes its whole
/// job late.
const MOVE_AFTER: Duration = Duration::from_millis(400);

/// Progress in percent up to which a run without checkpoints may be moved.
const LOST_PROGRESS_MAX_PERCENT: u32 = 20;

impl Core {
    /// Returns tasks that may have copies and whose only run is on a worker that does not answer, or
    /// is much slower than usual.
    pub(super) fn collect_copyable_tasks(&self) -> Vec<Task> {
        let silent = self
            .workers
            .values()
            .filter(|worker| worker.fenced && !worker.answers);
        let runs = silent.flat_map(|worker| worker.runs.iter());
        let copyable = runs.filter(|run| {
            self.log_state.task(run.task).is_some_and(|(job, task)| {
                let may_copy = job
                    .step(run.task)
                    .is_some_and(|step| step.speculative && !step.gang);
                let has_single_run = !task.done && task.live.len() == 1;
                may_copy && job.outcome.is_none() && has_single_run && !self.is_suspect(run.task)
            })
        });
        let straggling = self.collect_straggling_tasks();
        let copyable = copyable.map(|run| run.task);
        let tasks: BTreeSet<Task> = copyable.chain(straggling).collect();
        tasks.into_iter().collect()
    }

    /// Places a copy of a task instead of waiting for its run, which is much slower than usual, or
    /// until the lease of its silent worker expires.
    pub(super) fn place_copy(&mut self, task: Task, round: &mut PlacementRound, now: Now) {
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
        // A copy beside a run that is slow would share its cause.
        let number = state.live.first().map_or(0, |live| live.number);
        let slow_on = self.runs.get(&Run { task, number });
        let slow_on = slow_on
            .map(|live| live.worker.clone())
            .filter(|id| self.workers.get(id).is_some_and(|it| it.answers));
        let step = &spec.steps[usize::from(task.step)];
        let (share, _) = sharing_of(&mut self.interference, step);
        let request = PlacementRequest {
            service: &service,
            step,
            share,
            resources: step.reserved(),
            failed_on,
            runs_per_worker: candidates::count_runs_per_worker(self, task),
            tickets: None,
            excluded: slow_on.clone(),
            only: None,
            suspect: false,
            selectivity: 0.0,
            tolerance: Tolerance::Usual,
            reserve: None,
            room: None,
            searched: 0,
        };
        let Some(index) = self.choose_worker(&round.candidates, &request) else {
            return;
        };
        let id = round.candidates[index].id.clone();
        if slow_on.is_some() && round.reserved.as_ref() == Some(&id) {
            return;
        }
        if !round.candidates[index].add_run(&request, &self.interference) {
            round.candidates[index].close();
        }
        let number = self.next_run_number(task);
        tracing::info!(%task, run = number, worker = %id,
            "starting a copy of a run that is slow or whose worker does not answer");
        self.place_run(Run { task, number }, &id, None, now);
    }

    /// Returns the runs that have been throttled for long for the services beside them.
    pub(super) fn collect_throttled_runs(&self, now: Now) -> Vec<Run> {
        if !self.tuning.switches.move_fills {
            return Vec::new();
        }
        let throttled = self.runs.iter().filter(|(_, live)| {
            live.stop == Stop::None && live.slow.is_some_and(|since| now.at >= since + MOVE_AFTER)
        });
        throttled.map(|(run, _)| *run).collect()
    }

    /// Stops a throttled run if another worker could run it.
    pub(super) fn try_relocate(&mut self, run: Run, round: &mut PlacementRound, now: Now) {
        let Some((job, state)) = self.log_state.task(run.task) else {
            return;
        };
        let (service, spec) = (job.policy.service.clone(), job.job.clone());
        let step = &spec.steps[usize::from(run.task.step)];
        let Some(live) = self.runs.get(&run) else {
            return;
        };
        if job.policy.advice.is_some() || step.gang || self.site_of(run.task) != Site::Any {
            return;
        }
        if !step.checkpoints && live.percent > LOST_PROGRESS_MAX_PERCENT {
            return;
        }
        let selectivity = self.selectivity((run.task.job, run.task.occurrence, run.task.step), now);
        let demand = Demand {
            service: service.clone(),
            share: live.share,
            resources: step.reserved(),
            selectivity,
            leaves_reserve: false,
            fill_processors: step.needs.processors,
            tolerance: Tolerance::Usual,
        };
        if round.is_known_unplaceable(&demand) {
            return;
        }
        let request = PlacementRequest {
            service: &service,
            step,
            share: live.share,
            resources: step.reserved(),
            failed_on: state.failed_on.clone(),
            runs_per_worker: BTreeMap::new(),
            tickets: None,
            excluded: None,
            only: None,
            suspect: false,
            selectivity,
            tolerance: Tolerance::Usual,
            reserve: None,
            room: None,
            searched: 0,
        };
        let Some(index) = self.choose_worker(&round.candidates, &request) else {
            round.note_unplaceable(demand);
            return;
        };
        if round.candidates[index].id == live.worker {
            return;
        }
        tracing::debug!(task = %run.task, run = run.number, from = %live.worker,
            "moving a throttled run to another worker");
        round.candidates[index].add_run(&request, &self.interference);
        self.request_stop(run, StopReason::Crowded);
    }
}
