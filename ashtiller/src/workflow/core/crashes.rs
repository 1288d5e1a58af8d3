//! Detection of worker crashes, and of the tasks suspected to cause them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::workflow::blame::{self, CrashContext, Loss, LostRun, Suspect};
use crate::workflow::core::advice::StepKey;
use crate::workflow::core::crash_record::{Crash, is_simultaneous};
use crate::workflow::core::place_losses::PlaceLoss;
use crate::workflow::core::{Core, Now};
use crate::workflow::incarnation::Incarnation;
use crate::workflow::live_run::{LiveRun, Stage};
use crate::workflow::record::{LogRecord, Run, Task};
use crate::workflow::worker::Worker;

/// Number of workers lost together from which a common external cause is assumed.
const COMMON_CAUSE_WORKERS: usize = 3;
/// Number of workers among these on which tasks of the same step had just begun, from which the
/// step is assumed to be the common cause.
const COMMON_STEP_WORKERS: usize = 2;
/// Age up to which a run counts as just begun when steps are compared.
const JUST_BEGUN_AGE: Duration = Duration::from_secs(1);
/// Progress in percent from which the start of a run tells its speed.
const SPEED_PERCENT_MIN: u32 = 5;
/// Runs in one record of a crash; each takes up to 35 bytes.
const LOST_RUNS_MAX: usize = 250;
/// How long a crash is remembered; a machine that crashes by itself does so again within that time.
const CRASH_MEMORY: Duration = Duration::from_mins(2);

/// The workers that were lost at the same time as a given one.
struct ConcurrentLosses {
    /// When the given worker was lost.
    at: Duration,
    /// Number of workers lost. Those that only fell silent are counted no further than to
    /// [`COMMON_CAUSE_WORKERS`].
    together: usize,
    /// Whether there are so many that a common cause is assumed.
    many: bool,
    /// What explains the loss, if most workers of a place were lost.
    place: Option<PlaceLoss>,
    /// Whether that was found just now.
    is_new: bool,
}

/// Returns whether a worker only fell silent or was about to leave. Then nothing shows that its
/// process ended at that moment or that a task was the cause.
fn is_silent_or_leaving(worker: &Worker) -> bool {
    let silent = worker.silent_since.is_some() && worker.broken_since.is_none();
    silent || worker.draining_since.is_some()
}

/// Returns the name of a worker's machine, or its address if the platform names no machine.
fn machine_of(worker: &Worker) -> Arc<str> {
    let listed = &worker.listed;
    let address = || listed.address.to_string().into();
    listed.machine.clone().unwrap_or_else(address)
}

fn step_of(run: Run) -> StepKey {
    (run.task.job, run.task.occurrence, run.task.step)
}

/// Returns the estimated remaining time of a run at its speed since the confirmed start, or `None`
/// before it has progressed far enough. A run restored from a checkpoint seems faster than it is.
fn remaining_since_start(live: &LiveRun, at: Duration) -> Option<Duration> {
    let Stage::Started(start) = live.stage else {
        return None;
    };
    let spent = live.progressed_at.checked_sub(start)?;
    if live.percent < SPEED_PERCENT_MIN || spent.is_zero() {
        return None;
    }
    let remaining = spent * (100 - live.percent.min(100)) / live.percent;
    Some(remaining.saturating_sub(at.saturating_sub(live.progressed_at)))
}

fn millis(age: Duration) -> u32 {
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}

