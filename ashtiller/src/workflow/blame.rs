//! Attribution of worker crashes to tasks.
//!
//! A task may crash each worker that starts it, and everything that runs beside it is lost with it.
//! One crash is evidence against every task on the worker, mostly against those that had only just
//! begun. So suspects are separated: a strongly suspected task starts where no other such task is,
//! nothing is started beside it during that isolated run, and a crash then convicts it. A run that
//! outlives the age of all earlier crashes, or finishes, clears its task.
//!
//! Whatever the evidence, starts are limited. A task that saw [`CRASHES_MAX`] crashes, of which two
//! are certain, gets [`STARTS_AFTER`] more starts. Otherwise its runs may have ended, or never have
//! begun, on workers that crashed for other reasons. Then the next crash under a run that was there
//! until its worker was lost ends its starts, and any crash does from [`UNCERTAIN_CRASHES_MAX`] on.
//!
//! This module has no clock and knows about workers only what callers pass in.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::workflow::record::{Run, Task};

/// Number of crashes after which further starts are limited; given by the platform.
pub const CRASHES_MAX: usize = 3;
/// Crashes under runs certainly active that are needed to convict a task: the platform lets tasks
/// be given up once two workers have crashed under them.
const CERTAIN_CRASHES_MIN: u32 = 2;
/// Starts allowed after [`CRASHES_MAX`] crashes. The platform's limit is three; one crash may go
/// unseen behind a network partition when the owner that knew of the run ends.
pub const STARTS_AFTER: u32 = 1;
/// Number of crashes after which a task is not started again although fewer than
/// [`CERTAIN_CRASHES_MIN`] of them are certain. The platform's limit leaves one more start, for a
/// crash that goes unseen.
pub const UNCERTAIN_CRASHES_MAX: usize = CRASHES_MAX + 2;
/// Age up to which a run counts as just begun. Tasks that crash their workers do so within moments
/// of their start, and a worker begins about two runs a second.
const JUST_BEGUN: Duration = Duration::from_secs(1);
/// Weight of a crash for a run that had just begun.
const HEAVY_WEIGHT: u32 = 2;
/// Weight of a crash for other runs, and in doubtful cases.
const LIGHT: u32 = 1;
/// Weight of a loss that nothing shows to be a crash, or for which a cause outside of the tasks is
/// likely.
pub const NO_WEIGHT: u32 = 0;
/// Weight from which a task is strongly suspected and runs isolated.
const STRONG_WEIGHT: u32 = 2;
/// Margin by which a run must exceed twice the oldest age at a crash to clear its task.
const CLEAR_MARGIN: Duration = Duration::from_secs(1);
/// Tolerance for the ages at two crashes of the same cause, in addition to a part of the age: log
/// entries and answers of workers take a tenth of a second.
const ALIKE_MARGIN: Duration = Duration::from_millis(200);
/// Divisor of the age that gives the relative part of the tolerance.
const ALIKE_DIVISOR: u32 = 4;

/// A run that was lost when its worker crashed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LostRun {
    /// Run that was lost.
    pub run: Run,
    /// Upper bound of its age in milliseconds.
    pub age: u32,
    /// Weight of the crash as evidence against the task.
    pub weight: u32,
    /// Whether the run was certainly active.
    pub begun: bool,
}

/// Evidence against a task that ran on crashed workers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Suspect {
    /// Numbers of the first runs lost to crashes, in ascending order: at most [`CRASHES_MAX`], or
    /// [`UNCERTAIN_CRASHES_MAX`] while too few crashes are certain.
    pub crashed: Vec<u32>,
    /// Number of crashes.
    pub crashes: u32,
    /// Number of crashes under runs that were certainly active.
    pub sure: u32,
    /// Highest age of a run at a crash, in milliseconds.
    pub oldest: u32,
    /// Sum of the weights of the crashes.
    pub weight: u32,
}

/// How a worker was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Loss {
    /// It crashed, and few others did at the same time.
    Alone,
    /// It only stopped answering or was about to leave, so that it may have been lost at another time.
    Unseen,
    /// Many workers were lost at the same time, so that the cause is likely external.
    WithMany,
}

/// Circumstances of a crash for one of the runs on the worker.
#[derive(Clone, Copy, Debug)]
pub struct CrashContext {
    /// Age of the run when the worker was lost; zero if the run was never seen active.
    pub age: Duration,
    /// Whether the run was active: the worker had confirmed its start, else the crash may have come
    /// first; and it was not nearly done.
    pub begun: bool,
    /// How the worker was lost.
    pub loss: Loss,
    /// Whether tasks of the same step had just begun on several of the lost workers.
    pub alike: bool,
}

impl CrashContext {
    /// Reports whether the run was active and had just begun.
    #[must_use]
    pub fn has_just_begun(&self) -> bool {
        self.age <= JUST_BEGUN && self.begun
    }

    /// Reports whether the loss says little about the task: many workers were lost at the same time,
    /// and the run had not just begun.
    #[must_use]
    pub fn is_likely_unrelated(&self) -> bool {
        self.loss == Loss::WithMany && !self.alike && !self.has_just_begun()
    }

    /// Returns the weight of the crash as evidence against the task.
    #[must_use]
    pub fn weight(&self) -> u32 {
        match () {
            () if self.is_likely_unrelated() => NO_WEIGHT,
            () if self.has_just_begun() && (self.alike || self.loss == Loss::Alone) => HEAVY_WEIGHT,
            () => LIGHT,
        }
    }
}

