//! Window of the open occurrences of a scheduled job.
//!
//! A schedule may have billions of occurrences that are due, all at once. Only an open one has state, and
//! only its steps are examined in placement rounds, so as few are open as keep the workers busy. They
//! open in order; the next one opens when tasks of earlier ones have started or ended. What is due and not
//! open is a number, computed from the schedule.

use crate::workflow::job::{Job, TASKS_MAX};
use crate::workflow::state::{JobState, Occurrence};

/// Tasks of a job that wait for a worker only, from which no further occurrence of it is opened. It is more
/// than are placed between two openings.
const READY_TASKS_MAX: u64 = 256;
/// Occurrences in which such tasks wait, over all jobs, beyond the first of each.
const READY_OCCURRENCES_MAX: usize = 1000;

/// Returns how many occurrences with ready tasks each of this many jobs may have.
pub(super) fn share_of(jobs: usize) -> usize {
    (READY_OCCURRENCES_MAX / jobs.max(1)).max(1)
}

/// Returns the number of tasks of one occurrence.
fn tasks_of(job: &Job) -> u64 {
    job.steps.iter().map(|step| u64::from(step.count)).sum()
}

/// Returns the tasks of an occurrence that wait for a worker only.
fn ready_tasks(job: &Job, occurrence: &Occurrence) -> u64 {
    let steps = job.steps.iter().zip(&occurrence.steps);
    let ready = steps.filter(|(step, state)| state.waiting > 0 && occurrence.may_begin(step));
    ready.map(|(_, state)| u64::from(state.waiting)).sum()
}

/// Returns whether nothing was recorded of the tasks of an occurrence.
fn is_untouched(occurrence: &Occurrence) -> bool {
    let mut tasks = occurrence.steps.iter().flat_map(|step| &step.tasks);
    tasks.all(|task| task.last == 0 && !task.done)
}

/// What is open of a job.
struct Window {
    /// Ready tasks, and the occurrences that have any.
    ready_tasks: u64,
    ready_occurrences: usize,
    /// Tasks of all open occurrences.
    tasks: u64,
}

impl Window {
    fn of(state: &JobState) -> Self {
        let mut window = Self {
            ready_tasks: 0,
            ready_occurrences: 0,
            tasks: 0,
        };
        for occurrence in state.occurrences.values() {
            window.add(&state.job, occurrence);
        }
        window
    }

    fn add(&mut self, job: &Job, occurrence: &Occurrence) {
        let ready = ready_tasks(job, occurrence);
        self.ready_tasks += ready;
        self.ready_occurrences += usize::from(ready > 0);
        self.tasks += tasks_of(job);
    }

    /// Returns whether one more occurrence of a job fits, of which `share` may have ready tasks.
    fn has_room(&self, job: &Job, share: usize) -> bool {
        let tasks = tasks_of(job);
        let is_small = self.tasks == 0 || self.tasks + tasks <= u64::from(TASKS_MAX);
        let is_short = self.ready_tasks + tasks <= READY_TASKS_MAX;
        is_small && (self.ready_occurrences == 0 || (is_short && self.ready_occurrences < share))
    }
}

impl JobState {
    /// Returns whether an occurrence is due at `wall` milliseconds since the Unix epoch that is not open.
    #[must_use]
    pub fn has_due(&self, wall: u64) -> bool {
        let next = self.next_occurrence;
        let due = |number| self.job.schedule.map_or(0, |it| it.due(number));
        next < self.job.times() && self.outcome.is_none() && due(next) <= wall
    }

    /// Returns the number of occurrences that are due at `wall` and not open.
    #[must_use]
    pub fn count_due(&self, wall: u64) -> u32 {
        let Some(schedule) = self.job.schedule.filter(|_| self.has_due(wall)) else {
            return 0;
        };
        let since = wall.saturating_sub(schedule.first);
        let due = since
            .checked_div(schedule.interval)
            .map(|last| last.saturating_add(1));
        let due = due.map_or(u32::MAX, |due| u32::try_from(due).unwrap_or(u32::MAX));
        due.min(self.job.times()) - self.next_occurrence
    }

    /// Opens the next occurrences that are due at `wall`, as far as the window has room; `share` of the
    /// open ones may have tasks that are ready to start, and `has_memory` tells for each beyond the first
    /// whether there is memory. Returns the number of new ones.
    pub(super) fn open_due_occurrences(
        &mut self,
        wall: u64,
        share: usize,
        mut has_memory: impl FnMut() -> bool,
    ) -> usize {
        let mut window = Window::of(self);
        let mut opened = 0;
        while self.has_due(wall) && window.has_room(&self.job, share) {
            if !self.occurrences.is_empty() && !has_memory() {
                break;
            }
            let number = self.next_occurrence;
            self.open_occurrence(number);
            window.add(&self.job, &self.occurrences[&number]);
            opened += 1;
        }
        opened
    }

    /// Closes the last open occurrences of which nothing was recorded, as far as they are beyond the
    /// window: earlier versions open all that are due.
    pub(super) fn close_surplus_occurrences(&mut self) {
        let mut window = Window {
            ready_tasks: 0,
            ready_occurrences: 0,
            tasks: 0,
        };
        let within = self.occurrences.iter().find(|(_, occurrence)| {
            let is_over = !window.has_room(&self.job, READY_OCCURRENCES_MAX);
            window.add(&self.job, occurrence);
            is_over
        });
        let Some((first, _)) = within else {
            return;
        };
        let first = *first;
        while let Some(last) = self.occurrences.last_entry()
            && *last.key() >= first
            && last.key() + 1 == self.next_occurrence
            && is_untouched(last.get())
        {
            self.next_occurrence = *last.key();
            last.remove();
        }
    }
}
