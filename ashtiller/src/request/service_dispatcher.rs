//! One service in a running gateway: its [`Dispatch`], queued requests and connections.

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

/// A service that the gateway routes requests to, shared between its tasks.
pub struct ServiceDispatcher {
    /// Name of the service.
    pub name: Arc<str>,
    /// Connections to the endpoints of the service.
    pub pool: ConnectionPool,
    /// Retry budget of the service.
    pub budget: Mutex<RetryBudget>,
    /// Notified when requests wait for slots.
    pub shortage: Notify,
    state: Mutex<State>,
    clock: Arc<dyn Clock>,
}

/// Result of waiting for a slot.
pub enum Admitted {
    /// The request has a slot.
    Slot(SlotGuard),
    /// The request was refused.
    Refused(Refusal),
    /// The deadline passed while the request was queued.
    TimedOut,
}

impl ServiceDispatcher {
    /// Creates a service around a [`Dispatch`].
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

    /// Returns the time since the gateway's start.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Runs `change` on the [`Dispatch`], then assigns slots that became free.
    pub fn with_dispatch<T>(&self, change: impl FnOnce(&mut Dispatch, Duration) -> T) -> T {
        let now = self.now();
        let mut state = self.lock();
        let result = change(&mut state.dispatch, now);
        assign_slots(&mut state, now);
        result
    }

    /// Requests a slot and waits for it until the request's deadline.
    pub async fn admit(self: &Arc<Self>, request: AdmissionRequest) -> Admitted {
        let (id, account, deadline) = (request.id, request.account.clone(), request.deadline);
        let (admission, receiver) = self.try_admit(request);
        match admission {
            Admission::Send(endpoint) => Admitted::Slot(self.slot(account, endpoint)),
            Admission::Refuse(refusal) => Admitted::Refused(refusal),
            Admission::Wait => {
                let mut waiting = QueuedRequest {
                    service: self.clone(),
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

    fn try_admit(&self, request: AdmissionRequest) -> (Admission, oneshot::Receiver<u64>) {
        let id = request.id;
        let now = self.now();
        let mut state = self.lock();
        let admission = state.dispatch.admit(request, now);
        let (sender, receiver) = oneshot::channel();
        if admission == Admission::Wait {
            state.waiting.insert(id, sender);
        }
        if state.dispatch.shortage() > 0 {
            self.shortage.notify_one();
        }
        (admission, receiver)
    }

    fn slot(self: &Arc<Self>, account: Arc<str>, endpoint: u64) -> SlotGuard {
        let started = self.now();
        SlotGuard {
            service: self.clone(),
            account,
            endpoint,
            started,
            result: RequestResult::Ignored,
        }
    }

    /// Wakes the [`SlotBorrower`](crate::slot_borrower::SlotBorrower) if requests wait for
    /// slots.
    pub fn notify_shortage(&self) {
        if self.with_dispatch(|dispatch, _| dispatch.shortage()) > 0 {
            self.shortage.notify_one();
        }
    }

    /// Returns a copy of the endpoint with this id.
    #[must_use]
    pub fn endpoint(&self, id: u64) -> Option<Endpoint> {
        self.lock().dispatch.endpoint(id).cloned()
    }
}

fn assign_slots(state: &mut State, now: Duration) {
    loop {
        let assigned = state.dispatch.assign(now);
        if assigned.is_empty() {
            return;
        }
        for (id, endpoint) in assigned {
            let sender = state.waiting.remove(&id);
            // The receiver still exists: a caller that gives up removes its request under
            // this lock.
            if let Some(sender) = sender {
                let _ = sender.send(endpoint);
            }
        }
    }
}

struct QueuedRequest {
    service: Arc<ServiceDispatcher>,
    account: Arc<str>,
    id: u64,
    receiver: oneshot::Receiver<u64>,
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        let now = self.service.now();
        let mut state = self.service.lock();
        state.waiting.remove(&self.id);
        if state.dispatch.cancel(&self.account, self.id) {
            return;
        }
        // The slot was assigned after the last poll, so it is returned unused.
        if let Ok(endpoint) = self.receiver.try_recv() {
            state
                .dispatch
                .finish(&self.account, endpoint, RequestResult::Ignored, now);
            assign_slots(&mut state, now);
        }
    }
}

/// A slot in use at an endpoint; dropping it frees the slot.
pub struct SlotGuard {
    service: Arc<ServiceDispatcher>,
    account: Arc<str>,
    /// Id of the endpoint.
    pub endpoint: u64,
    started: Duration,
    result: RequestResult,
}

impl SlotGuard {
    /// Sets the result that is recorded for the endpoint when the slot is freed.
    pub fn set_result(&mut self, result: RequestResult) {
        self.result = result;
    }

    /// Returns the time since the slot was assigned.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        self.service.now().saturating_sub(self.started)
    }

    /// Returns the service that the slot belongs to.
    #[must_use]
    pub fn service(&self) -> &Arc<ServiceDispatcher> {
        &self.service
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let (account, endpoint, result) = (&self.account, self.endpoint, self.result);
        self.service
            .with_dispatch(|dispatch, now| dispatch.finish(account, endpoint, result, now));
    }
}
