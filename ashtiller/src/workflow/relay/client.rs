//! The owner's side: gives calls to relays, and gets what came of them.

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
    BATCH_DELAY, Call, CallBatch, MAX_QUEUE_DELAY, MESSAGE_LIMIT, Outcome, RelayedCall, ResultBatch,
};

/// Workers from which on calls go over relays. With fewer, one instance's conversation takes
/// under a tenth of a core, and the way over another only costs.
pub const MIN_RELAYED_WORKERS: usize = 120;
/// Time that the way over a relay may take beyond the worker's own: two gatherings, and two
/// ways between zones.
const DETOUR: Duration = Duration::from_millis(150);
/// How often relays are chosen anew.
const CHOOSE: Duration = Duration::from_millis(250);

/// Calls that wait to go to one relay.
#[derive(Default)]
struct Queue {
    session: u64,
    /// Calls that wait, since when.
    parcels: Vec<(Moment, RelayedCall)>,
    payloads: Vec<(Arc<str>, Arc<str>)>,
    /// Jobs whose payloads the relay has.
    known: HashSet<Arc<str>>,
    sending: bool,
}

/// A call under way.
struct Waiting {
    relay: SocketAddr,
    answer: oneshot::Sender<Outcome>,
}

/// Calls to workers, directly or over relays.
pub struct RelayClient {
    agents: Arc<dyn WorkerClient>,
    links: Rc<PeerConnections>,
    own: SocketAddr,
    routes: RefCell<Routes>,
    chosen: Cell<Option<Instant>>,
    /// Whether the fleet had enough workers for relays when they were last chosen.
    large: Cell<bool>,
    queues: RefCell<HashMap<SocketAddr, Queue>>,
    waiting: RefCell<HashMap<u64, Waiting>>,
    next: Cell<u64>,
    relayed_count: Cell<u64>,
}

impl RelayClient {
    /// Calls go directly until relays are chosen; results come to `own`.
    #[must_use]
    pub fn new(
        agents: Arc<dyn WorkerClient>,
        links: Rc<PeerConnections>,
        own: SocketAddr,
    ) -> Rc<Self> {
        Rc::new(Self {
            agents,
            links,
            own,
            routes: RefCell::default(),
            chosen: Cell::default(),
            large: Cell::default(),
            queues: RefCell::default(),
            waiting: RefCell::default(),
            next: Cell::new(1),
            relayed_count: Cell::default(),
        })
    }

    /// Whether relays are to be chosen anew for a fleet of so many workers: now and then, and at
    /// once when it has become large. A new owner knows no workers at first; without relays when
    /// the first list comes it opened connections of its own: 4,169 files with 3,000 workers.
    #[must_use]
    pub fn is_relay_choice_due(&self, workers: usize) -> bool {
        let grown = workers >= MIN_RELAYED_WORKERS && !self.large.get();
        grown || self.chosen.get().is_none_or(|at| at.elapsed() >= CHOOSE)
    }

    /// Chooses relays for a fleet of so many workers.
    pub fn choose_relays(&self, workers: usize, members: &[Member]) {
        let now = Instant::now();
        self.chosen.set(Some(now));
        self.large.set(workers >= MIN_RELAYED_WORKERS);
        let members = if self.large.get() { members } else { &[] };
        self.routes.borrow_mut().choose(members, self.own, now);
    }

    /// Calls that went over relays so far.
    #[must_use]
    pub fn relayed_count(&self) -> u64 {
        self.relayed_count.get()
    }

    /// Relays by availability zone, for a dump.
    #[must_use]
    pub fn relays(&self) -> Vec<(String, String)> {
        let routes = self.routes.borrow();
        let zones = routes.zones().iter();
        zones
            .map(|(zone, relay)| (zone.to_string(), relay.to_string()))
            .collect()
    }

    /// Gives a worker an order.
    ///
    /// # Errors
    /// As [`Agents::order`]; over a relay, also when the relay is lost.
    pub async fn order(self: &Rc<Self>, to: &Target, order: &Order) -> Result<OrderReply, Failure> {
        let Some(relay) = self.relay_for(to) else {
            let said = self.agents.order(to, order).await;
            self.note_direct_answer(to, said.is_ok());
            return said;
        };
        let step = order.kind();
        let call = Call::Order(order.clone());
        match self.call(step, relay, to, call, to.timeout).await? {
            Outcome::Said(said) => Ok(said),
            outcome => Err(fail(step, to, &outcome)),
        }
    }

