//! Changes of a worker's incarnation: what ends the old one, and how the next one takes over.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;
use std::time::Duration;

use crate::workflow::config::ListedWorker;
use crate::workflow::core::{Core, Now, OnDurable};
use crate::workflow::incarnation::Incarnation;
use crate::workflow::lease;
use crate::workflow::live_run::{Stage, Stop, StopReason};
use crate::workflow::record::{End, Run};
use crate::workflow::worker::Worker;

/// How long an entry that names an incarnation that is not there is ignored. This is much longer
/// than the moment between the listing of a new incarnation and its first reply.
const STALE_ENTRY_PAUSE: Duration = Duration::from_secs(5);
/// Limit of such entries that are remembered; each takes some 300 bytes.
const STALE_ENTRIES_MAX: usize = 1000;

/// Returns the incarnations of the worker with this id among the keys of a map.
pub(super) fn incarnations_of_id<T>(
    incarnations: &BTreeMap<Incarnation, T>,
    id: &str,
) -> Vec<Incarnation> {
    let from = (Bound::Included(id), Bound::Unbounded);
    let near = incarnations
        .range::<str, _>(from)
        .map(|(incarnation, _)| incarnation);
    let near = near.take_while(|incarnation| incarnation.as_str().starts_with(id));
    near.filter(|incarnation| incarnation.id() == id)
        .cloned()
        .collect()
}

impl Core {
    /// Returns the known incarnations of the worker with this id.
    fn incarnations_of(&self, id: &str) -> Vec<Incarnation> {
        incarnations_of_id(&self.workers, id)
    }

    /// Returns whether an entry lacks the incarnation number that its worker is known to have.
    /// Another writer may have put it in the place of the worker's own entry, so it says nothing
    /// new about the worker.
    pub(super) fn lacks_incarnation(&self, listed: &ListedWorker) -> bool {
        let incarnations = || self.incarnations_of(listed.incarnation.id());
        listed.incarnation.born().is_none()
            && incarnations()
                .iter()
                .any(|incarnation| incarnation.born().is_some())
    }

    /// Records that the platform no longer lists any incarnation of the worker with this id.
    pub fn unlist_id(&mut self, id: &str, now: Now) {
        for incarnation in self.incarnations_of(id) {
            self.unlist_worker(&incarnation, now);
        }
    }

    /// Returns the other incarnations of the worker, of its machine, or at its address.
    fn find_former_incarnations(&self, listed: &ListedWorker) -> Vec<Incarnation> {
        let at_place = |incarnation: &&Incarnation| {
            self.workers.get(*incarnation).is_some_and(|worker| {
                let same = listed.machine.is_some() && worker.listed.machine == listed.machine;
                same || worker.listed.address == listed.address
            })
        };
        let there = self.locations.find(listed).filter(at_place).cloned();
        let mut former: Vec<Incarnation> = there
            .chain(self.incarnations_of(listed.incarnation.id()))
            .collect();
        former.sort_unstable();
        former.dedup();
        former.retain(|incarnation| *incarnation != listed.incarnation);
        former
    }

    /// Adds an incarnation of a worker.
    pub(super) fn add_worker(&mut self, worker: Worker) {
        self.locations.insert(&worker.listed);
        self.workers.insert(worker.incarnation().clone(), worker);
    }

    /// Removes an incarnation of a worker.
    pub(super) fn remove_worker(&mut self, incarnation: &Incarnation) -> Option<Worker> {
        self.clear_orphans(incarnation);
        let worker = self.workers.remove(incarnation)?;
        self.locations.remove(&worker.listed);
        self.candidate_cache.remove(incarnation);
        self.note_former_machine(&worker.listed);
        Some(worker)
    }

    /// Polls the known workers at the place where another incarnation is listed. Anyone may have
    /// written the entry, so it alone does not end them.
    pub(super) fn poll_former_incarnations(&mut self, listed: &ListedWorker, now: Now) {
        for incarnation in self.find_former_incarnations(listed) {
            if let Some(worker) = self.workers.get_mut(&incarnation) {
                worker.next_poll = worker.next_poll.min(now.at);
                if incarnation.is_same_worker(&listed.incarnation) {
                    worker.replaced_since = Some(now.at);
                }
            }
        }
    }

