//! Relay side: makes the calls that an owner sends.

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
    BATCH_DELAY, Call, CallBatch, MESSAGE_TIMEOUT, Outcome, RelayedCall, ResultBatch,
};

/// Payloads kept for one session. The tasks of a job start within seconds of each other, so that
/// older payloads are not needed.
const MAX_PAYLOADS: usize = 4096;
/// Sessions kept: that of the owner, and those of former owners whose calls are in flight.
const MAX_SESSIONS: usize = 4;

/// State of one session of an owner.
#[derive(Default)]
struct Session {
    payloads: HashMap<Arc<str>, Arc<str>>,
    /// Jobs in the order of their payloads, oldest first.
    payload_order: VecDeque<Arc<str>>,
    results: Vec<(u64, Outcome)>,
    /// Whether a task that sends the results is running.
    sending: bool,
}

impl Session {
    fn add_payloads(&mut self, payloads: Vec<(Arc<str>, Arc<str>)>) {
        for (job, payload) in payloads {
            if self.payloads.insert(job.clone(), payload).is_none() {
                self.payload_order.push_back(job);
            }
        }
        while self.payload_order.len() > MAX_PAYLOADS {
            if let Some(job) = self.payload_order.pop_front() {
                self.payloads.remove(&job);
            }
        }
    }
}

/// Makes calls to workers on behalf of owners.
pub struct RelayServer {
    agents: Arc<dyn WorkerClient>,
    links: Rc<PeerConnections>,
    sessions: RefCell<BTreeMap<u64, Session>>,
    /// Sessions, oldest first.
    session_order: RefCell<VecDeque<u64>>,
}

impl RelayServer {
    /// Creates a relay without sessions.
    #[must_use]
    pub fn new(agents: Arc<dyn WorkerClient>, links: Rc<PeerConnections>) -> Rc<Self> {
        Rc::new(Self {
            agents,
            links,
            sessions: RefCell::default(),
            session_order: RefCell::default(),
        })
    }

    /// Starts the calls of a batch, each in a task of its own.
    pub fn execute_batch(self: &Rc<Self>, batch: CallBatch) {
        let (owner, session) = (batch.owner, batch.session);
        self.open_session(session, batch.payloads);
        for relayed in batch.calls {
            let server = self.clone();
            task::spawn_local(async move {
                let number = relayed.number;
                let outcome = server.call(session, relayed).await;
                server.queue_result(owner, session, number, outcome);
            });
        }
    }

    fn open_session(&self, session: u64, payloads: Vec<(Arc<str>, Arc<str>)>) {
        let mut sessions = self.sessions.borrow_mut();
        let mut order = self.session_order.borrow_mut();
        if !sessions.contains_key(&session) {
            order.push_back(session);
            if order.len() > MAX_SESSIONS
                && let Some(old) = order.pop_front()
            {
                sessions.remove(&old);
            }
        }
        sessions.entry(session).or_default().add_payloads(payloads);
    }

    async fn call(&self, session: u64, relayed: RelayedCall) -> Outcome {
        match relayed.call {
            Call::Order(mut order) => {
                if let Order::Start(start) = &mut order {
                    let sessions = self.sessions.borrow();
                    let session = sessions.get(&session);
                    let payload = session.and_then(|it| it.payloads.get(&start.name.job));
                    let Some(payload) = payload else {
                        return Outcome::Unknown;
                    };
                    start.payload = payload.clone();
                }
                Outcome::from_result(self.agents.order(&relayed.to, &order).await, Outcome::Said)
            }
            Call::Look(look) => {
                Outcome::from_result(self.agents.poll(&relayed.to, &look).await, Outcome::Looked)
            }
        }
    }

    /// Queues a result for the next message to the owner.
    fn queue_result(
        self: &Rc<Self>,
        owner: SocketAddr,
        session: u64,
        number: u64,
        outcome: Outcome,
    ) {
        let mut sessions = self.sessions.borrow_mut();
        let Some(state) = sessions.get_mut(&session) else {
            return;
        };
        state.results.push((number, outcome));
        if std::mem::replace(&mut state.sending, true) {
            return;
        }
        let server = self.clone();
        task::spawn_local(async move {
            time::sleep(BATCH_DELAY).await;
            server.send(owner, session).await;
        });
    }

    /// Sends the queued results, one message after the other, as the owner does with its calls.
    async fn send(&self, owner: SocketAddr, session: u64) {
        while let Some(results) = self.take_results(session) {
            let count = results.len();
            let batch = ResultBatch { session, results };
            let section = match batch.section().encode() {
                Ok(section) => section,
                Err(error) => {
                    // Without the section, a part of the ends would count as all of them.
                    tracing::error!(%error, count, "results not sent: their section cannot be encoded");
                    continue;
                }
            };
            let request = PeerRequest::RelayResults(Box::new(batch));
            // The owner polls again for lost results: finished runs stay listed until they are
            // acknowledged.
            if let Err(failure) = self
                .links
                .ask_with_section("send results", owner, &request, &section, MESSAGE_TIMEOUT)
                .await
            {
                tracing::info!(%failure, count, "failed to send results to the owner");
            }
        }
    }

    /// Takes the queued results for an owner. Without any, it ends the sending task, so that the
    /// next result starts another one.
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
