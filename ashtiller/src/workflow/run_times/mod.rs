//! Run times learned from runs that are done, by queue and kind of step.
//!
//! It has no clock, socket or random draw. Without observations, all times follow the client's
//! estimate.

pub mod model;
pub mod recorded;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::workflow::job::Step;
use crate::workflow::load::account::WorkClass;
use crate::workflow::run_times::model::{Distribution, Model};

/// Largest number of models; the one without observations for longest is replaced. A service has a
/// handful of queues with a few kinds of steps each.
pub const MODELS_MAX: usize = 64;
/// Weight of observations, in steps, from which a run may be called a straggler.
const STRAGGLER_WEIGHT_MIN: f64 = 8.0;
/// Share of the usual runs that end in the time with which a straggler is compared.
const USUAL_SHARE: f64 = 0.95;
/// Factor on that time above which the time left to a run makes it a straggler: a new run then ends
/// in half the time.
const STRAGGLER_FACTOR: f64 = 2.0;
/// Share of the expected run time before which a run is not called a straggler, as reports lag.
const STRAGGLER_AGE_SHARE: f64 = 0.5;
/// Progress in percent from which the speed of a run is known well enough to predict its end.
const SPEED_PERCENT_MIN: u32 = 5;
/// Share of the run time without progress after which a run counts as stalled. The fixed limit is
/// the same share of the longest usual task.
const STALL_SHARE: f64 = 0.2;
/// Least estimate in seconds that is told apart from others.
const ESTIMATE_MIN: f64 = 1e-3;

/// Kind of a step, in coarse classes of its width and size.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct StepShape {
    /// Class of work: 0 long-running, 1 short, 2 best-effort.
    pub class: u8,
    /// Number of tasks, as the exponent of the next power of four.
    pub width: u8,
    /// Processors of a task, as the exponent of the next power of four.
    pub processors: u8,
}

impl StepShape {
    /// Returns the shape of a step.
    #[must_use]
    pub fn of(step: &Step) -> Self {
        Self {
            class: match WorkClass::of(step) {
                WorkClass::LongRunning => 0,
                WorkClass::Short => 1,
                WorkClass::BestEffort => 2,
            },
            width: exponent_of_four(step.count.into()),
            processors: exponent_of_four(step.needs.processors.div_ceil(1000)),
        }
    }
}

/// Returns the least exponent with which a power of four is at least `value`.
fn exponent_of_four(value: u64) -> u8 {
    let bits = u64::BITS - value.saturating_sub(1).leading_zeros();
    u8::try_from(bits.div_ceil(2)).unwrap_or(u8::MAX)
}

/// Key of a model.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ModelKey {
    /// Queue of the job.
    pub queue: Arc<str>,
    /// Kind of the step.
    pub shape: StepShape,
}

impl ModelKey {
    /// Returns the key of a step.
    #[must_use]
    pub fn of(queue: &Arc<str>, step: &Step) -> Self {
        Self {
            queue: queue.clone(),
            shape: StepShape::of(step),
        }
    }
}

/// Run times of the tasks of one step that are done.
#[derive(Clone, Copy, Debug, Default)]
pub struct StepRuns {
    count: u32,
    slowest: Duration,
    /// Sum of the logarithms of the run times.
    logarithms: f64,
}

impl StepRuns {
    /// Adds the run time of a task.
    pub fn add(&mut self, run_time: Duration) {
        self.count += 1;
        self.slowest = self.slowest.max(run_time);
        self.logarithms += logarithm(run_time);
    }

    /// Returns the number of tasks.
    #[must_use]
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Returns the logarithm of the slowest run time divided by the geometric mean of the others.
    fn offset(&self) -> f64 {
        if self.count < 2 {
            return 0.0;
        }
        let slowest = logarithm(self.slowest);
        slowest - (self.logarithms - slowest) / f64::from(self.count - 1)
    }
}

#[derive(Clone, Debug)]
struct Entry {
    model: Model,
    /// Whether the model has changed since its last record.
    changed: bool,
    /// Time of the last record of the model.
    last_recorded: Duration,
}

/// Learned run times.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    models: BTreeMap<ModelKey, Entry>,
}

impl RunTimes {
    /// Returns the model of a step, if there is one.
    #[must_use]
    pub fn model(&self, queue: &Arc<str>, step: &Step) -> Option<&Model> {
        if step.long_running {
            return None;
        }
        let entry = self.models.get(&ModelKey::of(queue, step))?;
        Some(&entry.model)
    }

    /// Returns all models.
    pub fn models(&self) -> impl Iterator<Item = (&ModelKey, &Model)> {
        self.models.iter().map(|(key, entry)| (key, &entry.model))
    }

    fn distribution(&self, queue: &Arc<str>, step: &Step, now: Duration) -> Option<Distribution> {
        let model = self.model(queue, step)?;
        Some(model.distribution(logarithm(step.estimate), now))
    }

    /// Returns the expected run time of a task: the median of usual runs.
    #[must_use]
    pub fn expected(&self, queue: &Arc<str>, step: &Step, now: Duration) -> Duration {
        let distribution = self.distribution(queue, step, now);
        distribution.map_or(step.estimate, |it| seconds(it.expected()))
    }

