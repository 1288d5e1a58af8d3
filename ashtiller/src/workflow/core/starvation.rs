//! Starvation prevention: capacity for steps that others keep being placed ahead of.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::resources::Resources;
use crate::workflow::core::advice::StepKey;
use crate::workflow::core::candidates::{self, Candidate, RunsPerWorker};
use crate::workflow::core::plan::PlacementRound;
use crate::workflow::core::step_priority::{TOO_LATE, WaitingStep};
use crate::workflow::core::{Core, Now};
use crate::workflow::incarnation::Incarnation;
use crate::workflow::record::Task;

/// Time for which short steps may be placed ahead of a long-running step that would fit. The
/// platform asks for its start within 3 s.
const PASSED_OVER_MAX: Duration = Duration::from_millis(1200);

/// Time without capacity after which that time restarts. Capacity released by a short run is taken
/// again within a tenth of a second.
const CAPACITY_GAP_MAX: Duration = Duration::from_secs(1);

/// Waiting time after which a long-running step is placed first wherever it fits, and gets a worker
/// reserved if it fits nowhere. The platform asks for its start within 9 s of its last run.
const STARVED_AFTER: Duration = Duration::from_secs(4);

/// Time between two steps that are too late to earn anything and are placed first all the same.
/// Such a step has some ten tasks, which leaves nearly all capacity to steps that are on time.
const LATE_PROMOTION_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum time for which a worker stays reserved. The short runs on it end sooner.
const RESERVATION_MAX: Duration = Duration::from_secs(4);

/// Waiting history of a long-running step.
#[derive(Clone, Copy, Debug)]
pub(super) struct StarvationTracker {
    /// Time at which it was first seen waiting.
    waiting_since: Duration,
    /// Time since which there has been capacity for it, ignoring short gaps.
    capacity_since: Option<Duration>,
    /// Time at which there was capacity last.
    last_capacity: Duration,
}

impl StarvationTracker {
    fn new(now: Duration) -> Self {
        Self {
            waiting_since: now,
            capacity_since: None,
            last_capacity: now,
        }
    }

    fn note_capacity(&mut self, has_capacity: bool, now: Duration) {
        if has_capacity {
            self.last_capacity = now;
            self.capacity_since.get_or_insert(now);
        } else if now >= self.last_capacity + CAPACITY_GAP_MAX {
            self.capacity_since = None;
        }
    }

    fn is_passed_over(&self, now: Duration) -> bool {
        self.capacity_since
            .is_some_and(|since| now >= since + PASSED_OVER_MAX)
    }

    /// Returns whether it has waited long enough to be placed first wherever it fits.
    fn is_starved(&self, now: Duration) -> bool {
        now >= self.waiting_since + STARVED_AFTER
    }

    /// Returns when it was first seen waiting, if it has waited for long and fits nowhere.
    fn starved_since(&self, now: Duration) -> Option<Duration> {
        (self.capacity_since.is_none() && self.is_starved(now)).then_some(self.waiting_since)
    }
}

/// Reservation of a worker for a long-running step.
#[derive(Clone, Debug)]
pub(super) struct WorkerReservation {
    step: StepKey,
    worker: Incarnation,
    since: Duration,
}

impl Core {
    /// Promotes long-running steps that have just begun to wait, that would have fit for some time,
    /// or that have found no capacity for long: steps placed ahead of them keep taking it. Reserves
    /// a worker for the one that has waited longest without capacity and for which a worker can be
    /// emptied.
    pub(super) fn promote_long_running(
        &mut self,
        waiting: &mut [WaitingStep],
        round: &mut PlacementRound,
        now: Now,
    ) {
        let mut trackers = std::mem::take(&mut self.passed_over);
        let keys: BTreeSet<StepKey> = waiting.iter().map(WaitingStep::key).collect();
        trackers.retain(|key, _| keys.contains(key));
        for pending in waiting
            .iter_mut()
            .filter(|pending| self.is_long_running(pending))
        {
            let new = !trackers.contains_key(&pending.key());
            let tracker = trackers
                .entry(pending.key())
                .or_insert(StarvationTracker::new(now.at));
            tracker.note_capacity(self.has_capacity(pending, &round.candidates), now.at);
            if new || tracker.is_passed_over(now.at) || tracker.is_starved(now.at) {
                pending.promote();
                // An isolated run closes its worker, and the next one would follow at once.
                if self.all_need_isolation(pending) {
                    pending.yield_to_equals();
                }
            }
        }
        self.passed_over = trackers;
        round.reserved = self.reserve_worker(waiting, round, now);
    }