impl LostRun {
    /// Returns what the loss still tells once it has a likely cause outside of the task. The age of a
    /// run that has just begun is no coincidence each time.
    #[must_use]
    pub fn discounted(&self) -> Self {
        let just_begun = self.begun && self.is_young();
        Self {
            weight: if just_begun {
                self.weight.min(LIGHT)
            } else {
                NO_WEIGHT
            },
            begun: just_begun,
            ..*self
        }
    }

    /// Reports whether the run was so young that it may have just begun.
    #[must_use]
    pub fn is_young(&self) -> bool {
        Duration::from_millis(u64::from(self.age)) <= JUST_BEGUN
    }
}

impl Suspect {
    /// Adds a crash under a run; returns false if it was added before, which changes nothing.
    pub fn note(&mut self, lost: &LostRun) -> bool {
        // Crashes may be reported out of order.
        let Err(place) = self.crashed.binary_search(&lost.run.number) else {
            return false;
        };
        self.crashes += 1;
        self.sure += u32::from(lost.begun);
        self.crashed.insert(place, lost.run.number);
        self.crashed.truncate(self.crashes_max());
        self.oldest = self.oldest.max(lost.age);
        self.weight += lost.weight;
        true
    }

    /// Takes back what a crash under a run tells against the task beyond [`LostRun::discounted`]. The
    /// crash still counts toward the limit of starts.
    pub fn discount(&mut self, lost: &LostRun) {
        if self.crashed.contains(&lost.run.number) {
            let left = lost.discounted();
            self.sure = self
                .sure
                .saturating_sub(u32::from(lost.begun != left.begun));
            self.weight = self.weight.saturating_sub(lost.weight - left.weight);
        }
    }

    /// Takes back a crash under a run that was none.
    pub fn withdraw(&mut self, lost: &LostRun) {
        let Ok(place) = self.crashed.binary_search(&lost.run.number) else {
            return;
        };
        self.crashed.remove(place);
        self.crashes = self.crashes.saturating_sub(1);
        self.sure = self.sure.saturating_sub(u32::from(lost.begun));
        self.weight = self.weight.saturating_sub(lost.weight);
    }

    fn is_certain(&self) -> bool {
        self.sure >= CERTAIN_CRASHES_MIN
    }

    /// Returns the number of crashes after which further starts are limited.
    fn crashes_max(&self) -> usize {
        if self.is_certain() {
            CRASHES_MAX
        } else {
            UNCERTAIN_CRASHES_MAX
        }
    }

    /// Reports whether the task has to run isolated.
    #[must_use]
    pub fn is_strong(&self) -> bool {
        self.weight >= STRONG_WEIGHT
    }

    /// Returns the age at which a run clears its task.
    #[must_use]
    pub fn clears_at(&self) -> Duration {
        Duration::from_millis(u64::from(self.oldest)) * 2 + CLEAR_MARGIN
    }

    /// Reports whether the loss of a run that was there until its worker was lost leaves no start:
    /// [`CRASHES_MAX`] other crashes were seen, too few of them certain.
    #[must_use]
    pub fn ends_with(&self, lost: &LostRun) -> bool {
        let seen = self.crashed.contains(&lost.run.number);
        !seen && !self.is_certain() && self.crashes as usize >= CRASHES_MAX
    }

    /// Reports whether no start is left, given the number of the newest run.
    #[must_use]
    pub fn has_no_starts_left(&self, last: u32) -> bool {
        if !self.is_certain() {
            return self.crashes as usize >= UNCERTAIN_CRASHES_MAX;
        }
        let third = self.crashed.get(CRASHES_MAX - 1);
        third.is_some_and(|third| last >= third + STARTS_AFTER)
    }

    /// Reports whether a run that was lost at this age, in milliseconds, was about as old as the oldest
    /// one that was lost before.
    #[must_use]
    pub fn is_like_earlier(&self, age: u32) -> bool {
        let oldest = Duration::from_millis(u64::from(self.oldest));
        let age = Duration::from_millis(u64::from(age));
        age.abs_diff(oldest) <= oldest / ALIKE_DIVISOR + ALIKE_MARGIN
    }

    /// Reports whether a crash during an isolated run convicts the task. Two crashes must be
    /// certain; and either this one came at a similar age as the earlier ones, or there were at
    /// least [`CRASHES_MAX`] in all.
    #[must_use]
    fn is_convicted(&self, lost: &LostRun) -> bool {
        let alike = self.is_like_earlier(lost.age);
        let sure = self.sure + u32::from(lost.begun) >= CERTAIN_CRASHES_MIN;
        sure && (alike || self.crashes as usize + 1 >= CRASHES_MAX)
    }
}

/// Returns the task to blame for a crash without an external cause: the only one on the worker that
/// was strongly suspected before. `known` returns the evidence against a task.
pub fn find_culprit<'a>(
    lost_runs: &[LostRun],
    known: impl Fn(Task) -> Option<&'a Suspect>,
) -> Option<Task> {
    let strong = lost_runs
        .iter()
        .filter_map(|lost| Some((lost, known(lost.run.task).filter(|it| it.is_strong())?)));
    let strong: Vec<(&LostRun, &Suspect)> = strong.collect();
    let [(lost, suspect)] = strong[..] else {
        return None;
    };
    suspect.is_convicted(lost).then_some(lost.run.task)
}
