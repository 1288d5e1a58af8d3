//! Which steps wait for workers, since when, and what stands in their way.

use std::time::Duration;

use crate::workflow::core::plan::PlacementRound;
use crate::workflow::core::step_priority::WaitingStep;
use crate::workflow::core::{Core, Now};

/// Wait of a lasting step that is worth a line: within it the platform asks for its start.
const TOLD_FIRST: Duration = Duration::from_secs(3);
/// Time between two lines about one thing that waits.
pub(super) const WAIT_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Tasks of one kind that wait.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WaitSummary {
    /// Tasks without a run.
    pub tasks: u32,
    /// Longest time for which a step with such tasks has waited.
    pub longest: Duration,
}

impl Core {
    /// Says why a lasting step waits, when it has waited for long.
    pub(super) fn log_wait(&mut self, entry: WaitingStep, placing: &PlacementRound, now: Now) {
        let since = self.ledger.ready_since(entry.key()).unwrap_or(now.at);
        let due = self
            .wait_logged_at
            .get(&entry.key())
            .map_or(since + TOLD_FIRST, |at| *at + WAIT_LOG_INTERVAL);
        if now.at < due || !self.is_lasting(&entry) {
            return;
        }
        self.wait_logged_at.insert(entry.key(), now.at);
        let job = &self.log_state.jobs[&entry.job];
        let service = &job.policy.service;
        let step = &job.job.steps[usize::from(entry.step)];
        let rooms = placing.fleet.iter().filter(|it| it.service == *service);
        let fitting = rooms.clone().filter(|it| self.fits_step(&entry, it));
        let freest = rooms.max_by_key(|it| it.free.processors);
        tracing::info!(job = %job.job.id, number = entry.job, time = entry.time, step = entry.step,
            tasks = self.waiting_tasks(entry).len(), waited_ms = now.at.saturating_sub(since).as_millis(),
            asks = %step.room(), workers = %self.count_by_eligibility(Some(service), now), with_room = fitting.count(),
            shut_with_room = %self.count_ineligible_with_capacity(service, &step.room(), now),
            freest = %freest.map_or_else(String::new, |it| it.free.to_string()),
            kept = self.reserved_worker().unwrap_or_default(), "lasting task waits");
    }

    /// Tasks that wait: those of lasting steps, and the others.
    #[must_use]
    pub fn summarize_waits(&self, now: Now) -> [(&'static str, WaitSummary); 2] {
        let mut kinds = [
            ("lasting", WaitSummary::default()),
            ("short", WaitSummary::default()),
        ];
        for entry in self.collect_waiting_steps(now) {
            let waits = &mut kinds[usize::from(!self.is_lasting(&entry))].1;
            let since = self.ledger.ready_since(entry.key()).unwrap_or(now.at);
            waits.tasks += u32::try_from(self.waiting_tasks(entry).len()).unwrap_or(u32::MAX);
            waits.longest = waits.longest.max(now.at.saturating_sub(since));
        }
        kinds
    }

    /// The steps that have waited longest, for a dump.
    pub(super) fn dump_waits(&self, most: usize, now: Now) -> Vec<serde_json::Value> {
        let since = |entry: &WaitingStep| self.ledger.ready_since(entry.key()).unwrap_or(now.at);
        let mut waiting = self.collect_waiting_steps(now);
        waiting.sort_by_key(since);
        let longest = waiting.iter().take(most).map(|entry| {
            let waited = now.at.saturating_sub(since(entry)).as_millis();
            serde_json::json!({
                "job": &*self.log_state.jobs[&entry.job].job.id, "time": entry.time, "step": entry.step,
                "tasks": self.waiting_tasks(*entry).len(), "lasting": self.is_lasting(entry),
                "waited_ms": u64::try_from(waited).unwrap_or(u64::MAX),
            })
        });
        longest.collect()
    }
}
