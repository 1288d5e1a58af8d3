//! Handles events from outside the state machine, and requests to the owner.

use std::sync::Arc;

use crate::clock::Moment;
use crate::failure::Failure;
use crate::workflow::config::ListedWorker;
use crate::workflow::core::queries::Query;
use crate::workflow::core::{Now, RequestToken};
use crate::workflow::evacuations::Evacuations;
use crate::workflow::follow::StoreUpdate;
use crate::workflow::kv::{Change, Item};
use crate::workflow::log::{AppendError, Written};
use crate::workflow::message::{PeerRequest, Reply};
use crate::workflow::owner::{Event, Owner, OwnerRequest, reading};
use crate::workflow::record::LogOwner;

/// Events or requests handled before the state machine makes its next step.
const MAX_BATCH: usize = 128;

impl Owner {
    pub(super) fn handle_events(&mut self, first: Option<Event>) {
        let mut next = first;
        for _ in 0..MAX_BATCH {
            let Some(event) = next else {
                return;
            };
            self.handle_event(event);
            next = self.events.try_recv().ok();
        }
        if let Some(event) = next {
            self.handle_event(event);
        }
    }

    pub(super) fn handle_event(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::WorkerPolled(worker, result) => {
                self.core.handle_poll_reply(&worker, result, now);
            }
            Event::OrderCompleted(worker, run, order, reply) => {
                self.core
                    .handle_order_reply(&worker, run, &order, reply, now);
            }
            Event::Appended(
                position,
                Ok(Written {
                    sent,
                    revision,
                    is_reduced,
                }),
            ) => {
                if is_reduced {
                    self.node.metrics.log().note_refused_entry();
                }
                self.node.note_store_contact();
                self.node.note_position(position);
                self.node.metrics.note_commit(sent.elapsed());
                let sent = reading(sent, self.start);
                self.core.note_revision(revision);
                self.core.note_durable(position, sent, now);
                self.compact(position);
            }
            Event::Appended(position, Err(AppendError::Superseded)) => {
                tracing::warn!(
                    position,
                    epoch = self.ownership.epoch,
                    "superseded by another owner; the entry was not written"
                );
                self.stopped = true;
            }
            Event::Appended(position, Err(AppendError::Refused(failure))) => {
                tracing::error!(
                    position,
                    epoch = self.ownership.epoch,
                    %failure,
                    "giving up ownership of the log: the store refuses its next entry"
                );
                self.node.metrics.log().note_refused_entry();
                self.stopped = true;
            }
            Event::Workers(update) => self.handle_worker_listing(update, now),
            Event::MachineOrderCompleted(machine, duty, result) => {
                self.core.handle_machine_reply(&machine, &duty, result, now);
            }
            Event::MachinesListed(result) => self.core.handle_machine_list(result, now),
            Event::WaveStatusWritten(number, finished, written) => {
                if !written {
                    self.written_waves.remove(&(number, finished));
                }
            }
            Event::Advised(key, asked_at, result) => {
                self.core.handle_advice(key, asked_at, result, now);
            }
            Event::HandoverFinished(handed_over) => self.stopped |= handed_over,
            Event::PredecessorEnded(former) => self.core.note_predecessor_ended(former, now),
            Event::OwnerRead(sent, read) => self.handle_owner_read(sent, read, now),
        }
    }

    fn handle_owner_read(
        &mut self,
        sent: Moment,
        read: Result<Option<LogOwner>, Failure>,
        now: Now,
    ) {
        match read {
            Ok(Some(owner)) if owner.epoch == self.ownership.epoch => {
                self.node.note_store_contact();
                let sent = reading(sent, self.start);
                self.core.note_ownership_confirmed(sent);
            }
            Ok(owner) => {
                tracing::warn!(
                    epoch = self.ownership.epoch,
                    next = owner.as_ref().map(|owner| owner.epoch),
                    queries = self.core.waiting_queries().len(),
                    "replaced by another owner, which answers the waiting queries"
                );
                if let Some(owner) = owner {
                    self.node.adopt_log_owner(&owner);
                }
                self.stopped = true;
            }
            Err(failure) => {
                tracing::info!(%failure, queries = self.core.waiting_queries().len(),
                    "ownership of the log not confirmed; queries wait");
                self.core.note_confirmation_failed(now);
            }
        }
    }

    /// Drops the queries whose callers have given up.
    pub(super) fn drop_abandoned_queries(&mut self) {
        let waiting = &self.pending_replies;
        let waits = |ticket: &RequestToken| {
            let reply = waiting.get(ticket);
            reply.is_some_and(|reply| !reply.is_closed())
        };
        self.core.retain_queries(waits);
        self.pending_replies.retain(|_, reply| !reply.is_closed());
    }

    pub(super) fn handle_worker_listing(&mut self, update: StoreUpdate, now: Now) {
        self.node.note_store_contact();
        let as_of = match update {
            StoreUpdate::All { items, as_of } => {
                let parsed = items.iter().map(|item| self.parse_worker(item));
                let parsed: Vec<Result<ListedWorker, Arc<str>>> = parsed.collect();
                let unreadable = parsed
                    .iter()
                    .filter_map(|entry| entry.as_ref().err().cloned());
                let unreadable: Vec<Arc<str>> = unreadable.collect();
                let listed = parsed.into_iter().flatten().collect();
                self.core
                    .list_all_except_unreadable(listed, &unreadable, now);
                as_of
            }
            StoreUpdate::Changes { changes, as_of } => {
                for change in changes {
                    match change {
                        Change::Put(item) => {
                            if let Ok(listed) = self.parse_worker(&item) {
                                self.core.list_worker(listed, now);
                            }
                        }
                        Change::Gone(key) => {
                            let id = self.worker_id(&key);
                            self.core.unlist_id(&id, now);
                        }
                    }
                }
                as_of
            }
        };
        let as_of = reading(as_of, self.start);
        self.core.note_complete_listing(as_of);
    }

    pub(super) fn update_evacuations(&mut self, known: &Evacuations, now: Now) {
        if let Some(as_of) = known.as_of {
            self.core
                .note_evacuations(&known.zones, as_of.elapsed(), now);
        }
    }

    /// Parses a worker's entry. Other programs may write below this prefix: an entry that cannot be
    /// parsed adds no worker, and leaves the state of a known worker unchanged.
    fn parse_worker(&mut self, item: &Item) -> Result<ListedWorker, Arc<str>> {
        match self.node.codec.worker(&item.key, &item.value) {
            Ok(listed) => Ok(listed),
            Err(error) => {
                if self.unreadable.is_new(&item.key, item.revision) {
                    self.node.metrics.note_unread();
                    tracing::warn!(key = %item.key, revision = item.revision, %error,
                        "skipping a worker's entry that cannot be parsed");
                }
                Err(self.worker_id(&item.key))
            }
        }
    }

    /// Returns the id of the worker that a key belongs to.
    fn worker_id(&self, key: &str) -> Arc<str> {
        let prefix = self.node.codec.worker_prefix();
        key.strip_prefix(prefix).unwrap_or(key).into()
    }

    pub(super) fn handle_requests(&mut self, first: Option<OwnerRequest>) {
        let mut next = first;
        for _ in 0..MAX_BATCH {
            let Some(request) = next else {
                return;
            };
            self.handle_request(request);
            next = self.requests.try_recv().ok();
        }
        if let Some(request) = next {
            self.handle_request(request);
        }
    }

    pub(super) fn handle_request(&mut self, request: OwnerRequest) {
        let OwnerRequest {
            request,
            origin,
            reply: sender,
        } = request;
        let now = self.now();
        let ticket = RequestToken(self.next_ticket);
        self.next_ticket += 1;
        self.pending_replies.insert(ticket, sender);
        match request {
            PeerRequest::State(id) => self.core.query(Query::State(id), ticket, now),
            PeerRequest::Pending(queue) => self.core.query(Query::Pending(queue), ticket, now),
            PeerRequest::Submit(job) => self.core.submit_from(*job, &origin, ticket, now),
            PeerRequest::Cancel(id) => self.core.cancel(&id, ticket, now),
            _ => self.reply(ticket, Reply::NotOwner),
        }
    }
}
