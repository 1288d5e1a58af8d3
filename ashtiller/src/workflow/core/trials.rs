//! Trials of tasks that are suspected of crashing workers, apart from others.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::workflow::core::advice::StepKey;
use crate::workflow::core::candidates::{self, Candidate, CandidateRanking, PlacementRequest};
use crate::workflow::core::plan::PlacementRound;
use crate::workflow::core::{Core, Now};
use crate::workflow::record::{Run, Task};
use crate::workflow::worker::Worker;

/// Longest time for which nothing is started beside a task that is tried: most are cleared or
/// convicted within 3 s, and in a small fleet others wait.
const TRIED_MAX: Duration = Duration::from_secs(4);
/// Age up to which a run is too young to have a suspect beside it: a crash would be
/// either's doing.
const SETTLED: Duration = Duration::from_millis(500);
/// Time after which a step has waited long for a trial of its tasks. The platform asks for
/// something of a job to run within 3 s.
const TRIAL_PATIENCE: Duration = Duration::from_millis(1500);
/// Part of a service's workers on which tasks are tried at the same time, at least one.
const TRIED_SHARE: usize = 4;
/// The same part for steps that have waited long.
const IMPATIENT_SHARE: usize = 2;
/// Tasks of one job that are tried at the same time: one may take each worker down.
const TRIED_OF_JOB: usize = 4;
/// Cost of each run that would be lost in a trial, in shares of a worker.
const LOSS_COST: f64 = 1.0;
/// Cost of each crash of a worker's machine that no task explains: a further one would tell
/// nothing. More than what may be lost on another.
const CRASHED_COST: f64 = 1000.0;

/// What becomes of a task that may be tried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum TrialResult {
    /// It is placed like any other.
    None,
    /// It has got a worker.
    Placed,
    /// It waits.
    Waits,
}

/// Trials that are going on in a round of placing.
#[derive(Default)]
pub(super) struct ActiveTrials {
    /// Workers by service, those on which tasks are tried among them.
    workers: BTreeMap<Arc<str>, usize>,
    /// Tasks that are tried, by service and by job.
    tried: BTreeMap<Arc<str>, usize>,
    jobs: BTreeMap<u32, usize>,
    /// Workers for the trials of one step that are left, best first.
    ranked: Option<(StepKey, CandidateRanking)>,
}

impl ActiveTrials {
    fn add(&mut self, service: &Arc<str>, job: u32) {
        *self.tried.entry(service.clone()).or_insert(0) += 1;
        *self.jobs.entry(job).or_insert(0) += 1;
    }
}

impl Core {
    /// Whether a task is tried on a worker, so that nothing is started beside it.
    pub(super) fn has_trial(&self, worker: &Worker, now: Now) -> bool {
        let is_tried = |run: &Run| self.is_tried_run(*run, now);
        !self.log_state.suspects().is_empty() && worker.runs.iter().any(is_tried)
    }

    /// Whether a step has waited for too long for its tasks to be tried one by one.
    fn is_impatient(&self, key: StepKey, now: Now) -> bool {
        let since = self.ledger.ready_since(key);
        since.is_some_and(|since| now.at >= since + TRIAL_PATIENCE)
    }

    /// Counts the trials that are going on, once for each round of placing.
    pub(super) fn count_trials(&self, fleet: &[Candidate], now: Now) -> ActiveTrials {
        let mut trials = ActiveTrials::default();
        if self.log_state.suspects().is_empty() {
            return trials;
        }
        for candidate in fleet {
            *trials.workers.entry(candidate.service.clone()).or_insert(0) += 1;
        }
        for task in self.log_state.suspects().keys() {
            let live = self.log_state.task(*task).into_iter();
            for live in live.flat_map(|(_, state)| &state.live) {
                let run = Run {
                    task: *task,
                    number: live.number,
                };
                if self.is_tried_run(run, now)
                    && let Some(worker) = self.runs.get(&run).map(|live| &live.worker)
                    && let Some(worker) = self.workers.get(worker)
                {
                    let service = &worker.listed.service;
                    *trials.workers.entry(service.clone()).or_insert(0) += 1;
                    trials.add(service, task.job);
                }
            }
        }
        trials
    }

