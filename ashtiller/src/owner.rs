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
use kameo::message::{Context, Message};
use tokio::sync::{oneshot, watch};
use tokio::time;

use crate::agent::{Report, Worker};
use crate::cell::Cell;
use crate::clock::Clock;
use crate::explain;
use crate::fact::{Body, Fact};
use crate::failure::Failure;
use crate::fit::Gentle;
use crate::journal::{Appended, Journal, Opened};
use crate::peer::{Submission, Verdict};
use crate::plan::{self, Planner};
use crate::reconcile::{self, Moment};
use crate::record;
use crate::roster;
use crate::score::Score;
use crate::session::{Change, Session, Terms};
use crate::settings;

/// How often the owner decides.
const TICK: Duration = Duration::from_millis(50);
/// How often an idle owner asks whether it was superseded.
const CONFIRM_EVERY: Duration = Duration::from_secs(5);
/// A worker that does not answer is called at most this often.
const RETRY_EVERY: Duration = Duration::from_millis(500);
/// Facts that may wait for the log before new jobs are turned away.
const PENDING_MAX: usize = plan::FACTS_MAX;

/// What an owner needs besides its opened cell.
#[derive(Clone)]
pub struct Tools {
    /// Name of the cell.
    pub name: Arc<str>,
    /// Settings of the role.
    pub settings: settings::Scheduler,
    /// Workers.
    pub worker: Arc<dyn Worker>,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Counters.
    pub tally: Arc<Score>,
}

/// Whether an owner still owns its cell.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// It owns the cell.
    Owner,
    /// It has handed the cell over, or was superseded.
    Ended,
}

/// A running owner.
#[derive(Clone)]
pub struct Handle {
    actor: ActorRef<Owner>,
    standing: watch::Receiver<Standing>,
}

impl Handle {
    /// Whether it still owns its cell.
    #[must_use]
    pub fn is_owner(&self) -> bool {
        *self.standing.borrow() == Standing::Owner
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
    pub async fn list(&self, instances: Vec<roster::Instance>) {
        let _ = self.actor.tell(Listed { instances }).await;
    }

    /// Hands the cell over in a planned way and waits for it.
    pub async fn hand_over(&self) {
        let _ = self.actor.tell(HandOver).await;
        let mut standing = self.standing.clone();
        let _ = standing
            .wait_for(|standing| *standing == Standing::Ended)
            .await;
    }

    /// Stops at once, as a kill does.
    pub fn kill(&self) {
        self.actor.kill();
    }
}

/// Starts the owner of an opened cell.
#[must_use]
pub fn spawn(opened: Opened, tools: Tools) -> Handle {
    let (sender, standing) = watch::channel(Standing::Owner);
    let now = tools.clock.now();
    let terms = Terms {
        lease: tools.settings.lease,
        margin: tools.settings.margin,
    };
    let Opened {
        journal,
        mut cell,
        next,
        former,
    } = opened;
    cell.begin(now + former);
    let owner = Owner {
        tools,
        terms,
        planner: Planner::new(Box::new(Gentle), terms),
        cell,
        bound: now + former,
        confirmed: now,
        checking: false,
        position: next,
        durable: next - 1,
        writing: false,
        wrote: Duration::ZERO,
        pending: Vec::new(),
        replies: VecDeque::new(),
        since_snapshot: 0,
        snapshotting: false,
        handing: false,
        journal,
        standing: sender,
    };
    let actor = Owner::spawn(owner);
    tokio::spawn(tick(actor.clone(), standing.clone()));
    Handle { actor, standing }
}

async fn tick(actor: ActorRef<Owner>, standing: watch::Receiver<Standing>) {
    let mut ticks = time::interval(TICK);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if *standing.borrow() == Standing::Ended || actor.ask(Tick).await.is_err() {
            return;
        }
    }
}

