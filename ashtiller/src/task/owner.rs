//! Actor that owns a cell.
//!
//! It passes events and the time to the state machines and executes their decisions. Records are
//! appended to the log in batches, one entry at a time; commands to workers and replies to callers
//! wait until the entry that they depend on is durable. When the actor finds another owner's entry
//! in the log, it stops and drops its state.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use kameo::Actor;
use kameo::actor::{ActorRef, Spawn};
use tokio::sync::{oneshot, watch};
use tokio::time;

use crate::agent::WorkerClient;
use crate::cell::Cell;
use crate::clock::Clock;
use crate::events::{
    Cancel, EntryWritten, HandOver, OwnershipChecked, Show, SnapshotWritten, Submit, Tick,
    WorkerAnswered, WorkersListed,
};
use crate::fact::{Body, LogRecord};
use crate::journal::{Journal, OpenedCell};
use crate::peer::{JobReply, Submission};
use crate::placement::InterferenceAware;
use crate::plan::{self, Planner};
use crate::reconcile::{self, StepContext};
use crate::record;
use crate::scheduler_metrics::SchedulerMetrics;
use crate::service_catalog;
use crate::session::{LeaseTerms, Session};
use crate::settings;

/// Interval between planning rounds.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which an idle owner checks whether it was superseded.
const VERIFY_INTERVAL: Duration = Duration::from_secs(5);
/// Minimum interval between calls to a worker that does not answer.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Number of pending log records from which new jobs are rejected.
pub(crate) const PENDING_MAX: usize = plan::MAX_RECORDS_PER_ROUND;

/// Dependencies of an owner besides its opened cell.
#[derive(Clone)]
pub struct OwnerDeps {
    /// Name of the cell.
    pub name: Arc<str>,
    /// Settings of the scheduler role.
    pub settings: settings::Scheduler,
    /// Client for calls to workers.
    pub worker_client: Arc<dyn WorkerClient>,
    /// Clock of the owner.
    pub clock: Arc<dyn Clock>,
    /// Metrics of the scheduler.
    pub metrics: Arc<SchedulerMetrics>,
}

/// Ownership status of an owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OwnerStatus {
    /// The owner owns its cell.
    Owner,
    /// The owner has handed the cell over, was superseded, or has stopped.
    Ended,
}

/// Handle to a running owner.
#[derive(Clone)]
pub struct OwnerHandle {
    actor: ActorRef<Owner>,
    status: watch::Receiver<OwnerStatus>,
}

impl OwnerHandle {
    /// Returns whether the owner still owns its cell.
    #[must_use]
    pub fn is_owner(&self) -> bool {
        *self.status.borrow() == OwnerStatus::Owner
    }

    /// Submits a job and returns the verdict once it is durable; `None` if the owner has stopped.
    pub async fn submit(&self, job: Submission) -> Option<JobReply> {
        let (reply, verdict) = oneshot::channel();
        self.actor.tell(Submit { job, reply }).await.ok()?;
        verdict.await.ok()
    }

    /// Cancels a job and returns the verdict once it is durable; `None` if the owner has stopped.
    pub async fn cancel(&self, account: Arc<str>, job: Arc<str>) -> Option<JobReply> {
        let (reply, verdict) = oneshot::channel();
        self.actor
            .tell(Cancel {
                account,
                job,
                reply,
            })
            .await
            .ok()?;
        verdict.await.ok()
    }

    /// Returns the state of the cell, one account or one job as JSON.
    pub async fn show(&self, account: Arc<str>, job: Arc<str>) -> Option<String> {
        self.actor.ask(Show { account, job }).await.ok()
    }

    /// Updates the cell's workers from the platform's list.
    pub async fn update_workers(&self, instances: Vec<service_catalog::Instance>) {
        let _ = self.actor.tell(WorkersListed { instances }).await;
    }

