//! What is done when a service on a worker is over its target.
//!
//! The suspect is slowed first, because that is cheap and shows soon who it was;
//! only one that is slowed already and still suspect is evicted. Reports lag, so
//! nothing is done again before the last step can be seen in them. Relief must
//! last before a task is let back, and longer each time.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::fact::TaskId;

/// Ratio of latency to target above which a service is over.
const OVER: f64 = 1.0;
/// Ratio that speeds are chosen for.
const AIM: f64 = 0.92;
/// Reports in a row above the target before something is done.
const OVER_ROW: u32 = 2;
/// Reports in a row below the aim before something is undone.
const EASE_ROW: u32 = 3;
/// Least speed of a slowed task in percent; one that is still suspect is evicted.
const SLOWEST: u32 = 20;
/// A change of speed below this is not worth a step.
const STEP: u32 = 10;
/// First time before a slowed task is sped up; doubles with each relapse.
const PATIENCE: Duration = Duration::from_secs(30);
/// Longest such time.
const PATIENCE_MAX: Duration = Duration::from_mins(8);
/// Time beyond the reports' lag that a step takes to show.
const SETTLE: Duration = Duration::from_secs(4);

/// What to do next on a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Nothing.
    Nothing,
    /// Run a task at this speed in percent.
    Throttle(TaskId, u32),
    /// Checkpoint a task and stop it.
    Evict(TaskId),
}

/// A batch task on the worker, as a suspect.
#[derive(Clone, Copy, Debug)]
pub struct Suspect {
    /// Task.
    pub task: TaskId,
    /// Harm to the services beside it that is to be feared at full speed.
    pub interference: f64,
    /// Whether its account may lose it to an eviction.
    pub evictable: bool,
}

/// A report about a worker.
#[derive(Clone, Copy, Debug)]
pub struct Observation<'a> {
    /// Largest ratio of latency to target among the services.
    pub worst_ratio: f64,
    /// Age of the figures.
    pub lag: Duration,
    /// Batch tasks beside them.
    pub suspects: &'a [Suspect],
}

#[derive(Clone, Copy, Debug)]
struct Slowed {
    percent: u32,
    since: Duration,
    relapses: u32,
}

/// What is going on at one worker.
#[derive(Clone, Debug, Default)]
pub struct ThrottleController {
    reports_over_target: u32,
    reports_below_goal: u32,
    acted: Option<Duration>,
    slowed: BTreeMap<TaskId, Slowed>,
}

impl ThrottleController {
    /// Speed at which a task should run, in percent.
    #[must_use]
    pub fn percent(&self, task: TaskId) -> u32 {
        self.slowed.get(&task).map_or(100, |slowed| slowed.percent)
    }

    /// A task begins at this speed, because of harm learned before.
    pub fn start_throttled(&mut self, task: TaskId, percent: u32, now: Duration) {
        if percent < 100 {
            self.slowed.insert(
                task,
                Slowed {
                    percent,
                    since: now,
                    relapses: 0,
                },
            );
        }
    }

    /// Decides after a report.
    pub fn decide(&mut self, sight: Observation, now: Duration) -> Action {
        self.reports_over_target = if sight.worst_ratio > OVER {
            self.reports_over_target + 1
        } else {
            0
        };
        self.reports_below_goal = if sight.worst_ratio < AIM {
            self.reports_below_goal + 1
        } else {
            0
        };
        let shown = self
            .acted
            .is_none_or(|acted| now >= acted + sight.lag + SETTLE);
        if !shown {
            return Action::Nothing;
        }
        let act = if self.reports_over_target >= OVER_ROW {
            self.restrain(sight, now)
        } else if self.reports_below_goal >= EASE_ROW {
            self.let_back(sight, now)
        } else {
            Action::Nothing
        };
        if act != Action::Nothing {
            self.acted = Some(now);
            self.reports_over_target = 0;
            self.reports_below_goal = 0;
        }
        act
    }

    /// A task has left the worker.
    pub fn remove_task(&mut self, task: TaskId) {
        self.slowed.remove(&task);
    }

    /// Slows the suspect that does most harm at its speed; evicts it when it is at
    /// the least speed.
    fn restrain(&mut self, sight: Observation, now: Duration) -> Action {
        let doing =
            |suspect: &&Suspect| suspect.interference * f64::from(self.percent(suspect.task));
        let fast = |suspect: &&Suspect| self.percent(suspect.task) > SLOWEST;
        let most = |one: &&Suspect, other: &&Suspect| doing(one).total_cmp(&doing(other));
        let suspects = || {
            sight
                .suspects
                .iter()
                .filter(|suspect| suspect.interference > 0.0)
        };
        if let Some(suspect) = suspects().filter(fast).max_by(most) {
            let now_at = self.percent(suspect.task);
            // At most half, so that each step shows.
            let percent = sustainable_percent(sight.worst_ratio, suspect.interference, now_at)
                .min(now_at / 2)
                .max(SLOWEST);
            let relapses = self
                .slowed
                .get(&suspect.task)
                .map_or(0, |slowed| slowed.relapses + 1);
            self.slowed.insert(
                suspect.task,
                Slowed {
                    percent,
                    since: now,
                    relapses,
                },
            );
            return Action::Throttle(suspect.task, percent);
        }
        let evictable = suspects().filter(|suspect| suspect.evictable).max_by(most);
        evictable.map_or(Action::Nothing, |suspect| Action::Evict(suspect.task))
    }

    /// Speeds up the least feared of those that have waited long enough, as far as
    /// the services can bear.
    fn let_back(&mut self, sight: Observation, now: Duration) -> Action {
        let mut best: Option<(f64, TaskId, u32)> = None;
        for suspect in sight.suspects {
            let Some(slowed) = self.slowed.get(&suspect.task) else {
                continue;
            };
            let patience = PATIENCE
                .saturating_mul(1 << slowed.relapses.min(8))
                .min(PATIENCE_MAX);
            let percent =
                sustainable_percent(sight.worst_ratio, suspect.interference, slowed.percent);
            let worth = percent >= slowed.percent + STEP && now >= slowed.since + patience;
            if worth && best.is_none_or(|(least, _, _)| suspect.interference < least) {
                best = Some((suspect.interference, suspect.task, percent));
            }
        }
        let Some((_, task, percent)) = best else {
            return Action::Nothing;
        };
        if let Some(slowed) = self.slowed.get_mut(&task) {
            slowed.percent = percent;
            slowed.since = now;
        }
        Action::Throttle(task, percent)
    }
}

/// Speed in percent at which a task of this harm, now at `percent`, keeps the worst
/// service at the aim.
#[must_use]
pub fn sustainable_percent(worst: f64, harm: f64, percent: u32) -> u32 {
    if harm <= 0.0 {
        return 100;
    }
    let without = worst - harm * f64::from(percent) / 100.0;
    let speed = ((AIM - without) / harm * 10.0).floor() * 10.0;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped"
    )]
    let speed = speed.clamp(0.0, 100.0) as u32;
    speed
}
