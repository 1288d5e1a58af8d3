//! Which workers there are, and what becomes of runs whose worker goes.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::workflow::config::ListedWorker;
use crate::workflow::core::{Core, Now};
use crate::workflow::incarnation::Incarnation;
use crate::workflow::lease;
use crate::workflow::live_run::{Stage, Stop, StopReason};
use crate::workflow::record::{End, LogRecord, Run};
use crate::workflow::worker::{LATE_MAX, Worker};

/// How long a worker that is not listed and runs nothing is remembered.
const FORGET: Duration = Duration::from_secs(10);
/// Time before the end of a draining worker by which its runs should be stopped,
/// so that the last checkpoint is reported: a stop may take most of a second.
const DRAIN_MARGIN: Duration = Duration::from_millis(1200);
/// Time for which a worker must be missing in the platform's list before it counts as
/// about to leave: an outage of the store is noticed within it.
const UNLISTED_MIN: Duration = Duration::from_millis(500);

/// A worker that is about to leave.
struct Leaving {
    since: Duration,
    /// Time that was left then, at least.
    left: Duration,
    /// Whether it said so.
    told: bool,
}

impl Core {
    /// The platform lists a worker.
    pub fn list_worker(&mut self, mut listed: ListedWorker, now: Now) {
        listed.service = self.intern_service(&listed.service);
        if self.is_known(&listed) {
            return;
        }
        if self.lacks_incarnation(&listed) || self.is_stale_entry(&listed, now) {
            return;
        }
        self.needs_planning = true;
        self.poll_former_incarnations(&listed, now);
        let life = listed.incarnation.clone();
        let bound = self.earlier_leases_end();
        let draining = listed.draining;
        self.summaries.remove(&life);
        self.add_former_incarnations(&listed, now);
        if let Some(known) = self.workers.get(&life) {
            self.places.forget(&known.listed);
        }
        self.places.note(&listed);
        let worker = self.workers.entry(life.clone()).or_insert_with(|| {
            tracing::info!(worker = %life, service = %listed.service, address = %listed.address, "worker listed");
            Worker::new(listed.clone(), bound)
        });
        worker.resize(listed.capacity);
        worker.listed = listed;
        worker.entered = true;
        worker.absent = None;
        // Starts may have waited for it to be listed again.
        worker.wake();
        if draining && worker.draining.is_none() {
            tracing::info!(worker = %life, left = ?worker.listed.remaining, "worker drains");
            worker.draining = Some(now.at);
        }
        if !draining && worker.former_drains {
            // Its next life has written this entry.
            worker.draining = None;
            worker.former_drains = false;
        }
        self.seat_adopted(&life);
    }

    /// Whether a list says of a worker what was known before. Lists of all workers come
    /// several times a second, and to look for former lives of each among all others took a
    /// quarter of the processor time of an owner of 890 workers.
    fn is_known(&self, listed: &ListedWorker) -> bool {
        self.workers.get(&listed.incarnation).is_some_and(|worker| {
            worker.absent.is_none() && !listed.draining && worker.listed == *listed
        })
    }

    /// Leases that earlier owners granted end by this time.
    pub(super) fn earlier_leases_end(&self) -> Duration {
        let granted = self
            .former_owner_ended_at
            .unwrap_or(self.began + self.terms.horizon);
        granted + lease::worst_case_elapsed(self.terms.lease)
    }

    /// The owner at this epoch, which this one replaced, has ended; 0 when there was none.
    /// What it granted before ends within a lease from now, and what was granted by owners
    /// before it does if it knew so much of them. Without that proof the new owner waits
    /// for the longest time that one without the store may have gone on: 17 s, in which
    /// tasks on workers that are gone run nowhere.
    pub fn note_former_owner_ended(&mut self, former: u64, now: Now) {
        if self.former_owner_ended_at.is_some() || self.log_state.cleared < former {
            return;
        }
        self.note_cleared(now);
        let bound = self.earlier_leases_end();
        tracing::info!(
            former,
            bound_ms = bound.as_millis(),
            "no earlier owner grants leases any more"
        );
        for worker in self.workers.values_mut().filter(|worker| !worker.fenced) {
            worker.lease.fence(now.at, self.terms.lease);
        }
    }

