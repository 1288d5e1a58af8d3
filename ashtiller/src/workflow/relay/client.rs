//! Owner side: sends calls to workers over relays or directly, and receives the results.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::task;
use tokio::time::{self, Instant};

use crate::clock::Moment;
use crate::failure::Failure;
use crate::workflow::agents::{Order, OrderReply, Poll, PollReply, Target, WorkerClient};
use crate::workflow::membership::member::Member;
use crate::workflow::message::PeerRequest;
use crate::workflow::peers::PeerConnections;
use crate::workflow::relay::route::Routes;
use crate::workflow::relay::{
    BATCH_DELAY, Call, CallBatch, MAX_QUEUE_DELAY, MESSAGE_TIMEOUT, Outcome, RelayedCall,
    ResultBatch, ResultSection,
};

/// Number of workers from which on calls go over relays. With fewer workers, the calls of one
/// instance take less than a tenth of a core, and relays would only add cost.
pub const MIN_RELAYED_WORKERS: usize = 120;
/// Time added to the timeout of a call over a relay: two batching delays, and two trips between
/// availability zones.
const RELAY_OVERHEAD: Duration = Duration::from_millis(150);
/// Interval at which relays are chosen again.
const CHOICE_INTERVAL: Duration = Duration::from_millis(250);

/// Calls that are queued for one relay.
#[derive(Default)]
struct Queue {
    session: u64,
    /// Queued calls, with the time at which they were queued.
    calls: Vec<(Moment, RelayedCall)>,
    payloads: Vec<(Arc<str>, Arc<str>)>,
    /// Jobs whose payloads were sent or are queued in this session.
    sent_payloads: HashSet<Arc<str>>,
    sending: bool,
}

/// A call in flight.
struct PendingCall {
    relay: SocketAddr,
    /// Session in which it was sent.
    session: Option<u64>,
    answer: oneshot::Sender<Outcome>,
}

/// Client for calls to workers, made directly or over relays.
pub struct RelayClient {
    agents: Arc<dyn WorkerClient>,
    links: Rc<PeerConnections>,
    own_address: SocketAddr,
    routes: RefCell<Routes>,
    last_choice: Cell<Option<Instant>>,
    /// Whether the fleet had enough workers for relays at the last choice.
    large: Cell<bool>,
    queues: RefCell<HashMap<SocketAddr, Queue>>,
    pending: RefCell<HashMap<u64, PendingCall>>,
    next_number: Cell<u64>,
    relayed_count: Cell<u64>,
}

impl RelayClient {
    /// Creates a client that calls workers directly until relays are chosen. Relays send results
    /// to the address `own_address`.
    #[must_use]
    pub fn new(
        agents: Arc<dyn WorkerClient>,
        links: Rc<PeerConnections>,
        own_address: SocketAddr,
    ) -> Rc<Self> {
        Rc::new(Self {
            agents,
            links,
            own_address,
            routes: RefCell::default(),
            last_choice: Cell::default(),
            large: Cell::default(),
            queues: RefCell::default(),
            pending: RefCell::default(),
            next_number: Cell::new(1),
            relayed_count: Cell::default(),
        })
    }

    /// Returns whether relays should be chosen again for a fleet of this size: at regular
    /// intervals, and at once when the fleet has become large. A new owner knows no workers at
    /// first. When it got the first list without having relays, it opened connections of its own:
    /// 4,169 files with 3,000 workers.
    #[must_use]
    pub fn is_relay_choice_due(&self, workers: usize) -> bool {
        let has_grown = workers >= MIN_RELAYED_WORKERS && !self.large.get();
        has_grown
            || self
                .last_choice
                .get()
                .is_none_or(|at| at.elapsed() >= CHOICE_INTERVAL)
    }

    /// Chooses relays for a fleet with this number of workers.
    pub fn choose_relays(&self, workers: usize, members: &[Member]) {
        let now = Instant::now();
        self.last_choice.set(Some(now));
        self.large.set(workers >= MIN_RELAYED_WORKERS);
        let members = if self.large.get() { members } else { &[] };
        self.routes
            .borrow_mut()
            .choose(members, self.own_address, now);
    }

    /// Returns the number of calls that were sent to relays.
    #[must_use]
    pub fn relayed_count(&self) -> u64 {
        self.relayed_count.get()
    }