    /// Returns whether all waiting tasks of a step are strong suspects, to be run in isolation.
    fn all_need_isolation(&self, pending: &WaitingStep) -> bool {
        !self.log_state.suspects().is_empty()
            && self
                .waiting_tasks(*pending)
                .iter()
                .all(|task| self.is_strong_suspect(*task))
    }

    /// Reserves a worker for the long-running step that has waited longest without capacity. A
    /// worker that the step could not use once it is empty, because of the capacity reserve, keeps
    /// its short runs.
    fn reserve_worker(
        &mut self,
        waiting: &mut [WaitingStep],
        round: &PlacementRound,
        now: Now,
    ) -> Option<Incarnation> {
        let fleet = &round.candidates;
        if let Some(reservation) = self.reserved.take()
            && now.at < reservation.since + RESERVATION_MAX
            && let Some(pending) = waiting
                .iter_mut()
                .find(|pending| pending.key() == reservation.step)
            && let Some(candidate) = fleet.iter().find(|it| it.id == reservation.worker)
            && self.may_empty(pending, candidate, round)
        {
            if self.fits_step(pending, candidate) {
                pending.promote();
            }
            let worker = reservation.worker.clone();
            self.reserved = Some(reservation);
            return Some(worker);
        }
        let starved = waiting.iter().filter_map(|pending| {
            Some((
                self.passed_over
                    .get(&pending.key())?
                    .starved_since(now.at)?,
                pending,
            ))
        });
        let mut starved: Vec<(Duration, &WaitingStep)> = starved.collect();
        starved.sort_unstable();
        // A step for which no worker can be emptied must not block the others. While the capacity
        // reserve is in force there may be many, and one that asks for as much finds none either.
        let mut held: Vec<(&str, Resources)> = Vec::new();
        let (pending, worker) = starved.into_iter().find_map(|(_, pending)| {
            let asks = self.unrestricted_request(pending, round);
            let is_held = |(service, least): &(&str, Resources)| {
                asks.is_some_and(|(of, needs)| of == *service && least.fits_within(&needs))
            };
            if held.iter().any(is_held) {
                return None;
            }
            let worker = self.find_worker_to_reserve(pending, round);
            held.extend(asks.filter(|_| worker.is_none()));
            Some((pending, worker?))
        })?;
        tracing::debug!(job = pending.job, %worker, "worker reserved for a lasting task");
        self.reserved = Some(WorkerReservation {
            step: pending.key(),
            worker: worker.clone(),
            since: now.at,
        });
        Some(worker)
    }

    /// Returns the service and the resources of a step that the capacity reserve may hold back, if any
    /// worker of the service may run it.
    fn unrestricted_request(
        &self,
        pending: &WaitingStep,
        round: &PlacementRound,
    ) -> Option<(&str, Resources)> {
        self.reserve_against(pending, &round.reserve)?;
        let job = &self.log_state.jobs[&pending.job];
        let step = &job.job.steps[usize::from(pending.step)];
        let restricted = step.label.is_some() || step.spread > 0 || job.policy.advice.is_some();
        (!restricted).then(|| (&*job.policy.service, step.reserved()))
    }

    /// Returns whether a worker may be emptied of short runs for a step: the capacity reserve remains
    /// whole once a task of the step has started there.
    fn may_empty(
        &self,
        pending: &WaitingStep,
        candidate: &Candidate,
        round: &PlacementRound,
    ) -> bool {
        let job = &self.log_state.jobs[&pending.job];
        let resources = job.job.steps[usize::from(pending.step)].reserved();
        let reserve = self.reserve_against(pending, &round.reserve);
        reserve.is_none_or(|kept| kept.remains_after(&candidate.offer(), &resources))
    }

    /// Promotes the oldest short step that is too late to earn anything, once in a while, so that
    /// it still ends while newer steps keep arriving.
    pub(super) fn promote_oldest_late(
        &mut self,
        waiting: &mut [WaitingStep],
        round: &mut PlacementRound,
        now: Now,
    ) {
        if now.at < self.last_rescue + LATE_PROMOTION_INTERVAL {
            return;
        }
        let late = waiting.iter_mut().filter(|pending| {
            pending.urgency.lateness == TOO_LATE && !self.is_long_running(pending)
        });
        let Some(oldest) = late.min_by_key(|pending| (pending.job, pending.occurrence)) else {
            return;
        };
        oldest.promote();
        round.promoted_late.insert(oldest.key());
        if round.reserved.is_none() && !self.has_capacity(oldest, &round.candidates) {
            round.reserved = self.find_worker_to_reserve(oldest, round);
        }
    }

