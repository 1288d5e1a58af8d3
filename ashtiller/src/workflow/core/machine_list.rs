//! What the platform's list of machines proves about workers that do not answer.
//!
//! A worker's process that has ended never runs again, so an answer may be late. It proves nothing
//! about a process that was not known when the list was asked for: it may name the one before.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::failure::Failure;
use crate::workflow::config::ListedWorker;
use crate::workflow::core::machine_index::{MachineIndex, Proof};
use crate::workflow::core::{Core, Effect, Now};
use crate::workflow::incarnation::Incarnation;
use crate::workflow::machines::MachineList;
use crate::workflow::record::{End, LogRecord, Run};
use crate::workflow::worker::Worker;

/// Silence of a worker after which the list is read.
const SILENCE_MIN: Duration = Duration::from_millis(300);
/// Shortest time between two requests. It doubles while no other worker falls silent.
const INTERVAL_MIN: Duration = Duration::from_millis(500);
/// Longest time between two requests.
const INTERVAL_MAX: Duration = Duration::from_secs(2);
/// The same while most workers do not answer. Then this owner's link is more likely at fault than they
/// are, and on a slow link the lists would delay the first replies of all workers.
const INTERVAL_UNHEARD: Duration = Duration::from_secs(6);
/// How long the ids that are over, and the machines of former workers, are remembered: longer than
/// a start may be in doubt.
const MEMORY: Duration = Duration::from_mins(1);

/// A request for the list.
#[derive(Debug)]
struct Request {
    sent: Duration,
    /// Workers that did not answer when it was sent.
    silent: BTreeSet<Incarnation>,
    /// Workers that answered then. A whole list names those that still do.
    answering: Vec<Incarnation>,
}

/// A list that was read in several pages. It is whole if the next one names all of its machines again:
/// then none was removed between two of its pages, and hid the one after it.
#[derive(Debug)]
struct PagedList {
    requested_at: Duration,
    machines: BTreeSet<Arc<str>>,
    /// Silent workers that it does not name.
    absent: BTreeSet<Incarnation>,
}

/// Lists of machines, and what they have proved.
#[derive(Debug, Default)]
pub(super) struct MachineReadings {
    enabled: bool,
    in_flight: Option<Request>,
    requested_at: Duration,
    interval: Duration,
    /// Silent workers of the last request.
    known_silent: BTreeSet<Incarnation>,
    /// The last list, if it was read in several pages.
    paged: Option<PagedList>,
    /// Ids of which no process will run again, and when that was learned.
    retired: BTreeMap<Arc<str>, Duration>,
    /// Machines of workers that were removed, by id, and when.
    former_machines: BTreeMap<Arc<str>, (Arc<str>, Duration)>,
}

impl Core {
    /// Allows requests for the list of machines.
    pub fn enable_machine_list(&mut self) {
        self.machine_readings.enabled = true;
    }

    /// Returns whether no process with this id will run again.
    pub(super) fn is_id_retired(&self, id: &str) -> bool {
        self.machine_readings.retired.contains_key(id)
    }

    /// Remembers the machine of a worker that is removed.
    pub(super) fn note_former_machine(&mut self, listed: &ListedWorker) {
        if let Some(machine) = &listed.machine {
            let id: Arc<str> = listed.incarnation.id().into();
            let machine = (machine.clone(), self.last_sweep);
            self.machine_readings.former_machines.insert(id, machine);
        }
    }

    /// Records the machine of a worker that gets a run, unless the log has it.
    pub(super) fn record_machine(&mut self, id: &Incarnation, now: Now) {
        let listed = self.workers.get(id).map(|worker| &worker.listed);
        let Some(machine) = listed.and_then(|listed| listed.machine.clone()) else {
            return;
        };
        if self.log_state.worker_machines().get(id.id()) != Some(&machine) {
            self.record(LogRecord::WorkerMachine(id.id().into(), machine), now);
        }
    }

    /// Withdraws the end of a worker that has answered since.
    pub(super) fn note_answer_after_end(&mut self, incarnation: &Incarnation) {
        let was_retired = self.machine_readings.retired.remove(incarnation.id());
        if let Some(worker) = self.workers.get_mut(incarnation)
            && (std::mem::take(&mut worker.ended) || was_retired.is_some())
        {
            tracing::warn!(worker = %incarnation, machine = worker.listed.machine.as_deref(),
                "worker answers although its process was listed as ended");
        }
    }