#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a call under way, or the end"
)]
struct Owner {
    tools: Tools,
    terms: Terms,
    planner: Planner,
    cell: Cell,
    /// Leases of earlier owners end by this time.
    bound: Duration,
    /// Start of the last call that proved the ownership.
    confirmed: Duration,
    checking: bool,
    /// Position of the entry that new facts go to.
    position: u64,
    durable: u64,
    writing: bool,
    wrote: Duration,
    pending: Vec<Fact>,
    replies: VecDeque<(u64, oneshot::Sender<Verdict>, Verdict)>,
    since_snapshot: u32,
    snapshotting: bool,
    handing: bool,
    journal: Journal,
    standing: watch::Sender<Standing>,
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
        self.standing.send_replace(Standing::Ended);
        Ok(())
    }
}

struct Submit {
    job: Submission,
    reply: oneshot::Sender<Verdict>,
}

struct Cancel {
    account: Arc<str>,
    job: Arc<str>,
    reply: oneshot::Sender<Verdict>,
}

struct Show {
    account: Arc<str>,
    job: Arc<str>,
}

struct Listed {
    instances: Vec<roster::Instance>,
}

struct Tick;

struct HandOver;

/// An entry's fate is known.
struct Wrote {
    position: u64,
    began: Duration,
    appended: Appended,
    last: bool,
}

/// A worker answered, or did not.
struct Called {
    worker: Arc<str>,
    answer: Result<Report, Failure>,
}

/// The position of the next entry was looked at.
struct Checked {
    began: Duration,
    position: u64,
    free: Result<bool, Failure>,
}

/// A snapshot was written, or not.
struct Snapped {
    done: Result<Journal, Failure>,
}

impl Owner {
    fn now(&self) -> Duration {
        self.tools.clock.now()
    }

    fn moment(&self) -> Moment {
        Moment {
            epoch: self.journal.epoch(),
            position: self.position,
            durable: self.durable,
            now: self.now(),
        }
    }

    fn step_down(&mut self, why: &'static str, actor: &ActorRef<Self>) {
        if self.standing.send_replace(Standing::Ended) == Standing::Owner {
            tracing::info!(cell = %self.tools.name, epoch = self.journal.epoch(), why, "cell released");
        }
        actor.kill();
    }

