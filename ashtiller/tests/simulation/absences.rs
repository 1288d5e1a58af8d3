//! Checks that long-running tasks run again in time after their worker is lost.
//!
//! A task may be absent for [`ABSENCE_MAX`]: the longest lease of 6 s, by the slowest clock, and
//! the time that the platform allows for the next start. A longer absence is excused only
//!
//! - if there was a fault in the last [`CALM_MIN`]: a worker was lost, the owner ended or began, the
//!   store did not answer it, or an earlier owner was not known to have ended. Leases granted until
//!   then may last for that time, and the time limits that the owner keeps begin with the fault;
//! - if a start of the task is in doubt: it got no answer, so it may still be carried out, and
//!   another run might be a second one. The doubt lasts for [`DOUBT_MAX`], which begins anew with
//!   the next owner, as that does not know when the start was sent;
//! - if no worker has room for the task twice over;
//! - if the task may still run on a young process that is cut off, which may hold a longer lease (only
//!   where places are lost).
//!
//! All of this is read from the simulation and not from the owner, so that an owner that waits
//! without need is noticed.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use ashtiller::workflow::agents::{ORDER_TIMEOUT_MIN, TaskName};

use super::Simulation;

/// Longest time for which a long-running task may run nowhere.
const ABSENCE_MAX: Duration = Duration::from_secs(9);
/// Time without faults after which a longer absence is a violation.
const CALM_MIN: Duration = Duration::from_secs(7);
/// Time after an unanswered start within which its task runs again: the start may be carried out
/// for 13 s, its worker is listed again within 3 s if it is back, and the next run starts within a
/// second.
const DOUBT_MAX: Duration = Duration::from_secs(13 + 3 + 1).saturating_add(ORDER_TIMEOUT_MIN);
/// Time between two checks. An absence is measured from the first check that finds it.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Absences that are counted as ended by a new run on another worker are longer than this.
const COUNTED_MIN: Duration = Duration::from_secs(2);

/// A start without an answer.
struct SentStart {
    owner: usize,
    run: u32,
    at: Duration,
}

/// Long-running tasks, and the starts that may still be carried out.
#[derive(Default)]
pub struct Absences {
    /// Tasks of accepted jobs, with the time since which each has been absent.
    tasks: BTreeMap<TaskName, Option<Duration>>,
    unanswered: BTreeMap<TaskName, Vec<SentStart>>,
    /// Number of absences that ended with a new run.
    pub ended: u64,
    /// Longest absence that ended.
    pub longest: Duration,
    /// Number of absences that were excused for a start in doubt.
    pub doubted: u64,
    /// Number of absences that were excused for lack of room.
    pub crowded: u64,
    /// Number of absences that were excused for a young process that is cut off.
    pub young: u64,
    /// Tasks with an absence that is excused, so that it is counted once.
    excused: BTreeSet<TaskName>,
}

impl Absences {
    /// Records that a start was sent.
    pub fn note_sent(&mut self, name: &TaskName, run: u32, owner: usize, at: Duration) {
        let starts = self.unanswered.entry(name.clone()).or_default();
        starts.push(SentStart { owner, run, at });
    }

    /// Records that a live worker has begun to run a task. A run may end before the next check.
    pub fn note_begun(&mut self, name: &TaskName, now: Duration) {
        let Some(Some(since)) = self.tasks.get_mut(name) else {
            return;
        };
        let span = now.saturating_sub(*since);
        *since = now;
        self.excused.remove(name);
        if span >= COUNTED_MIN {
            self.ended += 1;
            self.longest = self.longest.max(span);
        }
    }

    /// Records that an owner got an answer to a start, or a failure that excludes any effect.
    pub fn note_answered(&mut self, name: &TaskName, run: u32, owner: usize) {
        let Some(starts) = self.unanswered.get_mut(name) else {
            return;
        };
        let answered = |start: &SentStart| start.owner == owner && start.run == run;
        if let Some(index) = starts.iter().position(answered) {
            starts.remove(index);
        }
    }

