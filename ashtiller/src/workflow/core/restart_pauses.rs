//! Pauses between the restarts of long-running tasks that end `done` soon after each start.
//!
//! Such a program has nothing to do, and starting it again and again without a pause would take the
//! placement rounds and log entries of the owner. One that fails starts elsewhere at once, as the
//! worker may be at fault.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::workflow::core::{Core, Now};
use crate::workflow::live_run::LiveRun;
use crate::workflow::record::{End, Run, Task};

/// Age below which a run that ends has ended early.
const EARLY_END_AGE: Duration = Duration::from_secs(2);
/// Early ends in a row after which the next start is delayed.
const EARLY_ENDS_MIN: u32 = 3;
/// First pause. It doubles with each further early end.
const PAUSE_MIN: Duration = Duration::from_millis(250);
/// Longest pause. A task may be without a run for a few seconds only.
const PAUSE_MAX: Duration = Duration::from_secs(2);

/// Early ends of one task.
#[derive(Clone, Copy, Debug, Default)]
struct EarlyEnds {
    /// Early ends in a row.
    count: u32,
    /// End of the pause, if one is under way.
    paused_until: Option<Duration>,
}

/// Long-running tasks whose last runs ended early.
#[derive(Debug, Default)]
pub(super) struct RestartPauses(BTreeMap<Task, EarlyEnds>);

impl RestartPauses {
    /// Returns whether a task is not to be started yet.
    pub fn is_paused(&self, task: Task) -> bool {
        let ends = self.0.get(&task);
        ends.is_some_and(|it| it.paused_until.is_some())
    }

    /// Drops the tasks of a job.
    pub fn forget_job(&mut self, number: u32) {
        self.0.retain(|task, _| task.job != number);
    }

    /// Ends the pauses that are over; returns true if there were any.
    fn end_due(&mut self, now: Duration) -> bool {
        let mut ended = false;
        for ends in self.0.values_mut() {
            if ends.paused_until.is_some_and(|until| now >= until) {
                ends.paused_until = None;
                ended = true;
            }
        }
        ended
    }

    /// Counts an early end; returns the pause before the next start, if any.
    fn note_early_end(&mut self, task: Task, now: Duration) -> Option<Duration> {
        let ends = self.0.entry(task).or_default();
        ends.count = ends.count.saturating_add(1);
        let doublings = ends.count.checked_sub(EARLY_ENDS_MIN)?;
        let factor = 2_u32.checked_pow(doublings).unwrap_or(u32::MAX);
        let pause = PAUSE_MIN.saturating_mul(factor).min(PAUSE_MAX);
        ends.paused_until = Some(now + pause);
        Some(pause)
    }
}

impl Core {
    /// Delays the next start of a long-running task whose runs keep ending early. `reported` is the
    /// end as the worker reported it.
    pub(super) fn pace_restart(&mut self, run: Run, reported: End, live: &LiveRun, now: Now) {
        if reported != End::Done || !self.log_state.is_long_running(run.task) {
            return;
        }
        let age = now.at.saturating_sub(live.placed);
        if age >= EARLY_END_AGE {
            self.restart_pauses.0.remove(&run.task);
        } else if let Some(pause) = self.restart_pauses.note_early_end(run.task, now.at) {
            tracing::info!(task = %run.task, run = run.number, worker = %live.worker,
                age_ms = age.as_millis(), pause_ms = pause.as_millis(),
                "long-running task ends soon after each start; the next one waits");
        }
    }

    /// Lets the tasks start whose pause is over.
    pub(super) fn end_restart_pauses(&mut self, now: Now) {
        self.needs_planning |= self.restart_pauses.end_due(now.at);
    }
}
