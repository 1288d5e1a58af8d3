//! State of one log, rebuilt by replay.
//!
//! [`LogState::apply`] is the only way to change the persistent state, and it is deterministic: a
//! snapshot and the records after it yield the same state for every owner.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::workflow::blame::{LostRun, Suspect};
use crate::workflow::cancelled_ids::{self, CancelledIds};
use crate::workflow::incarnation::Incarnation;
use crate::workflow::interference::{FactorTable, Interference, LearnedFactor};
use crate::workflow::job::{Job, Policy};
use crate::workflow::known_owners::KnownOwners;
use crate::workflow::occurrence_window;
use crate::workflow::record::{End, LogRecord, Outcome, Run, Task};
use crate::workflow::recorded_losses::{self, RecordedLosses};
use crate::workflow::run_times::recorded::{EncodedModels, RecordedModels};
use crate::workflow::shares::origins::{self, Origins};
use crate::workflow::silent_workers::SilentWorkers;
use crate::workflow::snapshot::Extensions;
use crate::workflow::state::{
    JobState, PlacedRun, Sending, StepState, TaskState, UnconfirmedStart,
};
use crate::workflow::worker_machines::WorkerMachines;

/// Number of the sendings of unconfirmed starts among the extensions of a snapshot.
const SENDINGS_EXTENSION: u8 = 4;
/// Number of the known owners among the extensions of a snapshot.
const OWNERS_EXTENSION: u8 = 5;
/// Number of the silent workers among the extensions of a snapshot.
const SILENT_EXTENSION: u8 = 6;
/// Number of the learned interference factors among the extensions of a snapshot.
const FACTORS_EXTENSION: u8 = 7;
/// Number of the machines of workers among the extensions of a snapshot.
const MACHINES_EXTENSION: u8 = 9;
/// Number of the learned demand among the extensions of a snapshot.
const DEMAND_EXTENSION: u8 = 3;

/// What is known of the sending of each task's unconfirmed starts.
type Sendings = BTreeMap<Task, Vec<Sending>>;

/// Change by a record that the caller has to act on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// None.
    None,
    /// The job ended with this outcome.
    Ended(u32, Outcome),
}

/// Number of the learned run times in the last section of a snapshot.
const EXTENSION_RUN_TIMES: u8 = 2;

/// State of one log: all its jobs, and what was learned about workers and images.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct LogState {
    /// Number of the next job.
    pub next: u32,
    /// Jobs by number.
    pub jobs: BTreeMap<u32, JobState>,
    /// Learned interference factors in snapshots of earlier versions.
    earlier_factors: Vec<LearnedFactor>,
    /// Machines that finished their maintenance, by wave.
    pub upkept: BTreeSet<(u64, Arc<str>)>,
    /// Maintenance waves that have ended.
    pub waves_over: BTreeSet<u64>,
    /// All owners before this epoch have ended.
    pub cleared: u64,
    /// Tasks suspected of crashing workers; they have a section of their own in a snapshot.
    #[serde(skip)]
    suspects: BTreeMap<Task, Suspect>,
    /// Lost runs that count against suspects; they are an extension of a snapshot.
    #[serde(skip)]
    losses: RecordedLosses,
    /// Starts that may still be carried out; they have a section of their own in a snapshot.
    #[serde(skip)]
    unconfirmed: BTreeMap<Task, Vec<UnconfirmedStart>>,
    /// Runs with a start that may be in flight; they have a section of their own in a snapshot.
    #[serde(skip)]
    pending_starts: BTreeMap<Run, u64>,
    /// Learned run times; they are in the last section of a snapshot.
    #[serde(skip)]
    run_times: RecordedModels,
    /// Origins of jobs; they are among the extensions of a snapshot.
    #[serde(skip)]
    origins: Origins,
    /// Ids that were cancelled before their jobs arrived; they are an extension of a snapshot.
    #[serde(skip)]
    cancelled_ids: CancelledIds,
    /// Learned interference factors; they are an extension of a snapshot.
    #[serde(skip)]
    factors: Interference,
    /// Encoded demand of short tasks; it is an extension of a snapshot.
    #[serde(skip)]
    learned_demand: Vec<u8>,
    /// How long owners had been known at least; it is an extension of a snapshot.
    #[serde(skip)]
    known_owners: KnownOwners,
    /// Workers without a lease from each owner; they are an extension of a snapshot.
    #[serde(skip)]
    silent_workers: SilentWorkers,
    /// Machines of workers; they are an extension of a snapshot.
    #[serde(skip)]
    worker_machines: WorkerMachines,
    #[serde(skip)]
    by_id: BTreeMap<Arc<str>, u32>,
    #[serde(skip)]
    open: BTreeSet<u32>,
    /// Estimated memory of the open jobs, in bytes.
    #[serde(skip)]
    open_bytes: usize,
    #[serde(skip)]
    scheduled: BTreeSet<u32>,
    #[serde(skip)]
    ended: BTreeMap<u32, Duration>,
}

