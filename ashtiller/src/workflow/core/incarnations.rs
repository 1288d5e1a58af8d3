//! The end of a worker's life, whatever tells of it, and the beginning of the next.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;
use std::time::Duration;

use crate::workflow::agents::Order;
use crate::workflow::config::ListedWorker;
use crate::workflow::core::{Core, Effect, Now, OnDurable};
use crate::workflow::incarnation::Incarnation;
use crate::workflow::lease;
use crate::workflow::live_run::{LiveRun, Stage, Stop, StopReason};
use crate::workflow::record::{End, Run};
use crate::workflow::worker::{LATE_MAX, LateRun, Worker};

/// Time for which an entry that names a life which is not there is passed over: long against
/// the moment in which a new life is listed before it answers.
const STRANGER_PAUSE: Duration = Duration::from_secs(5);
/// Such entries that are remembered; some 300 bytes each.
const STRANGERS_MAX: usize = 1000;

/// Lives of the worker with this id among others.
pub(super) fn incarnations_of_id<T>(
    lives: &BTreeMap<Incarnation, T>,
    id: &str,
) -> Vec<Incarnation> {
    let from = (Bound::Included(id), Bound::Unbounded);
    let near = lives.range::<str, _>(from).map(|(life, _)| life);
    let near = near.take_while(|life| life.as_str().starts_with(id));
    near.filter(|life| life.id() == id).cloned().collect()
}

impl Core {
    /// Known lives of the worker with this id.
    fn kin_of(&self, id: &str) -> Vec<Incarnation> {
        incarnations_of_id(&self.workers, id)
    }

    /// Whether an entry lacks the birth that its worker has. Another writer may have put it in
    /// the place of the worker's own, so it says nothing new of it.
    pub(super) fn lacks_incarnation(&self, listed: &ListedWorker) -> bool {
        let kin = || self.kin_of(listed.incarnation.id());
        listed.incarnation.born().is_none() && kin().iter().any(|life| life.born().is_some())
    }

    /// The platform does not list any life of the worker with this id any more.
    pub fn unlist_id(&mut self, id: &str, now: Now) {
        for life in self.kin_of(id) {
            self.unlist_worker(&life, now);
        }
    }

    /// Other lives of the worker or of the machine that an entry names, or at its address.
    fn find_former_lives(&self, listed: &ListedWorker) -> Vec<Incarnation> {
        let is_there = |life: &&Incarnation| {
            self.workers.get(*life).is_some_and(|worker| {
                let same = listed.machine.is_some() && worker.listed.machine == listed.machine;
                same || worker.listed.address == listed.address
            })
        };
        let there = self.places.find(listed).filter(is_there).cloned();
        let mut former: Vec<Incarnation> =
            there.chain(self.kin_of(listed.incarnation.id())).collect();
        former.sort_unstable();
        former.dedup();
        former.retain(|life| *life != listed.incarnation);
        former
    }

    /// Begins to know a life of a worker.
    pub(super) fn add_worker(&mut self, worker: Worker) {
        self.places.note(&worker.listed);
        self.workers.insert(worker.incarnation().clone(), worker);
    }

    /// Ceases to know a life of a worker.
    pub(super) fn remove_worker(&mut self, life: &Incarnation) -> Option<Worker> {
        let worker = self.workers.remove(life)?;
        self.places.forget(&worker.listed);
        self.summaries.remove(life);
        Some(worker)
    }

    /// Another life is listed where workers were: they are looked at. Anyone may have written
    /// the entry, so that it alone ends nothing.
    pub(super) fn poll_former_incarnations(&mut self, listed: &ListedWorker, now: Now) {
        for life in self.find_former_lives(listed) {
            if let Some(worker) = self.workers.get_mut(&life) {
                worker.next_poll = worker.next_poll.min(now.at);
                worker.replaced |= life.is_same_worker(&listed.incarnation);
            }
        }
    }

    /// Runs of an earlier owner may be on a former life of a worker that is listed, which was
    /// over before this owner heard of it. A look tells.
    pub(super) fn add_former_incarnations(&mut self, listed: &ListedWorker, now: Now) {
        for life in self.adopted.incarnations_of_id(listed.incarnation.id()) {
            if self.workers.contains_key(&life) {
                continue;
            }
            let known = ListedWorker {
                incarnation: life.clone(),
                ..listed.clone()
            };
            let mut worker = Worker::new(known, self.earlier_leases_end());
            worker.absent = Some(now.at);
            worker.replaced = true;
            self.add_worker(worker);
            self.seat_adopted(&life);
        }
    }

