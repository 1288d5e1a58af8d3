//! Throttling and eviction of batch tasks on a worker where a service misses its target.
//!
//! A suspect is throttled first, because that is cheap and soon shows whether it caused the
//! interference. Only a suspect that is already at the least speed is evicted. Reports lag, so that
//! there is no further action before the effect of the last one can be visible in them. A throttled
//! task is sped up again only after the services have met the goal for some time, which doubles
//! with each relapse.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::fact::TaskId;

/// Ratio of latency to target above which a service misses its target.
const TARGET_RATIO: f64 = 1.0;
/// Ratio for which speeds are chosen.
const GOAL_RATIO: f64 = 0.92;
/// Consecutive reports above the target before a task is throttled or evicted.
const REPORTS_BEFORE_ACTION: u32 = 2;
/// Consecutive reports below the goal before a task is sped up.
const REPORTS_BEFORE_RELEASE: u32 = 3;
/// Least speed of a throttled task in percent; a task that is still suspect there is evicted.
const MIN_PERCENT: u32 = 20;
/// Least increase of the speed in percent; smaller ones are not worth an action.
const MIN_STEP_PERCENT: u32 = 10;
/// Initial delay before a throttled task is sped up; doubles with each relapse.
const RELEASE_DELAY: Duration = Duration::from_secs(30);
/// Longest delay before a throttled task is sped up.
const MAX_RELEASE_DELAY: Duration = Duration::from_mins(8);
/// Time beyond the lag of the reports until the effect of an action is visible in them.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Next action on a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// No action.
    Nothing,
    /// Run the task at this speed in percent.
    Throttle(TaskId, u32),
    /// Checkpoint the task and stop it.
    Evict(TaskId),
}

/// A batch task that may cause interference on the worker.
#[derive(Clone, Copy, Debug)]
pub struct Suspect {
    /// Id of the task.
    pub task: TaskId,
    /// Upper bound of its interference with any service beside it, at full speed.
    pub interference: f64,
    /// Whether the eviction budget of its account allows to evict it.
    pub evictable: bool,
}

/// Figures of one report about a worker.
#[derive(Clone, Copy, Debug)]
pub struct Observation<'a> {
    /// Largest ratio of latency to target among the services.
    pub worst_ratio: f64,
    /// Age of the figures in the report.
    pub lag: Duration,
    /// Batch tasks beside the services.
    pub suspects: &'a [Suspect],
}

#[derive(Clone, Copy, Debug)]
/// Speed of a throttled task, when it was set, and how often the task was throttled again.
struct Throttled {
    percent: u32,
    since: Duration,
    relapses: u32,
}

/// Controller of the speeds of the batch tasks on one worker.
#[derive(Clone, Debug, Default)]
pub struct ThrottleController {
    reports_over_target: u32,
    reports_below_goal: u32,
    last_action: Option<Duration>,
    throttled: BTreeMap<TaskId, Throttled>,
}

impl ThrottleController {
    /// Returns the speed at which a task should run, in percent.
    #[must_use]
    pub fn percent(&self, task: TaskId) -> u32 {
        self.throttled
            .get(&task)
            .map_or(100, |throttled| throttled.percent)
    }

    /// Records that a task starts at this speed because of the interference expected by the model.
    pub fn start_throttled(&mut self, task: TaskId, percent: u32, now: Duration) {
        if percent < 100 {
            self.throttled.insert(
                task,
                Throttled {
                    percent,
                    since: now,
                    relapses: 0,
                },
            );
        }
    }

