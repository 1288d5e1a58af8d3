//! Logs, metrics and dumps of tasks that are suspected of crashing workers, and of what their trials
//! withhold from other tasks.

use std::time::Duration;

use crate::workflow::blame::{LostRun, Suspect};
use crate::workflow::core::{Core, Now};
use crate::workflow::record::Task;

/// Suspected tasks, and the workers on which some are tried.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SuspicionSummary {
    /// Number of tasks under which workers crashed.
    pub suspects: u32,
    /// Number of these that are suspected strongly enough to be tried in isolation.
    pub strong: u32,
    /// Number of strongly suspected tasks without a run.
    pub waiting: u32,
    /// Number of long-running tasks among these.
    pub waiting_long_running: u32,
    /// Number of workers that hold a trial.
    pub trial_workers: u32,
    /// Free processors of these workers, in thousandths.
    pub withheld: u64,
}

/// The end of a wait of a strongly suspected task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TrialWait {
    /// Whether the task is long-running.
    pub long_running: bool,
    /// Time since its last run ended, or since this owner began.
    pub waited: Duration,
}

impl Core {
    /// Returns a summary of the suspected tasks and their trials.
    #[must_use]
    pub fn summarize_suspicion(&self, now: Now) -> SuspicionSummary {
        let mut summary = SuspicionSummary::default();
        for (task, suspect) in self.log_state.suspects() {
            let waits = suspect.is_strong() && self.waits_for_run(*task);
            summary.suspects += 1;
            summary.strong += u32::from(suspect.is_strong());
            summary.waiting += u32::from(waits);
            summary.waiting_long_running += u32::from(waits && self.is_long_running_task(*task));
        }
        let workers = self.workers.values();
        for worker in workers.filter(|worker| self.has_trial(worker, now)) {
            summary.trial_workers += 1;
            summary.withheld += worker.pool.free().processors;
        }
        summary
    }

    fn waits_for_run(&self, task: Task) -> bool {
        let known = self.log_state.task(task);
        known.is_some_and(|(_, state)| state.waits())
    }

    /// Returns whether a task runs until its job is cancelled.
    pub(super) fn is_long_running_task(&self, task: Task) -> bool {
        let known = self.log_state.task(task);
        known
            .and_then(|(job, _)| job.step(task))
            .is_some_and(|step| step.long_running)
    }

    /// Returns how many of these tasks have to be tried in isolation.
    pub(super) fn count_strong(&self, tasks: &[Task]) -> usize {
        if self.log_state.suspects().is_empty() {
            return 0;
        }
        let strong = tasks.iter().filter(|task| self.is_strong_suspect(**task));
        strong.count()
    }

    /// Returns how many tasks are strongly suspected once these runs count as lost in a crash.
    pub(super) fn count_strong_after(&self, lost_runs: &[LostRun]) -> usize {
        let suspects = self.log_state.suspects();
        let is_strong_after = |lost: &&LostRun| {
            let mut suspect = suspects.get(&lost.run.task).cloned().unwrap_or_default();
            suspect.note(lost);
            suspect.is_strong()
        };
        lost_runs.iter().filter(is_strong_after).count()
    }

    /// Returns the tasks with the most evidence against them, for a dump.
    pub(super) fn dump_suspects(&self, limit: usize) -> Vec<serde_json::Value> {
        let suspects = self.log_state.suspects().iter();
        let mut suspects: Vec<(&Task, &Suspect)> = suspects.collect();
        suspects.sort_by_key(|(_, suspect)| std::cmp::Reverse((suspect.weight, suspect.crashes)));
        let rows = suspects.iter().take(limit).map(|(task, suspect)| {
            let job = self.log_state.jobs.get(&task.job);
            serde_json::json!({
                "job": job.map(|it| &*it.job.id), "task": task.to_string(),
                "lasting": self.is_long_running_task(**task),
                "crashes": suspect.crashes, "certain": suspect.sure, "weight": suspect.weight,
                "oldest_ms": suspect.oldest, "strong": suspect.is_strong(),
                "waits": self.waits_for_run(**task),
            })
        });
        rows.collect()
    }

    /// Records since when a strongly suspected task waits for its next run.
    pub(super) fn note_suspect_waits(&mut self, task: Task, now: Now) {
        if self.is_strong_suspect(task) && self.waits_for_run(task) {
            self.suspects_waiting.insert(task, now.at);
        }
    }

    /// Records the end of the wait of a strongly suspected task, which gets a run now.
    pub(super) fn note_suspect_placed(&mut self, task: Task, now: Now) {
        let since = self.suspects_waiting.remove(&task);
        if self.is_strong_suspect(task) && self.waits_for_run(task) {
            let wait = TrialWait {
                long_running: self.is_long_running_task(task),
                waited: now.at.saturating_sub(since.unwrap_or(self.began)),
            };
            self.ended_trial_waits.push(wait);
        }
    }

    /// Returns the waits of strongly suspected tasks that ended since the last call.
    pub fn drain_trial_waits(&mut self) -> Vec<TrialWait> {
        let suspects = self.log_state.suspects();
        // Tasks whose jobs have ended get no further run.
        self.suspects_waiting
            .retain(|task, _| suspects.contains_key(task));
        std::mem::take(&mut self.ended_trial_waits)
    }
}
