//! Requests for stops of runs, and the handling of their ends.

use std::sync::Arc;

use crate::workflow::core::advice::StepKey;
use crate::workflow::core::{Core, Now};
use crate::workflow::live_run::{LiveRun, StopReason};
use crate::workflow::record::{End, LogRecord, Run, Task};
use crate::workflow::state::TaskState;

impl Core {
    /// Returns the runs of a job that may still be executing.
    pub(super) fn runs_of(&self, number: u32) -> Vec<Run> {
        let from = Run {
            task: Task {
                job: number,
                occurrence: 0,
                step: 0,
                index: 0,
            },
            number: 0,
        };
        let runs = self
            .runs
            .range(from..)
            .take_while(|(run, _)| run.task.job == number);
        runs.map(|(run, _)| *run).collect()
    }

    /// Returns the runs of a step that may still be executing.
    pub(super) fn runs_of_step(&self, step: StepKey) -> impl Iterator<Item = (&Run, &LiveRun)> {
        let (job, occurrence, step) = step;
        let first = Task {
            job,
            occurrence,
            step,
            index: 0,
        };
        let last = Task {
            index: u16::MAX,
            ..first
        };
        let runs = |task, number| Run { task, number };
        self.runs.range(runs(first, 0)..=runs(last, u32::MAX))
    }

    pub(super) fn stop_job(&mut self, number: u32, reason: StopReason) {
        for run in self.runs_of(number) {
            self.request_stop(run, reason);
        }
    }

    /// Requests the stop of a run, unless one was requested before.
    pub(super) fn request_stop(&mut self, run: Run, reason: StopReason) {
        let Some(live) = self.runs.get_mut(&run) else {
            return;
        };
        live.want_stop(reason);
        if let Some(worker) = self.workers.get_mut(&live.worker) {
            worker.wake();
        }
    }

    /// Records the end of a run and acts on it.
    pub(super) fn end_run(&mut self, run: Run, reported: End, checkpoint: &Arc<str>, now: Now) {
        let end = self.log_state.effective_end(run.task, reported);
        let Some(live) = self.remove_run(run, end, now) else {
            return;
        };
        self.release(run, &live);
        self.note_awaited_start(run, &live, reported, now);
        self.pace_restart(run, reported, &live, now);
        if end != End::Done {
            self.record_former_start(run, &live.worker, now);
        }
        self.note_fill_ended(&live, now);
        self.record_run_time(run, &live, now.at);
        self.learn_run_time(run, &live, end, now);
        match end {
            End::Done => self.counts.done += 1,
            End::Failed => self.counts.failed += 1,
            End::Stopped => self.counts.stopped += 1,
            End::Lost => self.counts.lost += 1,
        }
        let checkpoint = if checkpoint.is_empty() {
            &live.checkpoint
        } else {
            checkpoint
        };
        let age = now.at.saturating_sub(live.placed).as_millis();
        if end != End::Done
            && let Some(job) = self.log_state.jobs.get(&run.task.job)
        {
            tracing::info!(job = %job.job.id, task = %run.task, run = run.number,
                worker = %live.worker, end = ?reported, age_ms = age, stop = ?live.stop, percent = live.percent, "run ended");
        }
        self.record(LogRecord::Ended(run, end, checkpoint.clone()), now);
        self.note_suspect_waits(run.task, now);
        self.needs_planning = true;
        if end == End::Failed {
            self.check_failure_limit(run, now);
        }
        if end != End::Done {
            self.fail_if_crash_limit_reached(run.task, now);
        }
        if end == End::Done {
            self.stop_other_runs(run, StopReason::Copied);
        }
        if self.is_gang(run) {
            self.stop_gang(run);
        }
    }

    /// Returns how many runs of a task, or of its gang, have failed.
    fn failures_of(&self, task: Task) -> u32 {
        let Some((job, state)) = self.log_state.task(task) else {
            return 0;
        };
        if !job.step(task).is_some_and(|step| step.gang) {
            return state.failures();
        }
        let occurrence = &job.occurrences[&task.occurrence];
        let tasks = &occurrence.steps[usize::from(task.step)].tasks;
        tasks.iter().map(TaskState::failures).sum()
    }

    /// Returns how many more runs of a task, or of its gang, may fail before the job does; `None` if
    /// any number may.
    pub(super) fn attempts_left(&self, task: Task) -> Option<u32> {
        let (job, _) = self.log_state.task(task)?;
        let attempts = job.policy.attempts;
        let is_limited = !job.step(task).is_some_and(|step| step.long_running);
        is_limited.then(|| attempts.saturating_sub(self.failures_of(task)))
    }

    /// Fails a job when one of its tasks, or one of its gangs, has reached the failure limit.
    pub(super) fn check_failure_limit(&mut self, run: Run, now: Now) {
        if self.attempts_left(run.task) != Some(0) {
            return;
        }
        let Some(job) = self.log_state.jobs.get(&run.task.job) else {
            return;
        };
        if job.outcome.is_none() {
            tracing::info!(job = %job.job.id, task = %run.task,
                failures = self.failures_of(run.task), "job failed: failure limit reached");
            self.record(LogRecord::Failed(run.task.job), now);
        }
    }

    pub(super) fn is_gang(&self, run: Run) -> bool {
        self.log_state
            .task(run.task)
            .is_some_and(|(job, _)| job.step(run.task).is_some_and(|step| step.gang))
    }

    pub(super) fn stop_other_runs(&mut self, run: Run, reason: StopReason) {
        for other in self.runs_of(run.task.job) {
            if other.task == run.task {
                self.request_stop(other, reason);
            }
        }
    }

    pub(super) fn stop_gang(&mut self, run: Run) {
        let gang_of = |run: Run| (run.task.occurrence, run.task.step, run.number);
        for other in self.runs_of(run.task.job) {
            if gang_of(other) == gang_of(run) {
                self.request_stop(other, StopReason::Over);
            }
        }
    }
}