    /// Returns whether a start of a task may still be carried out.
    fn is_in_doubt(&self, name: &TaskName, owner: usize, began: Duration, now: Duration) -> bool {
        let starts = self.unanswered.get(name).into_iter().flatten();
        let mut known_since = starts.map(|start| {
            if start.owner == owner {
                start.at
            } else {
                start.at.max(began)
            }
        });
        known_since.any(|since| now < since + DOUBT_MAX)
    }

    /// Updates all tasks by those that are active; returns the others, with the time since which
    /// each has been absent.
    fn update(&mut self, active: &BTreeSet<&TaskName>, now: Duration) -> Vec<(TaskName, Duration)> {
        let mut absent = Vec::new();
        for (name, since) in &mut self.tasks {
            if active.contains(name) {
                *since = None;
            } else {
                absent.push((name.clone(), *since.get_or_insert(now)));
            }
        }
        absent
    }
}

impl Simulation {
    /// Adds the long-running tasks of an accepted job to those that must not be absent.
    pub fn expect_long_runs(&mut self, id: &Arc<str>) {
        let steps = (0..).zip(&self.jobs[id].steps);
        for (number, step) in steps.filter(|(_, step)| step.long_running) {
            for index in 0..u16::try_from(step.count).unwrap() {
                let name = TaskName {
                    job: id.clone(),
                    occurrence: 0,
                    step: number,
                    index,
                };
                self.absences.tasks.entry(name).or_insert(Some(self.now));
            }
        }
    }

    /// Checks that no long-running task is absent for too long without an excuse.
    pub fn check_absences(&mut self) {
        if self.absences.tasks.is_empty() {
            return;
        }
        self.note_active_faults();
        let now = self.now;
        if !now.as_millis().is_multiple_of(CHECK_INTERVAL.as_millis()) {
            return;
        }
        let live = self.workers.iter();
        let live = live.filter(|(id, _)| !self.unreachable.contains(*id));
        let active = live.flat_map(|(_, worker)| worker.runs.keys());
        let active: BTreeSet<&TaskName> = active.map(|(name, _)| name).collect();
        let absent = self.absences.update(&active, now);
        for (name, since) in absent {
            if now > since + ABSENCE_MAX && self.calm_time() >= CALM_MIN {
                self.judge_absence(&name, since);
            }
        }
    }

    /// Records a violation unless the absence of a task is excused.
    fn judge_absence(&mut self, name: &TaskName, since: Duration) {
        if self.is_given_up_in_play(name) {
            self.absences.tasks.remove(name);
            return;
        }
        let began = self.owner_begins[self.newest];
        let counted = self.absences.excused.contains(name);
        let doubted = self
            .absences
            .is_in_doubt(name, self.newest, began, self.now);
        if self.may_run_on_young_process(name, since) {
            self.absences.excused.insert(name.clone());
            self.absences.young += u64::from(!counted);
            return;
        }
        if doubted || !self.has_room_twice(name) {
            self.absences.excused.insert(name.clone());
            self.absences.doubted += u64::from(doubted && !counted);
            self.absences.crowded += u64::from(!doubted && !counted);
            return;
        }
        let owners: Vec<Duration> = self.owner_begins.iter().rev().take(5).copied().collect();
        let text = format!(
            "{name:?} has run nowhere since {since:?}, until {:?}, without a fault for {:?}; newest owners since {owners:?}",
            self.now,
            self.calm_time()
        );
        self.violations.push(text);
    }

    /// Returns whether a live worker that is listed and does not drain has room for a task twice.
    fn has_room_twice(&self, name: &TaskName) -> bool {
        let needs = self.jobs[&name.job].steps[usize::from(name.step)].reserved();
        let live = self.workers.iter();
        let mut live = live.filter(|(id, _)| !self.unreachable.contains(*id));
        live.any(|(id, worker)| {
            let used = worker.used().plus(&needs).plus(&needs);
            self.worker_entries.is_open(id) && used.fits_within(&worker.capacity)
        })
    }
}