    /// Writes pending facts when no entry is under way and the pause is over.
    fn flush(&mut self, actor: &ActorRef<Self>) {
        let paused = self.now() < self.wrote + self.tools.settings.commit;
        let last = self.handing && self.pending.is_empty();
        if self.writing || (!last && (self.pending.is_empty() || paused && !self.handing)) {
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
                tracing::error!(cell = %self.tools.name, %error, "an entry cannot be written");
                self.step_down("an entry cannot be written", actor);
                return;
            }
        };
        self.writing = true;
        self.wrote = self.now();
        let (position, began) = (self.position, self.wrote);
        self.position += 1;
        self.tools.tally.entries.inc();
        self.tools.tally.entry_bytes.inc_by(bytes.len() as u64);
        let (journal, actor) = (self.journal.clone(), actor.clone());
        tokio::spawn(async move {
            let appended = journal.append(position, bytes).await;
            let _ = actor
                .tell(Wrote {
                    position,
                    began,
                    appended,
                    last,
                })
                .await;
        });
    }

    /// Answers callers whose entries are durable.
    fn answer(&mut self) {
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

    fn reply_later(
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
        self.answer();
    }

    fn call_workers(&mut self, actor: &ActorRef<Self>) {
        let now = self.now();
        // Nothing may be renewed long after the ownership was last proved.
        let renewing = now < self.confirmed + self.tools.settings.horizon && !self.handing;
        let due: Vec<Arc<str>> = self
            .cell
            .hosts
            .iter()
            .filter(|(name, host)| host.address.is_some() && self.is_due(name, host, now))
            .map(|(name, _)| name.clone())
            .collect();
        for worker in due {
            self.call(&worker, renewing, actor);
        }
    }

    fn is_due(&self, name: &Arc<str>, host: &crate::host::Host, now: Duration) -> bool {
        let Some(called) = host.called else {
            return true;
        };
        let since = now.saturating_sub(called);
        let silent = host.session.silence(now) > self.tools.settings.renew * 2;
        let news = !silent && reconcile::has_news(&self.cell, name, self.durable);
        !host.calling
            && (news || since >= self.tools.settings.renew || silent && since >= RETRY_EVERY)
    }

    fn call(&mut self, worker: &Arc<str>, renew: bool, actor: &ActorRef<Self>) {
        let moment = self.moment();
        let Some(sync) = reconcile::prepare(&mut self.cell, worker, &self.terms, renew, moment)
        else {
            return;
        };
        let Some(host) = self.cell.hosts.get_mut(worker) else {
            return;
        };
        let Some(address) = host.address else { return };
        host.called = Some(moment.now);
        host.calling = true;
        self.tools.tally.calls.inc();
        let (tool, actor, worker) = (self.tools.worker.clone(), actor.clone(), worker.clone());
        tokio::spawn(async move {
            let answer = tool.sync(address, &sync).await;
            let _ = actor.tell(Called { worker, answer }).await;
        });
    }

    /// Proves the ownership while there is nothing to write.
    fn confirm(&mut self, actor: &ActorRef<Self>) {
        let now = self.now();
        if self.checking || self.writing || now < self.confirmed + CONFIRM_EVERY {
            return;
        }
        self.checking = true;
        let (journal, actor, position) = (self.journal.clone(), actor.clone(), self.position);
        tokio::spawn(async move {
            let free = journal.is_free(position).await;
            let _ = actor
                .tell(Checked {
                    began: now,
                    position,
                    free,
                })
                .await;
        });
    }

    fn snapshot(&mut self, actor: &ActorRef<Self>) {
        let due = self.since_snapshot >= self.tools.settings.snapshot;
        let whole = self.pending.is_empty() && !self.writing;
        if self.snapshotting || !due || !whole || self.handing {
            return;
        }
        let Ok(state) = record::encode(self.cell.lasting()) else {
            return;
        };
        self.snapshotting = true;
        self.since_snapshot = 0;
        self.tools.tally.snapshots.inc();
        self.tools.tally.snapshot_bytes.inc_by(state.len() as u64);
        let (journal, actor, position) = (self.journal.clone(), actor.clone(), self.durable);
        tokio::spawn(async move {
            let done = journal.snapshot(position, state.into()).await;
            let _ = actor.tell(Snapped { done }).await;
        });
    }

    fn list(&mut self, instances: &[roster::Instance]) {
        let now = self.now();
        for instance in instances {
            self.cell.resize_host(&instance.name, instance.resources);
            let bound = self.bound;
            let Some(host) = self.cell.hosts.get_mut(&instance.name) else {
                continue;
            };
            if host.address.is_none() && host.called.is_none() {
                host.session = Session::new(bound);
            }
            host.address = Some(instance.address);
            host.listed = instance.phase;
            host.absent = None;
            host.rack = instance.rack.clone();
        }
        for (name, host) in &mut self.cell.hosts {
            let listed = instances.iter().any(|instance| instance.name == *name);
            if !listed {
                host.absent.get_or_insert(now);
            }
        }
        self.cell
            .hosts
            .retain(|_, host| host.absent.is_none() || !host.tasks.is_empty());
    }

    fn publish(&self) {
        let counts = self.cell.counts();
        self.tools.tally.publish(
            &self.tools.name,
            &counts,
            self.cell.running(),
            self.cell.backlog().len(),
        );
    }
}

impl Message<Tick> for Owner {
    type Reply = ();

    async fn handle(&mut self, _: Tick, context: &mut Context<Self, ()>) {
        let actor = context.actor_ref().clone();
        if self.pending.len() < PENDING_MAX && !self.handing {
            let now = self.now();
            let facts = self.planner.round(&mut self.cell, self.position, now);
            self.pending.extend(facts);
        }
        self.flush(&actor);
        self.call_workers(&actor);
        self.confirm(&actor);
        self.snapshot(&actor);
        self.publish();
    }
}

impl Message<Submit> for Owner {
    type Reply = ();

    async fn handle(&mut self, submit: Submit, context: &mut Context<Self, ()>) {
        let Submit { job, reply } = submit;
        if self.handing || self.pending.len() >= PENDING_MAX {
            let _ = reply.send(Verdict::NotOwner("the cell is busy or moving".into()));
            return;
        }
        let now = self.now();
        let (verdict, fact) = plan::submit(&mut self.cell, job, self.position, now);
        self.reply_later(reply, verdict, fact);
        self.flush(&context.actor_ref().clone());
    }
}

