//! Every job of one log, rebuilt by replay.
//!
//! [`Book::apply`] is the only way to change what lasts, and it is deterministic:
//! a snapshot and the facts after it give the same book to every owner.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::workflow::blame::{LostRun, Suspect};
use crate::workflow::incarnation::Incarnation;
use crate::workflow::interference::LearnedFactor;
use crate::workflow::job::{Job, Policy};
use crate::workflow::record::{End, LogRecord, Outcome, Run, Task};
use crate::workflow::state::{JobState, PlacedRun, StepState, TaskState};

/// What a fact changed beyond the book's own numbers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Nothing more.
    None,
    /// The job ended in this way.
    Ended(u32, Outcome),
}

/// Every job of one log.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct LogState {
    /// Number of the next job.
    pub next: u32,
    /// Jobs by number.
    pub jobs: BTreeMap<u32, JobState>,
    /// What was learned about images that disturb each other.
    pub lessons: Vec<LearnedFactor>,
    /// Machines that have had their upkeep, by wave.
    pub upkept: BTreeSet<(u64, Arc<str>)>,
    /// Waves of upkeep that are over.
    pub waves_over: BTreeSet<u64>,
    /// No owner before this epoch grants leases any more.
    pub cleared: u64,
    /// Tasks under which workers crashed; a section of its own in a snapshot.
    #[serde(skip)]
    suspects: BTreeMap<Task, Suspect>,
    #[serde(skip)]
    names: BTreeMap<Arc<str>, u32>,
    #[serde(skip)]
    open: BTreeSet<u32>,
    #[serde(skip)]
    scheduled: BTreeSet<u32>,
    #[serde(skip)]
    ended: BTreeMap<u32, Duration>,
}

impl LogState {
    /// Rebuilds what a snapshot leaves out.
    pub fn index(&mut self, now: Duration) {
        for (number, job) in &self.jobs {
            self.names.insert(job.job.id.clone(), *number);
            if job.outcome.is_none() || job.live > 0 {
                self.open.insert(*number);
            }
            if job.outcome.is_some() {
                self.ended.insert(*number, now);
            } else if job.job.schedule.is_some() {
                self.scheduled.insert(*number);
            }
        }
    }

    /// Number of the job with this id.
    #[must_use]
    pub fn find(&self, id: &str) -> Option<u32> {
        self.names.get(id).copied()
    }

    /// Jobs that are not over, or of which something may still run.
    #[must_use]
    pub fn open(&self) -> &BTreeSet<u32> {
        &self.open
    }

    /// Opens the times of jobs that are due at `wall` milliseconds since the Unix epoch;
    /// true when there were any.
    pub fn open_due_occurrences(&mut self, wall: u64) -> bool {
        let mut opened = false;
        for number in &self.scheduled {
            if let Some(job) = self.jobs.get_mut(number) {
                opened |= job.open_due_occurrences(wall);
            }
        }
        opened
    }

    /// Jobs that ended before `limit`, on this owner's clock.
    #[must_use]
    pub fn ended_before(&self, limit: Duration) -> Vec<u32> {
        let old = self.ended.iter().filter(|(_, at)| **at < limit);
        old.map(|(number, _)| *number).collect()
    }

    /// One task and its job.
    #[must_use]
    pub fn task(&self, task: Task) -> Option<(&JobState, &TaskState)> {
        let job = self.jobs.get(&task.job)?;
        Some((job, job.task(task)?))
    }

    /// Whether a run may be going on.
    #[must_use]
    pub fn is_live(&self, run: Run) -> bool {
        self.task(run.task)
            .is_some_and(|(_, task)| task.live.iter().any(|live| live.number == run.number))
    }

