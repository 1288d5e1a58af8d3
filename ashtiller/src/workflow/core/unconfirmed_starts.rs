//! Starts that got no reply, and where the next run of their task may be placed.
//!
//! Such a start may still be carried out for [`LATE_MAX`], by whichever incarnation of the worker
//! lives then. An incarnation that has answered a poll with a higher fence rejects it, but a later
//! incarnation knows no fence. So until that time the task stays with the worker: at most one
//! incarnation of it lives, and a list of that one shows whether it has carried out the start.
//!
//! The log holds these starts, because the doubt outlasts the owner that sent them.

use std::time::Duration;

use crate::workflow::core::{Core, Now, incarnations, orders};
use crate::workflow::incarnation::Incarnation;
use crate::workflow::lease;
use crate::workflow::live_run::{LiveRun, Stage};
use crate::workflow::record::{End, LogRecord, Run, Task};
use crate::workflow::state::UnconfirmedStart;
use crate::workflow::worker::{LATE_MAX, Worker};

/// Time within which a new incarnation is listed, unless the store is unavailable.
const LISTING_MAX: Duration = Duration::from_secs(3);

/// Where the next run of a task may be placed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Site {
    /// On any worker.
    Any,
    /// On this worker only.
    Only(Incarnation),
    /// Nowhere for now.
    Nowhere,
}

impl Core {
    /// Records that a start of a run got no reply, unless the incarnation that it was sent to has
    /// listed the run since.
    pub(super) fn note_unanswered_start(&mut self, run: Run, worker: &Incarnation, now: Now) {
        let here = self.runs.get(&run).is_some_and(|it| it.worker == *worker);
        if !(here && self.is_only_start_listed(run)) {
            self.note_unconfirmed_start(run, worker, now);
        }
    }

    /// Returns whether a run has had one start only, and its worker has listed the run.
    pub(super) fn is_only_start_listed(&self, run: Run) -> bool {
        let live = self.runs.get(&run);
        live.is_some_and(|live| live.began.is_some() && self.has_single_start(live))
    }

    /// Records that a start of a run may still be carried out.
    pub(super) fn note_unconfirmed_start(&mut self, run: Run, worker: &Incarnation, now: Now) {
        if self.log_state.excludes_copies(run.task) {
            self.counts.unconfirmed += 1;
            tracing::info!(task = %run.task, run = run.number, %worker,
                epoch = self.epoch, left_ms = LATE_MAX.as_millis(),
                "start may still be carried out: the task stays with this worker");
            self.record(LogRecord::StartUnconfirmed(run, worker.clone()), now);
        }
    }

    /// Returns whether a start of a run is recorded as unconfirmed.
    pub(super) fn has_unconfirmed_start(&self, run: Run) -> bool {
        let starts = self.log_state.unconfirmed().get(&run.task);
        let mut starts = starts.into_iter().flatten();
        starts.any(|start| start.run == run.number)
    }

    /// Records the start of a run that ends while its reply is still awaited.
    pub(super) fn note_awaited_start(&mut self, run: Run, live: &LiveRun, reported: End, now: Now) {
        let ended_itself = matches!(reported, End::Done | End::Failed);
        let listed = ended_itself && self.has_single_start(live);
        let completes = self.log_state.effective_end(run.task, reported) == End::Done;
        if !completes && !listed && live.ordering && live.stage == Stage::Starting {
            self.note_unconfirmed_start(run, &live.worker, now);
        }
    }

    /// Records that the start of an earlier owner's run may still be carried out by its worker, which
    /// has restarted.
    pub(super) fn note_adopted_start(&mut self, run: Run, former: &Incarnation, now: Now) {
        self.record_former_start(run, former, now);
        let live = self
            .runs
            .get(&run)
            .filter(|_| !self.has_unconfirmed_start(run));
        if live.is_some_and(|live| self.may_have_earlier_start(live, now)) {
            self.note_unconfirmed_start(run, former, now);
        }
    }

    /// Records the start of an earlier owner's run that its worker refuses because the run has ended
    /// there. That owner has sent the start, and ended before it could record what became of it.
    pub(super) fn note_refused_start(&mut self, run: Run, now: Now) {
        if let Some(worker) = self.runs.get(&run).map(|live| live.worker.clone()) {
            self.note_adopted_start(run, &worker, now);
        }
    }

    /// Returns whether an earlier owner may have sent a start that can still be carried out.
    pub(super) fn may_have_earlier_start(&self, live: &LiveRun, now: Now) -> bool {
        live.placed <= self.began && now.at < self.earlier_starts_end()
    }

    /// Returns whether a run has had one start only, and no other incarnation answered it.
    fn has_single_start(&self, live: &LiveRun) -> bool {
        live.sent == 1 && live.placed > self.began && !live.misdelivered
    }

    /// Returns when no start that an earlier owner sent can be carried out any more.
    pub(super) fn earlier_starts_end(&self) -> Duration {
        self.earlier_calls_end() + LATE_MAX
    }

    /// Settles the only start of a run once the incarnation that it was sent to lists the run.
    pub(super) fn settle_listed_start(&mut self, run: Run, now: Now) {
        self.settle_former_start(run, now);
        let Some(starts) = self.log_state.unconfirmed().get(&run.task) else {
            return;
        };
        let Some(live) = self.runs.get(&run) else {
            return;
        };
        let mut starts = starts
            .iter()
            .filter(|start| start.run == run.number)
            .peekable();
        let unconfirmed = starts.peek().is_some();
        let here = starts.all(|start| start.worker == live.worker);
        if !unconfirmed || !here || !self.has_single_start(live) {
            return;
        }
        self.record(LogRecord::StartSettled(run), now);
        if let Some(live) = self.runs.get_mut(&run) {
            live.in_doubt = None;
        }
    }

