//! Placement of starved long-running tasks in capacity that other runs have freed, without a full
//! placement round.

use crate::workflow::core::advice::StepKey;
use crate::workflow::core::plan::PlacementRound;
use crate::workflow::core::step_priority::{Urgency, WaitingStep};
use crate::workflow::core::{Core, Now};

impl Core {
    /// Places starved long-running tasks in capacity freed since the last placement round. The more
    /// steps wait, the rarer are full rounds: 5 per second with 2,000 steps. Until the next one,
    /// capacity that a long-running task could use would be idle.
    pub(super) fn place_in_freed_capacity(&mut self, now: Now) {
        let freed = std::mem::take(&mut self.freed_workers);
        if freed.is_empty() || !self.may_start(now) {
            return;
        }
        let starved = self.collect_starved(now).into_iter();
        let starved = starved.filter(|key| self.may_use_freed(*key, &freed));
        let waiting = starved.filter_map(|key| self.find_waiting(key));
        let mut waiting: Vec<WaitingStep> = waiting.collect();
        if waiting.is_empty() {
            return;
        }
        waiting.sort_unstable();
        let mut fleet = self.collect_candidates(now);
        let reserve = self.plan_reserve(&fleet, &waiting, now);
        let room = self.price_room(&fleet, &waiting);
        fleet.retain(|candidate| freed.contains(&candidate.id));
        let trials = self.count_trials(&fleet, now);
        let mut round = PlacementRound::new(fleet, trials);
        round.reserve = reserve;
        round.room = room;
        for pending in waiting {
            if !self.has_capacity(&pending, &round.candidates) {
                continue;
            }
            self.place_step(pending, &mut round, now);
            if self.waiting_tasks(pending).is_empty() {
                self.job_timings.note_placed(pending.key());
                self.wait_logged_at.remove(&pending.key());
            }
        }
    }

    /// Returns whether runs have freed capacity since the last log entry while long-running tasks
    /// wait for it.
    pub(super) fn has_freed_capacity(&self, now: Now) -> bool {
        let mut starved = self.collect_starved(now).into_iter();
        !self.freed_workers.is_empty()
            && starved.any(|key| self.may_use_freed(key, &self.freed_workers))
    }

    /// Returns a long-running step that waited in the last round, if tasks of it still wait. Its
    /// urgency sorts by priority, then the step with a reserved worker, then the longest wait.
    fn find_waiting(&self, key: StepKey) -> Option<WaitingStep> {
        let (job, index, step) = key;
        let state = self.log_state.jobs.get(&job)?;
        let occurrence = state.occurrences.get(&index)?;
        let has_waiting = occurrence.steps.get(usize::from(step))?.waiting > 0;
        if state.outcome.is_some() || !has_waiting {
            return None;
        }
        let urgency = Urgency {
            lateness: 0,
            priority: state.policy.priority,
            band: 0,
            slack: self.starvation_rank(key),
        };
        Some(WaitingStep {
            urgency,
            job,
            occurrence: index,
            step,
        })
    }
}