    /// Whether the end of a run that is not going on any more changes something: a worker
    /// may tell it after the run was given up as lost.
    #[must_use]
    pub fn late_end_matters(&self, run: Run, end: End) -> bool {
        let Some((job, task)) = self.task(run.task) else {
            return false;
        };
        let lasting = job.step(run.task).is_none_or(|step| step.long_running);
        let placed = run.number <= task.last && !self.is_live(run);
        let news = match end {
            End::Done => !task.done,
            End::Failed => !task.failed.contains(&run.number),
            End::Stopped | End::Lost => false,
        };
        !lasting && placed && news && job.outcome.is_none()
    }

    /// Applies one fact.
    pub fn apply(&mut self, fact: &LogRecord, now: Duration) -> Effect {
        match fact {
            LogRecord::Accepted(job, policy, wall) => self.accept(job, policy, *wall),
            LogRecord::Cancelled(number) => return self.close(*number, Outcome::Cancelled, now),
            LogRecord::Failed(number) => return self.close(*number, Outcome::Failed, now),
            LogRecord::Placed(run, worker, saved) => self.place(*run, worker, saved),
            LogRecord::Ended(run, end, saved) => return self.end(*run, *end, saved, now),
            LogRecord::Forgotten(number) => self.forget(*number),
            LogRecord::Upkept(wave, machine) => {
                self.upkept.insert((*wave, machine.clone()));
            }
            LogRecord::WaveOver(wave) => {
                self.waves_over.insert(*wave);
                self.upkept.retain(|(other, _)| other != wave);
            }
            LogRecord::Learned(lessons) => self.lessons.clone_from(lessons),
            LogRecord::Cleared(epoch) => self.cleared = self.cleared.max(*epoch),
            LogRecord::Crashed(_, victims) => {
                for victim in victims {
                    self.suspect_task(victim);
                }
            }
            LogRecord::Absolved(task) => {
                self.suspects.remove(task);
            }
        }
        Effect::None
    }

    /// Tasks under which workers crashed.
    #[must_use]
    pub fn suspects(&self) -> &BTreeMap<Task, Suspect> {
        &self.suspects
    }

    /// Puts back what a snapshot keeps apart.
    pub fn set_suspects(&mut self, suspects: BTreeMap<Task, Suspect>) {
        self.suspects = suspects;
    }

    /// A worker crashed under a run of a task that may be started again.
    fn suspect_task(&mut self, victim: &LostRun) {
        let task = victim.run.task;
        let open = |(job, state): (&JobState, &TaskState)| job.outcome.is_none() && !state.done;
        if self.task(task).is_some_and(open) {
            self.suspects.entry(task).or_default().note(victim);
        }
    }

    fn forget_suspects(&mut self, number: u32) {
        self.suspects.retain(|task, _| task.job != number);
    }

    fn accept(&mut self, job: &Job, policy: &Policy, wall: u64) {
        let number = self.next;
        self.next += 1;
        let mut state = JobState {
            job: Arc::new(job.clone()),
            policy: policy.clone(),
            accepted: wall,
            occurrences: BTreeMap::new(),
            next_occurrence: 0,
            begun: false,
            live: 0,
            outcome: None,
        };
        if job.schedule.is_none() {
            state.open_round(0);
        } else {
            self.scheduled.insert(number);
        }
        self.names.insert(job.id.clone(), number);
        self.open.insert(number);
        self.jobs.insert(number, state);
    }

    fn place(&mut self, run: Run, worker: &Incarnation, saved: &Arc<str>) {
        let Some(job) = self.jobs.get_mut(&run.task.job) else {
            return;
        };
        if job.next_occurrence <= run.task.occurrence {
            job.open_round(run.task.occurrence);
        }
        let Some(round) = job.occurrences.get_mut(&run.task.occurrence) else {
            return;
        };
        let step = &mut round.steps[usize::from(run.task.step)];
        let task = &mut step.tasks[usize::from(run.task.index)];
        step.waiting -= u32::from(task.waits());
        task.last = task.last.max(run.number);
        if !saved.is_empty() {
            task.checkpoint = saved.clone();
        }
        task.live.push(PlacedRun {
            number: run.number,
            worker: worker.clone(),
        });
        job.begun = true;
        job.live += 1;
    }