    /// Whether an entry names a life that was not found where it says, a moment ago.
    pub(super) fn is_stale_entry(&self, listed: &ListedWorker, now: Now) -> bool {
        let known = self.stale_entries.get(&listed.incarnation);
        known.is_some_and(|(entry, until)| entry == listed && now.at < *until)
    }

    /// Another life answers for one whose entry is wrong, or older than what answers.
    fn note_stranger(&mut self, life: &Incarnation, now: Now) {
        let Some(worker) = self.workers.get(life) else {
            return;
        };
        if self.stale_entries.len() >= STRANGERS_MAX {
            self.stale_entries.clear();
        }
        let entry = (worker.listed.clone(), now.at + STRANGER_PAUSE);
        let fresh = self.stale_entries.insert(life.clone(), entry).is_none();
        if fresh && !worker.fenced {
            tracing::warn!(worker = %life, address = %worker.listed.address,
                "entry names a life that is not there");
        }
    }

    /// Another life has answered for a worker; `next` when it said which.
    pub(super) fn note_other_incarnation(
        &mut self,
        life: &Incarnation,
        next: Option<Incarnation>,
        now: Now,
    ) {
        let Some(worker) = self.workers.get(life) else {
            return;
        };
        let Some(next) = next.filter(|next| next.is_same_worker(life) && next != life) else {
            if !worker.fenced {
                self.note_stranger(life, now);
            }
            self.lose_worker(life, "another life answered", now);
            return;
        };
        if !self.workers.contains_key(&next) {
            let listed = ListedWorker {
                incarnation: next.clone(),
                draining: false,
                remaining: None,
                ..worker.listed.clone()
            };
            let mut fresh = Worker::new(listed, self.answered_bound(now));
            // It gets nothing before its own entry says what it has.
            fresh.absent = Some(now.at);
            self.add_worker(fresh);
        }
        self.note_stranger(life, now);
        self.succeed(life, &next, now);
    }

    /// A worker that answers in a new life runs nothing of its former ones.
    pub(super) fn end_former_incarnations(&mut self, life: &Incarnation, now: Now) {
        let Some(listed) = self.workers.get(life).map(|worker| worker.listed.clone()) else {
            return;
        };
        for former in self.find_former_lives(&listed) {
            if former.is_same_worker(life) {
                self.note_stranger(&former, now);
                self.succeed(&former, life, now);
            } else {
                self.lose_worker(&former, "came back under another id", now);
            }
        }
    }

    /// A worker without births has started again: what it says is of another life.
    pub(super) fn restart_in_place(&mut self, life: &Incarnation, now: Now) {
        let entry = |it: &Worker| (it.entered, it.absent, it.draining);
        let entry = self.workers.get(life).map(entry);
        self.succeed(life, life, now);
        // Ends of the former life, which the log has by then.
        self.deferred
            .retain(|(_, then)| !matches!(then, OnDurable::Acknowledge(of, _) if of == life));
        // An entry without a birth is of whichever life is there.
        if let Some(worker) = self.workers.get_mut(life)
            && let Some(entry) = entry
        {
            (worker.entered, worker.absent, worker.draining) = entry;
            worker.former_drains = worker.draining.is_some();
        }
    }

    /// Leases that were granted to a life that has just answered end by this time, those that were
    /// meant for the life before among them.
    fn answered_bound(&self, now: Now) -> Duration {
        let bound = now.at + lease::worst_case_elapsed(self.terms.hold);
        bound.max(self.earlier_leases_end())
    }

