//! The list of workers, and the handling of runs whose worker leaves or disappears.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::workflow::config::ListedWorker;
use crate::workflow::core::lease_waits::LeaseHold;
use crate::workflow::core::{Core, Now};
use crate::workflow::incarnation::Incarnation;
use crate::workflow::lease;
use crate::workflow::live_run::{Stage, Stop, StopReason};
use crate::workflow::record::{End, Run};
use crate::workflow::worker::Worker;

/// How long an unlisted worker without runs is remembered.
const FORGET_AFTER: Duration = Duration::from_secs(10);
/// Time before the end of a draining worker by which its runs should be stopped, so that the last
/// checkpoint is reported; a stop may take most of a second.
const DRAIN_MARGIN: Duration = Duration::from_millis(1200);
/// How long a worker must be missing from the platform's list before it counts as leaving. An
/// outage of the store is noticed within that time.
const UNLISTED_MIN: Duration = Duration::from_millis(500);

/// The pending departure of a worker.
struct Departure {
    since: Duration,
    /// Time that was left at `since`, at least.
    left: Duration,
    /// Whether the worker announced its departure.
    told: bool,
}

impl Core {
    /// Adds or updates a worker from its entry in the platform's list.
    pub fn list_worker(&mut self, mut listed: ListedWorker, now: Now) {
        listed.service = self.intern_service(&listed.service);
        if self.is_unchanged(&listed) {
            return;
        }
        if self.lacks_incarnation(&listed) || self.is_stale_entry(&listed, now) {
            return;
        }
        self.needs_planning = true;
        self.poll_former_incarnations(&listed, now);
        let incarnation = listed.incarnation.clone();
        let bound = self.earlier_leases_end_of(&incarnation, now);
        let draining = listed.draining;
        self.candidate_cache.remove(&incarnation);
        self.add_former_incarnations(&listed, now);
        if let Some(known) = self.workers.get(&incarnation) {
            self.locations.remove(&known.listed);
        }
        self.locations.insert(&listed);
        let worker = self.workers.entry(incarnation.clone()).or_insert_with(|| {
            tracing::info!(worker = %incarnation, service = %listed.service, address = %listed.address, "worker listed");
            Worker::new(listed.clone(), bound)
        });
        worker.resize(listed.capacity);
        worker.listed = listed;
        worker.has_entry = true;
        worker.unlisted_since = None;
        // Starts may have waited for the worker to be listed again.
        worker.wake();
        if draining && worker.draining_since.is_none() {
            tracing::info!(worker = %incarnation, left = ?worker.listed.remaining, "worker is draining");
            worker.draining_since = Some(now.at);
        }
        if !draining && worker.former_drains {
            // This entry was written by the next incarnation.
            worker.draining_since = None;
            worker.former_drains = false;
        }
        self.allocate_adopted_runs(&incarnation);
    }

    /// Returns whether an entry says nothing new. Lists of all workers arrive several times a
    /// second, and searching all other workers for former incarnations of each took a quarter of an
    /// owner's processor time with 890 workers.
    fn is_unchanged(&self, listed: &ListedWorker) -> bool {
        self.workers.get(&listed.incarnation).is_some_and(|worker| {
            worker.unlisted_since.is_none() && !listed.draining && worker.listed == *listed
        })
    }

    /// Charges the runs of earlier owners against the capacity of their worker.
    pub(super) fn allocate_adopted_runs(&mut self, id: &Incarnation) {
        for run in self.adopted.take(id) {
            let here = self.runs.get(&run).is_some_and(|live| live.worker == *id);
            let worker = self.workers.get(id);
            if here && worker.is_some_and(|worker| !worker.runs.contains(&run)) {
                self.allocate(run, id);
            }
        }
    }

    /// Records that the platform no longer lists a worker.
    pub fn unlist_worker(&mut self, id: &Incarnation, now: Now) {
        if let Some(worker) = self.workers.get_mut(id)
            && worker.unlisted_since.is_none()
        {
            tracing::info!(worker = %id, runs = worker.runs.len(), "worker is no longer listed");
            worker.unlisted_since = Some(now.at);
        }
    }

    /// Replaces the list of workers.
    pub fn list_all(&mut self, listed: Vec<ListedWorker>, now: Now) {
        self.list_all_except_unreadable(listed, &[], now);
    }