    fn note_cleared(&mut self, now: Now) {
        self.former_owner_ended_at = Some(now.at);
        self.record(LogRecord::Cleared(self.epoch), now);
    }

    /// Counts the runs of earlier owners in a worker's room.
    pub(super) fn seat_adopted(&mut self, id: &Incarnation) {
        for run in self.adopted.take(id) {
            let here = self.runs.get(&run).is_some_and(|live| live.worker == *id);
            let worker = self.workers.get(id);
            if here && worker.is_some_and(|worker| !worker.runs.contains(&run)) {
                self.allocate(run, id);
            }
        }
    }

    /// The platform does not list a worker any more.
    pub fn unlist_worker(&mut self, id: &Incarnation, now: Now) {
        if let Some(worker) = self.workers.get_mut(id)
            && worker.absent.is_none()
        {
            tracing::info!(worker = %id, runs = worker.runs.len(), "worker not listed");
            worker.absent = Some(now.at);
        }
    }

    /// The platform lists exactly these workers.
    pub fn list_all(&mut self, listed: Vec<ListedWorker>, now: Now) {
        self.list_all_except_unreadable(listed, &[], now);
    }

    /// The platform lists exactly these workers, and some whose entries cannot be read: of
    /// them nothing new is known.
    pub fn list_all_except_unreadable(
        &mut self,
        listed: Vec<ListedWorker>,
        unread: &[Arc<str>],
        now: Now,
    ) {
        let named: BTreeSet<&Incarnation> =
            listed.iter().map(|worker| &worker.incarnation).collect();
        let unread: BTreeSet<&str> = unread.iter().map(|id| &**id).collect();
        // An entry without a birth says nothing new of a worker that has one.
        let lacking = listed
            .iter()
            .filter(|worker| self.lacks_incarnation(worker));
        let lacking: BTreeSet<&str> = lacking.map(|worker| worker.incarnation.id()).collect();
        let silent = |life: &Incarnation| unread.contains(life.id()) || lacking.contains(life.id());
        let gone = self.workers.keys();
        let gone = gone.filter(|life| !named.contains(life) && !silent(life));
        let gone: Vec<Incarnation> = gone.cloned().collect();
        for id in gone {
            self.unlist_worker(&id, now);
        }
        for worker in listed {
            self.list_worker(worker, now);
        }
    }

    /// Runs of an earlier owner on workers that were never listed since waited for the
    /// longest lease that the owner may have granted.
    fn lose_ghosts(&mut self, now: Now) {
        let lost: Vec<Run> = self
            .runs
            .iter()
            .filter(|(_, live)| !self.workers.contains_key(&live.worker))
            .map(|(run, _)| *run)
            .collect();
        self.suspect_lost_runs(&Incarnation::from(""), &lost, now);
        self.adopted.clear();
        for run in lost {
            self.end_run(run, End::Lost, &Arc::from(""), now);
        }
    }

    /// One string for each name of a service.
    pub(super) fn intern_service(&mut self, name: &Arc<str>) -> Arc<str> {
        if let Some(known) = self.services.get(name) {
            return known.clone();
        }
        self.services.insert(name.clone());
        name.clone()
    }

    /// Runs on a worker whose lease is over for certain are lost.
    pub(super) fn expire_leases(&mut self, now: Now) {
        if self.awaits_unlisted_workers && now.at >= self.earlier_leases_end() {
            self.awaits_unlisted_workers = false;
            self.lose_ghosts(now);
            if self.former_owner_ended_at.is_none() {
                self.note_cleared(now);
            }
        }
        let over = self.workers.values().filter(|worker| {
            !worker.runs.is_empty() && !worker.answers && worker.lease.bound() < now.at
        });
        let over: Vec<Incarnation> = over.map(|worker| worker.incarnation().clone()).collect();
        for id in over {
            let worker = &self.workers[&id];
            let over = |run: &Run| !(worker.replaced && self.may_outlast(*run, now));
            let runs: Vec<Run> = worker.runs.iter().copied().filter(over).collect();
            self.suspect_lost_runs(&id, &runs, now);
            for run in runs {
                self.end_run(run, End::Lost, &Arc::from(""), now);
            }
        }
    }

