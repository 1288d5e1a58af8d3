//! Room for steps that others are placed before again and again.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::workflow::core::advice::StepKey;
use crate::workflow::core::candidates::{self, Candidate, RunsPerWorker};
use crate::workflow::core::plan::PlacementRound;
use crate::workflow::core::step_priority::{TOO_LATE, WaitingStep};
use crate::workflow::core::{Core, Now};
use crate::workflow::incarnation::Incarnation;
use crate::workflow::record::Task;

/// Time for which there may be room for a lasting step while short ones are placed first.
/// The platform asks for its start within 3 s.
const PASSED_OVER: Duration = Duration::from_millis(1200);

/// Time without room after which that begins anew; room that a short run leaves is taken
/// again within a tenth of a second.
const ROOM_GAP: Duration = Duration::from_secs(1);

/// Time without room after which a lasting step goes first where there is some, and gets a
/// worker to itself. The platform asks for its start within 9 s of its last run.
const BLOCKED: Duration = Duration::from_secs(4);

/// Time between two steps that are too late to earn and go first all the same; one of
/// some ten tasks, which leaves nearly all room to those in time.
const RESCUE_PAUSE: Duration = Duration::from_secs(2);

/// Longest time for which a worker is kept; the short runs there end sooner.
const RESERVED_MAX: Duration = Duration::from_secs(4);

/// How long a lasting step has waited.
#[derive(Clone, Copy, Debug)]
pub(super) struct StarvationTracker {
    /// When it was first seen to wait.
    began: Duration,
    /// Since when there has been room for it, but for short gaps.
    since: Option<Duration>,
    /// When there was room last.
    last: Duration,
}

impl StarvationTracker {
    fn new(now: Duration) -> Self {
        Self {
            began: now,
            since: None,
            last: now,
        }
    }

    fn note(&mut self, has_room: bool, now: Duration) {
        if has_room {
            self.last = now;
            self.since.get_or_insert(now);
        } else if now >= self.last + ROOM_GAP {
            self.since = None;
        }
    }

    fn is_overdue(&self, now: Duration) -> bool {
        self.since.is_some_and(|since| now >= since + PASSED_OVER)
    }

    /// Whether it has waited for so long that it goes first where there is room.
    fn is_blocked(&self, now: Duration) -> bool {
        now >= self.began + BLOCKED
    }

    /// When it was first seen to wait, if it has waited for long and there is no room.
    fn blocked(&self, now: Duration) -> Option<Duration> {
        (self.since.is_none() && self.is_blocked(now)).then_some(self.began)
    }
}

/// A worker that is kept for a lasting step.
#[derive(Clone, Debug)]
pub(super) struct WorkerReservation {
    step: StepKey,
    worker: Incarnation,
    since: Duration,
}

impl Core {
    /// A lasting step stands first when it begins to wait, and when there has been room for
    /// it all along, or none for long: what is placed before it takes that room again and again.
    /// The one that waits longest without room, and for which a worker can be emptied, gets one to itself.
    pub(super) fn promote_lasting(
        &mut self,
        waiting: &mut [WaitingStep],
        placing: &mut PlacementRound,
        now: Now,
    ) {
        let mut passed_over = std::mem::take(&mut self.passed_over);
        let keys: BTreeSet<StepKey> = waiting.iter().map(WaitingStep::key).collect();
        passed_over.retain(|key, _| keys.contains(key));
        for entry in waiting.iter_mut().filter(|entry| self.is_lasting(entry)) {
            let new = !passed_over.contains_key(&entry.key());
            let passed = passed_over
                .entry(entry.key())
                .or_insert(StarvationTracker::new(now.at));
            passed.note(self.has_capacity(entry, &placing.fleet), now.at);
            if new || passed.is_overdue(now.at) || passed.is_blocked(now.at) {
                entry.promote();
                // A trial shuts its worker, and the next one would follow it at once.
                if self.waits_for_trials(entry) {
                    entry.yield_to_equals();
                }
            }
        }
        self.passed_over = passed_over;
        placing.reserved = self.reserve(waiting, &placing.fleet, now);
    }

    /// Whether all tasks of a step that wait are to be tried apart from others.
    fn waits_for_trials(&self, entry: &WaitingStep) -> bool {
        !self.log_state.suspects().is_empty()
            && self
                .waiting_tasks(*entry)
                .iter()
                .all(|task| self.is_strong_suspect(*task))
    }

    /// Keeps a worker for the lasting step that has waited longest without room.
    fn reserve(
        &mut self,
        waiting: &mut [WaitingStep],
        fleet: &[Candidate],
        now: Now,
    ) -> Option<Incarnation> {
        if let Some(kept) = self.reserved.take()
            && now.at < kept.since + RESERVED_MAX
            && let Some(entry) = waiting.iter_mut().find(|entry| entry.key() == kept.step)
            && let Some(candidate) = fleet.iter().find(|it| it.id == kept.worker)
        {
            if self.fits_step(entry, candidate) {
                entry.promote();
            }
            let worker = kept.worker.clone();
            self.reserved = Some(kept);
            return Some(worker);
        }
        let blocked = waiting.iter().filter_map(|entry| {
            Some((self.passed_over.get(&entry.key())?.blocked(now.at)?, entry))
        });
        let mut blocked: Vec<(Duration, &WaitingStep)> = blocked.collect();
        blocked.sort_unstable();
        // One for which no worker can be emptied must not stop the others.
        let (entry, worker) = blocked
            .into_iter()
            .find_map(|(_, entry)| Some((entry, self.find_emptying(entry, fleet)?)))?;
        tracing::debug!(job = entry.job, %worker, "worker kept for a lasting task");
        self.reserved = Some(WorkerReservation {
            step: entry.key(),
            worker: worker.clone(),
            since: now.at,
        });
        Some(worker)
    }