    fn end(&mut self, run: Run, end: End, saved: &Arc<str>, now: Duration) -> Effect {
        let number = run.task.job;
        if !self.is_live(run) && !self.late_end_matters(run, end) {
            return Effect::None;
        }
        let Some(job) = self.jobs.get_mut(&number) else {
            return Effect::None;
        };
        let gang = job.step(run.task).is_some_and(|step| step.gang);
        let Some(round) = job.occurrences.get_mut(&run.task.occurrence) else {
            return Effect::None;
        };
        let step = &mut round.steps[usize::from(run.task.step)];
        let task = &mut step.tasks[usize::from(run.task.index)];
        step.waiting -= u32::from(task.waits());
        let worker = match task.live.iter().position(|live| live.number == run.number) {
            Some(place) => {
                job.live -= 1;
                Some(task.live.swap_remove(place).worker)
            }
            None => None,
        };
        if !saved.is_empty() {
            task.checkpoint = saved.clone();
        }
        match end {
            End::Done if !task.done => {
                task.done = true;
                step.left -= 1;
                self.suspects.remove(&run.task);
            }
            End::Failed => {
                task.failed.insert(run.number);
                task.failed_on.extend(worker);
            }
            _ => {}
        }
        step.waiting += u32::from(task.waits());
        if gang {
            share_end(step, end, saved);
        }
        if gang && end == End::Done {
            let of_gang = |task: &Task| {
                Task { index: 0, ..*task }
                    == Task {
                        index: 0,
                        ..run.task
                    }
            };
            self.suspects.retain(|task, _| !of_gang(task));
        }
        let over = job.outcome.is_some();
        if round.is_done() {
            let live = round.steps.iter().flat_map(|step| &step.tasks);
            let quiet = live.into_iter().all(|task| task.live.is_empty());
            if quiet {
                job.occurrences.remove(&run.task.occurrence);
            }
        }
        let open = job.occurrences.values().any(|round| !round.is_done());
        if !over && !open && job.next_occurrence >= job.job.times() {
            return self.close(number, Outcome::Complete, now);
        }
        self.settle(number);
        Effect::None
    }

    fn close(&mut self, number: u32, outcome: Outcome, now: Duration) -> Effect {
        let Some(job) = self.jobs.get_mut(&number) else {
            return Effect::None;
        };
        if job.outcome.is_some() {
            return Effect::None;
        }
        job.outcome = Some(outcome);
        self.scheduled.remove(&number);
        self.ended.insert(number, now);
        self.forget_suspects(number);
        self.settle(number);
        Effect::Ended(number, outcome)
    }

    /// A job that is over and runs nothing keeps only its name and outcome.
    fn settle(&mut self, number: u32) {
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        if job.outcome.is_none() || job.live > 0 {
            return;
        }
        job.occurrences.clear();
        let Job { id, queue, .. } = &*job.job;
        job.job = Arc::new(Job {
            id: id.clone(),
            queue: queue.clone(),
            payload: Arc::from(""),
            steps: Vec::new(),
            schedule: None,
        });
        self.open.remove(&number);
    }

    fn forget(&mut self, number: u32) {
        if let Some(job) = self.jobs.remove(&number) {
            self.names.remove(&job.job.id);
        }
        self.open.remove(&number);
        self.ended.remove(&number);
    }
}

/// The end of one member of a gang counts for all: work that is done is done for
/// each, and each begins again from the same checkpoint.
fn share_end(step: &mut StepState, end: End, saved: &Arc<str>) {
    for task in &mut step.tasks {
        if end == End::Done && !task.done {
            step.waiting -= u32::from(task.waits());
            task.done = true;
            step.left -= 1;
        }
        if !saved.is_empty() {
            task.checkpoint = saved.clone();
        }
    }
}
