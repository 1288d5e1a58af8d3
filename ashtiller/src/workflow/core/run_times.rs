//! Learned run times in the decisions of the log owner.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::workflow::core::advice::StepKey;
use crate::workflow::core::{Core, Now};
use crate::workflow::job::{Job, Step};
use crate::workflow::live_run::{LiveRun, Stage, Stop};
use crate::workflow::load::account::WorkClass;
use crate::workflow::log_state::LogState;
use crate::workflow::record::{End, LogRecord, Run, Task};
use crate::workflow::run_times::{RunTimes, StepRuns};

/// Time between two records of learned run times.
const RECORD_INTERVAL: Duration = Duration::from_secs(3);
/// Time between two log lines about all models.
const LOG_INTERVAL: Duration = Duration::from_secs(30);
/// Least time without progress after which a run counts as stalled: reports of a busy worker may
/// be this far apart.
const STALL_TIMEOUT_MIN: Duration = Duration::from_millis(500);
/// Number of runs for each of which one straggler may have a copy. If more runs are slow, the cause is
/// common to them, and copies would only take capacity.
const RUNS_PER_COPY: usize = 50;
/// Ratios of actual to predicted run times kept until they are counted.
const RATIOS_MAX: usize = 4_096;

/// Run time of a task that is done, divided by what was predicted before it was learned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunTimeRatio {
    /// Class of the work.
    pub class: WorkClass,
    /// Ratio to the client's estimate.
    pub to_estimate: f64,
    /// Ratio to the learned run time.
    pub to_learned: f64,
}

/// Chains of expected run times in a job. With the run times of the slowest tasks instead of the
/// usual ones, more jobs would count as late than are, and yield to others.
pub(super) struct JobChains {
    /// Longest chain of the job.
    pub longest: Duration,
    /// For each step, the longest chain from its start to the end of the job.
    pub left: Vec<Duration>,
}

/// Learned run times, and what this owner needs to learn more.
#[derive(Debug, Default)]
pub(super) struct LearnedRunTimes {
    models: RunTimes,
    /// Run times so far of steps that are not done.
    steps: BTreeMap<StepKey, StepRuns>,
    /// Runs that may have copies and are much slower than usual.
    stragglers: BTreeSet<Run>,
    ratios: Vec<RunTimeRatio>,
    recorded_at: Duration,
    logged_at: Duration,
}

impl LearnedRunTimes {
    /// Begins with what earlier owners recorded.
    pub fn restore(log_state: &LogState, now: Duration) -> Self {
        Self {
            models: RunTimes::restore(log_state.run_times(), now),
            recorded_at: now,
            logged_at: now,
            ..Self::default()
        }
    }

    /// Drops the state of a job that has ended.
    pub fn forget_job(&mut self, number: u32) {
        let steps = self
            .steps
            .range((number, 0, 0)..=(number, u32::MAX, u16::MAX));
        let steps: Vec<StepKey> = steps.map(|(step, _)| *step).collect();
        for step in steps {
            self.steps.remove(&step);
        }
        self.stragglers.retain(|run| run.task.job != number);
    }
}

/// Returns the time for which a run has worked at full pace, if the time of its start is known.
fn time_worked(live: &LiveRun, now: Duration) -> Option<Duration> {
    let Stage::Started(at) = live.stage else {
        return None;
    };
    let throttled = live.paced + live.paced_since(now);
    now.saturating_sub(at).checked_sub(throttled)
}

impl Core {
    /// Returns the learned run times.
    #[must_use]
    pub fn run_times(&self) -> &RunTimes {
        &self.learned_run_times.models
    }

    /// Returns whether decisions follow learned run times.
    fn learns_run_times(&self) -> bool {
        self.tuning.switches.learned_run_times
    }

    /// Returns the chains of run times of a job, by learned run times or the client's estimates.
    pub(super) fn chains_of(&self, job: &Job, now: Now) -> JobChains {
        let times: Vec<Duration> = job
            .steps
            .iter()
            .map(|step| self.run_time_of(&job.queue, step, now))
            .collect();
        let left = job.chains_of(&times);
        JobChains {
            longest: left.iter().max().copied().unwrap_or_default(),
            left,
        }
    }