    /// Asks for the list of machines while something waits for workers that do not answer.
    pub(super) fn request_machine_list(&mut self, now: Now) {
        let readings = &self.machine_readings;
        let is_due = now.at >= readings.requested_at + INTERVAL_MIN;
        if !readings.enabled || readings.in_flight.is_some() || !is_due {
            return;
        }
        let silent = self.find_awaited_workers(now);
        let hears_most = self.hears_most_workers();
        let readings = &mut self.machine_readings;
        if !silent.is_subset(&readings.known_silent) {
            readings.interval = INTERVAL_MIN;
        }
        let interval = if hears_most {
            readings.interval
        } else {
            INTERVAL_UNHEARD
        };
        let since = readings.requested_at.max(self.began);
        if silent.is_empty() || now.at < since + interval {
            return;
        }
        readings.requested_at = now.at;
        readings.interval = (readings.interval * 2).min(INTERVAL_MAX);
        readings.known_silent.clone_from(&silent);
        readings.retired.retain(|_, since| now.at < *since + MEMORY);
        let recent = |(_, since): &(Arc<str>, Duration)| now.at < *since + MEMORY;
        readings.former_machines.retain(|_, it| recent(it));
        let answering = self.workers.values().filter(|worker| worker.answers);
        let answering = answering.map(|worker| worker.incarnation().clone());
        let answering = answering.collect();
        self.machine_readings.in_flight = Some(Request {
            sent: now.at,
            silent,
            answering,
        });
        self.effects.push(Effect::ListMachines);
    }

    /// Returns whether at least half of the listed workers answer.
    fn hears_most_workers(&self) -> bool {
        let listed = self.workers.values();
        let listed = listed.filter(|worker| worker.unlisted_since.is_none());
        let (answering, others): (Vec<&Worker>, Vec<&Worker>) =
            listed.partition(|worker| worker.answers);
        answering.len() >= others.len()
    }

    /// Returns the workers without an answer that runs or unanswered starts wait for.
    fn find_awaited_workers(&self, now: Now) -> BTreeSet<Incarnation> {
        let unconfirmed = self.log_state.unconfirmed().values().flatten();
        let unconfirmed = unconfirmed.map(|start| &start.worker);
        let unconfirmed: BTreeSet<&Incarnation> = unconfirmed
            .filter(|worker| !self.is_id_retired(worker.id()))
            .collect();
        let silent = self.workers.iter().filter(|(incarnation, worker)| {
            let since = worker.last_answer.max(self.began);
            let is_awaited = !worker.runs.is_empty()
                || self.orphans.has_any(incarnation)
                || unconfirmed.contains(incarnation);
            is_awaited && !worker.answers && now.at >= since + SILENCE_MIN
        });
        let is_listed = self.listed_at > self.began;
        let adopted = self.adopted.incarnations().filter(|_| is_listed);
        let unlisted = adopted.chain(unconfirmed.iter().copied());
        let unlisted = unlisted.filter(|incarnation| !self.workers.contains_key(*incarnation));
        let silent = silent.map(|(incarnation, _)| incarnation);
        silent.chain(unlisted).cloned().collect()
    }

    /// Handles the answer to a request for the list of machines.
    pub fn handle_machine_list(&mut self, result: Result<MachineList, Failure>, now: Now) {
        let Some(request) = self.machine_readings.in_flight.take() else {
            return;
        };
        let list = match result {
            Ok(list) => list,
            Err(failure) => {
                tracing::info!(%failure, silent = request.silent.len(),
                    "machines not listed; work of silent workers waits");
                return;
            }
        };
        let index = MachineIndex::new(&list);
        let gone = self.find_gone_workers(&request, &list, &index);
        for incarnation in &request.silent {
            let machine = self.machine_of_id(incarnation);
            let proof = match machine {
                // If its machine is not known, that may be down and come back.
                None => gone.contains(incarnation).then_some(Proof::Down),
                Some(_) if gone.contains(incarnation) => Some(Proof::Gone),
                Some(name) => index.find_proof(incarnation.id(), &name),
            };
            let Some(proof) = proof else {
                continue;
            };
            if self.has_answered_since(incarnation, request.sent) {
                // It may have been started again, under its id, since the list was made.
                tracing::warn!(worker = %incarnation, cause = proof.cause(),
                    "worker listed as ended has answered since");
            } else {
                self.end_process(incarnation, proof, now);
            }
        }
    }

    /// Returns whether a worker answers, or has done so since.
    fn has_answered_since(&self, incarnation: &Incarnation, since: Duration) -> bool {
        let worker = self.workers.get(incarnation);
        worker.is_some_and(|worker| worker.answers || worker.last_answer >= since)
    }

    /// Returns the machine of a worker that is known or was.
    fn machine_of_id(&self, incarnation: &Incarnation) -> Option<Arc<str>> {
        if let Some(worker) = self.workers.get(incarnation) {
            return worker.listed.machine.clone();
        }
        let id = incarnation.id();
        let former = self.machine_readings.former_machines.get(id);
        let former = former.map(|(machine, _)| machine);
        let recorded = || self.log_state.worker_machines().get(id);
        former.or_else(recorded).cloned()
    }

