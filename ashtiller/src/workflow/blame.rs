//! Which task is to blame when workers crash.
//!
//! A task may crash each worker that starts it, and all that runs beside it is lost with it.
//! One crash speaks against everything that was there, most against what had only just begun.
//! So the suspects are kept apart: one that is strongly suspected starts where no other such
//! task is, nothing is started beside it while it is tried, and a crash then convicts it. To
//! live longer there than at any crash before, or to be done, clears it. A task that saw
//! [`CRASHES_MAX`] crashes gets [`STARTS_AFTER`] starts more, whatever is known.
//!
//! Nothing here has a clock, or knows of workers beyond what it is told.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::workflow::record::{Run, Task};

/// Crashes after which starts are counted: the platform's bound.
pub const CRASHES_MAX: usize = 3;
/// Crashes that must be certain before a task is blamed: the platform lets tasks be given up
/// under which two workers have crashed.
const SURE_MIN: u32 = 2;
/// Starts after that many crashes. The platform's bound is three; one crash may go unseen
/// behind a cut when the owner that knew of the run ends.
pub const STARTS_AFTER: u32 = 1;
/// Age up to which a run counts as just begun: tasks that crash their workers do so
/// within moments of their start, and a worker begins some two runs a second.
const JUST_BEGUN: Duration = Duration::from_secs(1);
/// Weight of a crash for a run that had just begun.
const HEAVY: u32 = 2;
/// Weight of a crash for others, and where it is doubtful.
pub const LIGHT: u32 = 1;
/// Weight from which a task is strongly suspected, and tried.
const STRONG: u32 = 2;
/// Time by which a run must outlive the oldest age at a crash, doubled, to be cleared.
const CLEAR_MARGIN: Duration = Duration::from_secs(1);
/// Time by which ages at two crashes of one cause may differ, besides a part of them: entries
/// of the log and answers of workers take a tenth of a second.
const ALIKE_MARGIN: Duration = Duration::from_millis(200);
/// The part of the age.
const ALIKE_SHARE: u32 = 4;

/// One run that was lost when its worker crashed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LostRun {
    /// Run.
    pub run: Run,
    /// How old it was at most, in milliseconds.
    pub age: u32,
    /// How much the crash speaks against its task.
    pub weight: u32,
    /// Whether it was going on for certain.
    pub begun: bool,
}

/// What is known against a task under which workers crashed.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Suspect {
    /// Numbers of its first runs under which workers crashed, at most [`CRASHES_MAX`], in order.
    pub crashed: Vec<u32>,
    /// Crashes in all.
    pub crashes: u32,
    /// Crashes under runs that were going on for certain.
    pub sure: u32,
    /// Greatest age of a run at a crash, in milliseconds.
    pub oldest: u32,
    /// Sum of what speaks against it.
    pub weight: u32,
}

/// What a crash that is judged looks like.
#[derive(Clone, Copy, Debug)]
pub struct CrashContext {
    /// How old the run was when its worker went; nothing if it was never seen at work.
    pub age: Duration,
    /// Whether it was going on: the worker had said that it began, else the crash may have
    /// come first, and it was not nearly done.
    pub begun: bool,
    /// Whether the cause may lie outside: many workers went at that moment, or this one only
    /// fell silent.
    pub many: bool,
    /// Whether tasks of the same step had just begun on several of these.
    pub alike: bool,
}

impl CrashContext {
    /// How much the crash speaks against a task that was there.
    #[must_use]
    pub fn weight(&self) -> u32 {
        let young = self.age <= JUST_BEGUN;
        if young && self.begun && (self.alike || !self.many) {
            HEAVY
        } else {
            LIGHT
        }
    }
}

impl Suspect {
    /// Notes a crash under a run; a crash that was noted before changes nothing.
    pub fn note(&mut self, victim: &LostRun) {
        // What is told late may have come first.
        let Err(place) = self.crashed.binary_search(&victim.run.number) else {
            return;
        };
        self.crashed.insert(place, victim.run.number);
        self.crashed.truncate(CRASHES_MAX);
        self.crashes += 1;
        self.sure += u32::from(victim.begun);
        self.oldest = self.oldest.max(victim.age);
        self.weight += victim.weight;
    }

    /// Whether it is to be tried apart from others.
    #[must_use]
    pub fn is_strong(&self) -> bool {
        self.weight >= STRONG
    }

    /// Age at which a run clears its task.
    #[must_use]
    pub fn clears_at(&self) -> Duration {
        Duration::from_millis(u64::from(self.oldest)) * 2 + CLEAR_MARGIN
    }

    /// Whether no start is left, where the newest run has this number.
    #[must_use]
    pub fn has_no_starts_left(&self, last: u32) -> bool {
        let third = self.crashed.get(CRASHES_MAX - 1);
        third.is_some_and(|third| last >= third + STARTS_AFTER)
    }

    /// Whether a crash while it was tried alone convicts it: two are certain, and it came as the
    /// earlier ones did or there were enough of them.
    #[must_use]
    fn is_convicted(&self, victim: &LostRun) -> bool {
        let oldest = Duration::from_millis(u64::from(self.oldest));
        let age = Duration::from_millis(u64::from(victim.age));
        let alike = age.abs_diff(oldest) <= oldest / ALIKE_SHARE + ALIKE_MARGIN;
        let sure = self.sure + u32::from(victim.begun) >= SURE_MIN;
        sure && (alike || self.crashes as usize + 1 >= CRASHES_MAX)
    }
}

/// The task that is to blame for a crash that has no cause outside of the tasks, if that is
/// known: the only one there that was strongly suspected before.
pub fn find_culprit<'a>(
    victims: &[LostRun],
    known: impl Fn(Task) -> Option<&'a Suspect>,
) -> Option<Task> {
    let strong = victims
        .iter()
        .filter_map(|victim| Some((victim, known(victim.run.task).filter(|it| it.is_strong())?)));
    let strong: Vec<(&LostRun, &Suspect)> = strong.collect();
    let [(victim, suspect)] = strong[..] else {
        return None;
    };
    suspect.is_convicted(victim).then_some(victim.run.task)
}