    /// Returns the usual run time of the tasks of a step, learned or as the client estimates it.
    pub(super) fn run_time_of(&self, queue: &Arc<str>, step: &Step, now: Now) -> Duration {
        if !self.learns_run_times() {
            return step.estimate;
        }
        self.run_times().expected(queue, step, now.at)
    }

    /// Returns the expected time left to a run whose progress tells nothing yet.
    pub(super) fn expected_remaining(&self, run: Run, now: Now) -> Option<Duration> {
        let (job, _) = self.log_state.task(run.task)?;
        let step = job.step(run.task)?;
        let (models, queue) = (self.run_times(), &job.job.queue);
        // An estimate that a run has outlived says nothing about the time left.
        if !self.learns_run_times() || models.model(queue, step).is_none() {
            return Some(step.estimate);
        }
        let live = self.runs.get(&run)?;
        let age = time_worked(live, now.at).unwrap_or_default();
        Some(models.remaining(queue, step, age, 0, now.at))
    }

    /// Returns the time without progress after which a run counts as stalled; `limit` is the fixed
    /// upper bound.
    pub(super) fn stall_timeout(&self, run: Run, limit: Duration, now: Now) -> Duration {
        let Some((job, _)) = self.log_state.task(run.task) else {
            return limit;
        };
        let Some(step) = job.step(run.task) else {
            return limit;
        };
        // How fast a best-effort run progresses depends on the processors that others leave idle.
        if !self.learns_run_times() || step.fills() || step.long_running {
            return limit;
        }
        let learned = self.run_times().stall_timeout(&job.job.queue, step, now.at);
        learned.map_or(limit, |learned| learned.max(STALL_TIMEOUT_MIN).min(limit))
    }

    /// Learns from a run that ends, before its end is recorded.
    pub(super) fn learn_run_time(&mut self, run: Run, live: &LiveRun, end: End, now: Now) {
        self.learned_run_times.stragglers.remove(&run);
        if !self.learns_run_times() || end != End::Done {
            return;
        }
        let Some((job, task)) = self.log_state.task(run.task) else {
            return;
        };
        let Some(spec) = job.step(run.task).filter(|_| job.outcome.is_none()) else {
            return;
        };
        let key = (run.task.job, run.task.occurrence, run.task.step);
        let left = job.occurrences[&run.task.occurrence].steps[usize::from(run.task.step)].left;
        let ends_step = !task.done && (left <= 1 || spec.gang);
        let is_near = spec.rack.as_ref().is_none_or(|rack| {
            let worker = self.workers.get(&live.worker);
            worker.is_some_and(|worker| worker.has_label(rack))
        });
        // The start time of an adopted run, or of one whose start got no reply, is not known.
        let known = live.placed > self.began && live.unanswered == 0;
        // A run that resumes from a checkpoint does only part of the work.
        let is_whole = run.number == 1 || !spec.checkpoints;
        let worked = time_worked(live, now.at).filter(|worked| !worked.is_zero());
        let counts = known && is_whole && is_near && !task.done && !spec.long_running;
        let job = job.job.clone();
        let (queue, step) = (&job.queue, &job.steps[usize::from(run.task.step)]);
        let learned = &mut self.learned_run_times;
        let mut runs = learned.steps.remove(&key).unwrap_or_default();
        if let Some(worked) = worked.filter(|_| counts) {
            if learned.ratios.len() < RATIOS_MAX {
                let expected = learned.models.expected(queue, step, now.at);
                let ratio =
                    |to: Duration| worked.div_duration_f64(to.max(Duration::from_millis(1)));
                learned.ratios.push(RunTimeRatio {
                    class: WorkClass::of(step),
                    to_estimate: ratio(step.estimate),
                    to_learned: ratio(expected),
                });
            }
            runs.add(worked);
            learned.models.observe(queue, step, worked, now.at);
        }
        if !ends_step {
            learned.steps.insert(key, runs);
        } else if runs.count() == step.count {
            learned.models.observe_step(queue, step, &runs, now.at);
        }
    }

