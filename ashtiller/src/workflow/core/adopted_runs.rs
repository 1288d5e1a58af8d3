//! Runs that a new owner finds in the log.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::workflow::core::{Core, Now, incarnations, sharing_of};
use crate::workflow::incarnation::Incarnation;
use crate::workflow::job::Step;
use crate::workflow::live_run::{LiveRun, Stage, StopReason};
use crate::workflow::record::{Run, Task};
use crate::workflow::state::JobState;

/// Runs of earlier owners by the incarnation of their worker, until that is listed.
#[derive(Debug, Default)]
pub(super) struct AdoptedRuns(BTreeMap<Incarnation, Vec<Run>>);

impl AdoptedRuns {
    fn add(&mut self, incarnation: &Incarnation, run: Run) {
        self.0.entry(incarnation.clone()).or_default().push(run);
    }

    /// Returns the incarnations of the worker with this id that have such runs.
    pub fn incarnations_of_id(&self, id: &str) -> Vec<Incarnation> {
        incarnations::incarnations_of_id(&self.0, id)
    }

    /// Returns the incarnations that have such runs.
    pub fn incarnations(&self) -> impl Iterator<Item = &Incarnation> {
        self.0.keys()
    }

    /// Removes and returns the runs of an incarnation.
    pub fn take(&mut self, incarnation: &Incarnation) -> Vec<Run> {
        self.0.remove(incarnation).unwrap_or_default()
    }
}

/// A run in the log that has no recorded end.
struct LoggedRun {
    run: Run,
    worker: Incarnation,
    checkpoint: Arc<str>,
    /// Why the run must be stopped, if so.
    stop_reason: Option<StopReason>,
}

impl Core {
    /// Adopts the runs that may still be executing. It is unknown whether they were ever started,
    /// so starts are sent again, except for runs that are no longer needed.
    pub(super) fn adopt_runs(&mut self, now: Now) {
        let open = self.log_state.open();
        let jobs = open
            .iter()
            .map(|number| (*number, &self.log_state.jobs[number]));
        let found: Vec<LoggedRun> = jobs
            .flat_map(|(number, job)| runs_without_end(number, job))
            .collect();
        for LoggedRun {
            run,
            worker,
            checkpoint,
            stop_reason,
        } in found
        {
            let Some(step) = self.step_of(run) else {
                continue;
            };
            let (share, processors) = sharing_of(&mut self.interference, &step);
            self.adopted.add(&worker, run);
            let mut live = LiveRun::new(worker, Stage::Starting, share, processors, now.at);
            live.checkpoint = checkpoint;
            if let Some(reason) = stop_reason {
                live.want_stop(reason);
            }
            self.add_run(run, live);
        }
        let in_flight = self.log_state.pending_starts().len();
        if in_flight > 0 {
            tracing::info!(
                runs = in_flight,
                adopted = self.runs.len(),
                "starts of earlier owners may be in flight"
            );
        }
    }

    fn step_of(&self, run: Run) -> Option<Step> {
        let job = self.log_state.jobs.get(&run.task.job)?;
        job.step(run.task).cloned()
    }
}

/// Returns the runs of a job without a recorded end.
fn runs_without_end(number: u32, job: &JobState) -> Vec<LoggedRun> {
    let mut found = Vec::new();
    for (occurrence, state) in &job.occurrences {
        for (step, step_state) in (0..).zip(&state.steps) {
            // The former owner recorded a part of the placements of a gang only, or the end of one
            // member. The others would wait for it in vain.
            let is_gang = job
                .job
                .steps
                .get(usize::from(step))
                .is_some_and(|it| it.gang);
            let is_partial = is_gang && step_state.waiting > 0;
            for (index, task) in (0..).zip(&step_state.tasks) {
                let id = Task {
                    job: number,
                    occurrence: *occurrence,
                    step,
                    index,
                };
                // A copy of a completed task may never have been started, and must not be started
                // now.
                let stop_reason = match (job.outcome, task.done) {
                    (Some(_), _) => Some(StopReason::Over),
                    (None, false) if is_partial => Some(StopReason::Over),
                    (None, true) => Some(StopReason::Copied),
                    (None, false) => None,
                };
                found.extend(task.live.iter().map(|live| LoggedRun {
                    run: Run {
                        task: id,
                        number: live.number,
                    },
                    worker: live.worker.clone(),
                    checkpoint: task.checkpoint.clone(),
                    stop_reason,
                }));
            }
        }
    }
    found
}
