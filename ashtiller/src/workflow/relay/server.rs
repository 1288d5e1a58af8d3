//! The relay's side: makes the calls that an owner gives it.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use tokio::task;
use tokio::time;

use crate::workflow::agents::{Order, WorkerClient};
use crate::workflow::message::PeerRequest;
use crate::workflow::peers::PeerConnections;
use crate::workflow::relay::{
    BATCH_DELAY, Call, CallBatch, MESSAGE_LIMIT, Outcome, RelayedCall, ResultBatch,
};

/// Payloads kept of one session; a job's tasks start within seconds of each other.
const PAYLOADS_MAX: usize = 4096;
/// Sessions kept: the owner's, and those of former ones whose calls are under way.
const SESSIONS_MAX: usize = 4;

/// What one owner sent.
#[derive(Default)]
struct Session {
    payloads: HashMap<Arc<str>, Arc<str>>,
    order: VecDeque<Arc<str>>,
    results: Vec<(u64, Outcome)>,
    /// Whether a message with results is about to go out.
    sending: bool,
}

impl Session {
    fn learn(&mut self, payloads: Vec<(Arc<str>, Arc<str>)>) {
        for (job, payload) in payloads {
            if self.payloads.insert(job.clone(), payload).is_none() {
                self.order.push_back(job);
            }
        }
        while self.order.len() > PAYLOADS_MAX {
            if let Some(job) = self.order.pop_front() {
                self.payloads.remove(&job);
            }
        }
    }
}

/// Makes calls for owners.
pub struct RelayServer {
    agents: Arc<dyn WorkerClient>,
    links: Rc<PeerConnections>,
    sessions: RefCell<BTreeMap<u64, Session>>,
    /// Sessions, oldest first.
    order: RefCell<VecDeque<u64>>,
}

impl RelayServer {
    /// A relay that has no calls yet.
    #[must_use]
    pub fn new(agents: Arc<dyn WorkerClient>, links: Rc<PeerConnections>) -> Rc<Self> {
        Rc::new(Self {
            agents,
            links,
            sessions: RefCell::default(),
            order: RefCell::default(),
        })
    }

    /// Begins to make the calls, each on its own.
    pub fn execute_batch(self: &Rc<Self>, parcels: CallBatch) {
        let (owner, session) = (parcels.owner, parcels.session);
        self.open_session(session, parcels.payloads);
        for parcel in parcels.calls {
            let carrier = self.clone();
            task::spawn_local(async move {
                let number = parcel.number;
                let outcome = carrier.call(session, parcel).await;
                carrier.give_back(owner, session, number, outcome);
            });
        }
    }

    fn open_session(&self, session: u64, payloads: Vec<(Arc<str>, Arc<str>)>) {
        let mut sessions = self.sessions.borrow_mut();
        let mut order = self.order.borrow_mut();
        if !sessions.contains_key(&session) {
            order.push_back(session);
            if order.len() > SESSIONS_MAX
                && let Some(old) = order.pop_front()
            {
                sessions.remove(&old);
            }
        }
        sessions.entry(session).or_default().learn(payloads);
    }

    async fn call(&self, session: u64, parcel: RelayedCall) -> Outcome {
        match parcel.call {
            Call::Order(mut order) => {
                if let Order::Start(start) = &mut order {
                    let sessions = self.sessions.borrow();
                    let known = sessions.get(&session);
                    let payload = known.and_then(|it| it.payloads.get(&start.name.job));
                    let Some(payload) = payload else {
                        return Outcome::Unknown;
                    };
                    start.payload = payload.clone();
                }
                Outcome::of(self.agents.order(&parcel.to, &order).await, Outcome::Said)
            }
            Call::Look(look) => {
                Outcome::of(self.agents.poll(&parcel.to, &look).await, Outcome::Looked)
            }
        }
    }

    /// Puts a result into the next message to the owner.
    fn give_back(self: &Rc<Self>, owner: SocketAddr, session: u64, number: u64, outcome: Outcome) {
        let mut sessions = self.sessions.borrow_mut();
        let Some(state) = sessions.get_mut(&session) else {
            return;
        };
        state.results.push((number, outcome));
        if std::mem::replace(&mut state.sending, true) {
            return;
        }
        let carrier = self.clone();
        task::spawn_local(async move {
            time::sleep(BATCH_DELAY).await;
            carrier.send(owner, session).await;
        });
    }

    /// Gives back what waits, one message after the other, as calls are given.
    async fn send(&self, owner: SocketAddr, session: u64) {
        while let Some(results) = self.take_results(session) {
            let count = results.len();
            let ask = PeerRequest::RelayResults(Box::new(ResultBatch { session, results }));
            // The owner asks again for what it misses: ends stay listed until acknowledged.
            if let Err(failure) = self
                .links
                .ask("give results", owner, &ask, MESSAGE_LIMIT)
                .await
            {
                tracing::info!(%failure, count, "results not given to the owner");
            }
        }
    }

    /// What waits for an owner; with nothing, the next result begins a message of its own.
    fn take_results(&self, session: u64) -> Option<Vec<(u64, Outcome)>> {
        let mut sessions = self.sessions.borrow_mut();
        let state = sessions.get_mut(&session)?;
        if state.results.is_empty() {
            state.sending = false;
            return None;
        }
        Some(std::mem::take(&mut state.results))
    }
}
