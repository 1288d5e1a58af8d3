//! One service in a running gateway: its dispatch, waiting requests and pool.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::{Mutex, MutexGuard};
use tokio::sync::{Notify, oneshot};
use tokio::time;

use crate::clock::Clock;
use crate::dispatch::{Admission, Dispatch, Refusal};
use crate::endpoint::Endpoint;
use crate::health::RequestResult;
use crate::pool::ConnectionPool;
use crate::request_queue::AdmissionRequest;
use crate::retry_budget::RetryBudget;

struct State {
    dispatch: Dispatch,
    waiting: HashMap<u64, oneshot::Sender<u64>>,
}

/// A service that requests are routed to.
pub struct ServiceDispatcher {
    /// Name of the service.
    pub name: Arc<str>,
    /// Connections to its endpoints.
    pub pool: ConnectionPool,
    /// Budget for retries.
    pub budget: Mutex<RetryBudget>,
    /// Told when slots run short.
    pub shortage: Notify,
    state: Mutex<State>,
    clock: Arc<dyn Clock>,
}

/// What became of a request that asked for a slot.
pub enum Admitted {
    /// It has a slot.
    Slot(SlotGuard),
    /// It is refused.
    Refused(Refusal),
    /// Its deadline passed while it waited.
    TimedOut,
}

impl ServiceDispatcher {
    /// A service around a dispatch.
    #[must_use]
    pub fn new(
        name: Arc<str>,
        dispatch: Dispatch,
        pool: ConnectionPool,
        budget: RetryBudget,
        clock: Arc<dyn Clock>,
    ) -> Arc<Self> {
        let state = Mutex::new(State {
            dispatch,
            waiting: HashMap::new(),
        });
        Arc::new(Self {
            name,
            pool,
            budget: Mutex::new(budget),
            shortage: Notify::new(),
            state,
            clock,
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock()
    }

    /// Time since the gateway's start.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Reads or changes the dispatch, then hands out what became free.
    pub fn with_dispatch<T>(&self, change: impl FnOnce(&mut Dispatch, Duration) -> T) -> T {
        let now = self.now();
        let mut state = self.lock();
        let result = change(&mut state.dispatch, now);
        hand_out(&mut state, now);
        result
    }

    /// Asks for a slot and waits for it until the ticket's deadline.
    pub async fn admit(self: &Arc<Self>, ticket: AdmissionRequest) -> Admitted {
        let (id, account, deadline) = (ticket.id, ticket.account.clone(), ticket.deadline);
        let (next, receiver) = self.offer(ticket);
        match next {
            Admission::Send(endpoint) => Admitted::Slot(self.slot(account, endpoint)),
            Admission::Refuse(refusal) => Admitted::Refused(refusal),
            Admission::Wait => {
                let mut waiting = Waiting {
                    desk: self.clone(),
                    account,
                    id,
                    receiver,
                };
                let left = deadline.saturating_sub(self.now());
                match time::timeout(left, &mut waiting.receiver).await {
                    Ok(Ok(endpoint)) => {
                        Admitted::Slot(self.slot(waiting.account.clone(), endpoint))
                    }
                    _ => Admitted::TimedOut,
                }
            }
        }
    }

    fn offer(&self, ticket: AdmissionRequest) -> (Admission, oneshot::Receiver<u64>) {
        let id = ticket.id;
        let now = self.now();
        let mut state = self.lock();
        let next = state.dispatch.admit(ticket, now);
        let (sender, receiver) = oneshot::channel();
        if next == Admission::Wait {
            state.waiting.insert(id, sender);
        }
        if state.dispatch.shortage() > 0 {
            self.shortage.notify_one();
        }
        (next, receiver)
    }

    fn slot(self: &Arc<Self>, account: Arc<str>, endpoint: u64) -> SlotGuard {
        let began = self.now();
        SlotGuard {
            desk: self.clone(),
            account,
            endpoint,
            began,
            sample: RequestResult::Ignored,
        }
    }

    /// Wakes the lender when slots run short.
    pub fn notify_shortage(&self) {
        if self.with_dispatch(|dispatch, _| dispatch.shortage()) > 0 {
            self.shortage.notify_one();
        }
    }

    /// A copy of one endpoint.
    #[must_use]
    pub fn endpoint(&self, id: u64) -> Option<Endpoint> {
        self.lock().dispatch.endpoint(id).cloned()
    }
}

fn hand_out(state: &mut State, now: Duration) {
    loop {
        let assigned = state.dispatch.assign(now);
        if assigned.is_empty() {
            return;
        }
        for (id, endpoint) in assigned {
            let sender = state.waiting.remove(&id);
            // A receiver that is gone cannot have been told: its ticket was removed
            // under this lock when it gave up.
            if let Some(sender) = sender {
                let _ = sender.send(endpoint);
            }
        }
    }
}

struct Waiting {
    desk: Arc<ServiceDispatcher>,
    account: Arc<str>,
    id: u64,
    receiver: oneshot::Receiver<u64>,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let now = self.desk.now();
        let mut state = self.desk.lock();
        state.waiting.remove(&self.id);
        if state.dispatch.cancel(&self.account, self.id) {
            return;
        }
        // Assigned between the last poll and now: the slot goes back.
        if let Ok(endpoint) = self.receiver.try_recv() {
            state
                .dispatch
                .finish(&self.account, endpoint, RequestResult::Ignored, now);
            hand_out(&mut state, now);
        }
    }
}

/// A slot at an endpoint; dropping it gives it back.
pub struct SlotGuard {
    desk: Arc<ServiceDispatcher>,
    account: Arc<str>,
    /// Number of the endpoint.
    pub endpoint: u64,
    began: Duration,
    sample: RequestResult,
}

impl SlotGuard {
    /// Sets what the end of this request says about the endpoint.
    pub fn set_result(&mut self, sample: RequestResult) {
        self.sample = sample;
    }

    /// Time since the slot was taken.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        self.desk.now().saturating_sub(self.began)
    }

    /// The service.
    #[must_use]
    pub fn desk(&self) -> &Arc<ServiceDispatcher> {
        &self.desk
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let (account, endpoint, sample) = (&self.account, self.endpoint, self.sample);
        self.desk
            .with_dispatch(|dispatch, now| dispatch.finish(account, endpoint, sample, now));
    }
}
