//! Where the time of each job went.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::workflow::core::Core;
use crate::workflow::core::advice::StepKey;
use crate::workflow::live_run::{LiveRun, Stage};
use crate::workflow::record::Run;

/// Times of one step: of each kind the longest among its tasks.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TimeBreakdown {
    /// Without a worker, although nothing that it depends on was left.
    pub waiting: Duration,
    /// From being placed to the worker's confirmation.
    pub start_delay: Duration,
    /// At work.
    pub work: Duration,
    /// Part of that which its pace took.
    pub paced: Duration,
}

impl TimeBreakdown {
    fn widen(&mut self, other: Self) {
        self.waiting = self.waiting.max(other.waiting);
        self.start_delay = self.start_delay.max(other.start_delay);
        self.work = self.work.max(other.work);
        self.paced = self.paced.max(other.paced);
    }

    fn add(&mut self, other: Self) {
        self.waiting += other.waiting;
        self.start_delay += other.start_delay;
        self.work += other.work;
        self.paced += other.paced;
    }
}

/// Times of the steps of open jobs, on this owner's clock.
#[derive(Debug, Default)]
pub(super) struct JobTimings {
    ready: BTreeMap<StepKey, Duration>,
    steps: BTreeMap<StepKey, TimeBreakdown>,
}

impl JobTimings {
    /// A step has tasks that could start.
    pub fn note_ready(&mut self, step: StepKey, now: Duration) {
        self.ready.entry(step).or_insert(now);
    }

    /// Every task of a step has a worker.
    pub fn note_placed(&mut self, step: StepKey) {
        self.ready.remove(&step);
    }

    /// Since when a step has tasks that could start.
    pub fn ready_since(&self, step: StepKey) -> Option<Duration> {
        self.ready.get(&step).copied()
    }

    fn note(&mut self, step: StepKey, times: TimeBreakdown) {
        self.steps.entry(step).or_default().widen(times);
    }

    /// The times of a job, step after step, which is then forgotten.
    fn close(&mut self, job: u32) -> TimeBreakdown {
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
    /// A task gets a worker now.
    pub(super) fn record_placement_time(&mut self, run: Run, now: Duration) {
        let step = step_of(run);
        let Some(since) = self.ledger.ready.get(&step) else {
            return;
        };
        let room = now.saturating_sub(*since);
        self.ledger.note(
            step,
            TimeBreakdown {
                waiting: room,
                ..TimeBreakdown::default()
            },
        );
    }

    /// A run has ended.
    pub(super) fn record_run_time(&mut self, run: Run, live: &LiveRun, now: Duration) {
        let Stage::Started(at) = live.stage else {
            return;
        };
        let times = TimeBreakdown {
            waiting: Duration::ZERO,
            start_delay: at.saturating_sub(live.placed),
            work: now.saturating_sub(at),
            paced: live.paced + live.paced_since(now),
        };
        self.ledger.note(step_of(run), times);
    }

    /// The times of a job that has ended, for its line in the log and the histograms.
    pub(super) fn finish_job_times(&mut self, job: u32) -> TimeBreakdown {
        let times = self.ledger.close(job);
        self.ended_job_times.push(times);
        times
    }

    /// The times of the jobs that have ended since this was asked last.
    pub fn drain_job_times(&mut self) -> Vec<TimeBreakdown> {
        std::mem::take(&mut self.ended_job_times)
    }
}