    /// Hands the cell over and waits until the owner has stopped.
    pub async fn hand_over(&self) {
        let _ = self.actor.tell(HandOver).await;
        let mut status = self.status.clone();
        let _ = status
            .wait_for(|status| *status == OwnerStatus::Ended)
            .await;
    }

    /// Stops the owner immediately and without a handover, as a killed process would.
    pub fn kill(&self) {
        self.actor.kill();
    }
}

/// Starts the owner of an opened cell.
#[must_use]
pub fn spawn(opened: OpenedCell, deps: OwnerDeps) -> OwnerHandle {
    let (sender, status) = watch::channel(OwnerStatus::Owner);
    let now = deps.clock.now();
    let terms = LeaseTerms {
        lease: deps.settings.lease,
        margin: deps.settings.clock_margin,
    };
    let OpenedCell {
        journal,
        mut cell,
        next_position,
        former_lease_bound,
    } = opened;
    cell.reset_sessions(now + former_lease_bound);
    let owner = Owner {
        deps,
        terms,
        planner: Planner::new(Box::new(InterferenceAware), terms),
        cell,
        former_leases_end: now + former_lease_bound,
        ownership_confirmed_at: now,
        check_in_flight: false,
        position: next_position,
        durable: next_position - 1,
        write_in_flight: false,
        last_write_at: Duration::ZERO,
        pending: Vec::new(),
        replies: VecDeque::new(),
        entries_since_snapshot: 0,
        snapshot_in_flight: false,
        handing_over: false,
        journal,
        status: sender,
    };
    let actor = Owner::spawn(owner);
    tokio::spawn(tick(actor.clone(), status.clone()));
    OwnerHandle { actor, status }
}

async fn tick(actor: ActorRef<Owner>, status: watch::Receiver<OwnerStatus>) {
    let mut ticks = time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if *status.borrow() == OwnerStatus::Ended || actor.ask(Tick).await.is_err() {
            return;
        }
    }
}

#[expect(
    clippy::struct_excessive_bools,
    reason = "each flag is a call in flight, or the handover"
)]
pub(crate) struct Owner {
    pub(crate) deps: OwnerDeps,
    pub(crate) terms: LeaseTerms,
    pub(crate) planner: Planner,
    pub(crate) cell: Cell,
    /// Time by which the leases of earlier owners have expired.
    pub(crate) former_leases_end: Duration,
    /// Start of the last store call that confirmed the ownership.
    pub(crate) ownership_confirmed_at: Duration,
    pub(crate) check_in_flight: bool,
    /// Position of the log entry that will contain new records.
    pub(crate) position: u64,
    pub(crate) durable: u64,
    pub(crate) write_in_flight: bool,
    pub(crate) last_write_at: Duration,
    pub(crate) pending: Vec<LogRecord>,
    pub(crate) replies: VecDeque<(u64, oneshot::Sender<JobReply>, JobReply)>,
    pub(crate) entries_since_snapshot: u32,
    pub(crate) snapshot_in_flight: bool,
    pub(crate) handing_over: bool,
    pub(crate) journal: Journal,
    pub(crate) status: watch::Sender<OwnerStatus>,
}

impl Actor for Owner {
    type Args = Self;
    type Error = std::convert::Infallible;

    async fn on_start(args: Self, _: ActorRef<Self>) -> Result<Self, Self::Error> {
        Ok(args)
    }

    async fn on_stop(
        &mut self,
        _: kameo::actor::WeakActorRef<Self>,
        _: kameo::error::ActorStopReason,
    ) -> Result<(), Self::Error> {
        self.status.send_replace(OwnerStatus::Ended);
        Ok(())
    }
}

impl Owner {
    pub(crate) fn now(&self) -> Duration {
        self.deps.clock.now()
    }

    pub(crate) fn step_context(&self) -> StepContext {
        StepContext {
            epoch: self.journal.epoch(),
            position: self.position,
            durable: self.durable,
            now: self.now(),
        }
    }