    /// Returns the worker with the fewest short runs that, once they end, leave enough capacity
    /// for a task of a step. Workers that may get no runs, or none of this step, are left out, as
    /// reserving them would be useless.
    pub(super) fn find_worker_to_reserve(
        &self,
        pending: &WaitingStep,
        round: &PlacementRound,
    ) -> Option<Incarnation> {
        let job = &self.log_state.jobs[&pending.job];
        let step = &job.job.steps[usize::from(pending.step)];
        let resources = step.reserved();
        let spread = self.count_step_runs(pending);
        let reserve = self.reserve_against(pending, &round.reserve);
        let open = round
            .candidates
            .iter()
            .filter(|it| it.service == job.policy.service && !it.is_closed())
            .filter(|it| candidates::satisfies_constraints(it, step, &spread))
            .filter(|it| !self.is_forbidden(pending.key(), &it.id))
            .filter(|it| reserve.is_none_or(|kept| kept.remains_after(&it.offer(), &resources)))
            .filter_map(|it| self.workers.get(&it.id));
        let suitable = open.filter_map(|worker| {
            let mut free = worker.pool.free();
            let mut short = 0;
            for run in &worker.runs {
                let step = self
                    .log_state
                    .task(run.task)
                    .and_then(|(job, _)| job.step(run.task));
                if let Some(step) = step.filter(|step| !step.long_running && !step.fills()) {
                    free = free.plus(&step.reserved());
                    short += 1;
                }
            }
            resources
                .fits_within(&free)
                .then_some((short, worker.incarnation()))
        });
        suitable.min().map(|(_, id)| id.clone())
    }

    /// Returns whether there was capacity for a long-running step when this round began.
    pub(super) fn had_capacity(
        &self,
        pending: &WaitingStep,
        fleet: &[Candidate],
        now: Now,
    ) -> bool {
        let tracker = self.passed_over.get(&pending.key());
        tracker.map_or_else(
            || self.has_capacity(pending, fleet),
            |tracker| tracker.last_capacity == now.at,
        )
    }

    /// Returns the long-running steps that have waited long enough to be placed first.
    pub(super) fn collect_starved(&self, now: Now) -> Vec<StepKey> {
        let trackers = self.passed_over.iter();
        let starved = trackers.filter(|(_, tracker)| tracker.is_starved(now.at));
        starved.map(|(key, _)| *key).collect()
    }

    /// Returns the sort key of a waiting long-running step: first the one with a reserved worker,
    /// then by the time at which each was first seen waiting.
    pub(super) fn starvation_rank(&self, key: StepKey) -> i64 {
        if self
            .reserved
            .as_ref()
            .is_some_and(|reservation| reservation.step == key)
        {
            return i64::MIN;
        }
        let since = self
            .passed_over
            .get(&key)
            .map(|tracker| tracker.waiting_since);
        let since = since.unwrap_or_default().as_millis();
        i64::try_from(since).unwrap_or(i64::MAX)
    }

    /// Returns the worker that is reserved for a long-running step.
    pub(super) fn reserved_worker(&self) -> Option<&str> {
        self.reserved
            .as_ref()
            .map(|reservation| reservation.worker.as_str())
    }

    pub(super) fn is_long_running(&self, pending: &WaitingStep) -> bool {
        self.log_state.jobs[&pending.job].job.steps[usize::from(pending.step)].long_running
    }

    /// Counts the runs of a waiting step on each worker, if the step limits them.
    fn count_step_runs(&self, pending: &WaitingStep) -> RunsPerWorker {
        let step = &self.log_state.jobs[&pending.job].job.steps[usize::from(pending.step)];
        if step.spread == 0 {
            return RunsPerWorker::new();
        }
        let (job, occurrence, step) = pending.key();
        let first = Task {
            job,
            occurrence,
            step,
            index: 0,
        };
        candidates::count_runs_per_worker(self, first)
    }

    pub(super) fn fits_step(&self, pending: &WaitingStep, candidate: &Candidate) -> bool {
        self.has_capacity(pending, std::slice::from_ref(candidate))
    }

    /// Returns whether a task of a step fits on some worker that is allowed to run it.
    pub(super) fn has_capacity(&self, pending: &WaitingStep, fleet: &[Candidate]) -> bool {
        let job = &self.log_state.jobs[&pending.job];
        let step = &job.job.steps[usize::from(pending.step)];
        let (resources, spread) = (step.reserved(), self.count_step_runs(pending));
        fleet.iter().any(|candidate| {
            candidate.has_capacity(&job.policy.service, &resources)
                && candidates::satisfies_constraints(candidate, step, &spread)
                && !self.is_forbidden(pending.key(), &candidate.id)
        })
    }
}
