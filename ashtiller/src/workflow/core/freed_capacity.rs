//! Lasting tasks that have waited for long get the room that others leave, without a round
//! through all that waits.

use crate::workflow::core::advice::StepKey;
use crate::workflow::core::plan::PlacementRound;
use crate::workflow::core::step_priority::{Urgency, WaitingStep};
use crate::workflow::core::{Core, Now};

impl Core {
    /// Gives room that runs have left since the last round to lasting tasks that go first.
    /// Rounds come less often the more waits, 5 times a second with 2,000 steps; until the next
    /// one, room that a lasting task could have would stand empty.
    pub(super) fn place_in_freed_capacity(&mut self, now: Now) {
        let freed = std::mem::take(&mut self.freed_workers);
        if freed.is_empty() || !self.may_start(now) {
            return;
        }
        let blocked = self.collect_starved(now).into_iter();
        let waiting = blocked.filter_map(|key| self.find_waiting(key));
        let mut waiting: Vec<WaitingStep> = waiting.collect();
        if waiting.is_empty() {
            return;
        }
        waiting.sort_unstable();
        let mut fleet = self.collect_candidates(now);
        fleet.retain(|candidate| freed.contains(&candidate.id));
        let trials = self.count_trials(&fleet, now);
        let mut placing = PlacementRound::new(fleet, trials);
        for entry in waiting {
            if !self.has_capacity(&entry, &placing.fleet) {
                continue;
            }
            self.plan_step(entry, &mut placing, now);
            if self.waiting_tasks(entry).is_empty() {
                self.ledger.note_placed(entry.key());
                self.wait_logged_at.remove(&entry.key());
            }
        }
    }

    /// Whether runs have left room since the last entry that a lasting task may be waiting for.
    pub(super) fn has_freed_capacity(&self, now: Now) -> bool {
        !self.freed_workers.is_empty() && !self.collect_starved(now).is_empty()
    }

    /// A lasting step that waited in the last round, if tasks of it still do: by priority, then
    /// the one for which a worker is kept, then the one that waits longest.
    fn find_waiting(&self, key: StepKey) -> Option<WaitingStep> {
        let (job, time, step) = key;
        let state = self.log_state.jobs.get(&job)?;
        let round = state.occurrences.get(&time)?;
        let waits = round.steps.get(usize::from(step))?.waiting > 0;
        if state.outcome.is_some() || !waits {
            return None;
        }
        let urgency = Urgency {
            lateness: 0,
            priority: state.policy.priority,
            slack: self.starvation_rank(key),
        };
        Some(WaitingStep {
            urgency,
            job,
            time,
            step,
        })
    }
}
