//! Messages of the owner actor and their handlers.

use std::sync::Arc;
use std::time::Duration;

use kameo::message::{Context, Message};
use tokio::sync::oneshot;

use crate::agent::Report;
use crate::explain;
use crate::failure::Failure;
use crate::journal::{AppendOutcome, Journal};
use crate::owner::{Owner, PENDING_MAX};
use crate::peer::{JobReply, Submission};
use crate::plan;
use crate::reconcile;
use crate::service_catalog;
use crate::session::Change;

/// Submission of a job.
pub(crate) struct Submit {
    pub(crate) job: Submission,
    pub(crate) reply: oneshot::Sender<JobReply>,
}

/// Cancellation of a job.
pub(crate) struct Cancel {
    pub(crate) account: Arc<str>,
    pub(crate) job: Arc<str>,
    pub(crate) reply: oneshot::Sender<JobReply>,
}

/// Query of the cell's state; an empty name selects all accounts or jobs.
pub(crate) struct Show {
    pub(crate) account: Arc<str>,
    pub(crate) job: Arc<str>,
}

/// Current list of the cell's workers from the platform.
pub(crate) struct WorkersListed {
    pub(crate) instances: Vec<service_catalog::Instance>,
}

/// Periodic trigger for planning, calls to workers and maintenance of the log.
pub(crate) struct Tick;

/// Request to hand over the cell.
pub(crate) struct HandOver;

/// Outcome of writing a log entry.
pub(crate) struct EntryWritten {
    pub(crate) position: u64,
    pub(crate) began: Duration,
    pub(crate) appended: AppendOutcome,
    pub(crate) last: bool,
}

/// Outcome of a call to a worker.
pub(crate) struct WorkerAnswered {
    pub(crate) worker: Arc<str>,
    pub(crate) answer: Result<Report, Failure>,
}

/// Outcome of checking whether the position of the next entry is free.
pub(crate) struct OwnershipChecked {
    pub(crate) began: Duration,
    pub(crate) position: u64,
    pub(crate) free: Result<bool, Failure>,
}

/// Outcome of writing a snapshot.
pub(crate) struct SnapshotWritten {
    pub(crate) result: Result<Journal, Failure>,
}

impl Message<Tick> for Owner {
    type Reply = ();

    async fn handle(&mut self, _: Tick, context: &mut Context<Self, ()>) {
        let actor = context.actor_ref().clone();
        if self.pending.len() < PENDING_MAX && !self.handing_over {
            let now = self.now();
            let records = self.planner.plan_round(&mut self.cell, self.position, now);
            self.pending.extend(records);
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
            let _ = reply.send(JobReply::NotOwner("the cell is busy or moving".into()));
            return;
        }
        let now = self.now();
        let (verdict, record) = plan::submit(&mut self.cell, job, self.position, now);
        self.queue_reply(reply, verdict, record);
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
            let _ = reply.send(JobReply::NotOwner("the cell is moving".into()));
            return;
        }
        let now = self.now();
        let (verdict, record) = plan::cancel(&mut self.cell, &account, &job, self.position, now);
        self.queue_reply(reply, verdict, record);
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

    async fn handle(&mut self, written: EntryWritten, context: &mut Context<Self, ()>) {
        let actor = context.actor_ref().clone();
        self.write_in_flight = false;
        if written.appended == AppendOutcome::Superseded {
            self.step_down("another owner has written", &actor);
            return;
        }
        self.durable = written.position;
        self.ownership_confirmed_at = self.ownership_confirmed_at.max(written.began);
        self.entries_since_snapshot += 1;
        self.send_durable_replies();
        if written.last {
            self.step_down("handed over", &actor);
            return;
        }
        self.flush(&actor);
        self.call_workers(&actor);
    }
}

impl Message<WorkerAnswered> for Owner {
    type Reply = ();

    async fn handle(&mut self, answered: WorkerAnswered, context: &mut Context<Self, ()>) {
        let actor = context.actor_ref().clone();
        let step = self.step_context();
        if let Some(worker_state) = self.cell.workers.get_mut(&answered.worker) {
            worker_state.call_in_flight = false;
        }
        let Ok(report) = answered.answer else {
            self.deps.metrics.calls_failed.inc();
            return;
        };
        let terms = self.terms;
        let (change, records) =
            reconcile::apply_report(&mut self.cell, &answered.worker, &report, &terms, step);
        self.pending.extend(records);
        let taken = !matches!(change, Change::Superseded | Change::Stale);
        if taken && report.epoch == step.epoch {
            let (cell, planner) = (&mut self.cell, &mut self.planner);
            let records = planner.observe(cell, &answered.worker, &report, step.position, step.now);
            self.pending.extend(records);
        }
        match change {
            Change::Superseded => self.step_down("a worker has a newer owner", &actor),
            // The first lease is granted right after fencing, so that running tasks continue. During
            // a handover none is granted, as the entry that ends the ownership may be durable.
            Change::Fenced | Change::Rebooted => {
                self.call(&answered.worker, !self.handing_over, &actor);
            }
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
            // This owner has itself written the entry in the meantime.
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

    async fn handle(&mut self, snapshot: SnapshotWritten, _: &mut Context<Self, ()>) {
        self.snapshot_in_flight = false;
        match snapshot.result {
            Ok(journal) => self.journal = journal,
            Err(failure) => tracing::debug!(%failure, "snapshot could not be written"),
        }
    }
}
