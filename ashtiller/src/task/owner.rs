//! The actor that owns a cell.
//!
//! It feeds events and the time to the state machines and carries out what they
//! decide: facts go to the log in groups, one entry at a time; calls to workers
//! and answers to callers wait until the entry they rest on is durable. Once
//! another owner's entry is found in the log, it stops and forgets everything.

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
use crate::fact::{Body, Fact};
use crate::journal::{Journal, OpenedCell};
use crate::peer::{Submission, Verdict};
use crate::placement::InterferenceAware;
use crate::plan::{self, Planner};
use crate::reconcile::{self, StepContext};
use crate::record;
use crate::roster;
use crate::scheduler_metrics::SchedulerMetrics;
use crate::session::{LeaseTerms, Session};
use crate::settings;

/// How often the owner decides.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// How often an idle owner asks whether it was superseded.
const VERIFY_INTERVAL: Duration = Duration::from_secs(5);
/// A worker that does not answer is called at most this often.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Facts that may wait for the log before new jobs are turned away.
pub(crate) const PENDING_MAX: usize = plan::MAX_FACTS_PER_ROUND;

/// What an owner needs besides its opened cell.
#[derive(Clone)]
pub struct OwnerDeps {
    /// Name of the cell.
    pub name: Arc<str>,
    /// Settings of the role.
    pub settings: settings::Scheduler,
    /// Workers.
    pub worker_client: Arc<dyn WorkerClient>,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Counters.
    pub metrics: Arc<SchedulerMetrics>,
}

/// Whether an owner still owns its cell.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OwnerStatus {
    /// It owns the cell.
    Owner,
    /// It has handed the cell over, or was superseded.
    Ended,
}

/// A running owner.
#[derive(Clone)]
pub struct OwnerHandle {
    actor: ActorRef<Owner>,
    standing: watch::Receiver<OwnerStatus>,
}

impl OwnerHandle {
    /// Whether it still owns its cell.
    #[must_use]
    pub fn is_owner(&self) -> bool {
        *self.standing.borrow() == OwnerStatus::Owner
    }

    /// Submits a job; the verdict comes once it is durable.
    pub async fn submit(&self, job: Submission) -> Option<Verdict> {
        let (reply, verdict) = oneshot::channel();
        self.actor.tell(Submit { job, reply }).await.ok()?;
        verdict.await.ok()
    }

    /// Cancels a job; the verdict comes once it is durable.
    pub async fn cancel(&self, account: Arc<str>, job: Arc<str>) -> Option<Verdict> {
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

    /// Shows the cell, one account or one job as JSON.
    pub async fn show(&self, account: Arc<str>, job: Arc<str>) -> Option<String> {
        self.actor.ask(Show { account, job }).await.ok()
    }

    /// Takes the platform's list of this cell's workers.
    pub async fn update_workers(&self, instances: Vec<roster::Instance>) {
        let _ = self.actor.tell(WorkersListed { instances }).await;
    }

    /// Hands the cell over in a planned way and waits for it.
    pub async fn hand_over(&self) {
        let _ = self.actor.tell(HandOver).await;
        let mut standing = self.standing.clone();
        let _ = standing
            .wait_for(|standing| *standing == OwnerStatus::Ended)
            .await;
    }

    /// Stops at once, as a kill does.
    pub fn kill(&self) {
        self.actor.kill();
    }
}

/// Starts the owner of an opened cell.
#[must_use]
pub fn spawn(opened: OpenedCell, tools: OwnerDeps) -> OwnerHandle {
    let (sender, standing) = watch::channel(OwnerStatus::Owner);
    let now = tools.clock.now();
    let terms = LeaseTerms {
        lease: tools.settings.lease,
        margin: tools.settings.margin,
    };
    let OpenedCell {
        journal,
        mut cell,
        next_position: next,
        former_lease_bound: former,
    } = opened;
    cell.reset_sessions(now + former);
    let owner = Owner {
        deps: tools,
        terms,
        planner: Planner::new(Box::new(InterferenceAware), terms),
        cell,
        former_leases_end: now + former,
        ownership_confirmed_at: now,
        check_in_flight: false,
        position: next,
        durable: next - 1,
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
    tokio::spawn(tick(actor.clone(), standing.clone()));
    OwnerHandle { actor, standing }
}

async fn tick(actor: ActorRef<Owner>, standing: watch::Receiver<OwnerStatus>) {
    let mut ticks = time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if *standing.borrow() == OwnerStatus::Ended || actor.ask(Tick).await.is_err() {
            return;
        }
    }
}

#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a call under way, or the end"
)]
pub(crate) struct Owner {
    pub(crate) deps: OwnerDeps,
    pub(crate) terms: LeaseTerms,
    pub(crate) planner: Planner,
    pub(crate) cell: Cell,
    /// Leases of earlier owners end by this time.
    pub(crate) former_leases_end: Duration,
    /// Start of the last call that proved the ownership.
    pub(crate) ownership_confirmed_at: Duration,
    pub(crate) check_in_flight: bool,
    /// Position of the entry that new facts go to.
    pub(crate) position: u64,
    pub(crate) durable: u64,
    pub(crate) write_in_flight: bool,
    pub(crate) last_write_at: Duration,
    pub(crate) pending: Vec<Fact>,
    pub(crate) replies: VecDeque<(u64, oneshot::Sender<Verdict>, Verdict)>,
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