    /// Returns the relays by availability zone, for the dump.
    #[must_use]
    pub fn relays(&self) -> Vec<(String, String)> {
        let routes = self.routes.borrow();
        let zones = routes.zones().iter();
        zones
            .map(|(zone, relay)| (zone.to_string(), relay.to_string()))
            .collect()
    }

    /// Sends an order to a worker.
    ///
    /// # Errors
    /// As [`WorkerClient::order`]; over a relay also when the relay fails.
    pub async fn order(self: &Rc<Self>, to: &Target, order: &Order) -> Result<OrderReply, Failure> {
        let Some(relay) = self.relay_for(to) else {
            let reply = self.agents.order(to, order).await;
            self.note_direct_answer(to, reply.is_ok());
            return reply;
        };
        let step = order.kind();
        let call = Call::Order(order.clone());
        match self.call(step, relay, to, call, to.timeout).await? {
            Outcome::Said(reply) => Ok(reply),
            outcome => Err(into_failure(step, to, &outcome)),
        }
    }

    /// Polls a worker.
    ///
    /// # Errors
    /// As [`WorkerClient::poll`]; over a relay also when the relay fails.
    pub async fn poll(self: &Rc<Self>, to: &Target, look: &Poll) -> Result<PollReply, Failure> {
        let Some(relay) = self.relay_for(to) else {
            let reply = self.agents.poll(to, look).await;
            self.note_direct_answer(to, reply.is_ok());
            return reply;
        };
        let timeout = look.wait + to.timeout;
        let call = Call::Look(look.clone());
        match self.call("look", relay, to, call, timeout).await? {
            Outcome::Looked(reply) => Ok(reply),
            outcome => Err(into_failure("look", to, &outcome)),
        }
    }

    fn note_direct_answer(&self, to: &Target, answered: bool) {
        if answered {
            let mut routes = self.routes.borrow_mut();
            routes.note_direct_answer(to.incarnation.id(), Instant::now());
        }
    }

    fn relay_for(&self, to: &Target) -> Option<SocketAddr> {
        self.routes
            .borrow()
            .relay_for(&to.zone, to.incarnation.id(), Instant::now())
    }

    async fn call(
        self: &Rc<Self>,
        step: &'static str,
        relay: SocketAddr,
        to: &Target,
        call: Call,
        timeout: Duration,
    ) -> Result<Outcome, Failure> {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let (answer, outcome) = oneshot::channel();
        let pending = PendingCall {
            relay,
            session: None,
            answer,
        };
        self.pending.borrow_mut().insert(number, pending);
        self.enqueue(
            relay,
            RelayedCall {
                number,
                to: to.clone(),
                call,
            },
        );
        let outcome = time::timeout(timeout + RELAY_OVERHEAD, outcome).await;
        self.pending.borrow_mut().remove(&number);
        let mut routes = self.routes.borrow_mut();
        match outcome {
            Ok(Ok(outcome)) => {
                match &outcome {
                    Outcome::Failed(..) => {
                        routes.note_failure(relay, to.incarnation.id(), Instant::now());
                    }
                    Outcome::Unknown => self.reset_session(relay),
                    Outcome::Said(_) | Outcome::Looked(_) => routes.note_answer(relay),
                }
                Ok(outcome)
            }
            Ok(Err(_)) => Err(Failure::unknown_effect(
                step,
                to.address,
                "the relay was lost, no answer in time",
            )),
            Err(_) => {
                routes.note_failure(relay, to.incarnation.id(), Instant::now());
                Err(Failure::unknown_effect(
                    step,
                    to.address,
                    "no answer over the relay in time",
                ))
            }
        }
    }

    /// Queues a call for the next message to a relay.
    fn enqueue(self: &Rc<Self>, relay: SocketAddr, mut relayed: RelayedCall) {
        let mut queues = self.queues.borrow_mut();
        let queue = queues.entry(relay).or_insert_with(|| Queue {
            session: rand::random(),
            ..Queue::default()
        });
        if let Call::Order(Order::Start(start)) = &mut relayed.call {
            let payload = std::mem::replace(&mut start.payload, Arc::from(""));
            if queue.sent_payloads.insert(start.name.job.clone()) {
                queue.payloads.push((start.name.job.clone(), payload));
            }
        }
        queue.calls.push((Moment::now(), relayed));
        if std::mem::replace(&mut queue.sending, true) {
            return;
        }
        let client = self.clone();
        task::spawn_local(async move {
            time::sleep(BATCH_DELAY).await;
            client.send(relay).await;
        });
    }

