//! Runs that a new owner finds in the log.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::workflow::core::{Core, Now, incarnations, share_of};
use crate::workflow::incarnation::Incarnation;
use crate::workflow::job::Step;
use crate::workflow::live_run::{LiveRun, Stage, StopReason};
use crate::workflow::record::{Run, Task};
use crate::workflow::state::JobState;

/// Runs of earlier owners by the life of their worker, until that is listed.
#[derive(Debug, Default)]
pub(super) struct Adopted(BTreeMap<Incarnation, Vec<Run>>);

impl Adopted {
    fn add(&mut self, life: &Incarnation, run: Run) {
        self.0.entry(life.clone()).or_default().push(run);
    }

    /// Lives with such runs of the worker with this id.
    pub fn incarnations_of_id(&self, id: &str) -> Vec<Incarnation> {
        incarnations::incarnations_of_id(&self.0, id)
    }

    /// Takes out the runs of a life.
    pub fn take(&mut self, life: &Incarnation) -> Vec<Run> {
        self.0.remove(life).unwrap_or_default()
    }

    /// The others will never be listed.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}

/// A run in the log, with what is to become of it.
struct Found {
    run: Run,
    worker: Incarnation,
    saved: Arc<str>,
    /// Why it is not to go on, if so.
    over: Option<StopReason>,
}

impl Core {
    /// Takes over the runs that may be going on. Whether they were ever started is not
    /// known, so they are ordered again, but for those that nobody needs any more.
    pub(super) fn adopt_runs(&mut self, now: Now) {
        let open = self.log_state.open();
        let jobs = open
            .iter()
            .map(|number| (*number, &self.log_state.jobs[number]));
        let found: Vec<Found> = jobs
            .flat_map(|(number, job)| find_runs(number, job))
            .collect();
        for Found {
            run,
            worker,
            saved,
            over,
        } in found
        {
            let Some(step) = self.step_of(run) else {
                continue;
            };
            let (share, processors) = share_of(&mut self.interference, &step);
            self.adopted.add(&worker, run);
            let mut live = LiveRun::new(worker, Stage::Starting, share, processors, now.at);
            live.checkpoint = saved;
            if let Some(reason) = over {
                live.want_stop(reason);
            }
            self.runs.insert(run, live);
        }
    }

    fn step_of(&self, run: Run) -> Option<Step> {
        let job = self.log_state.jobs.get(&run.task.job)?;
        job.step(run.task).cloned()
    }
}

/// The runs of a job that have no recorded end.
fn find_runs(number: u32, job: &JobState) -> Vec<Found> {
    let mut found = Vec::new();
    for (time, round) in &job.occurrences {
        for (step, state) in (0..).zip(&round.steps) {
            for (index, task) in (0..).zip(&state.tasks) {
                let place = Task {
                    job: number,
                    occurrence: *time,
                    step,
                    index,
                };
                // A copy of a task that is done may never have been started, and must
                // not be now.
                let over = match (job.outcome, task.done) {
                    (Some(_), _) => Some(StopReason::Over),
                    (None, true) => Some(StopReason::Copied),
                    (None, false) => None,
                };
                found.extend(task.live.iter().map(|live| Found {
                    run: Run {
                        task: place,
                        number: live.number,
                    },
                    worker: live.worker.clone(),
                    saved: task.checkpoint.clone(),
                    over,
                }));
            }
        }
    }
    found
}
