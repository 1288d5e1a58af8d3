//! Isolated trials of tasks that are suspected of crashing workers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::workflow::core::advice::StepKey;
use crate::workflow::core::candidates::{self, Candidate, CandidateRanking, PlacementRequest};
use crate::workflow::core::plan::PlacementRound;
use crate::workflow::core::step_priority::WaitingStep;
use crate::workflow::core::{Core, Now};
use crate::workflow::record::{Run, Task};
use crate::workflow::worker::Worker;

/// Longest time for which nothing is started beside a task on trial. Most are cleared or found
/// guilty within 3 s, and in a small fleet other tasks wait meanwhile.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(4);
/// Age below which a run must not have a suspect beside it, as either could have caused a crash.
const SETTLED_AGE: Duration = Duration::from_millis(500);
/// Time that a step waits before more of its tasks may be on trial at once. The platform requires
/// something of a job to run within 3 s.
const TRIAL_PATIENCE: Duration = Duration::from_millis(1500);
/// Time after which a long-running task starts although no trial may begin. The platform asks for
/// its start within 9 s of its last run, of which leases take up to 6 s.
const ISOLATED_START_MAX: Duration = Duration::from_secs(3);
/// Fraction (one in this many) of a service's workers that may hold trials at the same time; at
/// least one may.
const TRIAL_WORKER_DIVISOR: usize = 4;
/// The same fraction for steps that have waited for `TRIAL_PATIENCE`.
const OVERDUE_TRIAL_WORKER_DIVISOR: usize = 2;
/// Limit of concurrent trials per job, since each may crash its worker.
const TRIALS_PER_JOB_MAX: usize = 4;
/// Cost of each run that would be lost in a trial, in shares of a worker.
const LOSS_COST: f64 = 1.0;
/// Cost of each unexplained crash of a worker's machine, since another one would prove nothing. It
/// exceeds the cost of all runs that could be lost on another worker.
const CRASH_COST: f64 = 1000.0;

/// The outcome of an attempt to place a task as a trial.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum TrialResult {
    /// The task needs no trial and is placed normally.
    None,
    /// The task was placed on a worker.
    Placed,
    /// The task has to wait.
    Waits,
}

/// How a placement round treats tasks that are strongly suspected.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum Isolation {
    /// They are placed as trials.
    #[default]
    Trials,
    /// Those that have waited too long for a trial are placed like other tasks; the others wait.
    Waived,
}

/// Workers and trials of one service.
#[derive(Default)]
struct ServiceTrials {
    /// Workers, including those that hold trials.
    workers: usize,
    /// Tasks on trial.
    trials: usize,
    /// Free processors, in thousandths, of workers that may get runs.
    free: u64,
    /// The same of workers that hold trials, which nothing may use meanwhile.
    withheld: u64,
}

/// The active trials during a placement round.
#[derive(Default)]
pub(super) struct ActiveTrials {
    by_service: BTreeMap<Arc<str>, ServiceTrials>,
    trials_by_job: BTreeMap<u32, usize>,
    /// The remaining workers for trials of one step, best first.
    ranked: Option<(StepKey, CandidateRanking)>,
}

impl ActiveTrials {
    /// Adds a task that is on trial on a worker with this many free processors, in thousandths.
    fn add(&mut self, service: &Arc<str>, job: u32, free: u64) -> &mut ServiceTrials {
        *self.trials_by_job.entry(job).or_insert(0) += 1;
        let of_service = self.by_service.entry(service.clone()).or_default();
        of_service.trials += 1;
        of_service.withheld += free;
        of_service
    }
}

impl ServiceTrials {
    /// Returns whether one more trial may begin: its tasks are on at most a fraction (one in
    /// `divisor`) of the workers, and withhold no more capacity than they leave.
    fn may_begin(&self, divisor: usize) -> bool {
        self.trials < (self.workers / divisor).max(1) && self.withheld <= self.free
    }
}

impl Core {
    /// Returns whether a task is on trial on a worker, so that nothing may be started beside it.
    pub(super) fn has_trial(&self, worker: &Worker, now: Now) -> bool {
        let is_tried = |run: &Run| self.is_on_trial(*run, now);
        !self.log_state.suspects().is_empty() && worker.runs.iter().any(is_tried)
    }

    /// Returns whether a step has waited too long for its tasks to be tried a few at a time.
    fn is_trial_overdue(&self, key: StepKey, now: Now) -> bool {
        self.has_waited(key, TRIAL_PATIENCE, now)
    }