    /// Replaces the list of workers, except for those whose entries cannot be read: about these
    /// nothing new is known.
    pub fn list_all_except_unreadable(
        &mut self,
        listed: Vec<ListedWorker>,
        unread: &[Arc<str>],
        now: Now,
    ) {
        let named: BTreeSet<&Incarnation> =
            listed.iter().map(|worker| &worker.incarnation).collect();
        let unread: BTreeSet<&str> = unread.iter().map(|id| &**id).collect();
        // An entry without an incarnation number says nothing new about a worker that has one.
        let lacking = listed
            .iter()
            .filter(|worker| self.lacks_incarnation(worker));
        let lacking: BTreeSet<&str> = lacking.map(|worker| worker.incarnation.id()).collect();
        let silent = |incarnation: &Incarnation| {
            unread.contains(incarnation.id()) || lacking.contains(incarnation.id())
        };
        let gone = self.workers.keys();
        let gone = gone.filter(|incarnation| !named.contains(incarnation) && !silent(incarnation));
        let gone: Vec<Incarnation> = gone.cloned().collect();
        for id in gone {
            self.unlist_worker(&id, now);
        }
        for worker in listed {
            self.list_worker(worker, now);
        }
    }

    /// Ends the runs of earlier owners on workers that were never listed, after the longest lease
    /// that these owners may have granted.
    fn lose_runs_of_unlisted_workers(&mut self, now: Now) {
        let lost = self.runs_of_unlisted_workers();
        self.lose_adopted_runs(lost, "leases have expired", now);
    }

    /// Ends such runs on workers whose leases have ended before those of others.
    fn lose_runs_of_silent_workers(&mut self, now: Now) {
        let incarnations = self.adopted.incarnations();
        let over = incarnations.filter(|it| now.at >= self.earlier_leases_end_of(it, now));
        let over: Vec<Incarnation> = over.cloned().collect();
        let lost = over.iter().flat_map(|it| self.adopted.take(it)).collect();
        self.lose_adopted_runs(lost, "leases have expired", now);
    }

    pub(super) fn lose_adopted_runs(&mut self, lost: Vec<Run>, cause: &str, now: Now) {
        if lost.is_empty() {
            return;
        }
        tracing::info!(
            runs = lost.len(),
            cause,
            "runs on workers that are not listed are lost"
        );
        let waited = now.at.saturating_sub(self.began);
        self.note_leases_expired(&lost, LeaseHold::EarlierOwners, waited);
        self.suspect_adopted_runs(&lost, now);
        for run in lost {
            self.end_run(run, End::Lost, &Arc::from(""), now);
        }
    }

    /// Returns the runs on workers that this owner does not know.
    pub(super) fn runs_of_unlisted_workers(&self) -> Vec<Run> {
        let runs = self.runs.iter();
        let unlisted = runs.filter(|(_, live)| !self.workers.contains_key(&live.worker));
        unlisted.map(|(run, _)| *run).collect()
    }

    /// Returns the shared string of a service's name.
    pub(super) fn intern_service(&mut self, name: &Arc<str>) -> Arc<str> {
        if let Some(known) = self.services.get(name) {
            return known.clone();
        }
        self.services.insert(name.clone());
        name.clone()
    }

    /// Ends runs on workers whose lease has certainly expired.
    pub(super) fn expire_leases(&mut self, now: Now) {
        if self.awaits_unlisted_workers {
            self.lose_runs_of_silent_workers(now);
        }
        if self.awaits_unlisted_workers && now.at >= self.earlier_leases_end() {
            if self.predecessors.all_ended_at.is_none() {
                self.record_predecessors_ended(now);
            }
            // Leases of young incarnations may last for longer.
            if self.adopted.incarnations().next().is_none() {
                self.awaits_unlisted_workers = false;
                self.lose_runs_of_unlisted_workers(now);
            }
        }
        let over = self.workers.values().filter(|worker| {
            !worker.runs.is_empty() && !worker.answers && worker.lease.bound() < now.at
        });
        let over: Vec<Incarnation> = over.map(|worker| worker.incarnation().clone()).collect();
        for id in over {
            let worker = &self.workers[&id];
            let is_replaced = worker.replaced_since.is_some();
            let over = |run: &Run| !(is_replaced && self.may_outlast(*run, now));
            let runs: Vec<Run> = worker.runs.iter().copied().filter(over).collect();
            if runs.is_empty() {
                continue;
            }
            let hold = if is_replaced {
                LeaseHold::LateStarts
            } else {
                self.lease_hold(worker, now)
            };
            let waited = self.silence_of(worker, now);
            tracing::info!(worker = %id, runs = runs.len(), hold = hold.name(),
                waited_ms = waited.as_millis(), "leases of a silent worker have expired");
            self.note_leases_expired(&runs, hold, waited);
            self.suspect_lost_runs(&id, &runs, now);
            for run in runs {
                self.end_run(run, End::Lost, &Arc::from(""), now);
            }
        }
    }