    /// Adds former incarnations of a listed worker that runs of an earlier owner are placed on.
    /// They may have ended before this owner learned of them, which a poll tells.
    pub(super) fn add_former_incarnations(&mut self, listed: &ListedWorker, now: Now) {
        let mut former = self.adopted.incarnations_of_id(listed.incarnation.id());
        // The listed incarnation may have such runs as well, and nothing has replaced it.
        former.retain(|incarnation| *incarnation != listed.incarnation);
        for incarnation in former {
            if self.workers.contains_key(&incarnation) {
                continue;
            }
            let known = ListedWorker {
                incarnation: incarnation.clone(),
                ..listed.clone()
            };
            let mut worker = Worker::new(known, self.earlier_leases_end());
            worker.unlisted_since = Some(now.at);
            worker.replaced_since = Some(now.at);
            self.add_worker(worker);
            self.allocate_adopted_runs(&incarnation);
        }
    }

    /// Returns whether an entry names an incarnation that was recently not found at its address.
    pub(super) fn is_stale_entry(&self, listed: &ListedWorker, now: Now) -> bool {
        let known = self.stale_entries.get(&listed.incarnation);
        known.is_some_and(|(entry, until)| entry == listed && now.at < *until)
    }

    /// Remembers an entry that is wrong or older than the incarnation that answered in its place.
    pub(super) fn note_stale_entry(&mut self, incarnation: &Incarnation, now: Now) {
        let Some(worker) = self.workers.get(incarnation) else {
            return;
        };
        if self.stale_entries.len() >= STALE_ENTRIES_MAX {
            self.stale_entries.clear();
        }
        let entry = (worker.listed.clone(), now.at + STALE_ENTRY_PAUSE);
        let fresh = self
            .stale_entries
            .insert(incarnation.clone(), entry)
            .is_none();
        if fresh && !worker.fenced {
            tracing::warn!(worker = %incarnation, address = %worker.listed.address,
                "entry names an incarnation that is not there");
        }
    }

    /// Handles the reply of another incarnation than the one addressed; `next` is set if it named
    /// itself.
    pub(super) fn note_other_incarnation(
        &mut self,
        incarnation: &Incarnation,
        next: Option<Incarnation>,
        now: Now,
    ) {
        let Some(worker) = self.workers.get(incarnation) else {
            return;
        };
        let Some(next) =
            next.filter(|next| next.is_same_worker(incarnation) && next != incarnation)
        else {
            if !worker.fenced {
                self.note_stale_entry(incarnation, now);
            }
            self.lose_worker(incarnation, "another incarnation answered", now);
            return;
        };
        if !self.workers.contains_key(&next) {
            let listed = ListedWorker {
                incarnation: next.clone(),
                draining: false,
                remaining: None,
                ..worker.listed.clone()
            };
            let mut fresh = Worker::new(listed, self.answered_leases_end(now));
            // Nothing is placed on it before its own entry tells its capacity.
            fresh.unlisted_since = Some(now.at);
            self.add_worker(fresh);
        }
        self.note_stale_entry(incarnation, now);
        self.replace_incarnation(incarnation, &next, now);
    }

    /// Ends the former incarnations of a worker that has answered; nothing runs on them any more.
    pub(super) fn end_former_incarnations(&mut self, incarnation: &Incarnation, now: Now) {
        let Some(listed) = self
            .workers
            .get(incarnation)
            .map(|worker| worker.listed.clone())
        else {
            return;
        };
        for former in self.find_former_incarnations(&listed) {
            if former.is_same_worker(incarnation) {
                self.note_stale_entry(&former, now);
                self.replace_incarnation(&former, incarnation, now);
            } else {
                self.lose_worker(&former, "came back under another id", now);
            }
        }
    }

    /// Handles the restart of a worker whose entries carry no incarnation number: its reports are
    /// those of another incarnation.
    pub(super) fn restart_in_place(&mut self, incarnation: &Incarnation, now: Now) {
        let entry = |it: &Worker| (it.has_entry, it.unlisted_since, it.draining_since);
        let entry = self.workers.get(incarnation).map(entry);
        self.replace_incarnation(incarnation, incarnation, now);
        // These ends belong to the former incarnation, and are in the log by then.
        self.deferred.retain(
            |(_, then)| !matches!(then, OnDurable::Acknowledge(of, _) if of == incarnation),
        );
        // An entry without an incarnation number belongs to whichever incarnation is there.
        if let Some(worker) = self.workers.get_mut(incarnation)
            && let Some(entry) = entry
        {
            (
                worker.has_entry,
                worker.unlisted_since,
                worker.draining_since,
            ) = entry;
            // An entry that no longer drains is that of the new incarnation already.
            worker.draining_since = worker.draining_since.filter(|_| worker.listed.draining);
            worker.former_drains = worker.draining_since.is_some();
        }
    }