impl LogState {
    /// Rebuilds the indexes that a snapshot omits.
    pub fn index(&mut self, now: Duration) {
        // A state that was replayed is indexed already.
        self.open_bytes = 0;
        for (number, job) in &mut self.jobs {
            self.by_id.insert(job.job.id.clone(), *number);
            if job.outcome.is_none() || job.live > 0 {
                self.open.insert(*number);
                job.close_surplus_occurrences();
                job.reopen_long_running();
                self.open_bytes += job.count_bytes();
            }
            if job.outcome.is_some() {
                self.ended.insert(*number, now);
            } else if job.job.schedule.is_some() {
                self.scheduled.insert(*number);
            }
        }
        for start in self.unconfirmed.values_mut().flatten() {
            start.since = now;
        }
        self.cancelled_ids.set_times(now);
    }

    /// Returns the number of the job with this id.
    #[must_use]
    pub fn find(&self, id: &str) -> Option<u32> {
        self.by_id.get(id).copied()
    }

    /// Returns the jobs that have not ended or may still have active runs.
    #[must_use]
    pub fn open(&self) -> &BTreeSet<u32> {
        &self.open
    }

    /// Returns an estimate of the memory of the open jobs, in bytes.
    #[must_use]
    pub fn open_bytes(&self) -> usize {
        self.open_bytes
    }

    /// Opens job occurrences that are due at `wall` milliseconds since the Unix epoch, as far as their
    /// windows and `memory` bytes for all open jobs have room; returns true if there were any.
    pub fn open_due_occurrences(&mut self, wall: u64, memory: usize) -> bool {
        let jobs = self.scheduled.iter();
        let due = jobs.filter(|number| self.jobs.get(number).is_some_and(|job| job.has_due(wall)));
        let due: Vec<u32> = due.copied().collect();
        let share = occurrence_window::share_of(due.len());
        let mut opened = 0;
        for number in due {
            let Some(job) = self.jobs.get_mut(&number) else {
                continue;
            };
            let bytes = job.job.occurrence_bytes();
            let mut left = memory.saturating_sub(self.open_bytes);
            opened += job.open_due_occurrences(wall, share, || {
                let has_room = left >= bytes;
                left = left.saturating_sub(bytes);
                has_room
            });
            self.count_bytes(number);
        }
        opened > 0
    }

    /// Counts the memory of an open job by the occurrences that are open now.
    fn count_bytes(&mut self, number: u32) {
        if let Some(job) = self.jobs.get_mut(&number)
            && self.open.contains(&number)
        {
            self.open_bytes -= job.counted_bytes;
            self.open_bytes += job.count_bytes();
        }
    }

    /// Removes a job from the open ones.
    fn close_open(&mut self, number: u32) {
        if let Some(job) = self.jobs.get_mut(&number)
            && self.open.remove(&number)
        {
            self.open_bytes -= std::mem::take(&mut job.counted_bytes);
        }
    }

    /// Returns the jobs that ended before `limit`, on this owner's clock.
    #[must_use]
    pub fn ended_before(&self, limit: Duration) -> Vec<u32> {
        let expired = self.ended.iter().filter(|(_, at)| **at < limit);
        expired.map(|(number, _)| *number).collect()
    }

    /// Returns the state of a task and its job.
    #[must_use]
    pub fn task(&self, task: Task) -> Option<(&JobState, &TaskState)> {
        let job = self.jobs.get(&task.job)?;
        Some((job, job.task(task)?))
    }

