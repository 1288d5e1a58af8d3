//! Recent crashes of workers, indexed by time, by machine and by the steps that had just begun
//! there.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::workflow::core::advice::StepKey;
use crate::workflow::record::Task;

/// Interval within which workers that fall silent count as lost together: a simultaneous loss is
/// noticed within the duration of one call.
pub(super) const CRASH_WINDOW: Duration = Duration::from_millis(250);

/// A crash of a worker.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    pub at: Duration,
    /// The worker's machine, unless the loss of its place explains the crash.
    pub machine: Option<Arc<str>>,
    /// Tasks that were running there, until one of them is found to be the cause.
    pub tasks: BTreeSet<Task>,
    /// Steps with a run that had just begun there.
    pub begun: BTreeSet<StepKey>,
    /// Whether a task was on trial there, which explains the crash.
    pub had_trial: bool,
}

/// The remembered crashes.
#[derive(Debug, Default)]
pub(super) struct CrashRecord {
    /// Crashes by time; those of one moment stay in the order in which they were recorded.
    crashes: BTreeMap<(Duration, u64), Crash>,
    next: u64,
    machines: HashMap<Arc<str>, u32>,
    /// Times of crashes by the steps with a run that had just begun on the worker.
    begun: BTreeMap<StepKey, Vec<Duration>>,
}

impl CrashRecord {
    /// Adds a crash.
    pub fn note(&mut self, crash: Crash) {
        if let Some(machine) = &crash.machine {
            *self.machines.entry(machine.clone()).or_insert(0) += 1;
        }
        for step in &crash.begun {
            self.begun.entry(*step).or_default().push(crash.at);
        }
        self.crashes.insert((crash.at, self.next), crash);
        self.next += 1;
    }

    /// Forgets crashes from before `limit`.
    pub fn forget_before(&mut self, limit: Duration) {
        let old = self.crashes.range(..(limit, 0)).map(|(key, _)| *key);
        for key in old.collect::<Vec<_>>() {
            self.remove(key);
        }
    }

    /// Forgets the crashes that are explained by a task.
    pub fn forget_task(&mut self, task: Task) {
        let explained = self.crashes.iter();
        let explained = explained.filter(|(_, crash)| crash.tasks.contains(&task));
        for key in explained.map(|(key, _)| *key).collect::<Vec<_>>() {
            self.remove(key);
        }
    }

    fn remove(&mut self, key: (Duration, u64)) {
        let Some(crash) = self.crashes.remove(&key) else {
            return;
        };
        if let Some(machine) = &crash.machine
            && let Some(count) = self.machines.get_mut(machine)
        {
            *count -= 1;
            if *count == 0 {
                self.machines.remove(machine);
            }
        }
        for step in &crash.begun {
            let Some(times) = self.begun.get_mut(step) else {
                continue;
            };
            if let Some(place) = times.iter().position(|at| *at == crash.at) {
                times.swap_remove(place);
            }
            if times.is_empty() {
                self.begun.remove(step);
            }
        }
    }

    /// Returns the number of crashes of a machine.
    pub fn count_at(&self, machine: &str) -> u32 {
        self.machines.get(machine).copied().unwrap_or(0)
    }

    /// Returns the crashes within [`CRASH_WINDOW`] of a time.
    pub fn near(&self, at: Duration) -> impl Iterator<Item = &Crash> {
        let first = at.saturating_sub(CRASH_WINDOW);
        let near = self
            .crashes
            .range((first, 0)..=(at + CRASH_WINDOW, u64::MAX));
        near.map(|(_, crash)| crash)
    }

    /// Returns the number of crashes within [`CRASH_WINDOW`] of a time on workers where a run of a
    /// step had just begun.
    pub fn count_begun(&self, step: StepKey, at: Duration) -> usize {
        let times = self.begun.get(&step).into_iter().flatten();
        times.filter(|other| is_simultaneous(**other, at)).count()
    }
}

/// Returns whether two times are close enough for events to have a common cause.
pub(super) fn is_simultaneous(one: Duration, other: Duration) -> bool {
    one.abs_diff(other) <= CRASH_WINDOW
}