impl Core {
    /// Records a crash of a worker. Returns the task to blame, if it is known.
    pub(super) fn record_crash(&mut self, id: &Incarnation, now: Now) -> Option<Task> {
        let worker = self.workers.get(id)?;
        let at = worker.silent_since.unwrap_or(now.at);
        let unseen = !worker.fenced && worker.runs.is_empty();
        if unseen || worker.ended || self.ends_as_planned(worker, at) {
            return None;
        }
        if let Some(limit) = now.at.checked_sub(CRASH_MEMORY) {
            self.crashes.forget_before(limit);
        }
        self.place_losses
            .count_workers(self.workers.values(), now.at);
        let had_trial = self.has_trial(worker, now);
        // The task on trial explains the loss.
        if had_trial {
            self.place_losses.remove(id);
        } else {
            self.place_losses.note(worker, now.at);
        }
        let cause = self.place_losses.find_cause(id);
        let mut others = self.find_concurrent_losses(id, at, now);
        others.is_new = cause.as_ref().is_some_and(|(_, is_new)| *is_new);
        others.place = cause.map(|(cause, _)| cause);
        let runs = worker.runs.iter();
        let live = runs.filter_map(|run| Some((*run, self.runs.get(run)?)));
        let live = live.filter(|(_, live)| live.sent > 0);
        // A run that another incarnation started was not on this one.
        let live = live.filter(|(_, live)| !live.misdelivered || live.began.is_some());
        let live: Vec<(Run, &LiveRun)> = live.collect();
        let steps: BTreeSet<StepKey> = live.iter().map(|(run, _)| step_of(*run)).collect();
        let alike: BTreeSet<StepKey> = steps
            .into_iter()
            .filter(|step| self.had_just_begun_on_others(*step, worker, &others))
            .collect();
        if !alike.is_empty() {
            others.place = None;
        }
        let lost_runs: Vec<LostRun> = live
            .iter()
            .filter_map(|(run, live)| {
                let alike = alike.contains(&step_of(*run));
                self.assess_run(*run, live, worker, &others, alike, now)
            })
            .collect();
        let many = others.many || others.place.is_some();
        let live_count = live.len();
        let begun = self.recently_begun_steps(worker, at);
        let crash = Crash {
            at,
            machine: others.place.is_none().then(|| machine_of(worker)),
            tasks: live.iter().map(|(run, _)| run.task).collect(),
            begun,
            had_trial,
        };
        // A worker that only fell silent may have been partitioned or have lost power.
        let alone = !many && !is_silent_or_leaving(worker) && self.count_crashes(worker) == 0;
        self.crashes.note(crash);
        // Summaries may include the next incarnation of the machine, whose crash count has changed.
        self.candidate_cache.clear();
        self.counts.crashes += 1;
        let suspects = self.log_state.suspects();
        let known = |task| suspects.get(&task);
        let culprit = alone
            .then(|| blame::find_culprit(&lost_runs, known))
            .flatten();
        tracing::warn!(
            worker = %id,
            runs = live_count,
            charged = lost_runs.len(),
            suspects = lost_runs
                .iter()
                .filter(|it| suspects.contains_key(&it.run.task))
                .count(),
            strong = self.count_strong_after(&lost_runs),
            together = others.together,
            place = others.place.as_ref().map(|loss| &**loss.place.name()),
            "worker crashed"
        );
        let culprit = culprit.or_else(|| {
            (!many)
                .then(|| self.find_exhausted(&lost_runs, id))
                .flatten()
        });
        if let Some(loss) = others.place.filter(|_| others.is_new) {
            self.discount_losses(&loss, now);
        }
        self.record_lost_runs(id, &lost_runs, now);
        culprit
    }

    /// Takes back what tells against the tasks of workers that were lost together, when their place
    /// turns out to be the cause. The first of them are found lost before the others.
    fn discount_losses(&mut self, loss: &PlaceLoss, now: Now) {
        for (worker, runs) in self.place_losses.take_runs(loss) {
            let record = LogRecord::LossDiscounted(worker.clone(), runs.clone());
            self.explain_loss(&worker, &runs, loss.place.name(), record, now);
        }
    }

    /// Takes back what the loss of runs with their worker tells against their tasks.
    fn explain_loss(
        &mut self,
        id: &Incarnation,
        runs: &[Run],
        cause: &str,
        record: LogRecord,
        now: Now,
    ) {
        let tasks = runs.iter().map(|run| run.task);
        let tasks: Vec<Task> = tasks.filter(|task| self.is_suspect(*task)).collect();
        self.counts.explained += 1;
        self.record(record, now);
        self.needs_planning = true;
        tracing::info!(
            worker = %id,
            cause,
            runs = runs.len(),
            cleared = tasks.iter().filter(|task| !self.is_suspect(**task)).count(),
            strong = self.count_strong(&tasks),
            "loss of a worker no longer tells against its tasks"
        );
    }

    /// Withdraws the suspicion of tasks that were lost with the lease of a worker which answers again:
    /// its process did not crash.
    pub(super) fn note_process_survived(&mut self, id: &Incarnation, now: Now) {
        self.place_losses.remove(id);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let lapsed = std::mem::take(&mut worker.lapsed);
        // Without a start time, losses of other processes under the id are recorded with these.
        let is_numbered = id.born().is_some();
        let lost_runs = self.log_state.losses().of(id).iter();
        let runs = lost_runs.map(|lost| lost.run);
        let runs: Vec<Run> = runs
            .filter(|run| is_numbered || lapsed.contains(run))
            .collect();
        if !runs.is_empty() {
            let record = LogRecord::LossExplained(id.clone(), runs.clone());
            self.explain_loss(id, &runs, "it answers again", record, now);
        }
    }

