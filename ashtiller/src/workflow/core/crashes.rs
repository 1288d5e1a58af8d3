//! Workers that crash, and tasks that are suspected of it.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::workflow::blame::{self, CrashContext, LostRun, Suspect};
use crate::workflow::core::advice::StepKey;
use crate::workflow::core::crash_record::{Crash, is_simultaneous};
use crate::workflow::core::{Core, Now};
use crate::workflow::incarnation::Incarnation;
use crate::workflow::live_run::{LiveRun, Stage};
use crate::workflow::record::{LogRecord, Run, Task};
use crate::workflow::worker::Worker;

/// Workers that go together with one, from which on a common cause is assumed.
const MANY: usize = 3;
/// Of these, workers on which a task of the same step had just begun, from which on that
/// step is the common cause.
const ALIKE: usize = 2;
/// Age up to which a run counts as just begun when steps are compared.
const JUST_BEGUN: Duration = Duration::from_secs(1);
/// How long a crash is remembered: a machine that crashes by itself does so again within it.
const REMEMBERED: Duration = Duration::from_mins(2);
/// Workers that went together with one.
struct Others {
    /// When it went.
    at: Duration,
    /// How many are known to have gone; those that only fell silent are not counted further than
    /// to [`MANY`].
    together: usize,
    /// Whether they have gone for a cause outside of them.
    many: bool,
}

/// Whether a worker only fell silent, or was about to leave: nothing says that its process
/// ended there and then, or that a task was the cause.
fn is_dark(worker: &Worker) -> bool {
    let silent = worker.missed.is_some() && worker.broke.is_none();
    silent || worker.draining.is_some()
}

/// Name of a worker's machine, or where it listens if the platform does not say.
fn machine_of(worker: &Worker) -> Arc<str> {
    let listed = &worker.listed;
    let address = || listed.address.to_string().into();
    listed.machine.clone().unwrap_or_else(address)
}

fn step_of(run: Run) -> StepKey {
    (run.task.job, run.task.occurrence, run.task.step)
}

fn millis(age: Duration) -> u32 {
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}

impl Core {
    /// Records a crash of a worker; the result is the task that is to blame, if it is known.
    pub(super) fn note_crash(&mut self, id: &Incarnation, now: Now) -> Option<Task> {
        let worker = self.workers.get(id)?;
        let at = worker.missed.unwrap_or(now.at);
        let unseen = !worker.fenced && worker.runs.is_empty();
        if unseen || self.ends_as_planned(worker, at) {
            return None;
        }
        if let Some(limit) = now.at.checked_sub(REMEMBERED) {
            self.crashes.forget_before(limit);
        }
        let others = self.find_others(id, at, now);
        let many = others.many;
        let runs = worker.runs.iter();
        let live = runs.filter_map(|run| Some((*run, self.runs.get(run)?)));
        let live = live.filter(|(_, live)| live.sent > 0);
        // What another life has begun was not there.
        let live = live.filter(|(_, live)| !live.misdelivered || live.began.is_some());
        let victims: Vec<LostRun> = live
            .map(|(run, live)| self.charge(run, live, worker, &others, now))
            .collect();
        let begun = self.begun_steps(worker, at);
        let crash = Crash {
            at,
            machine: machine_of(worker),
            tasks: victims.iter().map(|victim| victim.run.task).collect(),
            begun,
            tried: self.has_trial(worker, now),
        };
        // One that only fell silent may have been cut off, or have lost power.
        let alone = !many && !is_dark(worker) && self.count_crashes(worker) == 0;
        self.crashes.note(crash);
        // The machine's next life may have been summed up before.
        self.summaries.clear();
        self.counts.crashes += 1;
        let suspects = self.log_state.suspects();
        let known = |task| suspects.get(&task);
        let guilty = alone
            .then(|| blame::find_culprit(&victims, known))
            .flatten();
        tracing::warn!(
            worker = %id,
            runs = victims.len(),
            suspects = victims
                .iter()
                .filter(|it| suspects.contains_key(&it.run.task))
                .count(),
            together = others.together,
            "worker crashed"
        );
        if !victims.is_empty() {
            self.record(LogRecord::Crashed(id.clone(), victims), now);
        }
        guilty
    }

    /// Whether a worker's life was to end, by its own word or by an order.
    fn ends_as_planned(&self, worker: &Worker, at: Duration) -> bool {
        // Some take their entry back without a word, and go on for a while.
        let left = worker.absent.is_some_and(|since| worker.heard > since);
        let remaining = worker.listed.remaining.unwrap_or(Duration::ZERO);
        let drained = worker.draining.is_some_and(|since| at >= since + remaining);
        drained || left || self.is_closed_for_upkeep(worker)
    }

    /// What a crash says of one run.
    fn charge(
        &self,
        run: Run,
        live: &LiveRun,
        worker: &Worker,
        others: &Others,
        now: Now,
    ) -> LostRun {
        let at = others.at;
        // One that was silent at first may have gone on until its connections broke.
        let latest = worker.broke.unwrap_or(now.at);
        // When an earlier owner's run began is not known.
        let known = live.placed > self.began || worker.fenced;
        let age = at.saturating_sub(live.placed);
        let scene = CrashContext {
            age: match live.began {
                _ if !known => Duration::MAX,
                Some(_) => age,
                None => Duration::ZERO,
            },
            begun: matches!(live.stage, Stage::Started(_))
                && !self.may_be_done(run, live, at, latest),
            many: others.many || is_dark(worker),
            alike: self.has_begun_on_others(step_of(run), worker, others),
        };
        LostRun {
            run,
            age: if known { millis(age) } else { 0 },
            weight: scene.weight(),
            begun: scene.begun,
        }
    }