    /// Records that a run has ended or was stopped on an incarnation, which then rejects its starts.
    pub(super) fn note_ended_run(&mut self, run: Run, worker: &Incarnation) {
        if self.log_state.unconfirmed().contains_key(&run.task)
            && let Some(worker) = self.workers.get_mut(worker)
        {
            let latest = worker.ended_runs.entry(run.task).or_default();
            *latest = run.number.max(*latest);
        }
    }

    /// Settles the starts that can no longer be carried out, or whose runs have ended if they were.
    pub(super) fn settle_expired_starts(&mut self, now: Now) {
        let unconfirmed = self.log_state.unconfirmed().iter();
        let expired = unconfirmed.flat_map(|(task, starts)| {
            let numbers = starts.iter().map(|start| start.run);
            let expired = |number: &u32| {
                let mut starts = starts.iter().filter(|start| start.run == *number);
                starts.all(|start| self.has_expired(start, now))
            };
            numbers.filter(expired).map(|number| Run {
                task: *task,
                number,
            })
        });
        let mut expired: Vec<Run> = expired.collect();
        expired.dedup();
        for run in expired {
            let starts = self.log_state.unconfirmed().get(&run.task);
            let starts = starts.into_iter().flatten();
            let since = starts
                .filter(|start| start.run == run.number)
                .map(|start| start.since);
            let age = since.max().map(|since| now.at.saturating_sub(since));
            tracing::info!(task = %run.task, run = run.number, age_ms = age.map(|age| age.as_millis()),
                "unanswered start can no longer be carried out");
            self.record(LogRecord::StartSettled(run), now);
            self.needs_planning = true;
        }
    }

    /// Returns whether a start can no longer be carried out, and neither can a run be active that
    /// it began unnoticed: no process of this id runs any more, an incarnation of the worker has
    /// listed its runs since, none is left, or the lease that came with the start has expired.
    fn has_expired(&self, start: &UnconfirmedStart, now: Now) -> bool {
        if self.is_id_retired(start.worker.id()) {
            return true;
        }
        let last = self.last_sending_of(start) + LATE_MAX;
        if now.at < last {
            return false;
        }
        let incarnations = incarnations::incarnations_of_id(&self.workers, start.worker.id());
        let workers = incarnations.iter().filter_map(|id| self.workers.get(id));
        let mut listed = workers
            .clone()
            .filter(|worker| worker.unlisted_since.is_none());
        let mut heard = workers.filter(|worker| worker.answers && worker.poll_sent >= last);
        heard.next().is_some()
            || (listed.next().is_none() && self.listed_at >= last + LISTING_MAX)
            || now.at >= last + lease::worst_case_elapsed(self.tuning.hold)
    }

    /// Returns where the next run of a task may be placed.
    pub(super) fn site_of(&self, task: Task) -> Site {
        let starts = self.log_state.unconfirmed().get(&task);
        let is_orphaned = self.orphans.has_task(task);
        if (starts.is_none() && !is_orphaned) || !self.log_state.excludes_copies(task) {
            return Site::Any;
        }
        let Some(starts) = starts.filter(|_| !is_orphaned) else {
            return Site::Nowhere;
        };
        let Some(first) = starts.first() else {
            return Site::Any;
        };
        let same = |start: &UnconfirmedStart| start.worker.is_same_worker(&first.worker);
        if !starts.iter().all(same) || starts.len() >= orders::UNANSWERED_MAX as usize {
            return Site::Nowhere;
        }
        // The next attempt may fail there as well, and must not be the last one.
        let failed_on = self.log_state.task(task).map(|(_, state)| &state.failed_on);
        let failed_there = |id: &Incarnation| id.is_same_worker(&first.worker);
        if failed_on.is_some_and(|them| them.iter().any(failed_there))
            && self.attempts_left(task) == Some(1)
        {
            return Site::Nowhere;
        }
        let latest = starts.iter().map(|start| start.run).max().unwrap_or(0);
        let run = Run {
            task,
            number: latest,
        };
        self.find_listing_incarnation(first.worker.id(), run)
            .map_or(Site::Nowhere, Site::Only)
    }

    /// Returns the incarnation of a worker that rejects all starts of a run and has listed what it
    /// had carried out before.
    fn find_listing_incarnation(&self, id: &str, run: Run) -> Option<Incarnation> {
        let incarnations = incarnations::incarnations_of_id(&self.workers, id);
        incarnations.into_iter().find(|incarnation| {
            let worker = &self.workers[incarnation];
            worker.fenced && worker.answers && self.rejects_starts(run, worker)
        })
    }

    /// Returns whether a worker rejects the starts of a run that were sent before.
    fn rejects_starts(&self, run: Run, worker: &Worker) -> bool {
        let ended = worker.ended_runs.get(&run.task);
        ended.is_some_and(|latest| *latest >= run.number)
            || self.fences.rejects_earlier_calls(worker)
    }

    /// Returns whether a worker rejects all unconfirmed starts of earlier runs of a task. After a
    /// failed call it may be an incarnation that has carried out one of them.
    pub(super) fn rejects_former_runs(&self, run: Run, worker: &Worker) -> bool {
        let starts = self.log_state.unconfirmed().get(&run.task);
        let former = starts.into_iter().flatten().map(|start| start.run);
        former
            .filter(|number| *number < run.number)
            .max()
            .is_none_or(|number| {
                let task = run.task;
                self.rejects_starts(Run { task, number }, worker)
            })
    }
}
