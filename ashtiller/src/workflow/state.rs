//! State of the tasks, steps and occurrences of one job.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::workflow::incarnation::Incarnation;
use crate::workflow::job::{Job, Policy, Step};
use crate::workflow::record::{Outcome, Task};

/// A run that was placed and has not ended.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PlacedRun {
    /// Number of the run.
    pub number: u32,
    /// Worker on which it was placed.
    pub worker: Incarnation,
}

/// A start without a reply that may still be carried out.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct UnconfirmedStart {
    /// Number of the run.
    pub run: u32,
    /// Worker to which the start was sent. A later incarnation of it may carry the start out.
    pub worker: Incarnation,
    /// What the log says of when it was sent. Snapshots store it separately.
    #[serde(skip)]
    pub sending: Sending,
    /// Time by which the start was sent, on this owner's clock. An earlier owner that is not known to
    /// have ended may send it again for a while.
    #[serde(skip)]
    pub since: Duration,
}

/// What the log says of when a start was sent.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Sending {
    /// Epoch of the latest owner that may have sent it, if known.
    pub sender: Option<u64>,
    /// Milliseconds for which the log had been held when it had certainly been recorded.
    pub recorded: Option<u64>,
    /// Whether the sender may send another one.
    pub resends: Resends,
}

/// Whether the sender of a start may send another one of its run.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum Resends {
    /// It may.
    #[default]
    Possible,
    /// A record rules it out, but a later owner may have written that before the sender knew of it.
    RuledOut,
    /// The sender itself has ruled it out.
    None,
}

impl Sending {
    /// Notes that a record rules out further starts by the owner at this epoch.
    pub(super) fn rule_out(&mut self, epoch: u64) {
        if self.sender == Some(epoch) && self.resends == Resends::Possible {
            self.resends = Resends::RuledOut;
        }
    }

    /// Notes that the owner at this epoch may send again.
    pub(super) fn reopen(&mut self, epoch: u64) {
        if self.sender == Some(epoch) {
            self.resends = Resends::Possible;
        }
    }

    /// Notes that the owner at `writer` had written all records before when the log had been held for
    /// `held` milliseconds.
    pub(super) fn note_time(&mut self, writer: u64, held: u64) {
        self.recorded.get_or_insert(held);
        if self.resends == Resends::RuledOut {
            self.resends = if self.sender == Some(writer) {
                Resends::None
            } else {
                Resends::Possible
            };
        }
    }
}

/// State of one task.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct TaskState {
    /// Runs that may be active.
    pub live: Vec<PlacedRun>,
    /// Number of the newest run.
    pub last: u32,
    /// Numbers of the failed runs.
    pub failed: BTreeSet<u32>,
    /// Whether its work is done.
    pub done: bool,
    /// Newest checkpoint; empty for none.
    pub checkpoint: Arc<str>,
    /// Workers on which it failed.
    pub failed_on: BTreeSet<Incarnation>,
}

impl TaskState {
    /// Returns the number of failed runs.
    #[must_use]
    pub fn failures(&self) -> u32 {
        u32::try_from(self.failed.len()).unwrap_or(u32::MAX)
    }

    /// Reports whether it waits for a worker.
    #[must_use]
    pub fn waits(&self) -> bool {
        !self.done && self.live.is_empty()
    }
}

/// State of one step in one occurrence of a job.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct StepState {
    /// States of the tasks, by index.
    pub tasks: Vec<TaskState>,
    /// Number of tasks that are not done.
    pub left: u32,
    /// Number of tasks that wait for a worker.
    pub waiting: u32,
}

impl StepState {
    fn reopen_done(&mut self) {
        for task in self.tasks.iter_mut().filter(|task| task.done) {
            task.done = false;
            self.left += 1;
            self.waiting += u32::from(task.waits());
        }
    }
}

/// State of one occurrence of a job.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Occurrence {
    /// States of the steps, by index.
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

    /// Reports whether all dependencies of a step are done.
    #[must_use]
    pub fn may_begin(&self, step: &Step) -> bool {
        step.depends_on
            .iter()
            .all(|earlier| self.steps[usize::from(*earlier)].left == 0)
    }
}

/// State of one job.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct JobState {
    /// Job as submitted.
    pub job: Arc<Job>,
    /// Policy of its queue at acceptance.
    pub policy: Policy,
    /// Time of acceptance in milliseconds since the Unix epoch.
    pub accepted: u64,
    /// Occurrences that were opened and are not done.
    pub occurrences: BTreeMap<u32, Occurrence>,
    /// Next occurrence to open.
    pub next_occurrence: u32,
    /// Whether a task has begun.
    pub begun: bool,
    /// Number of runs that may be active.
    pub live: u32,
    /// Outcome, once the job has ended.
    pub outcome: Option<Outcome>,
    /// Estimated memory in bytes as counted among the open jobs.
    #[serde(skip)]
    pub(super) counted_bytes: usize,
}

impl JobState {
    /// Estimates and counts the memory of the job with its open occurrences; returns it in bytes.
    pub(super) fn count_bytes(&mut self) -> usize {
        let more = self.occurrences.len().saturating_sub(1);
        let bytes = self.job.occurrence_bytes().saturating_mul(more);
        self.counted_bytes = self.job.open_bytes().saturating_add(bytes);
        self.counted_bytes
    }

    /// Returns the state of a task.
    #[must_use]
    pub fn task(&self, task: Task) -> Option<&TaskState> {
        let occurrence = self.occurrences.get(&task.occurrence)?;
        let step = occurrence.steps.get(usize::from(task.step))?;
        step.tasks.get(usize::from(task.index))
    }

    /// Returns the submitted step of a task.
    #[must_use]
    pub fn step(&self, task: Task) -> Option<&Step> {
        self.job.steps.get(usize::from(task.step))
    }

    /// Opens the long-running tasks of an open job that earlier versions took for done.
    pub(super) fn reopen_long_running(&mut self) {
        if self.outcome.is_some() {
            return;
        }
        let job = &self.job;
        for occurrence in self.occurrences.values_mut() {
            let steps = job.steps.iter().zip(&mut occurrence.steps);
            for (_, state) in steps.filter(|(step, _)| step.long_running) {
                state.reopen_done();
            }
        }
    }

    pub(super) fn open_occurrence(&mut self, number: u32) {
        while self.next_occurrence <= number {
            self.occurrences
                .insert(self.next_occurrence, Occurrence::new(&self.job));
            self.next_occurrence += 1;
        }
    }
}