    /// Sends the queued calls to a relay, one message after the other. While one is in flight,
    /// calls are collected for the next, so that a busy relay gets fewer and larger messages.
    async fn send(&self, relay: SocketAddr) {
        while let Some(batch) = self.take_batch(relay) {
            let count = batch.calls.len() as u64;
            let request = PeerRequest::RelayCalls(Box::new(batch));
            match self
                .links
                .ask("send calls", relay, &request, MESSAGE_TIMEOUT)
                .await
            {
                Ok(_) => self.relayed_count.set(self.relayed_count.get() + count),
                Err(failure) => {
                    tracing::info!(%failure, count, "failed to send calls to a relay");
                    self.drop_relay(relay);
                }
            }
        }
    }

    /// Takes the queued calls for a relay. Without any, it ends the sending task, so that the next
    /// call starts another one.
    fn take_batch(&self, relay: SocketAddr) -> Option<CallBatch> {
        let mut queues = self.queues.borrow_mut();
        let queue = queues.get_mut(&relay)?;
        // If the process was suspended, the state on which a call was decided may have changed.
        queue
            .calls
            .retain(|(since, _)| since.elapsed() + MESSAGE_TIMEOUT <= MAX_QUEUE_DELAY);
        if queue.calls.is_empty() {
            queue.sending = false;
            return None;
        }
        let calls: Vec<RelayedCall> = queue.calls.drain(..).map(|(_, relayed)| relayed).collect();
        let mut pending = self.pending.borrow_mut();
        for relayed in &calls {
            if let Some(pending) = pending.get_mut(&relayed.number) {
                pending.session = Some(queue.session);
            }
        }
        Some(CallBatch {
            owner: self.own_address,
            session: queue.session,
            payloads: std::mem::take(&mut queue.payloads),
            calls,
        })
    }

    /// Handles the failure of a relay: its calls fail, and its workers are called another way.
    fn drop_relay(&self, relay: SocketAddr) {
        self.routes
            .borrow_mut()
            .exclude_relay(relay, Instant::now());
        self.reset_session(relay);
        if let Some(queue) = self.queues.borrow_mut().get_mut(&relay) {
            queue.calls.clear();
        }
        self.pending
            .borrow_mut()
            .retain(|_, pending| pending.relay != relay);
    }

    /// Starts another session with a relay, because the payloads that it holds are unknown.
    fn reset_session(&self, relay: SocketAddr) {
        if let Some(queue) = self.queues.borrow_mut().get_mut(&relay) {
            queue.session = rand::random();
            queue.sent_payloads.clear();
            queue.payloads.clear();
            // Their payloads belonged to the previous session.
            queue
                .calls
                .retain(|(_, relayed)| !matches!(relayed.call, Call::Order(Order::Start(_))));
        }
    }

    /// Delivers the results of a relay with the section after them. If that cannot be decoded, the
    /// calls count as unanswered.
    pub fn deliver_results_with_section(&self, mut results: ResultBatch, section: &[u8]) {
        match ResultSection::decode(section) {
            Ok(section) => results.apply_section(&section),
            Err(error) => {
                let count = results.results.len();
                tracing::warn!(%error, count, "results of a relay dropped: their section cannot be decoded");
                return;
            }
        }
        self.deliver_results(results);
    }

    /// Delivers the results of calls to their callers. A relay may send results of calls that a
    /// former process at this address made; its sessions tell them apart.
    pub fn deliver_results(&self, results: ResultBatch) {
        let mut pending = self.pending.borrow_mut();
        for (number, outcome) in results.results {
            let is_own = |call: &PendingCall| call.session == Some(results.session);
            if !pending.get(&number).is_some_and(is_own) {
                continue;
            }
            if let Some(pending) = pending.remove(&number) {
                // The caller may have given up.
                let _ = pending.answer.send(outcome);
            }
        }
    }
}

fn into_failure(step: &'static str, to: &Target, outcome: &Outcome) -> Failure {
    match outcome {
        Outcome::Failed(cause, true) => Failure::unknown_effect(step, to.address, cause),
        Outcome::Failed(cause, false) => Failure::no_effect(step, to.address, cause),
        _ => Failure::no_effect(step, to.address, "the relay lacks the job's payload"),
    }
}