    /// Records the runs that were lost with a worker, in records of a bounded size.
    fn record_lost_runs(&mut self, id: &Incarnation, lost_runs: &[LostRun], now: Now) {
        let telling = lost_runs
            .iter()
            .filter(|lost| lost.begun || lost.weight > 0);
        self.place_losses
            .note_runs(id, telling.map(|lost| lost.run));
        for lost_runs in lost_runs.chunks(LOST_RUNS_MAX) {
            self.record(LogRecord::Crashed(id.clone(), lost_runs.to_vec()), now);
        }
    }

    /// Returns a task whose starts end with this crash: too few of its crashes are certain, but its
    /// run was there until the worker was lost.
    fn find_exhausted(&self, lost_runs: &[LostRun], id: &Incarnation) -> Option<Task> {
        let worker = self.workers.get(id)?;
        // On a worker that fell silent first, the run may have ended long before the crash.
        let at_once = worker.broken_since.is_some() && worker.broken_since == worker.silent_since;
        let suspects = self.log_state.suspects();
        let is_exhausted = |lost: &&LostRun| {
            let live = self.runs.get(&lost.run);
            let started = live.is_some_and(|live| matches!(live.stage, Stage::Started(_)));
            let suspect = suspects.get(&lost.run.task);
            started && suspect.is_some_and(|suspect| suspect.ends_with(lost))
        };
        let exhausted = lost_runs.iter().filter(|_| at_once).find(is_exhausted);
        exhausted.map(|lost| lost.run.task)
    }

    /// Returns whether the end of a worker was planned, by its own announcement or by an order.
    fn ends_as_planned(&self, worker: &Worker, at: Duration) -> bool {
        // Some workers withdraw their entry without an announcement and continue for a while.
        let left = worker
            .unlisted_since
            .is_some_and(|since| worker.last_answer > since);
        let remaining = worker.listed.remaining.unwrap_or(Duration::ZERO);
        let drained = worker
            .draining_since
            .is_some_and(|since| at >= since + remaining);
        drained || left || self.is_closed_for_upkeep(worker)
    }

    /// Returns what a crash reveals about one run; `None` if it says nothing about the task. `alike`
    /// tells that runs of the step had just begun on other workers that were lost.
    fn assess_run(
        &self,
        run: Run,
        live: &LiveRun,
        worker: &Worker,
        others: &ConcurrentLosses,
        alike: bool,
        now: Now,
    ) -> Option<LostRun> {
        let at = others.at;
        // A worker that fell silent first may have continued until its connections were reset.
        let latest = worker.broken_since.unwrap_or(now.at);
        // The start time of an earlier owner's run is unknown.
        let known = live.placed > self.began || worker.fenced;
        let age = at.saturating_sub(live.placed);
        let context = CrashContext {
            age: match live.began {
                _ if !known => Duration::MAX,
                Some(_) => age,
                None => Duration::ZERO,
            },
            begun: matches!(live.stage, Stage::Started(_))
                && !self.may_be_done(run, live, at, latest),
            loss: match () {
                () if others.many || others.place.is_some() => Loss::WithMany,
                () if is_silent_or_leaving(worker) => Loss::Unseen,
                () => Loss::Alone,
            },
            alike,
        };
        if context.is_likely_unrelated() {
            return self.assess_unrelated_run(run, self.age_since_start(live, at));
        }
        Some(LostRun {
            run,
            age: if known { millis(age) } else { 0 },
            weight: context.weight(),
            begun: context.begun,
        })
    }

    /// Returns what is recorded of a run that was lost to a likely cause outside of its task. A task
    /// that crashes its workers does so when it has just begun, or at about the same age each time, so
    /// such losses count toward the limit of starts. So do those of unknown ages.
    fn assess_unrelated_run(&self, run: Run, age: Option<Duration>) -> Option<LostRun> {
        let lost = LostRun {
            run,
            age: age.map_or(0, millis),
            weight: blame::NO_WEIGHT,
            begun: false,
        };
        let suspect = self.log_state.suspects().get(&run.task);
        let is_like = || suspect.is_none_or(|suspect| suspect.is_like_earlier(lost.age));
        (lost.is_young() || is_like()).then_some(lost)
    }

    /// Returns the number of crashes of a worker's machine that no task explains.
    pub(super) fn count_crashes(&self, worker: &Worker) -> u32 {
        self.crashes.count_at(&machine_of(worker))
    }