impl Message<Cancel> for Owner {
    type Reply = ();

    async fn handle(&mut self, cancel: Cancel, context: &mut Context<Self, ()>) {
        let Cancel {
            account,
            job,
            reply,
        } = cancel;
        if self.handing {
            let _ = reply.send(Verdict::NotOwner("the cell is moving".into()));
            return;
        }
        let now = self.now();
        let (verdict, fact) = plan::cancel(&mut self.cell, &account, &job, self.position, now);
        self.reply_later(reply, verdict, fact);
        self.flush(&context.actor_ref().clone());
    }
}

impl Message<Show> for Owner {
    type Reply = String;

    async fn handle(&mut self, show: Show, _: &mut Context<Self, String>) -> String {
        let (name, now) = (&self.tools.name, self.now());
        explain::show(name, &self.cell, &show.account, &show.job, &self.terms, now)
    }
}

impl Message<Listed> for Owner {
    type Reply = ();

    async fn handle(&mut self, listed: Listed, _: &mut Context<Self, ()>) {
        self.list(&listed.instances);
    }
}

impl Message<HandOver> for Owner {
    type Reply = ();

    async fn handle(&mut self, _: HandOver, context: &mut Context<Self, ()>) {
        self.handing = true;
        self.flush(&context.actor_ref().clone());
    }
}

impl Message<Wrote> for Owner {
    type Reply = ();

    async fn handle(&mut self, wrote: Wrote, context: &mut Context<Self, ()>) {
        let actor = context.actor_ref().clone();
        self.writing = false;
        if wrote.appended == Appended::Superseded {
            self.step_down("another owner has written", &actor);
            return;
        }
        self.durable = wrote.position;
        self.confirmed = self.confirmed.max(wrote.began);
        self.since_snapshot += 1;
        self.answer();
        if wrote.last {
            self.step_down("handed over", &actor);
            return;
        }
        self.flush(&actor);
        self.call_workers(&actor);
    }
}

impl Message<Called> for Owner {
    type Reply = ();

    async fn handle(&mut self, called: Called, context: &mut Context<Self, ()>) {
        let actor = context.actor_ref().clone();
        let moment = self.moment();
        if let Some(host) = self.cell.hosts.get_mut(&called.worker) {
            host.calling = false;
        }
        let Ok(report) = called.answer else {
            self.tools.tally.calls_failed.inc();
            return;
        };
        let terms = self.terms;
        let (change, facts) =
            reconcile::take_report(&mut self.cell, &called.worker, &report, &terms, moment);
        self.pending.extend(facts);
        let taken = !matches!(change, Change::Superseded | Change::Stale);
        if taken && report.epoch == moment.epoch {
            let (cell, planner) = (&mut self.cell, &mut self.planner);
            let facts = planner.observe(cell, &called.worker, &report, moment.position, moment.now);
            self.pending.extend(facts);
        }
        match change {
            Change::Superseded => self.step_down("a worker has a newer owner", &actor),
            // The first grant follows the fence at once, so that tasks run on.
            Change::Fenced | Change::Rebooted => self.call(&called.worker, true, &actor),
            Change::Same | Change::Stale => {}
        }
        self.flush(&actor);
    }
}

impl Message<Checked> for Owner {
    type Reply = ();

    async fn handle(&mut self, checked: Checked, context: &mut Context<Self, ()>) {
        self.checking = false;
        match checked.free {
            Ok(true) => self.confirmed = self.confirmed.max(checked.began),
            // Written since by this owner itself.
            Ok(false) if checked.position < self.position => {}
            Ok(false) => {
                let actor = context.actor_ref().clone();
                self.step_down("another owner has written", &actor);
            }
            Err(_) => {}
        }
    }
}

impl Message<Snapped> for Owner {
    type Reply = ();

    async fn handle(&mut self, snapped: Snapped, _: &mut Context<Self, ()>) {
        self.snapshotting = false;
        match snapped.done {
            Ok(journal) => self.journal = journal,
            Err(failure) => tracing::debug!(%failure, "snapshot not written"),
        }
    }
}
