//! The order in which waiting steps get workers.

use std::time::Duration;

use crate::workflow::admission::triage::WORTH_OBJECTIVES;
use crate::workflow::core::advice::StepKey;
use crate::workflow::core::{Core, Now};
use crate::workflow::job::{Policy, Step};
use crate::workflow::record::Task;
use crate::workflow::state::{JobState, Occurrence};

/// Lateness class of a step whose job is too late to earn anything.
pub(super) const TOO_LATE: u8 = 2;

/// Sort key of a waiting step: jobs that can still be on time first, then by priority, then by
/// the time left until the step must start. While capacity is short, triage sets the band, and the
/// order within it in place of the time left.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Urgency {
    pub lateness: u8,
    pub priority: u32,
    pub band: u8,
    pub slack: i64,
}

/// A step with waiting tasks, in one scheduled occurrence of a job.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct WaitingStep {
    pub urgency: Urgency,
    pub job: u32,
    pub occurrence: u32,
    pub step: u16,
}

impl WaitingStep {
    pub fn key(&self) -> StepKey {
        (self.job, self.occurrence, self.step)
    }

    /// Moves the step ahead of all others of its priority.
    pub fn promote(&mut self) {
        self.urgency.lateness = 0;
        self.urgency.band = 0;
        self.urgency.slack = i64::MIN;
    }

    /// Returns whether the step was moved ahead of all others of its priority.
    pub fn is_promoted(&self) -> bool {
        self.urgency.slack <= i64::MIN + 1
    }

    /// Moves the step behind those of equal urgency.
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
            for (index, occurrence) in &job.occurrences {
                self.collect_waiting_of(&mut found, (*number, *index), job, occurrence, now);
            }
        }
        found
    }

    /// Returns the tasks of a step that wait for a worker, without those whose restart is delayed.
    pub(super) fn waiting_tasks(&self, pending: WaitingStep) -> Vec<Task> {
        let job = &self.log_state.jobs[&pending.job];
        let state = &job.occurrences[&pending.occurrence].steps[usize::from(pending.step)];
        let tasks = (0..).zip(&state.tasks).filter(|(_, task)| task.waits());
        let tasks = tasks.map(|(index, _)| Task {
            job: pending.job,
            occurrence: pending.occurrence,
            step: pending.step,
            index,
        });
        tasks
            .filter(|task| !self.restart_pauses.is_paused(*task))
            .collect()
    }

    /// Returns the lateness class of a task's job: 0 on time, 1 late, 2 too late to earn anything.
    pub(super) fn lateness_of(&self, task: Task, now: Now) -> u8 {
        let Some(job) = self.log_state.jobs.get(&task.job) else {
            return 0;
        };
        let chains = self.chains_of(&job.job, now);
        let (due, objective) = objective_of(job, task.occurrence, chains.longest);
        lateness(due, objective, Duration::ZERO, now).0
    }

    fn collect_waiting_of(
        &self,
        found: &mut Vec<WaitingStep>,
        (number, index): (u32, u32),
        job: &JobState,
        occurrence: &Occurrence,
        now: Now,
    ) {
        if occurrence.steps.iter().all(|state| state.waiting == 0) {
            return;
        }
        let chains = self.chains_of(&job.job, now);
        let (due, objective) = objective_of(job, index, chains.longest);
        for (step, (state, chain)) in (0..).zip(occurrence.steps.iter().zip(&chains.left)) {
            let spec: &Step = &job.job.steps[usize::from(step)];
            if state.waiting == 0 || !occurrence.may_begin(spec) {
                continue;
            }
            let (late, slack) = lateness(due, objective, *chain, now);
            let urgency = Urgency {
                lateness: if spec.long_running { TOO_LATE } else { late },
                priority: job.policy.priority,
                band: 0,
                slack: if spec.long_running { i64::MAX } else { slack },
            };
            found.push(WaitingStep {
                urgency,
                job: number,
                occurrence: index,
                step,
            });
        }
    }
}

/// Returns when a job is due, in milliseconds since the Unix epoch, and the time from then within
/// which it is on time. `longest` is the longest chain of run times in the job.
pub(super) fn objective_of(job: &JobState, index: u32, longest: Duration) -> (u64, Duration) {
    let due = job.job.schedule.map_or(job.accepted, |it| it.due(index));
    (due, objective_for(longest, &job.policy))
}

/// Returns the time within which a job with this longest chain is on time.
pub(super) fn objective_for(longest: Duration, policy: &Policy) -> Duration {
    longest.mul_f64(policy.extension) + policy.target
}

/// Returns the lateness class and the milliseconds left until the step must start.
pub(super) fn lateness(due: u64, objective: Duration, chain: Duration, now: Now) -> (u8, i64) {
    let millis = |time: Duration| i64::try_from(time.as_millis()).unwrap_or(i64::MAX / 8);
    let elapsed = i64::try_from(now.wall.saturating_sub(due)).unwrap_or(i64::MAX / 8);
    let slack = millis(objective) - elapsed - millis(chain);
    let late_slack = millis(objective * WORTH_OBJECTIVES) - elapsed - millis(chain);
    let class = match (slack >= 0, late_slack >= 0) {
        (true, _) => 0,
        (false, true) => 1,
        (false, false) => TOO_LATE,
    };
    (class, slack)
}