    /// Reports whether a run may be active.
    #[must_use]
    pub fn is_live(&self, run: Run) -> bool {
        self.task(run.task)
            .is_some_and(|(_, task)| task.live.iter().any(|live| live.number == run.number))
    }

    /// Reports whether a task is one of those that run until their job is cancelled.
    #[must_use]
    pub fn is_long_running(&self, task: Task) -> bool {
        let job = self.jobs.get(&task.job);
        job.and_then(|job| job.step(task))
            .is_some_and(|step| step.long_running)
    }

    /// Returns what the reported end of a run means for its task. No end completes a long-running
    /// task.
    #[must_use]
    pub fn effective_end(&self, task: Task, reported: End) -> End {
        if reported == End::Done && self.is_long_running(task) {
            End::Stopped
        } else {
            reported
        }
    }

    /// Reports whether the end of an inactive run still changes the state: a worker may report it
    /// after the run was given up as lost.
    #[must_use]
    pub fn late_end_matters(&self, run: Run, end: End) -> bool {
        let Some((job, task)) = self.task(run.task) else {
            return false;
        };
        let long_running = job.step(run.task).is_none_or(|step| step.long_running);
        let placed = run.number <= task.last && !self.is_live(run);
        let matters = match end {
            End::Done => !task.done,
            End::Failed => !task.failed.contains(&run.number),
            End::Stopped | End::Lost => false,
        };
        !long_running && placed && matters && job.outcome.is_none()
    }

    /// Applies one record.
    pub fn apply(&mut self, record: &LogRecord, now: Duration) -> Effect {
        match record {
            LogRecord::Accepted(job, policy, wall) => {
                return self.accept(job, policy, *wall, now);
            }
            LogRecord::Cancelled(number) => return self.close(*number, Outcome::Cancelled, now),
            LogRecord::Failed(number) => return self.close(*number, Outcome::Failed, now),
            LogRecord::Placed(run, worker, checkpoint) => self.place(*run, worker, checkpoint),
            LogRecord::Ended(run, end, checkpoint) => return self.end(*run, *end, checkpoint, now),
            LogRecord::Forgotten(number) => self.forget(*number),
            LogRecord::Upkept(wave, machine) => {
                self.upkept.insert((*wave, machine.clone()));
            }
            LogRecord::WaveOver(wave) => {
                self.waves_over.insert(*wave);
                self.upkept.retain(|(other, _)| other != wave);
            }
            LogRecord::Learned(factors) => self.factors.import_earlier(factors),
            LogRecord::FactorsLearned(factors) => self.factors.import(factors),
            LogRecord::IdCancelled(id) => self.cancelled_ids.insert(id, now),
            LogRecord::Cleared(epoch) => {
                self.cleared = self.cleared.max(*epoch);
                self.silent_workers.forget_before(self.cleared);
            }
            LogRecord::Crashed(worker, lost_runs) => self.add_loss(worker, lost_runs),
            LogRecord::LossExplained(worker, runs) => self.withdraw_loss(worker, runs),
            LogRecord::LossDiscounted(worker, runs) => self.discount_loss(worker, runs),
            LogRecord::Absolved(task) => {
                self.suspects.remove(task);
            }
            LogRecord::StartUnconfirmed(run, worker) => self.add_unconfirmed(*run, worker, now),
            LogRecord::StartSettled(run) => self.settle(*run),
            LogRecord::StartPending(run, epoch) => {
                // The run may have ended by a record of the same entry.
                if self.is_live(*run) {
                    self.pending_starts.insert(*run, *epoch);
                    for start in starts_of(&mut self.unconfirmed, *run) {
                        start.sending.reopen(*epoch);
                    }
                }
            }
            LogRecord::StartAnswered(run) => {
                self.remove_pending_start(*run);
            }
            LogRecord::RunTimesLearned(models) => self.run_times.apply(models),
            LogRecord::Origin(number, zone) => {
                if self.jobs.contains_key(number) {
                    self.origins.insert(*number, zone);
                }
            }
            LogRecord::DemandLearned(demand) => self.learned_demand.clone_from(demand),
            LogRecord::OwnersKnown(writer, ages) => self.note_known_owners(*writer, ages),
            LogRecord::WorkersSilent(epoch, workers) => self.silent_workers.add(*epoch, workers),
            LogRecord::WorkerHeard(epoch, worker) => self.silent_workers.remove(*epoch, worker),
            LogRecord::WorkerMachine(worker, machine) => self.worker_machines.add(worker, machine),
        }
        Effect::None
    }