    /// Returns the expected run time of the slowest task of a step.
    #[must_use]
    pub fn slowest(&self, queue: &Arc<str>, step: &Step, now: Duration) -> Duration {
        self.step_times(queue, step, now).1
    }

    /// Returns the expected run time of a task, and that of the slowest task of the step.
    #[must_use]
    pub fn step_times(&self, queue: &Arc<str>, step: &Step, now: Duration) -> (Duration, Duration) {
        let Some(model) = self.model(queue, step) else {
            return (step.estimate, step.estimate);
        };
        let expected = model.distribution(logarithm(step.estimate), now).expected();
        let slowest = expected * model.slowest(now).exp();
        (seconds(expected), seconds(slowest))
    }

    /// Returns a quantile of the run time of a task; without observations, the estimate.
    #[must_use]
    pub fn quantile(&self, queue: &Arc<str>, step: &Step, share: f64, now: Duration) -> Duration {
        let distribution = self.distribution(queue, step, now);
        distribution.map_or(step.estimate, |it| seconds(it.quantile(share)))
    }

    /// Returns the expected time left to a run of this age, from its speed if that is known.
    #[must_use]
    pub fn remaining(
        &self,
        queue: &Arc<str>,
        step: &Step,
        age: Duration,
        percent: u32,
        now: Duration,
    ) -> Duration {
        if percent >= SPEED_PERCENT_MIN {
            return age * (100 - percent.min(100)) / percent;
        }
        let distribution = self.distribution(queue, step, now);
        distribution.map_or(step.estimate.saturating_sub(age), |it| {
            seconds(it.remaining(age.as_secs_f64()))
        })
    }

    /// Returns whether a run of this age is expected to take so long that a new run would end much
    /// sooner. Few observations never make a run a straggler.
    #[must_use]
    pub fn is_straggler(
        &self,
        queue: &Arc<str>,
        step: &Step,
        age: Duration,
        percent: u32,
        now: Duration,
    ) -> bool {
        let Some(usual) = self.trusted_distribution(queue, step, now) else {
            return false;
        };
        let age = age.as_secs_f64();
        // Reports round the progress down.
        let progress = f64::from(percent.min(99) + 1) / 100.0;
        let remaining = age * (1.0 - progress) / progress;
        age >= usual.expected() * STRAGGLER_AGE_SHARE
            && remaining > usual.usual_quantile(USUAL_SHARE) * STRAGGLER_FACTOR
    }

    /// Returns the time without progress after which a run counts as stalled, if enough is known.
    #[must_use]
    pub fn stall_timeout(&self, queue: &Arc<str>, step: &Step, now: Duration) -> Option<Duration> {
        let usual = self.trusted_distribution(queue, step, now)?;
        Some(seconds(usual.usual_quantile(USUAL_SHARE) * STALL_SHARE))
    }

    fn trusted_distribution(
        &self,
        queue: &Arc<str>,
        step: &Step,
        now: Duration,
    ) -> Option<Distribution> {
        let model = self.model(queue, step)?;
        let known = model.weight(now) >= STRAGGLER_WEIGHT_MIN;
        known.then(|| model.distribution(logarithm(step.estimate), now))
    }

    /// Learns the run time of one task that is done.
    pub fn observe(&mut self, queue: &Arc<str>, step: &Step, run_time: Duration, now: Duration) {
        let weight = 1.0 / f64::from(step.count.max(1));
        let model = self.model_mut(queue, step, now);
        model.observe(logarithm(step.estimate), logarithm(run_time), weight, now);
    }

    /// Learns from a step whose tasks are all done how much longer the slowest one took.
    pub fn observe_step(&mut self, queue: &Arc<str>, step: &Step, runs: &StepRuns, now: Duration) {
        let model = self.model_mut(queue, step, now);
        model.observe_step(runs.offset(), now);
    }

    /// Returns the model of a step to be changed, in place of the oldest one if there are too many.
    fn model_mut(&mut self, queue: &Arc<str>, step: &Step, now: Duration) -> &mut Model {
        let key = ModelKey::of(queue, step);
        if !self.models.contains_key(&key) && self.models.len() >= MODELS_MAX {
            let oldest = self.models.iter().min_by_key(|(_, entry)| entry.model.at());
            if let Some(oldest) = oldest.map(|(key, _)| key.clone()) {
                self.models.remove(&oldest);
            }
        }
        let entry = self.models.entry(key).or_insert_with(|| Entry {
            model: Model::new(model::Sums::default(), now),
            changed: false,
            last_recorded: Duration::ZERO,
        });
        entry.changed = true;
        &mut entry.model
    }
}

/// Returns the logarithm of a time in seconds.
fn logarithm(time: Duration) -> f64 {
    time.as_secs_f64().max(ESTIMATE_MIN).ln()
}

fn seconds(time: f64) -> Duration {
    Duration::try_from_secs_f64(time).unwrap_or(Duration::MAX)
}