    /// Looks at a worker.
    ///
    /// # Errors
    /// As [`Agents::look`]; over a relay, also when the relay is lost.
    pub async fn look(self: &Rc<Self>, to: &Target, look: &Poll) -> Result<PollReply, Failure> {
        let Some(relay) = self.relay_for(to) else {
            let looked = self.agents.poll(to, look).await;
            self.note_direct_answer(to, looked.is_ok());
            return looked;
        };
        let limit = look.wait + to.timeout;
        let call = Call::Look(look.clone());
        match self.call("look", relay, to, call, limit).await? {
            Outcome::Looked(looked) => Ok(looked),
            outcome => Err(fail("look", to, &outcome)),
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
        limit: Duration,
    ) -> Result<Outcome, Failure> {
        let number = self.next.get();
        self.next.set(number + 1);
        let (answer, outcome) = oneshot::channel();
        let waiting = Waiting { relay, answer };
        self.waiting.borrow_mut().insert(number, waiting);
        self.enqueue(
            relay,
            RelayedCall {
                number,
                to: to.clone(),
                call,
            },
        );
        let outcome = time::timeout(limit + DETOUR, outcome).await;
        self.waiting.borrow_mut().remove(&number);
        let mut routes = self.routes.borrow_mut();
        match outcome {
            Ok(Ok(outcome)) => {
                match &outcome {
                    Outcome::Failed(..) => {
                        routes.note_failure(relay, to.incarnation.id(), Instant::now());
                    }
                    Outcome::Unknown => self.renew(relay),
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

    /// Puts a call into the next message to a relay.
    fn enqueue(self: &Rc<Self>, relay: SocketAddr, mut parcel: RelayedCall) {
        let mut queues = self.queues.borrow_mut();
        let queue = queues.entry(relay).or_insert_with(|| Queue {
            session: rand::random(),
            ..Queue::default()
        });
        if let Call::Order(Order::Start(start)) = &mut parcel.call {
            let payload = std::mem::replace(&mut start.payload, Arc::from(""));
            if queue.known.insert(start.name.job.clone()) {
                queue.payloads.push((start.name.job.clone(), payload));
            }
        }
        queue.parcels.push((Moment::now(), parcel));
        if std::mem::replace(&mut queue.sending, true) {
            return;
        }
        let sender = self.clone();
        task::spawn_local(async move {
            time::sleep(BATCH_DELAY).await;
            sender.send(relay).await;
        });
    }

    /// Sends what waits for a relay, one message after the other: while one is under way, the
    /// next gathers, so that a busy instance gets fewer and larger ones.
    async fn send(&self, relay: SocketAddr) {
        while let Some(parcels) = self.take_parcels(relay) {
            let count = parcels.calls.len() as u64;
            let ask = PeerRequest::RelayCalls(Box::new(parcels));
            match self
                .links
                .ask("give calls", relay, &ask, MESSAGE_LIMIT)
                .await
            {
                Ok(_) => self.relayed_count.set(self.relayed_count.get() + count),
                Err(failure) => {
                    tracing::info!(%failure, count, "calls not given to a relay");
                    self.lose(relay);
                }
            }
        }
    }

    /// What waits for a relay; with nothing, the next call begins a message of its own.
    fn take_parcels(&self, relay: SocketAddr) -> Option<CallBatch> {
        let mut queues = self.queues.borrow_mut();
        let queue = queues.get_mut(&relay)?;
        // While the process was stopped, what a call was decided on may have changed.
        queue
            .parcels
            .retain(|(since, _)| since.elapsed() + MESSAGE_LIMIT <= MAX_QUEUE_DELAY);
        if queue.parcels.is_empty() {
            queue.sending = false;
            return None;
        }
        Some(CallBatch {
            owner: self.own,
            session: queue.session,
            payloads: std::mem::take(&mut queue.payloads),
            calls: queue.parcels.drain(..).map(|(_, parcel)| parcel).collect(),
        })
    }

    /// A relay is lost: its calls have ended, and their workers are called otherwise.
    fn lose(&self, relay: SocketAddr) {
        self.routes
            .borrow_mut()
            .exclude_relay(relay, Instant::now());
        self.renew(relay);
        if let Some(queue) = self.queues.borrow_mut().get_mut(&relay) {
            queue.parcels.clear();
        }
        self.waiting
            .borrow_mut()
            .retain(|_, waiting| waiting.relay != relay);
    }

    /// What a relay knows of payloads is in doubt.
    fn renew(&self, relay: SocketAddr) {
        if let Some(queue) = self.queues.borrow_mut().get_mut(&relay) {
            queue.session = rand::random();
            queue.known.clear();
            queue.payloads.clear();
            // Their payloads were with the session that is over.
            queue
                .parcels
                .retain(|(_, parcel)| !matches!(parcel.call, Call::Order(Order::Start(_))));
        }
    }

    /// Takes what came of calls.
    pub fn deliver_results(&self, results: ResultBatch) {
        let mut waiting = self.waiting.borrow_mut();
        for (number, outcome) in results.results {
            if let Some(waiting) = waiting.remove(&number) {
                // The caller may have given up.
                let _ = waiting.answer.send(outcome);
            }
        }
    }
}

fn fail(step: &'static str, to: &Target, outcome: &Outcome) -> Failure {
    match outcome {
        Outcome::Failed(cause, true) => Failure::unknown_effect(step, to.address, cause),
        Outcome::Failed(cause, false) => Failure::no_effect(step, to.address, cause),
        _ => Failure::no_effect(step, to.address, "the relay lacks the job's payload"),
    }
}