    /// Returns whether a step has had tasks that could start for this time.
    fn has_waited(&self, key: StepKey, wait: Duration, now: Now) -> bool {
        let since = self.job_timings.ready_since(key);
        since.is_some_and(|since| now.at >= since + wait)
    }

    /// Places long-running tasks that trials have kept waiting. Those without suspicion start beside
    /// a task on trial where no other worker has room, and strongly suspected ones without isolation
    /// once they have waited for [`ISOLATED_START_MAX`].
    pub(super) fn place_despite_trials(
        &mut self,
        waiting: &[WaitingStep],
        round: &mut PlacementRound,
        now: Now,
    ) {
        if self.log_state.suspects().is_empty() {
            return;
        }
        let patient = |pending: &&WaitingStep| {
            self.is_long_running(pending)
                && !self.is_gang_step(pending)
                && self.has_waited(pending.key(), TRIAL_PATIENCE, now)
        };
        let kept: Vec<WaitingStep> = waiting.iter().filter(patient).copied().collect();
        if kept.is_empty() {
            return;
        }
        round.isolation = Isolation::Waived;
        for pending in &kept {
            self.place_kept_step(*pending, round, now);
        }
        let mut beside =
            PlacementRound::new(self.collect_trial_hosts(now), ActiveTrials::default());
        beside.isolation = Isolation::Waived;
        beside.reserve = round.reserve.clone();
        beside.room = self.price_room(&beside.candidates, &kept);
        for pending in kept {
            self.place_kept_step(pending, &mut beside, now);
        }
    }

    /// Returns whether a strongly suspected task has waited too long for a trial.
    fn is_kept_waiting(&self, task: Task, now: Now) -> bool {
        let since = self.suspects_waiting.get(&task).copied();
        now.at >= since.unwrap_or(self.began) + ISOLATED_START_MAX
    }

    fn is_gang_step(&self, pending: &WaitingStep) -> bool {
        self.log_state.jobs[&pending.job].job.steps[usize::from(pending.step)].gang
    }

    fn place_kept_step(&mut self, pending: WaitingStep, round: &mut PlacementRound, now: Now) {
        if !self.has_capacity(&pending, &round.candidates) {
            return;
        }
        let before = self.count_waiting(pending);
        if before == 0 {
            return;
        }
        self.place_step(pending, round, now);
        let left = self.count_waiting(pending);
        if left < before {
            let job = &self.log_state.jobs[&pending.job].job.id;
            tracing::info!(%job, number = pending.job, step = pending.step,
                placed = before - left, left, "long-running tasks start despite trials");
        }
        if left == 0 {
            self.job_timings.note_placed(pending.key());
            self.searches.forget(pending.key());
            self.wait_logged_at.remove(&pending.key());
        }
    }

    /// Counts the active trials, once per placement round.
    pub(super) fn count_trials(&self, fleet: &[Candidate], now: Now) -> ActiveTrials {
        let mut trials = ActiveTrials::default();
        if self.log_state.suspects().is_empty() {
            return trials;
        }
        for candidate in fleet {
            let service = candidate.service.clone();
            let of_service = trials.by_service.entry(service).or_default();
            of_service.workers += 1;
            of_service.free += candidate.free.processors;
        }
        for task in self.log_state.suspects().keys() {
            let live = self.log_state.task(*task).into_iter();
            for live in live.flat_map(|(_, state)| &state.live) {
                let run = Run {
                    task: *task,
                    number: live.number,
                };
                if self.is_on_trial(run, now)
                    && let Some(worker) = self.runs.get(&run).map(|live| &live.worker)
                    && let Some(worker) = self.workers.get(worker)
                {
                    let service = &worker.listed.service;
                    trials.add(service, task.job, worker.unused()).workers += 1;
                }
            }
        }
        trials
    }

    /// Returns whether another task of a job may go on trial now. The limits are wider for a step
    /// that has waited long.
    pub(super) fn may_begin_trial(
        &self,
        task: Task,
        service: &Arc<str>,
        trials: &ActiveTrials,
        now: Now,
    ) -> bool {
        let overdue = self.is_trial_overdue((task.job, task.occurrence, task.step), now);
        let divisor = if overdue {
            OVERDUE_TRIAL_WORKER_DIVISOR
        } else {
            TRIAL_WORKER_DIVISOR
        };
        let of_job = trials.trials_by_job.get(&task.job).copied().unwrap_or(0);
        let of_service = trials.by_service.get(service);
        (overdue || of_job < TRIALS_PER_JOB_MAX)
            && of_service.is_none_or(|it| it.may_begin(divisor))
    }

