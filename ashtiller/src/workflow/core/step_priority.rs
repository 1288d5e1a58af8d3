//! In which order waiting steps get workers.

use std::time::Duration;

use crate::workflow::core::advice::StepKey;
use crate::workflow::core::{Core, Now};
use crate::workflow::job::Step;
use crate::workflow::record::Task;
use crate::workflow::state::{JobState, Occurrence};

/// Objective within which a job that is late still earns something, as a factor.
const LATE: u32 = 3;

/// Class of what is too late to earn anything.
pub(super) const TOO_LATE: u8 = 2;

/// How urgent a step is: jobs that can be on time first, then by priority, then by
/// the time that is left to begin.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Urgency {
    pub lateness: u8,
    pub priority: u32,
    pub slack: i64,
}

/// Tasks of one step of one time of a job that wait.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct WaitingStep {
    pub urgency: Urgency,
    pub job: u32,
    pub time: u32,
    pub step: u16,
}

impl WaitingStep {
    pub fn key(&self) -> StepKey {
        (self.job, self.time, self.step)
    }

    /// Puts it first among its priority.
    pub fn promote(&mut self) {
        self.urgency.lateness = 0;
        self.urgency.slack = i64::MIN;
    }

    /// Puts it behind what is just as urgent.
    pub fn yield_to_equals(&mut self) {
        self.urgency.slack = self.urgency.slack.saturating_add(1);
    }
}

impl Core {
    pub(super) fn collect_waiting_steps(&self, now: Now) -> Vec<WaitingStep> {
        let mut found = Vec::new();
        for number in self.log_state.open() {
            let job = &self.log_state.jobs[number];
            if job.outcome.is_some() {
                continue;
            }
            for (time, round) in &job.occurrences {
                collect_round(&mut found, *number, *time, job, round, now);
            }
        }
        found
    }

    pub(super) fn waiting_tasks(&self, entry: WaitingStep) -> Vec<Task> {
        let job = &self.log_state.jobs[&entry.job];
        let state = &job.occurrences[&entry.time].steps[usize::from(entry.step)];
        let tasks = (0..).zip(&state.tasks).filter(|(_, task)| task.waits());
        tasks
            .map(|(index, _)| Task {
                job: entry.job,
                occurrence: entry.time,
                step: entry.step,
                index,
            })
            .collect()
    }

    /// How late the job of a task is already: 0 in time, 1 late, 2 too late to earn.
    pub(super) fn lateness_of(&self, task: Task, now: Now) -> u8 {
        let Some(job) = self.log_state.jobs.get(&task.job) else {
            return 0;
        };
        let (due, objective) = objective_of(job, task.occurrence);
        lateness(due, objective, Duration::ZERO, now).0
    }
}

/// When a job is due, and the time within which it is on time.
fn objective_of(job: &JobState, time: u32) -> (u64, Duration) {
    let due = job.job.schedule.map_or(job.accepted, |it| it.due(time));
    let longest = job.job.chains().into_iter().max().unwrap_or_default();
    (
        due,
        longest.mul_f64(job.policy.extension) + job.policy.target,
    )
}

fn collect_round(
    found: &mut Vec<WaitingStep>,
    number: u32,
    time: u32,
    job: &JobState,
    round: &Occurrence,
    now: Now,
) {
    if round.steps.iter().all(|state| state.waiting == 0) {
        return;
    }
    let chains = job.job.chains();
    let (due, objective) = objective_of(job, time);
    for (step, (state, chain)) in (0..).zip(round.steps.iter().zip(&chains)) {
        let asked: &Step = &job.job.steps[usize::from(step)];
        if state.waiting == 0 || !round.may_begin(asked) {
            continue;
        }
        let (late, slack) = lateness(due, objective, *chain, now);
        let urgency = Urgency {
            lateness: if asked.long_running { TOO_LATE } else { late },
            priority: job.policy.priority,
            slack: if asked.long_running { i64::MAX } else { slack },
        };
        found.push(WaitingStep {
            urgency,
            job: number,
            time,
            step,
        });
    }
}

/// Class of lateness and milliseconds until the step must begin.
fn lateness(due: u64, objective: Duration, chain: Duration, now: Now) -> (u8, i64) {
    let millis = |time: Duration| i64::try_from(time.as_millis()).unwrap_or(i64::MAX / 8);
    let spent = i64::try_from(now.wall.saturating_sub(due)).unwrap_or(i64::MAX / 8);
    let slack = millis(objective) - spent - millis(chain);
    let last = millis(objective * LATE) - spent - millis(chain);
    let class = match (slack >= 0, last >= 0) {
        (true, _) => 0,
        (false, true) => 1,
        (false, false) => TOO_LATE,
    };
    (class, slack)
}