    /// The oldest short step that is too late to earn anything goes first now and then, so
    /// that it still ends while newer ones keep coming.
    pub(super) fn promote_oldest_late(
        &mut self,
        waiting: &mut [WaitingStep],
        placing: &mut PlacementRound,
        now: Now,
    ) {
        if now.at < self.last_rescue + RESCUE_PAUSE {
            return;
        }
        let late = waiting
            .iter_mut()
            .filter(|entry| entry.urgency.lateness == TOO_LATE && !self.is_lasting(entry));
        let Some(oldest) = late.min_by_key(|entry| (entry.job, entry.time)) else {
            return;
        };
        oldest.promote();
        placing.promoted_late = Some(oldest.key());
        if placing.reserved.is_none() && !self.has_capacity(oldest, &placing.fleet) {
            placing.reserved = self.find_emptying(oldest, &placing.fleet);
        }
    }

    /// The worker on which short runs leave room soonest for a task of a step: one that
    /// gets nothing, or none of this step, would be kept in vain.
    fn find_emptying(&self, entry: &WaitingStep, fleet: &[Candidate]) -> Option<Incarnation> {
        let job = &self.log_state.jobs[&entry.job];
        let step = &job.job.steps[usize::from(entry.step)];
        let room = step.room();
        let spread = self.spread_of(entry);
        let open = fleet
            .iter()
            .filter(|it| it.service == job.policy.service && !it.is_closed())
            .filter(|it| candidates::satisfies_constraints(it, step, &spread))
            .filter(|it| !self.is_forbidden(entry.key(), &it.id))
            .filter_map(|it| self.workers.get(&it.id));
        let emptying = open.filter_map(|worker| {
            let mut free = worker.pool.free();
            let mut short = 0;
            for run in &worker.runs {
                let step = self
                    .log_state
                    .task(run.task)
                    .and_then(|(job, _)| job.step(run.task));
                if let Some(step) = step.filter(|step| !step.long_running && !step.fills()) {
                    free = free.plus(&step.room());
                    short += 1;
                }
            }
            room.fits_within(&free)
                .then_some((short, worker.incarnation()))
        });
        emptying.min().map(|(_, id)| id.clone())
    }

    /// Lasting steps that have waited for so long that they go first.
    pub(super) fn collect_starved(&self, now: Now) -> Vec<StepKey> {
        let passed = self.passed_over.iter();
        let blocked = passed.filter(|(_, passed)| passed.is_blocked(now.at));
        blocked.map(|(key, _)| *key).collect()
    }

    /// Place of a lasting step among those that wait: first the one for which a worker is kept,
    /// then by when each was first seen to wait.
    pub(super) fn starvation_rank(&self, key: StepKey) -> i64 {
        if self.reserved.as_ref().is_some_and(|kept| kept.step == key) {
            return i64::MIN;
        }
        let began = self.passed_over.get(&key).map(|passed| passed.began);
        let began = began.unwrap_or_default().as_millis();
        i64::try_from(began).unwrap_or(i64::MAX)
    }

    /// The worker that is kept for a lasting step.
    pub(super) fn reserved_worker(&self) -> Option<&str> {
        self.reserved.as_ref().map(|kept| kept.worker.as_str())
    }

    pub(super) fn is_lasting(&self, entry: &WaitingStep) -> bool {
        self.log_state.jobs[&entry.job].job.steps[usize::from(entry.step)].long_running
    }

    /// Runs of a waiting step on each worker, where that is bounded.
    fn spread_of(&self, entry: &WaitingStep) -> RunsPerWorker {
        let step = &self.log_state.jobs[&entry.job].job.steps[usize::from(entry.step)];
        if step.spread == 0 {
            return RunsPerWorker::new();
        }
        let (job, time, step) = entry.key();
        let first = Task {
            job,
            occurrence: time,
            step,
            index: 0,
        };
        candidates::count_runs_per_worker(self, first)
    }

    pub(super) fn fits_step(&self, entry: &WaitingStep, candidate: &Candidate) -> bool {
        self.has_capacity(entry, std::slice::from_ref(candidate))
    }

    /// Whether some worker has room for a task of a step, and may have it.
    pub(super) fn has_capacity(&self, entry: &WaitingStep, fleet: &[Candidate]) -> bool {
        let job = &self.log_state.jobs[&entry.job];
        let step = &job.job.steps[usize::from(entry.step)];
        let (room, spread) = (step.room(), self.spread_of(entry));
        fleet.iter().any(|candidate| {
            candidate.has_capacity(&job.policy.service, &room)
                && candidates::satisfies_constraints(candidate, step, &spread)
                && !self.is_forbidden(entry.key(), &candidate.id)
        })
    }
}