    pub(crate) fn step_down(&mut self, why: &'static str, actor: &ActorRef<Self>) {
        if self.status.send_replace(OwnerStatus::Ended) == OwnerStatus::Owner {
            tracing::info!(cell = %self.deps.name, epoch = self.journal.epoch(), why, "cell released");
        }
        actor.kill();
    }

    /// Writes the pending records if no write is in flight and the commit interval has passed.
    pub(crate) fn flush(&mut self, actor: &ActorRef<Self>) {
        let paused = self.now() < self.last_write_at + self.deps.settings.commit_interval;
        let last = self.handing_over && self.pending.is_empty();
        if self.write_in_flight
            || (!last && (self.pending.is_empty() || paused && !self.handing_over))
        {
            return;
        }
        let encoded = if last {
            let former_wait = self.former_leases_end.saturating_sub(self.now());
            self.journal.encode_handover(&self.terms, former_wait)
        } else {
            let records = std::mem::take(&mut self.pending);
            self.journal.encode(Body::Facts(records))
        };
        let bytes = match encoded {
            Ok(bytes) => bytes,
            Err(error) => {
                tracing::error!(cell = %self.deps.name, %error, "log entry could not be encoded");
                self.step_down("an entry cannot be written", actor);
                return;
            }
        };
        self.write_in_flight = true;
        self.last_write_at = self.now();
        let (position, began) = (self.position, self.last_write_at);
        self.position += 1;
        self.deps.metrics.entries.inc();
        self.deps.metrics.entry_bytes.inc_by(bytes.len() as u64);
        let (journal, actor) = (self.journal.clone(), actor.clone());
        tokio::spawn(async move {
            let appended = journal.append(position, bytes).await;
            let _ = actor
                .tell(EntryWritten {
                    position,
                    began,
                    appended,
                    last,
                })
                .await;
        });
    }

    /// Sends the replies whose log entries are durable.
    pub(crate) fn send_durable_replies(&mut self) {
        while self
            .replies
            .front()
            .is_some_and(|(position, _, _)| *position <= self.durable)
        {
            if let Some((_, reply, verdict)) = self.replies.pop_front() {
                let _ = reply.send(verdict);
            }
        }
    }

    pub(crate) fn queue_reply(
        &mut self,
        reply: oneshot::Sender<JobReply>,
        verdict: JobReply,
        record: Option<LogRecord>,
    ) {
        // A verdict without a record of its own may depend on a record that is still pending.
        let pending = record.is_some() || !self.pending.is_empty();
        self.pending.extend(record);
        let position = if pending {
            self.position
        } else {
            self.position - 1
        };
        self.replies.push_back((position, reply, verdict));
        self.send_durable_replies();
    }

    pub(crate) fn call_workers(&mut self, actor: &ActorRef<Self>) {
        let now = self.now();
        // No lease is renewed once the last confirmed ownership is older than the horizon.
        let renewing = now < self.ownership_confirmed_at + self.deps.settings.lease_horizon
            && !self.handing_over;
        let due: Vec<Arc<str>> = self
            .cell
            .workers
            .iter()
            .filter(|(name, worker_state)| {
                worker_state.address.is_some() && self.is_due(name, worker_state, now)
            })
            .map(|(name, _)| name.clone())
            .collect();
        for worker in due {
            self.call(&worker, renewing, actor);
        }
    }

    pub(crate) fn is_due(
        &self,
        name: &Arc<str>,
        worker_state: &crate::worker_state::WorkerState,
        now: Duration,
    ) -> bool {
        let Some(last_called) = worker_state.last_called else {
            return true;
        };
        let since_call = now.saturating_sub(last_called);
        let silent =
            worker_state.session.since_last_report(now) > self.deps.settings.renew_interval * 2;
        let has_updates = !silent && reconcile::has_pending_updates(&self.cell, name, self.durable);
        !worker_state.call_in_flight
            && (has_updates
                || since_call >= self.deps.settings.renew_interval
                || silent && since_call >= RETRY_INTERVAL)
    }