    /// Decides on the next action after a report.
    pub fn decide(&mut self, observation: Observation, now: Duration) -> Action {
        self.reports_over_target = if observation.worst_ratio > TARGET_RATIO {
            self.reports_over_target + 1
        } else {
            0
        };
        self.reports_below_goal = if observation.worst_ratio < GOAL_RATIO {
            self.reports_below_goal + 1
        } else {
            0
        };
        let effect_visible = self
            .last_action
            .is_none_or(|last_action| now >= last_action + observation.lag + SETTLE_TIME);
        if !effect_visible {
            return Action::Nothing;
        }
        let action = if self.reports_over_target >= REPORTS_BEFORE_ACTION {
            self.throttle_or_evict(observation, now)
        } else if self.reports_below_goal >= REPORTS_BEFORE_RELEASE {
            self.release(observation, now)
        } else {
            Action::Nothing
        };
        if action != Action::Nothing {
            self.last_action = Some(now);
            self.reports_over_target = 0;
            self.reports_below_goal = 0;
        }
        action
    }

    /// Removes a task that has left the worker.
    pub fn remove_task(&mut self, task: TaskId) {
        self.throttled.remove(&task);
    }

    /// Throttles the suspect with the most interference at its current speed. If all suspects are
    /// at the least speed, evicts the worst of those that may be evicted.
    fn throttle_or_evict(&mut self, observation: Observation, now: Duration) -> Action {
        let impact =
            |suspect: &&Suspect| suspect.interference * f64::from(self.percent(suspect.task));
        let can_slow = |suspect: &&Suspect| self.percent(suspect.task) > MIN_PERCENT;
        let by_impact = |one: &&Suspect, other: &&Suspect| impact(one).total_cmp(&impact(other));
        let suspects = || {
            observation
                .suspects
                .iter()
                .filter(|suspect| suspect.interference > 0.0)
        };
        if let Some(suspect) = suspects().filter(can_slow).max_by(by_impact) {
            let current_percent = self.percent(suspect.task);
            // At least halves the speed, so that the effect of each action is visible.
            let percent = sustainable_percent(
                observation.worst_ratio,
                suspect.interference,
                current_percent,
            )
            .min(current_percent / 2)
            .max(MIN_PERCENT);
            let relapses = self
                .throttled
                .get(&suspect.task)
                .map_or(0, |throttled| throttled.relapses + 1);
            self.throttled.insert(
                suspect.task,
                Throttled {
                    percent,
                    since: now,
                    relapses,
                },
            );
            return Action::Throttle(suspect.task, percent);
        }
        let evictable = suspects()
            .filter(|suspect| suspect.evictable)
            .max_by(by_impact);
        evictable.map_or(Action::Nothing, |suspect| Action::Evict(suspect.task))
    }

    /// Speeds up the suspect with the least interference among those whose delay has passed, as
    /// far as the services stay at the goal.
    fn release(&mut self, observation: Observation, now: Duration) -> Action {
        let mut best: Option<(f64, TaskId, u32)> = None;
        for suspect in observation.suspects {
            let Some(throttled) = self.throttled.get(&suspect.task) else {
                continue;
            };
            let delay = RELEASE_DELAY
                .saturating_mul(1 << throttled.relapses.min(8))
                .min(MAX_RELEASE_DELAY);
            let percent = sustainable_percent(
                observation.worst_ratio,
                suspect.interference,
                throttled.percent,
            );
            let eligible =
                percent >= throttled.percent + MIN_STEP_PERCENT && now >= throttled.since + delay;
            if eligible && best.is_none_or(|(lowest, _, _)| suspect.interference < lowest) {
                best = Some((suspect.interference, suspect.task, percent));
            }
        }
        let Some((_, task, percent)) = best else {
            return Action::Nothing;
        };
        if let Some(throttled) = self.throttled.get_mut(&task) {
            throttled.percent = percent;
            throttled.since = now;
        }
        Action::Throttle(task, percent)
    }
}

/// Returns the speed in percent at which a task with this interference, now at `percent`, keeps the
/// worst service at the goal.
#[must_use]
pub fn sustainable_percent(worst: f64, interference: f64, percent: u32) -> u32 {
    if interference <= 0.0 {
        return 100;
    }
    let without_task = worst - interference * f64::from(percent) / 100.0;
    let speed = ((GOAL_RATIO - without_task) / interference * 10.0).floor() * 10.0;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped"
    )]
    let speed = speed.clamp(0.0, 100.0) as u32;
    speed
}
