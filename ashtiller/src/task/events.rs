//! What an owner is told, and what it does then.

use std::sync::Arc;
use std::time::Duration;

use kameo::message::{Context, Message};
use tokio::sync::oneshot;

use crate::agent::Report;
use crate::explain;
use crate::failure::Failure;
use crate::journal::{AppendOutcome, Journal};
use crate::owner::{Owner, PENDING_MAX};
use crate::peer::{Submission, Verdict};
use crate::plan;
use crate::reconcile;
use crate::roster;
use crate::session::Change;

/// A job for the cell.
pub(crate) struct Submit {
    pub(crate) job: Submission,
    pub(crate) reply: oneshot::Sender<Verdict>,
}

/// Cancellation of a job.
pub(crate) struct Cancel {
    pub(crate) account: Arc<str>,
    pub(crate) job: Arc<str>,
    pub(crate) reply: oneshot::Sender<Verdict>,
}

/// A question for the state; empty names show all.
pub(crate) struct Show {
    pub(crate) account: Arc<str>,
    pub(crate) job: Arc<str>,
}

/// The platform's list of the cell's workers.
pub(crate) struct WorkersListed {
    pub(crate) instances: Vec<roster::Instance>,
}

/// Time to decide.
pub(crate) struct Tick;

/// End of the ownership in a planned way.
pub(crate) struct HandOver;

/// An entry's fate is known.
pub(crate) struct EntryWritten {
    pub(crate) position: u64,
    pub(crate) began: Duration,
    pub(crate) appended: AppendOutcome,
    pub(crate) last: bool,
}

/// A worker answered, or did not.
pub(crate) struct WorkerAnswered {
    pub(crate) worker: Arc<str>,
    pub(crate) answer: Result<Report, Failure>,
}

/// The position of the next entry was looked at.
pub(crate) struct OwnershipChecked {
    pub(crate) began: Duration,
    pub(crate) position: u64,
    pub(crate) free: Result<bool, Failure>,
}

/// A snapshot was written, or not.
pub(crate) struct SnapshotWritten {
    pub(crate) done: Result<Journal, Failure>,
}

impl Message<Tick> for Owner {
    type Reply = ();

    async fn handle(&mut self, _: Tick, context: &mut Context<Self, ()>) {
        let actor = context.actor_ref().clone();
        if self.pending.len() < PENDING_MAX && !self.handing_over {
            let now = self.now();
            let facts = self.planner.plan_round(&mut self.cell, self.position, now);
            self.pending.extend(facts);
        }
        self.flush(&actor);
        self.call_workers(&actor);
        self.verify_ownership(&actor);
        self.snapshot(&actor);
        self.publish();
    }
}

impl Message<Submit> for Owner {
    type Reply = ();

    async fn handle(&mut self, submit: Submit, context: &mut Context<Self, ()>) {
        let Submit { job, reply } = submit;
        if self.handing_over || self.pending.len() >= PENDING_MAX {
            let _ = reply.send(Verdict::NotOwner("the cell is busy or moving".into()));
            return;
        }
        let now = self.now();
        let (verdict, fact) = plan::submit(&mut self.cell, job, self.position, now);
        self.queue_reply(reply, verdict, fact);
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
        if self.handing_over {
            let _ = reply.send(Verdict::NotOwner("the cell is moving".into()));
            return;
        }
        let now = self.now();
        let (verdict, fact) = plan::cancel(&mut self.cell, &account, &job, self.position, now);
        self.queue_reply(reply, verdict, fact);
        self.flush(&context.actor_ref().clone());
    }
}

impl Message<Show> for Owner {
    type Reply = String;

    async fn handle(&mut self, show: Show, _: &mut Context<Self, String>) -> String {
        let (name, now) = (&self.deps.name, self.now());
        explain::show(name, &self.cell, &show.account, &show.job, &self.terms, now)
    }
}

impl Message<WorkersListed> for Owner {
    type Reply = ();

    async fn handle(&mut self, listed: WorkersListed, _: &mut Context<Self, ()>) {
        self.update_workers(&listed.instances);
    }
}

impl Message<HandOver> for Owner {
    type Reply = ();

    async fn handle(&mut self, _: HandOver, context: &mut Context<Self, ()>) {
        self.handing_over = true;
        self.flush(&context.actor_ref().clone());
    }
}

impl Message<EntryWritten> for Owner {
    type Reply = ();

    async fn handle(&mut self, wrote: EntryWritten, context: &mut Context<Self, ()>) {
        let actor = context.actor_ref().clone();
        self.write_in_flight = false;
        if wrote.appended == AppendOutcome::Superseded {
            self.step_down("another owner has written", &actor);
            return;
        }
        self.durable = wrote.position;
        self.ownership_confirmed_at = self.ownership_confirmed_at.max(wrote.began);
        self.entries_since_snapshot += 1;
        self.send_durable_replies();
        if wrote.last {
            self.step_down("handed over", &actor);
            return;
        }
        self.flush(&actor);
        self.call_workers(&actor);
    }
}

impl Message<WorkerAnswered> for Owner {
    type Reply = ();

    async fn handle(&mut self, called: WorkerAnswered, context: &mut Context<Self, ()>) {
        let actor = context.actor_ref().clone();
        let moment = self.step_context();
        if let Some(host) = self.cell.workers.get_mut(&called.worker) {
            host.call_in_flight = false;
        }
        let Ok(report) = called.answer else {
            self.deps.metrics.calls_failed.inc();
            return;
        };
        let terms = self.terms;
        let (change, facts) =
            reconcile::apply_report(&mut self.cell, &called.worker, &report, &terms, moment);
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

impl Message<OwnershipChecked> for Owner {
    type Reply = ();

    async fn handle(&mut self, checked: OwnershipChecked, context: &mut Context<Self, ()>) {
        self.check_in_flight = false;
        match checked.free {
            Ok(true) => {
                self.ownership_confirmed_at = self.ownership_confirmed_at.max(checked.began);
            }
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

impl Message<SnapshotWritten> for Owner {
    type Reply = ();

    async fn handle(&mut self, snapped: SnapshotWritten, _: &mut Context<Self, ()>) {
        self.snapshot_in_flight = false;
        match snapped.done {
            Ok(journal) => self.journal = journal,
            Err(failure) => tracing::debug!(%failure, "snapshot not written"),
        }
    }
}
