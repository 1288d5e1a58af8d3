//! Breakdown of the time that each job took.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::workflow::core::Core;
use crate::workflow::core::advice::StepKey;
use crate::workflow::live_run::{LiveRun, Stage};
use crate::workflow::record::Run;

/// Time spent in each phase of a step, each the longest among its tasks, or their sum over the
/// steps of a job.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TimeBreakdown {
    /// Time without a worker after all dependencies had ended.
    pub waiting: Duration,
    /// Time from placement to the worker's confirmation of the start.
    pub start_delay: Duration,
    /// Part of the start delay before the start was sent.
    pub send_delay: Duration,
    /// Time from the confirmed start to the end of the run.
    pub work: Duration,
    /// Part of the running time that was lost to throttling.
    pub throttled: Duration,
}

impl TimeBreakdown {
    fn raise_to(&mut self, other: Self) {
        self.waiting = self.waiting.max(other.waiting);
        self.start_delay = self.start_delay.max(other.start_delay);
        self.send_delay = self.send_delay.max(other.send_delay);
        self.work = self.work.max(other.work);
        self.throttled = self.throttled.max(other.throttled);
    }

    fn add(&mut self, other: Self) {
        self.waiting += other.waiting;
        self.start_delay += other.start_delay;
        self.send_delay += other.send_delay;
        self.work += other.work;
        self.throttled += other.throttled;
    }
}

/// Time breakdowns of the steps of open jobs, on this owner's clock.
#[derive(Debug, Default)]
pub(super) struct JobTimings {
    ready: BTreeMap<StepKey, Duration>,
    steps: BTreeMap<StepKey, TimeBreakdown>,
}

impl JobTimings {
    /// Records that a step has tasks that could start.
    pub fn note_ready(&mut self, step: StepKey, now: Duration) {
        self.ready.entry(step).or_insert(now);
    }

    /// Records that every task of a step has a worker.
    pub fn note_placed(&mut self, step: StepKey) {
        self.ready.remove(&step);
    }

    /// Returns since when a step has had tasks that could start.
    pub fn ready_since(&self, step: StepKey) -> Option<Duration> {
        self.ready.get(&step).copied()
    }

    fn record(&mut self, step: StepKey, times: TimeBreakdown) {
        self.steps.entry(step).or_default().raise_to(times);
    }

    /// Removes a job and returns the sum of its steps' times.
    fn finish_job(&mut self, job: u32) -> TimeBreakdown {
        let keys = (job, 0, 0)..=(job, u32::MAX, u16::MAX);
        let steps: Vec<StepKey> = self
            .steps
            .range(keys.clone())
            .map(|(key, _)| *key)
            .collect();
        let mut sum = TimeBreakdown::default();
        for step in steps {
            sum.add(self.steps.remove(&step).unwrap_or_default());
        }
        let ready: Vec<StepKey> = self.ready.range(keys).map(|(key, _)| *key).collect();
        for step in ready {
            self.ready.remove(&step);
        }
        sum
    }
}

fn step_of(run: Run) -> StepKey {
    (run.task.job, run.task.occurrence, run.task.step)
}

impl Core {
    /// Records how long a run waited for the worker that it gets now.
    pub(super) fn record_placement_time(&mut self, run: Run, now: Duration) {
        let step = step_of(run);
        let Some(since) = self.job_timings.ready.get(&step) else {
            return;
        };
        let waiting = now.saturating_sub(*since);
        self.job_timings.record(
            step,
            TimeBreakdown {
                waiting,
                ..TimeBreakdown::default()
            },
        );
    }

    /// Records the times of a run that has ended, if its start was confirmed.
    pub(super) fn record_run_time(&mut self, run: Run, live: &LiveRun, now: Duration) {
        let Stage::Started(at) = live.stage else {
            return;
        };
        let times = TimeBreakdown {
            waiting: Duration::ZERO,
            start_delay: at.saturating_sub(live.placed),
            send_delay: live
                .first_sent
                .map_or(Duration::ZERO, |sent| sent.saturating_sub(live.placed)),
            work: now.saturating_sub(at),
            throttled: live.paced + live.paced_since(now),
        };
        self.job_timings.record(step_of(run), times);
    }

    /// Returns the times of a job that has ended, for the log, and keeps them for the histograms.
    pub(super) fn finish_job_times(&mut self, job: u32) -> TimeBreakdown {
        let times = self.job_timings.finish_job(job);
        self.ended_job_times.push(times);
        times
    }

    /// Returns the times of the jobs that have ended since the last call.
    pub fn drain_job_times(&mut self) -> Vec<TimeBreakdown> {
        std::mem::take(&mut self.ended_job_times)
    }
}