    /// A worker has started again under its id. Nothing of its former life runs, but a start
    /// that was sent to it may still be carried out by the next, which the id alone does not
    /// keep from doing so: such runs are stopped there before their tasks start elsewhere.
    fn succeed(&mut self, former: &Incarnation, next: &Incarnation, now: Now) {
        let Some(worker) = self.workers.get(former) else {
            return;
        };
        // Where entries have no births, answers may.
        let learned = !worker.fenced && former.born().is_none() && former != next;
        let runs: Vec<Run> = worker.runs.iter().copied().collect();
        let (moved, lost): (Vec<Run>, Vec<Run>) = runs
            .into_iter()
            .partition(|run| learned || self.may_still_begin(*run, now));
        let acknowledged = worker.ends_recorded;
        let guilty = if learned {
            None
        } else {
            self.note_crash(former, now)
        };
        let Some(mut old) = self.remove_worker(former) else {
            return;
        };
        if !learned {
            self.counts.restarts += 1;
            tracing::warn!(
                worker = former.id(),
                former = former.born(),
                born = next.born(),
                lost = lost.len(),
                in_doubt = moved.len(),
                acknowledged,
                silent_ms = old
                    .missed
                    .map_or(0, |since| now.at.saturating_sub(since).as_millis()),
                "worker has started again under its id"
            );
        }
        self.raise_fence(next, now);
        let bound = self.answered_bound(now);
        if !self.workers.contains_key(next) {
            self.add_worker(Worker::new(old.listed.clone(), bound));
        }
        if let Some(worker) = self.workers.get_mut(next) {
            worker.take_over_from(&mut old, self.terms.hold);
        }
        for run in lost {
            self.end_run(run, End::Lost, &Arc::from(""), now);
        }
        for run in moved {
            self.move_to_next(run, next, !learned);
        }
        if let Some(task) = guilty {
            self.fail_crashing_job(task, now);
        }
        self.needs_planning = true;
    }

    /// Whether a start of a run may be carried out later, by a life that knows nothing of it:
    /// the former one never listed the run, or a start was not answered.
    fn may_still_begin(&self, run: Run, now: Now) -> bool {
        let Some(live) = self.runs.get(&run) else {
            return false;
        };
        let adopted = live.placed <= self.began && now.at < self.began + LATE_MAX;
        let in_doubt = live.in_doubt.is_some_and(|until| now.at < until);
        live.sent > 0 && (adopted || in_doubt || live.began.is_none())
    }

    fn move_to_next(&mut self, run: Run, next: &Incarnation, stop: bool) {
        let Some(mut live) = self.runs.remove(&run) else {
            return;
        };
        self.release(run, &live);
        live.worker = next.clone();
        live.stage = Stage::Starting;
        live.ordering = false;
        live.retry = Duration::ZERO;
        live.began = None;
        if let Stop::Confirmed(_) = live.stop {
            live.stop = Stop::None;
        }
        if stop {
            live.want_stop(StopReason::Restarted);
        }
        self.runs.insert(run, live);
        self.allocate(run, next);
    }

    /// A run has ended here, and a start of it may still be carried out: not by this life, which
    /// remembers the end, but by its next one.
    pub(super) fn note_unconfirmed_start(&mut self, run: Run, live: &LiveRun, now: Now) {
        let Some(until) = live.in_doubt.filter(|until| now.at < *until) else {
            return;
        };
        let Some(name) = self.task_name(run) else {
            return;
        };
        if let Some(worker) = self.workers.get_mut(&live.worker) {
            worker.late.retain(|it| now.at < it.until);
            worker.late.push(LateRun { run, name, until });
        }
    }

    /// Stops at a life that answers for the first time what may still come for the one before.
    pub(super) fn stop_unconfirmed_starts(&mut self, life: &Incarnation, now: Now) {
        let (limit, fence) = (self.order_timeout(), self.fences.of(life));
        let Some(worker) = self.workers.get_mut(life) else {
            return;
        };
        let late = std::mem::take(&mut worker.late);
        let target = worker.target(fence, limit);
        for LateRun { run, name, .. } in late.into_iter().filter(|it| now.at < it.until) {
            let order = Order::Stop(name, run.number);
            self.pressure.note_sent();
            self.effects.push(Effect::Order(target.clone(), run, order));
        }
    }

    /// A worker's life is over: nothing of it runs.
    pub(super) fn lose_worker(&mut self, life: &Incarnation, cause: &str, now: Now) {
        let Some(worker) = self.workers.get(life) else {
            return;
        };
        let runs: Vec<Run> = worker.runs.iter().copied().collect();
        tracing::info!(
            worker = %life,
            cause,
            runs = runs.len(),
            "worker's life is over"
        );
        let guilty = self.note_crash(life, now);
        for run in runs {
            self.end_run(run, End::Lost, &Arc::from(""), now);
        }
        if let Some(task) = guilty {
            self.fail_crashing_job(task, now);
        }
        self.remove_worker(life);
    }
}