    /// Returns whether a run is on trial now.
    fn is_on_trial(&self, run: Run, now: Now) -> bool {
        let live = self.runs.get(&run);
        let tried = live.is_some_and(|live| live.isolated && now.at < live.placed + TRIAL_TIMEOUT);
        tried && self.is_strong_suspect(run.task)
    }

    /// Ranks workers by the cost of a trial of a step's task there.
    pub(super) fn rank_trials(
        &self,
        fleet: &[Candidate],
        request: &PlacementRequest<'_>,
        now: Now,
    ) -> CandidateRanking {
        candidates::rank_by(fleet, |candidate| self.trial_cost(candidate, request, now))
    }

    /// Returns the cost of a trial on a worker, or `None` if it does not fit or a run there is too
    /// recent.
    fn trial_cost(
        &self,
        candidate: &Candidate,
        request: &PlacementRequest<'_>,
        now: Now,
    ) -> Option<f64> {
        if !candidate.is_settled(SETTLED_AGE, now.at) {
            return None;
        }
        let cost = self.placement_cost(candidate, request)?;
        let lost = LOSS_COST * f64::from(candidate.runs);
        Some(cost + lost + CRASH_COST * f64::from(candidate.crashes))
    }

    /// Returns the best worker for a trial. The ranking may be outdated, as a worker may have
    /// received a run since.
    fn choose_trial_worker(
        &self,
        round: &mut PlacementRound,
        request: &PlacementRequest<'_>,
        step: StepKey,
        now: Now,
    ) -> Option<usize> {
        if request.only.is_some() {
            let mut ranked = self.rank_trials(&round.candidates, request, now);
            return ranked.pop_best(&round.candidates);
        }
        let ranked = round.trials.ranked.take();
        let mut ranked = match ranked {
            Some((of, ranked)) if of == step => ranked,
            _ => self.rank_trials(&round.candidates, request, now),
        };
        let mut chosen = None;
        while chosen.is_none()
            && let Some(place) = ranked.pop_best(&round.candidates)
        {
            let cost = self.trial_cost(&round.candidates[place], request, now);
            chosen = cost.map(|_| place);
        }
        round.trials.ranked = Some((step, ranked));
        chosen
    }

    /// Places a task as a trial if it is strongly suspected.
    pub(super) fn place_as_trial(
        &mut self,
        task: Task,
        request: &PlacementRequest<'_>,
        round: &mut PlacementRound,
        now: Now,
    ) -> TrialResult {
        let isolation = round.isolation;
        match () {
            () if self.has_reached_crash_limit(task) => TrialResult::Waits,
            () if !self.is_strong_suspect(task) => TrialResult::None,
            () if isolation == Isolation::Waived && self.is_kept_waiting(task, now) => {
                TrialResult::None
            }
            () if isolation != Isolation::Trials => TrialResult::Waits,
            () if self.place_suspect(task, request, round, now) => TrialResult::Placed,
            () => TrialResult::Waits,
        }
    }

    /// Places a strongly suspected task where nothing else is started beside it.
    pub(super) fn place_suspect(
        &mut self,
        task: Task,
        request: &PlacementRequest<'_>,
        round: &mut PlacementRound,
        now: Now,
    ) -> bool {
        if !self.may_begin_trial(task, request.service, &round.trials, now) {
            return false;
        }
        let key = (task.job, task.occurrence, task.step);
        let Some(place) = self.choose_trial_worker(round, request, key, now) else {
            return false;
        };
        let candidate = &mut round.candidates[place];
        candidate.close();
        let id = candidate.id.clone();
        let free = candidate.free;
        let left = free.minus(&request.resources).processors;
        let of_service = round.trials.add(request.service, task.job, left);
        of_service.free = of_service.free.saturating_sub(free.processors);
        let ticket = request.tickets.and_then(|it| it.get(&id).cloned());
        let number = self.next_run_number(task);
        tracing::info!(%task, run = number, worker = %id, "suspected task is tried in isolation");
        let run = Run { task, number };
        self.place_run(run, &id, ticket, now);
        if let Some(live) = self.runs.get_mut(&run) {
            live.isolated = true;
        }
        true
    }
}