    /// Crashes of a worker's machine that no task explains.
    pub(super) fn count_crashes(&self, worker: &Worker) -> u32 {
        self.crashes.count_at(&machine_of(worker))
    }

    /// Whether a run may have ended before its worker went, which fell silent `at` and went at the
    /// `latest` by then: it was nearly done, or how fast it works is not known and nothing was heard
    /// of it for a while. An end is told at once by a worker that answers.
    fn may_be_done(&self, run: Run, live: &LiveRun, at: Duration, latest: Duration) -> bool {
        let wall = 0;
        let rest = self.remaining_time(run, Now { at: latest, wall });
        let unheard = || latest > at || at > live.moved + JUST_BEGUN;
        let silent = || self.is_short(run) && unheard();
        rest.map_or_else(silent, |rest| rest.is_zero())
    }

    /// Workers that went together with one.
    fn find_others(&self, id: &Incarnation, at: Duration, now: Now) -> Others {
        let mut together = 0;
        let mut untried = 0;
        for crash in self.crashes.near(at) {
            together += 1;
            untried += usize::from(!crash.tried);
        }
        let silent = self
            .workers
            .values()
            .filter(|worker| *worker.incarnation() != *id);
        let mut silent =
            silent.filter(|it| it.missed.is_some_and(|missed| is_simultaneous(missed, at)));
        while untried < MANY
            && let Some(worker) = silent.next()
        {
            together += 1;
            untried += usize::from(!self.has_trial(worker, now));
        }
        Others {
            at,
            together,
            many: untried >= MANY,
        }
    }

    /// Whether runs of a step had just begun on several workers that went together with one.
    fn has_begun_on_others(&self, step: StepKey, worker: &Worker, others: &Others) -> bool {
        let crashed = self.crashes.count_begun(step, others.at);
        if crashed >= ALIKE {
            return true;
        }
        let silent = |live: &LiveRun| {
            let other = self.workers.get(&live.worker)?;
            let missed = other
                .missed
                .filter(|missed| is_simultaneous(*missed, others.at))?;
            (other.incarnation() != worker.incarnation() && live.placed + JUST_BEGUN >= missed)
                .then(|| live.worker.clone())
        };
        let runs = self.runs_of_step(step);
        let silent: BTreeSet<Incarnation> = runs.filter_map(|(_, live)| silent(live)).collect();
        crashed + silent.len() >= ALIKE
    }

    fn begun_steps(&self, worker: &Worker, at: Duration) -> BTreeSet<StepKey> {
        let young = |run: &&Run| {
            let live = self.runs.get(run);
            live.is_some_and(|live| live.placed + JUST_BEGUN >= at)
        };
        worker
            .runs
            .iter()
            .filter(young)
            .map(|run| step_of(*run))
            .collect()
    }

    /// Runs were lost without word of their worker: its lease is over, or no list names it any
    /// more. It may have crashed, so that counts where starts are bounded, and little else.
    pub(super) fn suspect_lost_runs(&mut self, id: &Incarnation, lost: &[Run], now: Now) {
        let sent = |run: &&Run| self.runs.get(run).is_some_and(|live| live.sent > 0);
        let victims = lost.iter().filter(sent).map(|run| LostRun {
            run: *run,
            age: 0,
            weight: blame::LIGHT,
            begun: false,
        });
        let victims: Vec<LostRun> = victims.collect();
        if !victims.is_empty() {
            self.record(LogRecord::Crashed(id.clone(), victims), now);
        }
    }

    /// Gives up the job of a task that crashes its workers.
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
            "job given up: workers crash under one of its tasks");
        self.counts.convicted += 1;
        self.crashes.forget_task(task);
        self.record(LogRecord::Failed(task.job), now);
    }

    /// Gives up a job if one of its tasks has used up its starts.
    pub(super) fn fail_if_crash_limit_reached(&mut self, task: Task, now: Now) {
        if self.has_reached_crash_limit(task) {
            self.fail_crashing_job(task, now);
        }
    }

    /// Whether a task that crashes its workers may not start any more.
    pub(super) fn has_reached_crash_limit(&self, task: Task) -> bool {
        let suspect = self.log_state.suspects().get(&task);
        let last = self.log_state.task(task).map_or(0, |(_, state)| state.last);
        suspect.is_some_and(|suspect| suspect.has_no_starts_left(last))
    }

    /// Clears tasks whose runs have lived for longer than at any crash before.
    pub(super) fn clear_surviving_suspects(&mut self, now: Now) {
        let suspects = self.log_state.suspects().iter();
        let living = suspects.filter(|(task, suspect)| self.has_lived(**task, suspect));
        let living: Vec<Task> = living.map(|(task, _)| *task).collect();
        for task in living {
            tracing::info!(%task, "task is not suspected any more: its run lives on");
            self.counts.absolved += 1;
            self.record(LogRecord::Absolved(task), now);
            self.needs_planning = true;
        }
    }

    fn has_lived(&self, task: Task, suspect: &Suspect) -> bool {
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
            worker.is_some_and(|it| it.heard >= began + suspect.clears_at())
        })
    }

    /// Whether workers crashed under a task, and it is not cleared.
    pub(super) fn is_suspect(&self, task: Task) -> bool {
        self.log_state.suspects().contains_key(&task)
    }

    /// Whether a task is to be tried apart from others.
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