    /// Returns whether a run may have ended before its worker was lost, which fell silent `at` and
    /// was lost at `latest`. It may have if it was nearly done, or if its speed is unknown and
    /// nothing was heard of it for a while. A responsive worker reports ends at once.
    fn may_be_done(&self, run: Run, live: &LiveRun, at: Duration, latest: Duration) -> bool {
        let wall = 0;
        let remaining = self.remaining_time(run, Now { at: latest, wall });
        let unheard = || latest > at || at > live.progressed_at + JUST_BEGUN_AGE;
        let silent = || self.is_short(run) && unheard();
        let reported_once = || {
            let remaining = remaining_since_start(live, latest);
            remaining.is_some_and(|remaining| remaining.is_zero())
        };
        let unsure = || silent() || reported_once();
        remaining.map_or_else(unsure, |remaining| remaining.is_zero())
    }

    /// Returns the workers that were lost at the same time as the given one.
    fn find_concurrent_losses(&self, id: &Incarnation, at: Duration, now: Now) -> ConcurrentLosses {
        let mut together = 0;
        let mut unexplained = 0;
        for crash in self.crashes.near(at) {
            together += 1;
            unexplained += usize::from(!crash.had_trial);
        }
        let silent = self
            .workers
            .values()
            .filter(|worker| *worker.incarnation() != *id);
        let mut silent = silent.filter(|it| {
            it.silent_since
                .is_some_and(|missed| is_simultaneous(missed, at))
        });
        while unexplained < COMMON_CAUSE_WORKERS
            && let Some(worker) = silent.next()
        {
            together += 1;
            unexplained += usize::from(!self.has_trial(worker, now));
        }
        ConcurrentLosses {
            at,
            together,
            many: unexplained >= COMMON_CAUSE_WORKERS,
            place: None,
            is_new: false,
        }
    }

    /// Returns whether runs of a step had just begun on several workers that were lost at the same
    /// time; on at least half of them if most workers of a place were.
    fn had_just_begun_on_others(
        &self,
        step: StepKey,
        worker: &Worker,
        others: &ConcurrentLosses,
    ) -> bool {
        let place = others.place.as_ref();
        let required = COMMON_STEP_WORKERS.max(place.map_or(0, |loss| loss.workers / 2));
        let crashed = self.crashes.count_begun(step, others.at);
        if crashed >= required {
            return true;
        }
        let silent = |live: &LiveRun| {
            let other = self.workers.get(&live.worker)?;
            let missed = other
                .silent_since
                .filter(|missed| is_simultaneous(*missed, others.at))?;
            (other.incarnation() != worker.incarnation() && live.placed + JUST_BEGUN_AGE >= missed)
                .then(|| live.worker.clone())
        };
        let runs = self.runs_of_step(step);
        let silent: BTreeSet<Incarnation> = runs.filter_map(|(_, live)| silent(live)).collect();
        crashed + silent.len() >= required
    }

    fn recently_begun_steps(&self, worker: &Worker, at: Duration) -> BTreeSet<StepKey> {
        let just_begun = |run: &&Run| {
            let live = self.runs.get(run);
            live.is_some_and(|live| live.placed + JUST_BEGUN_AGE >= at)
        };
        worker
            .runs
            .iter()
            .filter(just_begun)
            .map(|run| step_of(*run))
            .collect()
    }

