//! Where the tasks, steps and times of one job stand.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::workflow::incarnation::Incarnation;
use crate::workflow::job::{Job, Policy, Step};
use crate::workflow::record::{Outcome, Task};

/// A run that has been placed and has not ended.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PlacedRun {
    /// Number of the run.
    pub number: u32,
    /// Worker that has it.
    pub worker: Incarnation,
}

/// One task.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct TaskState {
    /// Runs that may be going on.
    pub live: Vec<PlacedRun>,
    /// Number of the newest run.
    pub last: u32,
    /// Numbers of the runs that failed.
    pub failed: BTreeSet<u32>,
    /// Whether its work is done.
    pub done: bool,
    /// Newest checkpoint; empty for none.
    pub checkpoint: Arc<str>,
    /// Workers on which it failed.
    pub failed_on: BTreeSet<Incarnation>,
}

impl TaskState {
    /// How many runs failed.
    #[must_use]
    pub fn failures(&self) -> u32 {
        u32::try_from(self.failed.len()).unwrap_or(u32::MAX)
    }

    /// Whether it waits for a worker.
    #[must_use]
    pub fn waits(&self) -> bool {
        !self.done && self.live.is_empty()
    }
}

/// The tasks of one step, for one time of the job.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct StepState {
    /// Tasks.
    pub tasks: Vec<TaskState>,
    /// Tasks that are not done.
    pub left: u32,
    /// Tasks that wait for a worker.
    pub waiting: u32,
}

/// One time of a job.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Occurrence {
    /// Steps.
    pub steps: Vec<StepState>,
}

impl Occurrence {
    pub(super) fn new(job: &Job) -> Self {
        let steps = job.steps.iter().map(|step| StepState {
            tasks: vec![TaskState::default(); step.count as usize],
            left: step.count,
            waiting: step.count,
        });
        Self {
            steps: steps.collect(),
        }
    }

    pub(super) fn is_done(&self) -> bool {
        self.steps.iter().all(|step| step.left == 0)
    }

    /// Whether all steps that a step depends on are done.
    #[must_use]
    pub fn may_begin(&self, step: &Step) -> bool {
        step.after
            .iter()
            .all(|earlier| self.steps[usize::from(*earlier)].left == 0)
    }
}

/// One job.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct JobState {
    /// What was submitted.
    pub job: Arc<Job>,
    /// How its queue treats it.
    pub policy: Policy,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub accepted: u64,
    /// Times that have begun or may begin, and are not done.
    pub occurrences: BTreeMap<u32, Occurrence>,
    /// Times not in `rounds`: the next that was not opened yet.
    pub next_occurrence: u32,
    /// Whether a task has begun.
    pub begun: bool,
    /// Runs that may be going on.
    pub live: u32,
    /// How it ended.
    pub outcome: Option<Outcome>,
}

impl JobState {
    /// One task.
    #[must_use]
    pub fn task(&self, task: Task) -> Option<&TaskState> {
        let round = self.occurrences.get(&task.occurrence)?;
        let step = round.steps.get(usize::from(task.step))?;
        step.tasks.get(usize::from(task.index))
    }

    /// The step of a task as it was submitted.
    #[must_use]
    pub fn step(&self, task: Task) -> Option<&Step> {
        self.job.steps.get(usize::from(task.step))
    }

    /// Opens the times that are due at `wall` milliseconds since the Unix epoch.
    pub fn open_due_occurrences(&mut self, wall: u64) -> bool {
        let mut opened = false;
        while self.next_occurrence < self.job.times() && self.outcome.is_none() {
            let due = self
                .job
                .schedule
                .map_or(0, |it| it.due(self.next_occurrence));
            if due > wall {
                break;
            }
            self.open_round(self.next_occurrence);
            opened = true;
        }
        opened
    }

    pub(super) fn open_round(&mut self, number: u32) {
        while self.next_occurrence <= number {
            self.occurrences
                .insert(self.next_occurrence, Occurrence::new(&self.job));
            self.next_occurrence += 1;
        }
    }
}