    /// Returns the tasks suspected of crashing workers.
    #[must_use]
    pub fn suspects(&self) -> &BTreeMap<Task, Suspect> {
        &self.suspects
    }

    /// Sets the suspects, which a snapshot stores separately.
    pub fn set_suspects(&mut self, suspects: BTreeMap<Task, Suspect>) {
        self.suspects = suspects;
    }

    /// Returns the lost runs that count against suspects.
    #[must_use]
    pub fn losses(&self) -> &RecordedLosses {
        &self.losses
    }

    /// Adds the loss of a worker to the tasks that ran there.
    fn add_loss(&mut self, worker: &Incarnation, lost_runs: &[LostRun]) {
        let counted = lost_runs.iter().copied();
        let counted = counted.filter(|lost| self.add_suspect(lost)).collect();
        // Earlier versions recorded runs on workers that were never listed without the worker.
        if !worker.as_str().is_empty() {
            self.losses.add(worker, counted);
        }
    }

    /// Takes the loss of runs with their worker back.
    fn withdraw_loss(&mut self, worker: &Incarnation, runs: &[Run]) {
        for lost in self.losses.take(worker, runs) {
            let task = lost.run.task;
            let Some(suspect) = self.suspects.get_mut(&task) else {
                continue;
            };
            suspect.withdraw(&lost);
            if suspect.crashes == 0 {
                self.suspects.remove(&task);
            }
        }
    }

    /// Discounts the loss of runs with their worker.
    fn discount_loss(&mut self, worker: &Incarnation, runs: &[Run]) {
        for lost in self.losses.discount(worker, runs) {
            if let Some(suspect) = self.suspects.get_mut(&lost.run.task) {
                suspect.discount(&lost);
            }
        }
    }

    /// Adds a crash to a task that may be started again; returns whether it counts.
    fn add_suspect(&mut self, lost: &LostRun) -> bool {
        let task = lost.run.task;
        let open = |(job, state): (&JobState, &TaskState)| job.outcome.is_none() && !state.done;
        self.task(task).is_some_and(open) && self.suspects.entry(task).or_default().note(lost)
    }

    /// Returns the starts that may still be carried out.
    #[must_use]
    pub fn unconfirmed(&self) -> &BTreeMap<Task, Vec<UnconfirmedStart>> {
        &self.unconfirmed
    }

    /// Sets the starts that may still be carried out, which a snapshot stores separately.
    pub fn set_unconfirmed(&mut self, unconfirmed: BTreeMap<Task, Vec<UnconfirmedStart>>) {
        self.unconfirmed = unconfirmed;
    }

    /// Reports whether a start of a task that is carried out late could run beside a later run: the
    /// task is open and may have no copies.
    #[must_use]
    pub fn excludes_copies(&self, task: Task) -> bool {
        self.task(task).is_some_and(|(job, state)| {
            let single = job.step(task).is_some_and(|step| !step.speculative);
            single && job.outcome.is_none() && !state.done
        })
    }

    fn add_unconfirmed(&mut self, run: Run, worker: &Incarnation, now: Duration) {
        if !self.excludes_copies(run.task) {
            return;
        }
        let sender = self.pending_starts.get(&run).copied();
        let starts = self.unconfirmed.entry(run.task).or_default();
        starts.push(UnconfirmedStart {
            run: run.number,
            worker: worker.clone(),
            sending: Sending {
                sender,
                ..Sending::default()
            },
            since: now,
        });
    }