    /// Writes pending facts when no entry is under way and the pause is over.
    pub(crate) fn flush(&mut self, actor: &ActorRef<Self>) {
        let paused = self.now() < self.last_write_at + self.deps.settings.commit;
        let last = self.handing_over && self.pending.is_empty();
        if self.write_in_flight
            || (!last && (self.pending.is_empty() || paused && !self.handing_over))
        {
            return;
        }
        let facts = std::mem::take(&mut self.pending);
        let body = if last {
            Body::Handover
        } else {
            Body::Facts(facts)
        };
        let bytes = match self.journal.encode(body) {
            Ok(bytes) => bytes,
            Err(error) => {
                tracing::error!(cell = %self.deps.name, %error, "an entry cannot be written");
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

    /// Answers callers whose entries are durable.
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
        reply: oneshot::Sender<Verdict>,
        verdict: Verdict,
        fact: Option<Fact>,
    ) {
        // Without a fact of its own the verdict may rest on one that is pending.
        let pending = fact.is_some() || !self.pending.is_empty();
        self.pending.extend(fact);
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
        // Nothing may be renewed long after the ownership was last proved.
        let renewing =
            now < self.ownership_confirmed_at + self.deps.settings.horizon && !self.handing_over;
        let due: Vec<Arc<str>> = self
            .cell
            .workers
            .iter()
            .filter(|(name, host)| host.address.is_some() && self.is_due(name, host, now))
            .map(|(name, _)| name.clone())
            .collect();
        for worker in due {
            self.call(&worker, renewing, actor);
        }
    }

    pub(crate) fn is_due(
        &self,
        name: &Arc<str>,
        host: &crate::worker_state::WorkerState,
        now: Duration,
    ) -> bool {
        let Some(called) = host.last_called else {
            return true;
        };
        let since = now.saturating_sub(called);
        let silent = host.session.since_last_report(now) > self.deps.settings.renew * 2;
        let news = !silent && reconcile::has_pending_updates(&self.cell, name, self.durable);
        !host.call_in_flight
            && (news || since >= self.deps.settings.renew || silent && since >= RETRY_INTERVAL)
    }

    pub(crate) fn call(&mut self, worker: &Arc<str>, renew: bool, actor: &ActorRef<Self>) {
        let moment = self.step_context();
        let Some(sync) =
            reconcile::prepare_sync(&mut self.cell, worker, &self.terms, renew, moment)
        else {
            return;
        };
        let Some(host) = self.cell.workers.get_mut(worker) else {
            return;
        };
        let Some(address) = host.address else { return };
        host.last_called = Some(moment.now);
        host.call_in_flight = true;
        self.deps.metrics.calls.inc();
        let (tool, actor, worker) = (
            self.deps.worker_client.clone(),
            actor.clone(),
            worker.clone(),
        );
        tokio::spawn(async move {
            let answer = tool.sync(address, &sync).await;
            let _ = actor.tell(WorkerAnswered { worker, answer }).await;
        });
    }

    /// Proves the ownership while there is nothing to write.
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
        let due = self.entries_since_snapshot >= self.deps.settings.snapshot;
        let whole = self.pending.is_empty() && !self.write_in_flight;
        if self.snapshot_in_flight || !due || !whole || self.handing_over {
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
            let done = journal.snapshot(position, state.into()).await;
            let _ = actor.tell(SnapshotWritten { done }).await;
        });
    }

    pub(crate) fn update_workers(&mut self, instances: &[roster::Instance]) {
        let now = self.now();
        for instance in instances {
            self.cell.resize_worker(&instance.name, instance.resources);
            let bound = self.former_leases_end;
            let Some(host) = self.cell.workers.get_mut(&instance.name) else {
                continue;
            };
            if host.address.is_none() && host.last_called.is_none() {
                host.session = Session::new(bound);
            }
            host.address = Some(instance.address);
            host.listed_phase = instance.phase;
            host.absent_since = None;
            host.rack = instance.rack.clone();
        }
        for (name, host) in &mut self.cell.workers {
            let listed = instances.iter().any(|instance| instance.name == *name);
            if !listed {
                host.absent_since.get_or_insert(now);
            }
        }
        self.cell
            .workers
            .retain(|_, host| host.absent_since.is_none() || !host.tasks.is_empty());
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