    /// Returns the silent workers that no machine can be running.
    fn find_gone_workers(
        &mut self,
        request: &Request,
        list: &MachineList,
        index: &MachineIndex<'_>,
    ) -> BTreeSet<Incarnation> {
        let former = self.machine_readings.paged.take();
        if let Some(missing) = self.find_unlisted_answering(request, index) {
            tracing::info!(worker = %missing, machines = list.machines.len(),
                "list of machines lacks a worker that answers; absent ones prove nothing");
            return BTreeSet::new();
        }
        let is_absent = |it: &&Incarnation| {
            let machine = self.machine_of_id(it);
            index.is_absent(it.id(), machine.as_ref())
        };
        let absent: BTreeSet<Incarnation> =
            request.silent.iter().filter(is_absent).cloned().collect();
        if !list.paged {
            return absent;
        }
        let remains = |name: &Arc<str>| index.has_machine(name);
        let former = former.filter(|former| former.machines.iter().all(remains));
        let gone = former.map_or_else(BTreeSet::new, |former| {
            let gone = former.absent.intersection(&absent);
            let gone = gone.filter(|it| !self.has_answered_since(it, former.requested_at));
            gone.cloned().collect()
        });
        let machines = list.machines.iter().map(|machine| machine.name.clone());
        self.machine_readings.paged = Some(PagedList {
            requested_at: request.sent,
            machines: machines.collect(),
            absent,
        });
        gone
    }

    /// Returns a worker that the list lacks although it has answered before the request and still
    /// does.
    fn find_unlisted_answering<'a>(
        &self,
        request: &'a Request,
        index: &MachineIndex<'_>,
    ) -> Option<&'a Incarnation> {
        let answers = |it: &&Incarnation| {
            let worker = self.workers.get(*it);
            worker.is_some_and(|worker| worker.answers && worker.listed.machine.is_some())
        };
        let mut answering = request.answering.iter().filter(answers);
        answering.find(|it| !index.has_worker(it.id()))
    }

    /// Ends a worker whose process is proved to have ended.
    fn end_process(&mut self, incarnation: &Incarnation, proof: Proof, now: Now) {
        if proof != Proof::Down {
            self.machine_readings
                .retired
                .insert(incarnation.id().into(), now.at);
        }
        let Some(worker) = self.workers.get(incarnation) else {
            let lost = self.adopted.take(incarnation);
            self.count_proof(proof, !lost.is_empty());
            self.lose_adopted_runs(lost, proof.cause(), now);
            return;
        };
        if proof == Proof::Down {
            self.end_runs_of_down_worker(incarnation, now);
            return;
        }
        let runs: Vec<Run> = worker.runs.iter().copied().collect();
        let (hold, waited) = (self.lease_hold(worker, now), self.silence_of(worker, now));
        self.note_leases_expired(&runs, hold, waited);
        self.count_proof(proof, true);
        if proof == Proof::Gone {
            // Tasks crash workers, but remove no machines.
            self.suspect_lost_runs(incarnation, &runs, now);
            if let Some(worker) = self.workers.get_mut(incarnation) {
                worker.ended = true;
            }
        }
        self.note_stale_entry(incarnation, now);
        self.lose_worker(incarnation, proof.cause(), now);
    }

    /// Ends the runs of a worker whose process has ended, but for those whose start may reach the next
    /// process under its id. What is in flight to the worker may reach that process as well, so the
    /// worker's state is kept.
    fn end_runs_of_down_worker(&mut self, incarnation: &Incarnation, now: Now) {
        self.clear_orphans(incarnation);
        let Some(worker) = self.workers.get(incarnation) else {
            return;
        };
        let runs = worker.runs.iter().copied();
        let (kept, lost): (Vec<Run>, Vec<Run>) =
            runs.partition(|run| self.has_start_in_flight(*run, now));
        if lost.is_empty() {
            return;
        }
        let (hold, waited) = (self.lease_hold(worker, now), self.silence_of(worker, now));
        tracing::info!(worker = %incarnation, cause = Proof::Down.cause(), runs = lost.len(),
            kept = kept.len(), waited_ms = waited.as_millis(), "worker's process has ended");
        self.note_leases_expired(&lost, hold, waited);
        self.count_proof(Proof::Down, true);
        let culprit = if kept.is_empty() {
            let culprit = self.record_crash(incarnation, now);
            if let Some(worker) = self.workers.get_mut(incarnation) {
                worker.ended = true;
            }
            culprit
        } else {
            self.suspect_lost_runs(incarnation, &lost, now);
            None
        };
        for run in lost {
            self.end_run(run, End::Lost, &Arc::from(""), now);
        }
        if let Some(task) = culprit {
            self.fail_crashing_job(task, now);
        }
    }

    fn count_proof(&mut self, proof: Proof, has_effect: bool) {
        let count = match proof {
            Proof::Replaced => &mut self.counts.proved_replaced,
            Proof::Gone => &mut self.counts.proved_gone,
            Proof::Down => &mut self.counts.proved_down,
        };
        *count += u64::from(has_effect);
    }
}