    /// Adds what an owner knows of itself and others. A start that is recorded by then was sent by an
    /// earlier owner, and a later one would have recorded its own.
    fn note_known_owners(&mut self, writer: u64, ages: &[(u64, u64)]) {
        let is_first = self.known_owners.note(writer, ages);
        let held = self.known_owners.held();
        for start in self.unconfirmed.values_mut().flatten() {
            if is_first && start.sending.sender.is_none() {
                start.sending.sender = Some(writer.saturating_sub(1));
            }
            start.sending.note_time(writer, held);
        }
    }

    /// Removes the pending start of a run: its sender sends no other one.
    fn remove_pending_start(&mut self, run: Run) {
        let Some(epoch) = self.pending_starts.remove(&run) else {
            return;
        };
        for start in starts_of(&mut self.unconfirmed, run) {
            start.sending.rule_out(epoch);
        }
    }

    /// Returns how long owners had been known at least when that was last recorded, by epoch.
    #[must_use]
    pub fn known_owners(&self) -> &KnownOwners {
        &self.known_owners
    }

    /// Returns the workers to which owners have granted no lease.
    #[must_use]
    pub fn silent_workers(&self) -> &SilentWorkers {
        &self.silent_workers
    }

    /// Returns the machines of workers on which runs were placed.
    #[must_use]
    pub fn worker_machines(&self) -> &WorkerMachines {
        &self.worker_machines
    }

    /// Sets when the newest unconfirmed start of a run was sent at the latest, on this owner's clock.
    pub fn date_unconfirmed(&mut self, run: Run, sent: Duration) {
        let starts = self.unconfirmed.get_mut(&run.task);
        let mut starts = starts.into_iter().flatten();
        if let Some(start) = starts.rfind(|start| start.run == run.number) {
            start.since = sent;
        }
    }

    /// Sets when each unconfirmed start was sent at the latest, on this owner's clock, from what
    /// the log says.
    pub fn date_all_unconfirmed(&mut self, sent: impl Fn(&Sending) -> Duration) {
        for start in self.unconfirmed.values_mut().flatten() {
            start.since = sent(&start.sending);
        }
    }

    /// Takes all unconfirmed starts for sent no later than `sent`, on this owner's clock.
    pub fn limit_unconfirmed(&mut self, sent: Duration) {
        for start in self.unconfirmed.values_mut().flatten() {
            start.since = start.since.min(sent);
        }
    }

    /// Returns the runs with a start that may be in flight, and the epoch of the owner that sent it.
    #[must_use]
    pub fn pending_starts(&self) -> &BTreeMap<Run, u64> {
        &self.pending_starts
    }

    /// Sets the runs with a start that may be in flight, which a snapshot stores separately.
    pub fn set_pending_starts(&mut self, starts: BTreeMap<Run, u64>) {
        self.pending_starts = starts;
    }

    /// Returns the encoded demand of short tasks that was recorded last.
    #[must_use]
    pub fn learned_demand(&self) -> &[u8] {
        &self.learned_demand
    }

    /// Returns the ids that were cancelled before their jobs arrived.
    #[must_use]
    pub fn cancelled_ids(&self) -> &CancelledIds {
        &self.cancelled_ids
    }

    /// Forgets the ids that were cancelled before `limit`, on this owner's clock. A later owner may know
    /// them for longer.
    pub fn forget_cancelled_ids(&mut self, limit: Duration) {
        self.cancelled_ids.forget_before(limit);
    }

    /// Returns the learned interference factors as last recorded.
    #[must_use]
    pub fn factors(&self) -> &Interference {
        &self.factors
    }