    /// Returns when all leases have ended that were granted to an incarnation that has just
    /// answered, those meant for its predecessor included.
    fn answered_leases_end(&self, now: Now) -> Duration {
        let bound = now.at + lease::worst_case_elapsed(self.tuning.hold);
        bound.max(self.earlier_leases_end())
    }

    /// Replaces a worker's incarnation by the next one under the same id. Nothing of the former one
    /// runs any more, but a start that was sent to it may still be carried out by the next one, as
    /// the id alone does not prevent that. Such runs are stopped there before their tasks start
    /// elsewhere.
    fn replace_incarnation(&mut self, former: &Incarnation, next: &Incarnation, now: Now) {
        let Some(worker) = self.workers.get(former) else {
            return;
        };
        // Replies may carry an incarnation number where entries do not.
        let number_learned = !worker.fenced && former.born().is_none() && former != next;
        let runs: Vec<Run> = worker.runs.iter().copied().collect();
        let (moved, lost): (Vec<Run>, Vec<Run>) = runs
            .into_iter()
            .partition(|run| number_learned || self.may_still_begin(*run, now));
        let acknowledged = worker.ends_recorded;
        let culprit = if number_learned {
            None
        } else {
            self.record_crash(former, now)
        };
        let Some(mut old) = self.remove_worker(former) else {
            return;
        };
        if !number_learned {
            self.counts.restarts += 1;
            tracing::warn!(
                worker = former.id(),
                former = former.born(),
                born = next.born(),
                lost = lost.len(),
                in_doubt = moved.len(),
                acknowledged,
                silent_ms = old
                    .silent_since
                    .map_or(0, |since| now.at.saturating_sub(since).as_millis()),
                "worker has restarted under its id"
            );
        }
        self.raise_fence(next, now);
        let bound = self.answered_leases_end(now);
        if !self.workers.contains_key(next) {
            self.add_worker(Worker::new(old.listed.clone(), bound));
        }
        if let Some(worker) = self.workers.get_mut(next) {
            // It may have been listed already, with a bound that knows nothing of these runs. If it
            // has answered, and nothing was sent to the other one, there is nothing to know.
            let unused = !old.fenced && old.ordered.is_zero();
            if !(worker.fenced && unused) {
                worker.lease.extend(bound);
            }
            worker.take_over_from(&mut old, self.tuning.hold);
        }
        for run in lost {
            self.end_run(run, End::Lost, &Arc::from(""), now);
        }
        for run in moved {
            if let Some(live) = self.runs.get(&run).cloned() {
                self.note_awaited_start(run, &live, End::Lost, now);
            }
            if !number_learned {
                self.note_adopted_start(run, former, now);
            }
            self.move_to_next_incarnation(run, next, !number_learned);
        }
        if let Some(task) = culprit {
            self.fail_crashing_job(task, now);
        }
        self.needs_planning = true;
    }

    /// Returns whether a start of a run may still be carried out by an incarnation that does not
    /// know the run: the former one never listed it, or a start was not answered.
    fn may_still_begin(&self, run: Run, now: Now) -> bool {
        let Some(live) = self.runs.get(&run) else {
            return false;
        };
        let adopted = self.may_have_earlier_start(live, now);
        let in_doubt = live.in_doubt.is_some_and(|until| now.at < until);
        live.sent > 0 && (adopted || in_doubt || live.began.is_none())
    }

    fn move_to_next_incarnation(&mut self, run: Run, next: &Incarnation, stop: bool) {
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

    /// Ends a worker's incarnation: all runs on it are lost.
    pub(super) fn lose_worker(&mut self, incarnation: &Incarnation, cause: &str, now: Now) {
        let Some(worker) = self.workers.get(incarnation) else {
            return;
        };
        let runs: Vec<Run> = worker.runs.iter().copied().collect();
        tracing::info!(
            worker = %incarnation,
            cause,
            runs = runs.len(),
            "worker's incarnation has ended"
        );
        let culprit = self.record_crash(incarnation, now);
        for run in runs {
            self.end_run(run, End::Lost, &Arc::from(""), now);
        }
        if let Some(task) = culprit {
            self.fail_crashing_job(task, now);
        }
        self.remove_worker(incarnation);
    }
}
