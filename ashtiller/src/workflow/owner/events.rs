//! Takes what comes back from outside, and questions.

use std::sync::Arc;

use crate::workflow::config::ListedWorker;
use crate::workflow::core::{Now, Ticket};
use crate::workflow::evacuations::Evacuations;
use crate::workflow::follow::StoreUpdate;
use crate::workflow::kv::{Change, Item};
use crate::workflow::log::{AppendError, Written};
use crate::workflow::message::{PeerRequest, Reply};
use crate::workflow::owner::{Event, Owner, OwnerRequest};

/// Inputs taken before the state machine is polled.
const BATCH: usize = 128;

impl Owner {
    pub(super) fn handle_events(&mut self, first: Option<Event>) {
        let mut next = first;
        for _ in 0..BATCH {
            let Some(input) = next else {
                return;
            };
            self.handle_event(input);
            next = self.events.try_recv().ok();
        }
        if let Some(input) = next {
            self.handle_event(input);
        }
    }

    pub(super) fn handle_event(&mut self, input: Event) {
        let now = self.now();
        match input {
            Event::Looked(worker, looked) => self.core.handle_poll_reply(&worker, looked, now),
            Event::OrderCompleted(worker, run, order, said) => {
                self.core
                    .handle_order_reply(&worker, run, &order, said, now);
            }
            Event::Appended(position, Ok(Written { sent, revision })) => {
                self.node.note_store_contact();
                self.node.note_position(position);
                self.node.metrics.note_commit(sent.elapsed());
                let sent = sent.since(self.start);
                self.core.note_revision(revision);
                self.core.note_durable(position, sent, now);
                self.compact(position);
            }
            Event::Appended(position, Err(AppendError::Superseded)) => {
                tracing::warn!(
                    position,
                    epoch = self.lead.epoch,
                    "superseded; the entry is not written"
                );
                self.stopped = true;
            }
            Event::Workers(seen) => self.handle_worker_listing(seen, now),
            Event::Duty(machine, duty, done) => {
                self.core.handle_machine_reply(&machine, &duty, done, now);
            }
            Event::WaveStatusWritten(number, over, told) => {
                if !told {
                    self.written_waves.remove(&(number, over));
                }
            }
            Event::Advised(key, asked_at, answer) => {
                self.core.handle_advice(key, asked_at, answer, now);
            }
            Event::HandoverFinished(done) => self.stopped |= done,
            Event::PredecessorEnded(former) => self.core.note_former_owner_ended(former, now),
        }
    }

    pub(super) fn handle_worker_listing(&mut self, seen: StoreUpdate, now: Now) {
        self.node.note_store_contact();
        let as_of = match seen {
            StoreUpdate::All { items, as_of } => {
                let read = items.iter().map(|item| self.read_worker(item));
                let read: Vec<Result<ListedWorker, Arc<str>>> = read.collect();
                let unread = read.iter().filter_map(|read| read.as_ref().err().cloned());
                let unread: Vec<Arc<str>> = unread.collect();
                let listed = read.into_iter().flatten().collect();
                self.core.list_all_except_unreadable(listed, &unread, now);
                as_of
            }
            StoreUpdate::Changes { changes, as_of } => {
                for change in changes {
                    match change {
                        Change::Put(item) => {
                            if let Ok(listed) = self.read_worker(&item) {
                                self.core.list_worker(listed, now);
                            }
                        }
                        Change::Gone(key) => {
                            let id = self.id_of(&key);
                            self.core.unlist_id(&id, now);
                        }
                    }
                }
                as_of
            }
        };
        let as_of = as_of.since(self.start);
        self.core.note_complete_listing(as_of);
    }

    pub(super) fn update_evacuations(&mut self, known: &Evacuations, now: Now) {
        if let Some(as_of) = known.as_of {
            self.core
                .note_evacuations(&known.zones, as_of.elapsed(), now);
        }
    }

    /// Reads a worker's entry. Others may write there too: what cannot be read names nobody,
    /// and says nothing new of a worker that is known.
    fn read_worker(&mut self, item: &Item) -> Result<ListedWorker, Arc<str>> {
        match self.node.dialect.worker(&item.key, &item.value) {
            Ok(listed) => Ok(listed),
            Err(error) => {
                if self.unread.is_new(&item.key, item.revision) {
                    self.node.metrics.note_unread();
                    tracing::warn!(key = %item.key, revision = item.revision, %error,
                        "worker's entry cannot be read; it is passed over");
                }
                Err(self.id_of(&item.key))
            }
        }
    }

    /// The worker that an entry is about.
    fn id_of(&self, key: &str) -> Arc<str> {
        let prefix = self.node.dialect.worker_prefix();
        key.strip_prefix(prefix).unwrap_or(key).into()
    }

    pub(super) fn handle_requests(&mut self, first: Option<OwnerRequest>) {
        let mut next = first;
        for _ in 0..BATCH {
            let Some(asked) = next else {
                return;
            };
            self.handle_request(asked);
            next = self.requests.try_recv().ok();
        }
        if let Some(asked) = next {
            self.handle_request(asked);
        }
    }

    pub(super) fn handle_request(&mut self, asked: OwnerRequest) {
        let OwnerRequest { ask, reply } = asked;
        let now = self.now();
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let said = match ask {
            PeerRequest::State(id) => self.core.state(&id),
            PeerRequest::Pending(queue) => self.core.count_pending(&queue),
            PeerRequest::Submit(job) => {
                self.pending_replies.insert(ticket, reply);
                self.core.submit(*job, ticket, now);
                return;
            }
            PeerRequest::Cancel(id) => {
                self.pending_replies.insert(ticket, reply);
                self.core.cancel(&id, ticket, now);
                return;
            }
            _ => Reply::NotOwner,
        };
        // The asker may have given up.
        let _ = reply.send(said);
    }
}