    /// Whether a run may go on at its worker's next life although the lease of this one is over:
    /// that life may have carried out a start that was not answered, and holds a lease by its own
    /// clock then. Which starts of earlier owners were answered is not known.
    fn may_outlast(&self, run: Run, now: Now) -> bool {
        let Some(live) = self.runs.get(&run) else {
            return false;
        };
        let adopted = (live.placed <= self.began).then_some(self.began + LATE_MAX);
        let doubt = live.in_doubt.max(adopted);
        doubt.is_some_and(|until| now.at < until + lease::worst_case_elapsed(self.terms.hold))
    }

    /// Forgets workers that are gone and run nothing.
    pub(super) fn forget_absent_workers(&mut self, now: Now) {
        let gone = self.workers.values().filter(|worker| {
            let absent = worker.absent;
            worker.runs.is_empty() && absent.is_some_and(|since| now.at > since + FORGET)
        });
        let gone: Vec<Incarnation> = gone.map(|worker| worker.incarnation().clone()).collect();
        for id in gone {
            self.remove_worker(&id);
        }
    }

    /// Moves off workers that are about to leave what would not end in time.
    pub(super) fn drain_leaving_workers(&mut self, now: Now) {
        let mut moved = Vec::new();
        for worker in self.workers.values() {
            let Some(Leaving { since, left, told }) = self.leaving(worker, now) else {
                continue;
            };
            let left = left.saturating_sub(now.at.saturating_sub(since));
            moved.extend(worker.runs.iter().map(|run| (*run, left, told)));
        }
        for (run, left, told) in moved {
            // One that says nothing may be cut off and well, so its services go one by one.
            if self.is_stopping(run) || !self.outlives(run, left, now) {
                continue;
            }
            // One that never began is missed already, and does not begin here any more.
            if told || !self.has_begun(run) || self.may_be_unavailable(run, now) {
                tracing::info!(task = %run.task, run = run.number, told, left_ms = left.as_millis(),
                    "run moves off a worker that leaves");
                self.request_stop(run, StopReason::Draining);
            }
        }
    }

    /// Whether a worker is about to leave. Some say that they drain; some just take
    /// their entry back, and go on for as long.
    fn leaving(&self, worker: &Worker, now: Now) -> Option<Leaving> {
        if let Some(since) = worker.draining {
            let left = worker.listed.remaining.unwrap_or(Duration::ZERO);
            return Some(Leaving {
                since,
                left,
                told: true,
            });
        }
        let since = worker.absent?;
        let known = now.at >= since + UNLISTED_MIN && !self.is_stalled(now);
        (known && worker.answers && !self.may_be_relisted(since, now)).then_some(Leaving {
            since,
            left: self.terms.drain,
            told: false,
        })
    }

    pub(super) fn is_stopping(&self, run: Run) -> bool {
        let live = self.runs.get(&run);
        live.is_none_or(|live| live.stop != Stop::None)
    }

    fn has_begun(&self, run: Run) -> bool {
        let live = self.runs.get(&run);
        live.is_some_and(|live| matches!(live.stage, Stage::Started(_)))
    }

    /// Whether a run will not end within `left`.
    fn outlives(&self, run: Run, left: Duration, now: Now) -> bool {
        let Some((job, _)) = self.log_state.task(run.task) else {
            return false;
        };
        let Some(step) = job.step(run.task) else {
            return false;
        };
        if step.long_running || !self.has_begun(run) {
            return true;
        }
        if left > DRAIN_MARGIN * 2 && step.checkpoints {
            return false;
        }
        let Some(rest) = self.remaining_time(run, now) else {
            return left < step.estimate;
        };
        rest > left && (left < DRAIN_MARGIN || !step.checkpoints)
    }

    /// Time that a run still needs at the speed that it has shown.
    pub(super) fn remaining_time(&self, run: Run, now: Now) -> Option<Duration> {
        let live = self.runs.get(&run)?;
        let (began, first) = live.began?;
        let gained = live.percent.saturating_sub(first);
        if gained < 5 {
            return None;
        }
        let spent = live.moved.saturating_sub(began);
        let rest = spent * (100 - live.percent.min(100)) / gained;
        Some(rest.saturating_sub(now.at.saturating_sub(live.moved)))
    }
}
