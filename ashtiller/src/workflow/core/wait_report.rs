//! Logs, metrics and dumps of steps that wait for workers: since when, and what prevents their
//! placement.

use std::time::Duration;

use crate::workflow::core::candidates::Candidate;
use crate::workflow::core::plan::{Demand, PlacementRound};
use crate::workflow::core::step_priority::WaitingStep;
use crate::workflow::core::unconfirmed_starts::Site;
use crate::workflow::core::{Core, Now};

/// Wait of a long-running step after which it is logged. The platform asks for its start within
/// that time.
const WAIT_LOG_DELAY: Duration = Duration::from_secs(3);
/// Interval between two log messages about the same wait.
pub(super) const WAIT_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Summary of the waiting tasks of one kind.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WaitSummary {
    /// Number of tasks without a run.
    pub tasks: u32,
    /// Number of these that wait to be tried in isolation.
    pub suspected: u32,
    /// Longest wait of a step with such tasks.
    pub longest: Duration,
}

impl Core {
    /// Logs what a long-running step needs and which workers could take it, if it has waited for
    /// long.
    pub(super) fn log_wait(&mut self, pending: WaitingStep, round: &PlacementRound, now: Now) {
        let since = self
            .job_timings
            .ready_since(pending.key())
            .unwrap_or(now.at);
        let due = self
            .wait_logged_at
            .get(&pending.key())
            .map_or(since + WAIT_LOG_DELAY, |at| *at + WAIT_LOG_INTERVAL);
        if now.at < due {
            return;
        }
        if !self.is_long_running(&pending) {
            return self.log_short_wait(pending, since, round, now);
        }
        self.wait_logged_at.insert(pending.key(), now.at);
        let job = &self.log_state.jobs[&pending.job];
        let service = &job.policy.service;
        let step = &job.job.steps[usize::from(pending.step)];
        let candidates = round.candidates.iter().filter(|it| it.service == *service);
        let fitting = candidates.clone().filter(|it| self.fits_step(&pending, it));
        let freest = candidates.max_by_key(|it| it.free.processors);
        let tasks = self.waiting_tasks(pending);
        let bound = tasks.iter().filter(|it| self.site_of(**it) != Site::Any);
        tracing::info!(job = %job.job.id, number = pending.job, time = pending.occurrence,
            step = pending.step, tasks = tasks.len(), bound = bound.count(),
            suspected = self.count_strong(&tasks), waited_ms = now.at.saturating_sub(since).as_millis(), asks = %step.reserved(),
            workers = %self.count_by_eligibility(Some(service), now), with_room = fitting.count(),
            shut_with_room = %self.count_ineligible_with_capacity(service, &step.reserved(), now),
            freest = %freest.map_or_else(String::new, |it| it.free.to_string()),
            kept = self.reserved_worker().unwrap_or_default(), "lasting task waits");
    }

    /// Logs why the tasks of a step that is not long-running wait although workers have room, for one
    /// such step at a time.
    fn log_short_wait(
        &mut self,
        pending: WaitingStep,
        since: Duration,
        round: &PlacementRound,
        now: Now,
    ) {
        if now.at < self.next_short_wait_log || !self.has_capacity(&pending, &round.candidates) {
            return;
        }
        self.next_short_wait_log = now.at + WAIT_LOG_INTERVAL;
        self.wait_logged_at.insert(pending.key(), now.at);
        let demand = self.demand_of(pending, now);
        let job = &self.log_state.jobs[&pending.job];
        let step = &job.job.steps[usize::from(pending.step)];
        let fitting = round.candidates.iter();
        let fitting: Vec<&Candidate> = fitting.filter(|it| self.fits_step(&pending, it)).collect();
        let costs = fitting.iter().map(|it| it.demand_cost(step, &demand, self));
        let lowest = costs.reduce(f64::min).unwrap_or(f64::INFINITY);
        let tasks = self.waiting_tasks(pending);
        let bound = tasks.iter().filter(|it| self.site_of(**it) != Site::Any);
        tracing::info!(job = %job.job.id, number = pending.job, time = pending.occurrence,
            step = pending.step, tasks = tasks.len(), bound = bound.count(),
            suspected = self.count_strong(&tasks), waited_ms = now.at.saturating_sub(since).as_millis(),
            asks = %step.needs, share = ?demand.share, with_room = fitting.len(), lowest_cost = lowest,
            passed_over_for = round.passed_over_for(pending.key()).map(Demand::describe),
            kept = self.reserved_worker().unwrap_or_default(), "task waits although workers have room");
    }

    /// Returns a summary of the waiting tasks of long-running steps and one of all others.
    #[must_use]
    pub fn summarize_waits(&self, now: Now) -> [(&'static str, WaitSummary); 2] {
        let mut kinds = [
            ("lasting", WaitSummary::default()),
            ("short", WaitSummary::default()),
        ];
        for pending in self.collect_waiting_steps(now) {
            let waits = &mut kinds[usize::from(!self.is_long_running(&pending))].1;
            let since = self
                .job_timings
                .ready_since(pending.key())
                .unwrap_or(now.at);
            let tasks = self.waiting_tasks(pending);
            waits.tasks += u32::try_from(tasks.len()).unwrap_or(u32::MAX);
            waits.suspected += u32::try_from(self.count_strong(&tasks)).unwrap_or(u32::MAX);
            waits.longest = waits.longest.max(now.at.saturating_sub(since));
        }
        kinds
    }

    /// Returns the steps that have waited longest, for a dump.
    pub(super) fn dump_waits(&self, limit: usize, now: Now) -> Vec<serde_json::Value> {
        let since = |pending: &WaitingStep| {
            self.job_timings
                .ready_since(pending.key())
                .unwrap_or(now.at)
        };
        let mut waiting = self.collect_waiting_steps(now);
        waiting.sort_by_key(since);
        let longest = waiting.iter().take(limit).map(|pending| {
            let waited = now.at.saturating_sub(since(pending)).as_millis();
            let tasks = self.waiting_tasks(*pending);
            serde_json::json!({
                "job": &*self.log_state.jobs[&pending.job].job.id,
                "time": pending.occurrence, "step": pending.step,
                "tasks": tasks.len(), "suspected": self.count_strong(&tasks),
                "lasting": self.is_long_running(pending),
                "lateness": pending.urgency.lateness, "slack_ms": pending.urgency.slack,
                "waited_ms": u64::try_from(waited).unwrap_or(u64::MAX),
            })
        });
        longest.collect()
    }
}
