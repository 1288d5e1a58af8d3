//! Handles events from outside the state machine, and requests to the owner.

use std::sync::Arc;

use crate::workflow::config::ListedWorker;
use crate::workflow::core::{Now, RequestToken};
use crate::workflow::evacuations::Evacuations;
use crate::workflow::follow::StoreUpdate;
use crate::workflow::kv::{Change, Item};
use crate::workflow::log::{AppendError, Written};
use crate::workflow::message::{PeerRequest, Reply};
use crate::workflow::owner::{Event, Owner, OwnerRequest, reading};

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
            Event::Appended(position, Ok(Written { sent, revision })) => {
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
            Event::Workers(update) => self.handle_worker_listing(update, now),
            Event::MachineOrderCompleted(machine, duty, result) => {
                self.core.handle_machine_reply(&machine, &duty, result, now);
            }
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
        }
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
        let reply = match request {
            PeerRequest::State(id) => self.core.state(&id),
            PeerRequest::Pending(queue) => self.core.count_pending(&queue),
            PeerRequest::Submit(job) => {
                self.pending_replies.insert(ticket, sender);
                self.core.submit_from(*job, &origin, ticket, now);
                return;
            }
            PeerRequest::Cancel(id) => {
                self.pending_replies.insert(ticket, sender);
                self.core.cancel(&id, ticket, now);
                return;
            }
            _ => Reply::NotOwner,
        };
        // The requester may have given up.
        let _ = sender.send(reply);
    }
}