    /// Returns the values of a snapshot's last section.
    ///
    /// # Errors
    /// Fails if a value cannot be encoded.
    pub fn extensions(&self) -> Result<Extensions, postcard::Error> {
        let mut extensions = Extensions::new();
        if !self.run_times.is_empty() {
            let models = postcard::to_stdvec(&self.run_times.encode()?)?;
            extensions.insert(EXTENSION_RUN_TIMES, models);
        }
        if !self.origins.is_empty() {
            extensions.insert(origins::EXTENSION, self.origins.encode()?);
        }
        if !self.cancelled_ids.is_empty() {
            extensions.insert(cancelled_ids::EXTENSION, self.cancelled_ids.encode()?);
        }
        if !self.factors.is_empty() {
            let factors = postcard::to_stdvec(&self.factors.export())?;
            extensions.insert(FACTORS_EXTENSION, factors);
        }
        if !self.learned_demand.is_empty() {
            extensions.insert(DEMAND_EXTENSION, self.learned_demand.clone());
        }
        let senders = self.unconfirmed.iter();
        let senders: Sendings = senders
            .map(|(task, starts)| (*task, starts.iter().map(|it| it.sending.clone()).collect()))
            .collect();
        if !senders.is_empty() {
            extensions.insert(SENDINGS_EXTENSION, postcard::to_stdvec(&senders)?);
        }
        if !self.known_owners.is_empty() {
            extensions.insert(OWNERS_EXTENSION, postcard::to_stdvec(&self.known_owners)?);
        }
        if !self.silent_workers.is_empty() {
            let silent = postcard::to_stdvec(&self.silent_workers)?;
            extensions.insert(SILENT_EXTENSION, silent);
        }
        if !self.worker_machines.is_empty() {
            extensions.insert(MACHINES_EXTENSION, self.worker_machines.encode()?);
        }
        if !self.losses.is_empty() {
            let is_needed = |lost: &LostRun| self.suspects.contains_key(&lost.run.task);
            extensions.insert(recorded_losses::EXTENSION, self.losses.encode(is_needed)?);
        }
        Ok(extensions)
    }

    /// Sets the values of a snapshot's last section. Unknown numbers are skipped.
    ///
    /// # Errors
    /// Fails if a value cannot be decoded.
    pub fn set_extensions(&mut self, extensions: &Extensions) -> Result<(), postcard::Error> {
        if let Some(bytes) = extensions.get(&EXTENSION_RUN_TIMES) {
            // Run times can be learned again, so those that do not decode are no reason to fail.
            match postcard::from_bytes::<EncodedModels>(bytes) {
                Ok(models) => self.run_times.apply(&models),
                Err(error) => tracing::warn!(%error, "learned run times of a snapshot skipped"),
            }
        }
        self.factors
            .import_earlier(&std::mem::take(&mut self.earlier_factors));
        if let Some(bytes) = extensions.get(&FACTORS_EXTENSION) {
            // Factors can be learned again.
            match postcard::from_bytes::<FactorTable>(bytes) {
                Ok(factors) => self.factors.import(&factors),
                Err(error) => tracing::warn!(%error, "learned factors of a snapshot skipped"),
            }
        }
        if let Some(bytes) = extensions.get(&cancelled_ids::EXTENSION) {
            self.cancelled_ids = CancelledIds::decode(bytes, Duration::ZERO)?;
        }
        if let Some(bytes) = extensions.get(&origins::EXTENSION) {
            // Jobs without an origin are counted together, so that is no reason to fail.
            match Origins::decode(bytes) {
                Ok(origins) => self.origins = origins,
                Err(error) => tracing::warn!(%error, "origins of a snapshot skipped"),
            }
        }
        let demand = extensions.get(&DEMAND_EXTENSION).cloned();
        self.learned_demand = demand.unwrap_or_default();
        // Without either, starts count as sent by the last owner, so that is no reason to fail.
        if let Some(bytes) = extensions.get(&SENDINGS_EXTENSION) {
            match postcard::from_bytes::<Sendings>(bytes) {
                Ok(sendings) => self.set_sendings(sendings),
                Err(error) => tracing::warn!(%error, "senders of starts of a snapshot skipped"),
            }
        }
        if let Some(bytes) = extensions.get(&OWNERS_EXTENSION) {
            match postcard::from_bytes(bytes) {
                Ok(owners) => self.known_owners = owners,
                Err(error) => tracing::warn!(%error, "known owners of a snapshot skipped"),
            }
        }
        if let Some(bytes) = extensions.get(&SILENT_EXTENSION) {
            match postcard::from_bytes(bytes) {
                Ok(silent) => self.silent_workers = silent,
                Err(error) => tracing::warn!(%error, "silent workers of a snapshot skipped"),
            }
        }
        if let Some(bytes) = extensions.get(&MACHINES_EXTENSION) {
            // Without it the starts to workers that are gone stay in doubt for longer.
            match WorkerMachines::decode(bytes) {
                Ok(machines) => self.worker_machines = machines,
                Err(error) => tracing::warn!(%error, "machines of a snapshot skipped"),
            }
        }
        if let Some(bytes) = extensions.get(&recorded_losses::EXTENSION) {
            // Without them suspicions last until a run survives.
            match RecordedLosses::decode(bytes) {
                Ok(losses) => self.losses = losses,
                Err(error) => tracing::warn!(%error, "losses of a snapshot skipped"),
            }
        }
        Ok(())
    }