    /// Whether another task of a job may be tried now; more may when its step has waited long.
    pub(super) fn may_begin_trial(
        &self,
        task: Task,
        service: &Arc<str>,
        trials: &ActiveTrials,
        now: Now,
    ) -> bool {
        let impatient = self.is_impatient((task.job, task.occurrence, task.step), now);
        let share = if impatient {
            IMPATIENT_SHARE
        } else {
            TRIED_SHARE
        };
        let count = |counts: &BTreeMap<Arc<str>, usize>| counts.get(service).copied().unwrap_or(0);
        let most = (count(&trials.workers) / share).max(1);
        let of_job = trials.jobs.get(&task.job).copied().unwrap_or(0);
        (impatient || of_job < TRIED_OF_JOB) && count(&trials.tried) < most
    }

    /// Whether a run is tried now.
    fn is_tried_run(&self, run: Run, now: Now) -> bool {
        let live = self.runs.get(&run);
        let tried = live.is_some_and(|live| live.isolated && now.at < live.placed + TRIED_MAX);
        tried && self.is_strong_suspect(run.task)
    }

    /// Ranks workers by what the trial of a task of a step costs there.
    pub(super) fn rank_trials(
        &self,
        fleet: &[Candidate],
        wish: &PlacementRequest<'_>,
        now: Now,
    ) -> CandidateRanking {
        candidates::rank_by(fleet, |candidate| self.weigh_trial(candidate, wish, now))
    }

    /// What the trial of a task costs at a worker, where all runs began a while ago.
    fn weigh_trial(
        &self,
        candidate: &Candidate,
        wish: &PlacementRequest<'_>,
        now: Now,
    ) -> Option<f64> {
        if !candidate.is_settled(SETTLED, now.at) {
            return None;
        }
        let cost = self.placement_cost(candidate, wish)?;
        let lost = LOSS_COST * f64::from(candidate.runs);
        Some(cost + lost + CRASHED_COST * f64::from(candidate.crashes))
    }

    /// The best worker for a trial: one that has got something since may take it no more.
    fn choose_trial(
        &self,
        placing: &mut PlacementRound,
        wish: &PlacementRequest<'_>,
        step: StepKey,
        now: Now,
    ) -> Option<usize> {
        let ranked = placing.trials.ranked.take();
        let mut ranked = match ranked {
            Some((of, ranked)) if of == step => ranked,
            _ => self.rank_trials(&placing.fleet, wish, now),
        };
        let mut chosen = None;
        while chosen.is_none()
            && let Some(place) = ranked.pop_best(&placing.fleet)
        {
            let cost = self.weigh_trial(&placing.fleet[place], wish, now);
            chosen = cost.map(|_| place);
        }
        placing.trials.ranked = Some((step, ranked));
        chosen
    }

    /// Tries a task if it is strongly suspected.
    pub(super) fn try_suspect(
        &mut self,
        task: Task,
        wish: &PlacementRequest<'_>,
        placing: &mut PlacementRound,
        now: Now,
    ) -> TrialResult {
        match () {
            () if self.has_reached_crash_limit(task) => TrialResult::Waits,
            () if !self.is_strong_suspect(task) => TrialResult::None,
            () if self.place_suspect(task, wish, placing, now) => TrialResult::Placed,
            () => TrialResult::Waits,
        }
    }

    /// Places a task that is strongly suspected, alone among its like.
    pub(super) fn place_suspect(
        &mut self,
        task: Task,
        wish: &PlacementRequest<'_>,
        placing: &mut PlacementRound,
        now: Now,
    ) -> bool {
        if !self.may_begin_trial(task, wish.service, &placing.trials, now) {
            return false;
        }
        let key = (task.job, task.occurrence, task.step);
        let Some(place) = self.choose_trial(placing, wish, key, now) else {
            return false;
        };
        let candidate = &mut placing.fleet[place];
        candidate.close();
        let id = candidate.id.clone();
        placing.trials.add(wish.service, task.job);
        let ticket = wish.advised.and_then(|it| it.get(&id).cloned());
        let number = self.next_run_number(task);
        tracing::info!(%task, run = number, worker = %id, "suspected task is tried apart");
        let run = Run { task, number };
        self.place_run(run, &id, ticket, now);
        if let Some(live) = self.runs.get_mut(&run) {
            live.isolated = true;
        }
        true
    }
}