    pub(crate) fn call(&mut self, worker: &Arc<str>, renew: bool, actor: &ActorRef<Self>) {
        let step = self.step_context();
        let Some(sync) = reconcile::prepare_sync(&mut self.cell, worker, &self.terms, renew, step)
        else {
            return;
        };
        let Some(worker_state) = self.cell.workers.get_mut(worker) else {
            return;
        };
        let Some(address) = worker_state.address else {
            return;
        };
        worker_state.last_called = Some(step.now);
        worker_state.call_in_flight = true;
        self.deps.metrics.calls.inc();
        let (client, actor, worker) = (
            self.deps.worker_client.clone(),
            actor.clone(),
            worker.clone(),
        );
        tokio::spawn(async move {
            let answer = client.sync(address, &sync).await;
            let _ = actor.tell(WorkerAnswered { worker, answer }).await;
        });
    }

    /// Checks that no other owner has written to the log, while there is nothing to write.
    pub(crate) fn verify_ownership(&mut self, actor: &ActorRef<Self>) {
        let now = self.now();
        if self.check_in_flight
            || self.write_in_flight
            || now < self.ownership_confirmed_at + VERIFY_INTERVAL
        {
            return;
        }
        self.check_in_flight = true;
        let (journal, actor, position) = (self.journal.clone(), actor.clone(), self.position);
        tokio::spawn(async move {
            let free = journal.is_free(position).await;
            let _ = actor
                .tell(OwnershipChecked {
                    began: now,
                    position,
                    free,
                })
                .await;
        });
    }

    pub(crate) fn snapshot(&mut self, actor: &ActorRef<Self>) {
        let due = self.entries_since_snapshot >= self.deps.settings.snapshot_entries;
        let nothing_pending = self.pending.is_empty() && !self.write_in_flight;
        if self.snapshot_in_flight || !due || !nothing_pending || self.handing_over {
            return;
        }
        let Ok(state) = record::encode(self.cell.durable_state()) else {
            return;
        };
        self.snapshot_in_flight = true;
        self.entries_since_snapshot = 0;
        self.deps.metrics.snapshots.inc();
        self.deps.metrics.snapshot_bytes.inc_by(state.len() as u64);
        let (journal, actor, position) = (self.journal.clone(), actor.clone(), self.durable);
        tokio::spawn(async move {
            let result = journal.snapshot(position, state.into()).await;
            let _ = actor.tell(SnapshotWritten { result }).await;
        });
    }

    pub(crate) fn update_workers(&mut self, instances: &[service_catalog::Instance]) {
        let now = self.now();
        for instance in instances {
            self.cell.resize_worker(&instance.name, instance.resources);
            let lease_bound = self.former_leases_end;
            let Some(worker_state) = self.cell.workers.get_mut(&instance.name) else {
                continue;
            };
            if worker_state.address.is_none() && worker_state.last_called.is_none() {
                worker_state.session = Session::new(lease_bound);
            }
            worker_state.address = Some(instance.address);
            worker_state.listed_phase = instance.phase;
            worker_state.absent_since = None;
            worker_state.rack = instance.rack.clone();
        }
        for (name, worker_state) in &mut self.cell.workers {
            let listed = instances.iter().any(|instance| instance.name == *name);
            if !listed {
                worker_state.absent_since.get_or_insert(now);
            }
        }
        self.cell.workers.retain(|_, worker_state| {
            worker_state.absent_since.is_none() || !worker_state.tasks.is_empty()
        });
    }

    pub(crate) fn publish(&self) {
        let counts = self.cell.counts();
        self.deps.metrics.publish(
            &self.deps.name,
            &counts,
            self.cell.running(),
            self.cell.backlog().len(),
        );
    }
}