    /// Suspects the tasks of runs that were lost without word from their worker, because its lease
    /// expired or it was never listed. Nothing shows that it crashed, so this has no weight, and only
    /// counts toward the limit of starts.
    pub(super) fn suspect_lost_runs(&mut self, id: &Incarnation, lost: &[Run], now: Now) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.lapsed.extend_from_slice(lost);
            self.place_losses.note(worker, now.at);
            self.place_losses
                .count_workers(self.workers.values(), now.at);
        }
        let cause = self.place_losses.find_cause(id);
        let place = cause.as_ref().map(|(loss, _)| loss);
        let lost_runs = lost.iter().filter_map(|run| {
            let live = self.runs.get(run).filter(|live| live.sent > 0)?;
            match place {
                Some(_) => {
                    let silent = self.workers.get(&live.worker)?.silent_since;
                    let age = silent.and_then(|at| self.age_since_start(live, at));
                    self.assess_unrelated_run(*run, age)
                }
                None => Some(LostRun {
                    run: *run,
                    age: self.age_at_silence(live).map_or(0, millis),
                    weight: blame::NO_WEIGHT,
                    begun: false,
                }),
            }
        });
        let lost_runs: Vec<LostRun> = lost_runs.collect();
        tracing::info!(worker = %id, runs = lost.len(), charged = lost_runs.len(),
            place = place.map(|loss| &**loss.place.name()),
            "runs lost without proof that their worker crashed");
        if let Some((loss, true)) = &cause {
            self.discount_losses(loss, now);
        }
        self.record_lost_runs(id, &lost_runs, now);
    }

    /// Returns the age of a run that this owner placed, from its confirmed start on: the order may have
    /// arrived late.
    fn age_since_start(&self, live: &LiveRun, at: Duration) -> Option<Duration> {
        match live.stage {
            Stage::Started(start) if live.placed > self.began => Some(at.saturating_sub(start)),
            _ => None,
        }
    }

    /// Returns the age of a run when its worker fell silent, if this owner placed it.
    fn age_at_silence(&self, live: &LiveRun) -> Option<Duration> {
        let silent = self.workers.get(&live.worker)?.silent_since?;
        (live.placed > self.began).then(|| silent.saturating_sub(live.placed))
    }

    /// Suspects the tasks of runs on workers that this owner does not know.
    pub(super) fn suspect_adopted_runs(&mut self, lost: &[Run], now: Now) {
        let mut by_worker: BTreeMap<Incarnation, Vec<Run>> = BTreeMap::new();
        for run in lost {
            if let Some(live) = self.runs.get(run) {
                by_worker.entry(live.worker.clone()).or_default().push(*run);
            }
        }
        for (worker, runs) in by_worker {
            self.suspect_lost_runs(&worker, &runs, now);
        }
    }

    /// Fails the job of a task that crashes its workers.
    pub(super) fn fail_crashing_job(&mut self, task: Task, now: Now) {
        let Some(job) = self.log_state.jobs.get(&task.job) else {
            return;
        };
        if job.outcome.is_some() {
            return;
        }
        let crashes = self
            .log_state
            .suspects()
            .get(&task)
            .map_or(0, |it| it.crashes);
        tracing::warn!(job = %job.job.id, %task, crashes,
            "job failed: workers crash under one of its tasks");
        self.counts.convicted += 1;
        self.crashes.forget_task(task);
        self.record(LogRecord::Failed(task.job), now);
    }

    /// Fails a job if one of its tasks has reached the limit of starts after crashes.
    pub(super) fn fail_if_crash_limit_reached(&mut self, task: Task, now: Now) {
        if self.has_reached_crash_limit(task) {
            self.fail_crashing_job(task, now);
        }
    }

    /// Returns whether a task that crashes its workers may not be started again.
    pub(super) fn has_reached_crash_limit(&self, task: Task) -> bool {
        let suspect = self.log_state.suspects().get(&task);
        let last = self.log_state.task(task).map_or(0, |(_, state)| state.last);
        suspect.is_some_and(|suspect| suspect.has_no_starts_left(last))
    }

    /// Clears tasks whose runs have outlived the age at which earlier runs were lost in crashes.
    pub(super) fn clear_surviving_suspects(&mut self, now: Now) {
        let suspects = self.log_state.suspects().iter();
        let survivors =
            suspects.filter(|(task, suspect)| self.has_outlived_suspicion(**task, suspect));
        let survivors: Vec<Task> = survivors.map(|(task, _)| *task).collect();
        for task in survivors {
            tracing::info!(%task, "task cleared of suspicion: its run survived");
            self.counts.absolved += 1;
            self.record(LogRecord::Absolved(task), now);
            self.needs_planning = true;
        }
    }

    fn has_outlived_suspicion(&self, task: Task, suspect: &Suspect) -> bool {
        let Some((_, known)) = self.log_state.task(task) else {
            return false;
        };
        known.live.iter().any(|live| {
            let number = live.number;
            let Some(live) = self.runs.get(&Run { task, number }) else {
                return false;
            };
            let Stage::Started(began) = live.stage else {
                return false;
            };
            let worker = self.workers.get(&live.worker).filter(|it| it.answers);
            worker.is_some_and(|it| it.last_answer >= began + suspect.clears_at())
        })
    }

    /// Returns whether workers crashed under a task that has not been cleared.
    pub(super) fn is_suspect(&self, task: Task) -> bool {
        self.log_state.suspects().contains_key(&task)
    }

    /// Returns whether a task is suspected strongly enough to be tried in isolation.
    pub(super) fn is_strong_suspect(&self, task: Task) -> bool {
        let suspect = self.log_state.suspects().get(&task);
        suspect.is_some_and(Suspect::is_strong)
    }

    pub(super) fn count_suspects(&self, worker: &Worker) -> u32 {
        if self.log_state.suspects().is_empty() {
            return 0;
        }
        let suspects = worker.runs.iter().filter(|run| self.is_suspect(run.task));
        u32::try_from(suspects.count()).unwrap_or(u32::MAX)
    }
}