    /// Sets what is known of the unconfirmed starts, in the order of the starts of each task.
    fn set_sendings(&mut self, sendings: Sendings) {
        for (task, sendings) in sendings {
            let starts = self.unconfirmed.get_mut(&task);
            let Some(starts) = starts.filter(|starts| starts.len() == sendings.len()) else {
                continue;
            };
            for (start, sending) in starts.iter_mut().zip(sendings) {
                start.sending = sending;
            }
        }
    }

    /// Returns the learned run times as last recorded.
    #[must_use]
    pub fn run_times(&self) -> &RecordedModels {
        &self.run_times
    }

    /// Returns the origins of jobs.
    #[must_use]
    pub fn origins(&self) -> &Origins {
        &self.origins
    }

    fn settle(&mut self, run: Run) {
        let Some(starts) = self.unconfirmed.get_mut(&run.task) else {
            return;
        };
        starts.retain(|start| start.run != run.number);
        if starts.is_empty() {
            self.unconfirmed.remove(&run.task);
        }
    }

    /// Drops what is known only for further runs of the tasks of an ended job.
    fn forget_tasks(&mut self, number: u32) {
        self.suspects.retain(|task, _| task.job != number);
        self.unconfirmed.retain(|task, _| task.job != number);
        self.pending_starts.retain(|run, _| run.task.job != number);
    }

    fn accept(&mut self, job: &Job, policy: &Policy, wall: u64, now: Duration) -> Effect {
        let number = self.next;
        self.next += 1;
        let mut state = JobState {
            job: Arc::new(job.clone()),
            policy: policy.clone(),
            accepted: wall,
            occurrences: BTreeMap::new(),
            next_occurrence: 0,
            begun: false,
            live: 0,
            outcome: None,
            counted_bytes: 0,
        };
        if job.schedule.is_none() {
            state.open_occurrence(0);
        } else {
            self.scheduled.insert(number);
        }
        self.by_id.insert(job.id.clone(), number);
        self.open.insert(number);
        self.open_bytes += state.count_bytes();
        self.jobs.insert(number, state);
        if self.cancelled_ids.contains(&job.id) {
            return self.close(number, Outcome::Cancelled, now);
        }
        Effect::None
    }

    fn place(&mut self, run: Run, worker: &Incarnation, checkpoint: &Arc<str>) {
        let Some(job) = self.jobs.get_mut(&run.task.job) else {
            return;
        };
        if job.next_occurrence <= run.task.occurrence {
            job.open_occurrence(run.task.occurrence);
            self.open_bytes -= job.counted_bytes;
            self.open_bytes += job.count_bytes();
        }
        let Some(occurrence) = job.occurrences.get_mut(&run.task.occurrence) else {
            return;
        };
        let step = &mut occurrence.steps[usize::from(run.task.step)];
        let task = &mut step.tasks[usize::from(run.task.index)];
        step.waiting -= u32::from(task.waits());
        task.last = task.last.max(run.number);
        if !checkpoint.is_empty() {
            task.checkpoint = checkpoint.clone();
        }
        task.live.push(PlacedRun {
            number: run.number,
            worker: worker.clone(),
        });
        job.begun = true;
        job.live += 1;
    }

