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
/// Ratio below which it is at ease.
const EASE: f64 = 0.85;
/// Reports in a row above the target before something is done.
const OVER_ROW: u32 = 2;
/// Reports in a row at ease before something is undone.
const EASE_ROW: u32 = 5;
/// Speed of a slowed task in percent.
const SLOWED: u32 = 20;
/// Speeds of a task that is let back, in percent.
const LET_BACK: [u32; 2] = [50, 100];
/// First time before a slowed task may be let back; doubles with each relapse.
const PATIENCE: Duration = Duration::from_mins(1);
/// Longest such time.
const PATIENCE_MAX: Duration = Duration::from_mins(16);
/// Time beyond the reports' lag that a step takes to show.
const SETTLE: Duration = Duration::from_secs(4);

/// What to do next on a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Act {
    /// Nothing.
    Rest,
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
    pub harm: f64,
    /// Whether its account may lose it to an eviction.
    pub evictable: bool,
}

/// A report about a worker.
#[derive(Clone, Copy, Debug)]
pub struct Sight<'a> {
    /// Largest ratio of latency to target among the services.
    pub worst: f64,
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
pub struct Guard {
    over: u32,
    ease: u32,
    acted: Option<Duration>,
    slowed: BTreeMap<TaskId, Slowed>,
}

impl Guard {
    /// Speed at which a task should run, in percent.
    #[must_use]
    pub fn percent(&self, task: TaskId) -> u32 {
        self.slowed.get(&task).map_or(100, |slowed| slowed.percent)
    }

    /// Decides after a report.
    pub fn look(&mut self, sight: Sight, now: Duration) -> Act {
        self.slowed
            .retain(|task, _| sight.suspects.iter().any(|suspect| suspect.task == *task));
        self.over = if sight.worst > OVER { self.over + 1 } else { 0 };
        self.ease = if sight.worst < EASE { self.ease + 1 } else { 0 };
        let shown = self
            .acted
            .is_none_or(|acted| now >= acted + sight.lag + SETTLE);
        if !shown {
            return Act::Rest;
        }
        let act = if self.over >= OVER_ROW {
            self.restrain(sight.suspects, now)
        } else if self.ease >= EASE_ROW {
            self.let_back(sight, now)
        } else {
            Act::Rest
        };
        if act != Act::Rest {
            self.acted = Some(now);
            self.over = 0;
            self.ease = 0;
        }
        act
    }

    /// Slows the first suspect that runs at speed, or evicts the first that is
    /// slowed when none does.
    fn restrain(&mut self, suspects: &[Suspect], now: Duration) -> Act {
        let first = |slowed: bool| {
            let found = suspects.iter().filter(|suspect| {
                let is_slowed = self.percent(suspect.task) <= SLOWED;
                suspect.harm > 0.0 && is_slowed == slowed && (!slowed || suspect.evictable)
            });
            found
                .max_by(|one, other| one.harm.total_cmp(&other.harm))
                .copied()
        };
        if let Some(suspect) = first(false) {
            let relapses = self
                .slowed
                .get(&suspect.task)
                .map_or(0, |slowed| slowed.relapses + 1);
            let slowed = Slowed {
                percent: SLOWED,
                since: now,
                relapses,
            };
            self.slowed.insert(suspect.task, slowed);
            return Act::Throttle(suspect.task, SLOWED);
        }
        first(true).map_or(Act::Rest, |suspect| Act::Evict(suspect.task))
    }

    /// Lets back the least feared of those that have waited long enough and whose
    /// return the services can bear.
    fn let_back(&mut self, sight: Sight, now: Duration) -> Act {
        let fits = |task: &TaskId, slowed: &Slowed| {
            let patience = PATIENCE
                .saturating_mul(1 << slowed.relapses.min(8))
                .min(PATIENCE_MAX);
            let harm = sight
                .suspects
                .iter()
                .find(|suspect| suspect.task == *task)?
                .harm;
            let next = next_percent(slowed.percent)?;
            let more = harm * f64::from(next - slowed.percent) / 100.0;
            let waited = now >= slowed.since + patience;
            (waited && sight.worst + more < OVER).then_some((harm, next))
        };
        let best = self
            .slowed
            .iter()
            .filter_map(|(task, slowed)| fits(task, slowed).map(|(harm, next)| (*task, harm, next)))
            .min_by(|one, other| one.1.total_cmp(&other.1));
        let Some((task, _, next)) = best else {
            return Act::Rest;
        };
        if let Some(slowed) = self.slowed.get_mut(&task) {
            slowed.percent = next;
            slowed.since = now;
        }
        Act::Throttle(task, next)
    }
}

fn next_percent(percent: u32) -> Option<u32> {
    LET_BACK.into_iter().find(|next| *next > percent)
}