    /// Notes whether a run is so much slower than usual that a copy would end sooner.
    pub(super) fn note_straggler(&mut self, run: Run, now: Now) {
        if !self.learns_run_times() {
            return;
        }
        let Some((job, task)) = self.log_state.task(run.task) else {
            return;
        };
        let (Some(step), Some(live)) = (job.step(run.task), self.runs.get(&run)) else {
            return;
        };
        let may_copy = step.speculative && !step.gang && !step.long_running;
        let throttled = live.pace < 100 || live.pace_goal < 100;
        if !may_copy || throttled || task.done || live.stop != Stop::None {
            return;
        }
        let age = time_worked(live, now.at).unwrap_or_default();
        let queue = &job.job.queue;
        let straggles = self
            .run_times()
            .is_straggler(queue, step, age, live.percent, now.at);
        if !straggles {
            self.learned_run_times.stragglers.remove(&run);
        } else if self.learned_run_times.stragglers.insert(run) {
            tracing::info!(task = %run.task, run = run.number, worker = %live.worker,
                percent = live.percent, age_ms = age.as_millis(),
                expected_ms = self.run_times().expected(queue, step, now.at).as_millis(),
                "run is much slower than usual");
            self.needs_planning = true;
        }
    }

    /// Returns the tasks whose only run is much slower than usual and that may get a copy now.
    pub(super) fn collect_straggling_tasks(&self) -> Vec<Task> {
        let (mut copied, mut single) = (0, Vec::new());
        for run in &self.learned_run_times.stragglers {
            let Some((job, task)) = self.log_state.task(run.task) else {
                continue;
            };
            match task.live.as_slice() {
                [only] if only.number == run.number => {
                    if !task.done && job.outcome.is_none() && !self.is_suspect(run.task) {
                        single.push(run.task);
                    }
                }
                runs => copied += usize::from(runs.len() > 1),
            }
        }
        let limit = (self.runs.len() / RUNS_PER_COPY).max(1);
        single.truncate(limit.saturating_sub(copied));
        single
    }

    /// Records the learned run times that have changed, for later owners.
    pub(super) fn record_run_times(&mut self, now: Now) {
        if !self.learns_run_times() || now.at < self.learned_run_times.recorded_at + RECORD_INTERVAL
        {
            return;
        }
        self.learned_run_times.recorded_at = now.at;
        if let Some(models) = self.learned_run_times.models.take_changed(now.at) {
            self.record(LogRecord::RunTimesLearned(models), now);
        }
        if now.at >= self.learned_run_times.logged_at + LOG_INTERVAL {
            self.learned_run_times.logged_at = now.at;
            self.log_run_times(now);
        }
    }

    fn log_run_times(&self, now: Now) {
        let models = self.run_times().models();
        let newest = models
            .max_by(|(_, one), (_, other)| one.weight(now.at).total_cmp(&other.weight(now.at)));
        if let Some((key, model)) = newest {
            let [correction, slope, deviation] = model.parameters(now.at);
            tracing::info!(models = self.run_times().models().count(), queue = %key.queue,
                class = key.shape.class, width = key.shape.width,
                processors = key.shape.processors, steps = model.weight(now.at),
                factor = correction.exp(), slope, deviation,
                "run times learned; the model with the most steps is shown");
        }
    }

    /// Returns the ratios of actual to predicted run times since the last call.
    pub fn drain_run_time_ratios(&mut self) -> Vec<RunTimeRatio> {
        std::mem::take(&mut self.learned_run_times.ratios)
    }

    /// Returns all models for a dump.
    pub(super) fn dump_run_times(&self, now: Now) -> Vec<serde_json::Value> {
        let models = self.run_times().models().map(|(key, model)| {
            let [correction, slope, deviation] = model.parameters(now.at);
            serde_json::json!({
                "queue": &*key.queue, "class": key.shape.class, "width": key.shape.width,
                "processors": key.shape.processors, "steps": model.weight(now.at),
                "factor": correction.exp(), "slope": slope, "deviation": deviation,
                "slowest_factor": model.slowest(now.at).exp(),
                "age_ms": u64::try_from(now.at.saturating_sub(model.at()).as_millis()).unwrap_or(u64::MAX),
            })
        });
        models.collect()
    }
}