    fn end(&mut self, run: Run, end: End, checkpoint: &Arc<str>, now: Duration) -> Effect {
        let number = run.task.job;
        // Earlier versions record long-running tasks as done.
        let end = self.effective_end(run.task, end);
        if !self.is_live(run) && !self.late_end_matters(run, end) {
            return Effect::None;
        }
        if self.is_live(run) {
            self.remove_pending_start(run);
        }
        let Some(job) = self.jobs.get_mut(&number) else {
            return Effect::None;
        };
        let gang = job.step(run.task).is_some_and(|step| step.gang);
        let Some(occurrence) = job.occurrences.get_mut(&run.task.occurrence) else {
            return Effect::None;
        };
        let step = &mut occurrence.steps[usize::from(run.task.step)];
        let task = &mut step.tasks[usize::from(run.task.index)];
        step.waiting -= u32::from(task.waits());
        let worker = match task.live.iter().position(|live| live.number == run.number) {
            Some(place) => {
                job.live -= 1;
                Some(task.live.swap_remove(place).worker)
            }
            None => None,
        };
        if !checkpoint.is_empty() {
            task.checkpoint = checkpoint.clone();
        }
        match end {
            End::Done if !task.done => {
                task.done = true;
                step.left -= 1;
                self.suspects.remove(&run.task);
                self.unconfirmed.remove(&run.task);
            }
            End::Failed => {
                task.failed.insert(run.number);
                task.failed_on.extend(worker);
            }
            _ => {}
        }
        step.waiting += u32::from(task.waits());
        if gang {
            apply_gang_end(step, end, checkpoint);
        }
        if gang && end == End::Done {
            let in_gang = |task: &Task| {
                Task { index: 0, ..*task }
                    == Task {
                        index: 0,
                        ..run.task
                    }
            };
            self.suspects.retain(|task, _| !in_gang(task));
            self.unconfirmed.retain(|task, _| !in_gang(task));
        }
        let over = job.outcome.is_some();
        if occurrence.is_done() {
            let live = occurrence.steps.iter().flat_map(|step| &step.tasks);
            let inactive = live.into_iter().all(|task| task.live.is_empty());
            if inactive {
                job.occurrences.remove(&run.task.occurrence);
                self.open_bytes -= job.counted_bytes;
                self.open_bytes += job.count_bytes();
            }
        }
        let open = job
            .occurrences
            .values()
            .any(|occurrence| !occurrence.is_done());
        if !over && !open && job.next_occurrence >= job.job.times() {
            return self.close(number, Outcome::Complete, now);
        }
        self.compact_ended(number);
        Effect::None
    }

    fn close(&mut self, number: u32, outcome: Outcome, now: Duration) -> Effect {
        let Some(job) = self.jobs.get_mut(&number) else {
            return Effect::None;
        };
        if job.outcome.is_some() {
            return Effect::None;
        }
        job.outcome = Some(outcome);
        self.scheduled.remove(&number);
        self.ended.insert(number, now);
        self.forget_tasks(number);
        self.compact_ended(number);
        Effect::Ended(number, outcome)
    }

    /// Drops everything but the id, queue and outcome of an ended job without active runs.
    fn compact_ended(&mut self, number: u32) {
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        if job.outcome.is_none() || job.live > 0 {
            return;
        }
        job.occurrences.clear();
        self.close_open(number);
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        let Job { id, queue, .. } = &*job.job;
        job.job = Arc::new(Job {
            id: id.clone(),
            queue: queue.clone(),
            payload: Arc::from(""),
            steps: Vec::new(),
            schedule: None,
        });
    }

    fn forget(&mut self, number: u32) {
        self.origins.remove(number);
        self.close_open(number);
        if let Some(job) = self.jobs.remove(&number) {
            self.by_id.remove(&job.job.id);
        }
        self.ended.remove(&number);
    }
}

/// Returns the unconfirmed starts of a run.
fn starts_of(
    unconfirmed: &mut BTreeMap<Task, Vec<UnconfirmedStart>>,
    run: Run,
) -> impl Iterator<Item = &mut UnconfirmedStart> {
    let starts = unconfirmed.get_mut(&run.task).into_iter().flatten();
    starts.filter(move |start| start.run == run.number)
}

/// Applies the end of one gang member to all members: when one is done all are done, and all resume
/// from the same checkpoint.
fn apply_gang_end(step: &mut StepState, end: End, checkpoint: &Arc<str>) {
    for task in &mut step.tasks {
        if end == End::Done && !task.done {
            step.waiting -= u32::from(task.waits());
            task.done = true;
            step.left -= 1;
        }
        if !checkpoint.is_empty() {
            task.checkpoint = checkpoint.clone();
        }
    }
}