    /// Returns whether a run may continue on its worker's next incarnation although the lease of
    /// this one has expired. That incarnation may have carried out an unanswered start, and then
    /// holds a lease by its own clock. For starts of earlier owners it is unknown whether they were
    /// answered.
    pub(super) fn may_outlast(&self, run: Run, now: Now) -> bool {
        let Some(live) = self.runs.get(&run) else {
            return false;
        };
        let adopted = (live.placed <= self.began).then_some(self.earlier_starts_end());
        let doubt = live.in_doubt.max(adopted);
        doubt.is_some_and(|until| now.at < until + lease::worst_case_elapsed(self.tuning.hold))
    }

    /// Removes workers that have been unlisted for a while and have no runs.
    pub(super) fn forget_absent_workers(&mut self, now: Now) {
        let gone = self.workers.values().filter(|worker| {
            let absent = worker.unlisted_since;
            worker.runs.is_empty() && absent.is_some_and(|since| now.at > since + FORGET_AFTER)
        });
        let gone: Vec<Incarnation> = gone.map(|worker| worker.incarnation().clone()).collect();
        for id in gone {
            self.remove_worker(&id);
        }
    }

    /// Moves runs that would not end in time off workers that are about to leave.
    pub(super) fn drain_leaving_workers(&mut self, now: Now) {
        let mut moved = Vec::new();
        for worker in self.workers.values() {
            let Some(Departure { since, left, told }) = self.pending_departure(worker, now) else {
                continue;
            };
            let left = left.saturating_sub(now.at.saturating_sub(since));
            moved.extend(worker.runs.iter().map(|run| (*run, left, told)));
        }
        for (run, left, told) in moved {
            // An unlisted worker that announced nothing may be healthy but partitioned, so its
            // long-running tasks move within their limit of unavailable tasks.
            if self.is_stopping(run) || !self.outlives(run, left, now) {
                continue;
            }
            // A run that never began is unavailable already, and no longer begins here.
            if told || !self.has_begun(run) || self.may_be_unavailable(run, now) {
                tracing::info!(task = %run.task, run = run.number, told, left_ms = left.as_millis(),
                    "moving run off a leaving worker");
                self.request_stop(run, StopReason::Draining);
            }
        }
    }

    /// Returns the pending departure of a worker. Some workers announce that they drain; some only
    /// withdraw their entry and continue for as long.
    fn pending_departure(&self, worker: &Worker, now: Now) -> Option<Departure> {
        if let Some(since) = worker.draining_since {
            let left = worker.listed.remaining.unwrap_or(Duration::ZERO);
            return Some(Departure {
                since,
                left,
                told: true,
            });
        }
        let since = worker.unlisted_since?;
        let known = now.at >= since + UNLISTED_MIN && !self.is_stalled(now);
        (known && worker.answers && !self.may_be_relisted(since, now)).then_some(Departure {
            since,
            left: self.tuning.drain,
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

    /// Returns whether a run will not end within `left`.
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
        let Some(remaining) = self.remaining_time(run, now) else {
            return self
                .expected_remaining(run, now)
                .is_none_or(|remaining| left < remaining);
        };
        remaining > left && (left < DRAIN_MARGIN || !step.checkpoints)
    }

    /// Returns the estimated remaining time of a run at its observed speed, or `None` before it has
    /// progressed by 5 percent.
    pub(super) fn remaining_time(&self, run: Run, now: Now) -> Option<Duration> {
        let live = self.runs.get(&run)?;
        let (began, first) = live.began?;
        let gained = live.percent.saturating_sub(first);
        if gained < 5 {
            return None;
        }
        let spent = live.progressed_at.saturating_sub(began);
        let remaining = spent * (100 - live.percent.min(100)) / gained;
        Some(remaining.saturating_sub(now.at.saturating_sub(live.progressed_at)))
    }
}
