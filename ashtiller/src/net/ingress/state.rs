//! State of one connection: what it is doing, since when, and what it holds.

use std::sync::Arc;
use std::task::Waker;
use std::time::Duration;

use hyper::body::{Body as _, Incoming};
use parking_lot::Mutex;
use tokio::sync::Notify;

use super::budget::{ALLOTMENT, Exhausted, Reservation};
use super::limits::RequestLimits;
use super::metrics::Refusal;
use super::{Ingress, TICK};

/// Longest pause between two parts of a body.
const BODY_PAUSE_MAX: Duration = Duration::from_secs(10);
/// Bytes of a body that must arrive in each second that is spent waiting for it.
const BODY_RATE_MIN: u64 = 1024;
/// Waiting time that the rate of a body does not count.
const BODY_RATE_GRACE: Duration = Duration::from_secs(10);
/// Time for which the rest of a refused request is discarded, so that its client can read the response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Estimated size of a parsed header beside its text.
const HEADER_BYTES: usize = 128;
/// Copies of a body that exist while it is decoded and forwarded.
const BODY_COPIES: usize = 2;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// Waiting for the first byte of a request.
    Idle,
    /// Receiving a head.
    Head,
    /// A request is being received or handled, or its response is being written.
    Request,
    /// The response is the last one; what the client still sends is discarded.
    Closing,
}

/// Rest of a body that the client owes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Owed {
    /// Nothing.
    Nothing,
    /// This many bytes.
    Bytes(usize),
    /// Chunks up to the last one.
    Chunks,
}

/// A body that is not complete.
#[derive(Clone, Copy, Debug)]
struct OwedBody {
    /// Bytes left, if the client has declared them.
    remaining: Option<u64>,
    received: u64,
    waiting_since: Option<u32>,
    /// Ticks spent waiting before that.
    waited: u32,
}

/// How well a connection deserves to be kept: the greatest one is closed first. The numbers are the
/// ticks for which the process has waited for the client.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Standing {
    Unread(u32),
    Unfinished(u32),
    Idle(u32),
    Closing(u32),
}

struct State {
    phase: Phase,
    /// Tick at which the phase began.
    since: u32,
    body: Option<OwedBody>,
    /// Since when the client has read none of the response.
    blocked_since: Option<u32>,
    refusal: Option<Refusal>,
    reader: Option<Waker>,
    reservation: Reservation,
    /// Part of the reservation that the head takes.
    head_charge: usize,
    requests: u64,
    /// Whether bytes of the next request wait for the end of this one.
    has_next: bool,
}

impl State {
    /// Reports whether no request can follow, because the rest of the present one is not read.
    fn is_last(&self) -> bool {
        let owes = |body: OwedBody| body.remaining != Some(0);
        self.refusal.is_some() || self.body.is_some_and(owes)
    }
}

/// State of a connection that its task and the listener share.
pub struct Shared {
    pub(super) ingress: Arc<Ingress>,
    state: Mutex<State>,
    /// Notified when the connection is to be closed.
    pub(super) closing: Notify,
}

impl Shared {
    pub(super) fn new(ingress: Arc<Ingress>) -> Self {
        let state = State {
            phase: Phase::Idle,
            since: ingress.now(),
            body: None,
            blocked_since: None,
            refusal: None,
            reader: None,
            reservation: Reservation::new(ingress.budget.clone(), ALLOTMENT),
            head_charge: 0,
            requests: 0,
            has_next: false,
        };
        Self {
            ingress,
            state: Mutex::new(state),
            closing: Notify::new(),
        }
    }

    /// Closes the connection without a response.
    pub(super) fn close(&self) {
        self.closing.notify_one();
    }

    /// Refuses the unfinished request; returns false if there is none or it is refused already.
    pub(super) fn refuse(&self, refusal: Refusal) -> bool {
        let mut state = self.state.lock();
        let unfinished = state.phase != Phase::Closing;
        if state.refusal.is_some() || !unfinished {
            return false;
        }
        state.refusal = Some(refusal);
        self.ingress.metrics.note(refusal);
        if let Some(reader) = state.reader.take() {
            reader.wake();
        }
        true
    }

    pub(super) fn refusal(&self) -> Option<Refusal> {
        self.state.lock().refusal
    }

    pub(super) fn phase(&self) -> Phase {
        self.state.lock().phase
    }

    /// Returns the number of requests that have begun.
    pub(super) fn requests(&self) -> u64 {
        self.state.lock().requests
    }

    /// Returns how well the connection deserves to be kept; `None` while the client waits for this
    /// process.
    pub(super) fn standing(&self, now: u32) -> Option<Standing> {
        let state = self.state.lock();
        let elapsed = |since: u32| now.wrapping_sub(since);
        if let Some(since) = state.blocked_since {
            return Some(Standing::Unread(elapsed(since)));
        }
        match state.phase {
            Phase::Idle => Some(Standing::Idle(elapsed(state.since))),
            Phase::Head => Some(Standing::Unfinished(elapsed(state.since))),
            Phase::Closing => Some(Standing::Closing(elapsed(state.since))),
            Phase::Request => {
                let body = state.body?;
                let waited = body.waited + elapsed(body.waiting_since?);
                Some(Standing::Unfinished(waited))
            }
        }
    }

    /// Refuses or closes the connection if its client has taken too long; returns why it is closed.
    pub(super) fn check_times(&self, now: u32, limits: &RequestLimits) -> Option<Refusal> {
        match self.standing(now)? {
            Standing::Unread(ticks) if exceeds(ticks, limits.idle_timeout) => {
                self.close();
                Some(Refusal::Unread)
            }
            Standing::Idle(ticks) if exceeds(ticks, limits.idle_timeout) => {
                self.close();
                Some(Refusal::Idle)
            }
            Standing::Closing(ticks) if exceeds(ticks, LINGER_TIMEOUT) => {
                self.close();
                None
            }
            Standing::Unfinished(ticks) => {
                let phase = self.phase();
                if phase == Phase::Head && exceeds(ticks, limits.head_timeout) {
                    self.refuse(Refusal::HeadTooSlow);
                } else if phase == Phase::Request && self.is_body_slow(now) {
                    self.refuse(Refusal::BodyTooSlow);
                }
                None
            }
            _ => None,
        }
    }

    fn is_body_slow(&self, now: u32) -> bool {
        let state = self.state.lock();
        let Some(body) = state.body else {
            return false;
        };
        let pause = body
            .waiting_since
            .map_or(0, |since| now.wrapping_sub(since));
        let waited = TICK * (body.waited + pause);
        let expected = waited.saturating_sub(BODY_RATE_GRACE).as_secs() * BODY_RATE_MIN;
        exceeds(pause, BODY_PAUSE_MAX) || body.received < expected
    }

    /// Returns for how long the rest of the body has been waited for.
    pub(super) fn body_pause(&self) -> Duration {
        let now = self.ingress.now();
        let body = self.state.lock().body;
        let since = body.and_then(|body| body.waiting_since);
        TICK * since.map_or(0, |since| now.wrapping_sub(since).saturating_sub(1))
    }

    /// Notes that the first byte of a head has arrived.
    pub(super) fn begin_head(&self) {
        let mut state = self.state.lock();
        if state.phase == Phase::Idle {
            state.phase = Phase::Head;
            state.since = self.ingress.now();
        }
    }

    /// Charges the bytes of a head that is not complete.
    pub(super) fn charge_partial_head(&self, bytes: usize) -> Result<(), Exhausted> {
        self.state.lock().reservation.resize(bytes)
    }

    /// Charges a head until its request has ended.
    pub(super) fn charge_head(&self, bytes: usize, lines: usize) -> Result<(), Exhausted> {
        let mut state = self.state.lock();
        let charge = bytes + lines * HEADER_BYTES;
        state.reservation.resize(charge)?;
        state.head_charge = charge;
        Ok(())
    }

    /// Charges the buffer of a body until its request has ended.
    pub(super) fn charge_body(&self, capacity: usize) -> Result<(), Exhausted> {
        let mut state = self.state.lock();
        let bytes = state.head_charge + capacity * BODY_COPIES;
        state.reservation.resize(bytes)
    }

    /// Notes that the handling of a request begins; fails if it is refused.
    pub(super) fn begin_request(&self, body: &Incoming) -> Result<(), Refusal> {
        let mut state = self.state.lock();
        state.phase = Phase::Request;
        state.requests += 1;
        if let Some(refusal) = state.refusal {
            return Err(refusal);
        }
        state.body = (!body.is_end_stream()).then(|| OwedBody {
            remaining: body.size_hint().exact(),
            received: 0,
            waiting_since: None,
            waited: 0,
        });
        Ok(())
    }

    /// Notes that the response has been handed over for writing, or will not be.
    pub(super) fn end_request(&self) {
        let mut state = self.state.lock();
        state.phase = if state.is_last() {
            Phase::Closing
        } else {
            Phase::Idle
        };
        state.since = self.ingress.now();
        state.head_charge = 0;
        state.reservation.clear();
        if std::mem::take(&mut state.has_next)
            && let Some(reader) = state.reader.take()
        {
            reader.wake();
        }
    }

    /// Notes that bytes of the next request are held; `waker` is called when this one has ended.
    pub(super) fn wait_for_turn(&self, waker: &Waker) {
        let mut state = self.state.lock();
        store_waker(&mut state.reader, waker);
        state.has_next = true;
    }

    /// Returns what the client owes of a body.
    pub(super) fn owed_body(&self) -> Owed {
        match self.state.lock().body {
            None => Owed::Nothing,
            Some(body) => match body.remaining {
                None => Owed::Chunks,
                Some(0) => Owed::Nothing,
                Some(bytes) => Owed::Bytes(usize::try_from(bytes).unwrap_or(usize::MAX)),
            },
        }
    }

    /// Notes bytes of the body.
    pub(super) fn note_body(&self, bytes: usize) {
        let mut state = self.state.lock();
        if let Some(body) = &mut state.body {
            body.received += bytes as u64;
            if let Some(remaining) = &mut body.remaining {
                *remaining = remaining.saturating_sub(bytes as u64);
            }
        }
    }

    /// Notes that the rest of a body is waited for, until `waker` is called.
    pub(super) fn wait_for_body(&self, waker: &Waker) {
        let now = self.ingress.now();
        let mut state = self.state.lock();
        store_waker(&mut state.reader, waker);
        if let Some(body) = &mut state.body {
            body.waiting_since.get_or_insert(now);
        }
    }

    /// Notes that a part of the body has arrived.
    pub(super) fn note_body_part(&self) {
        let now = self.ingress.now();
        let mut state = self.state.lock();
        if let Some(body) = &mut state.body
            && let Some(since) = body.waiting_since.take()
        {
            body.waited += now.wrapping_sub(since);
        }
    }

    /// Notes that the body is complete.
    pub(super) fn finish_body(&self) {
        self.state.lock().body = None;
    }

    /// Notes who reads the connection, to be woken when its request is refused.
    pub(super) fn wait_for_head(&self, waker: &Waker) {
        store_waker(&mut self.state.lock().reader, waker);
    }

    /// Notes whether the client's receive window is full.
    pub(super) fn set_blocked(&self, blocked: bool) {
        let mut state = self.state.lock();
        if blocked {
            let now = self.ingress.now();
            state.blocked_since.get_or_insert(now);
        } else {
            state.blocked_since = None;
        }
    }

    pub(super) fn is_blocked(&self) -> bool {
        self.state.lock().blocked_since.is_some()
    }

    /// Begins to discard what the client still sends; returns false if it has nothing to send.
    pub(super) fn begin_linger(&self) -> bool {
        let mut state = self.state.lock();
        let lingers = state.is_last();
        if lingers && state.phase != Phase::Closing {
            state.phase = Phase::Closing;
            state.since = self.ingress.now();
        }
        lingers
    }

    /// Gives back what the connection holds.
    pub(super) fn clear(&self) {
        self.state.lock().reservation.clear();
    }
}

/// Returns whether more than this time has passed, given the number of ticks; a tick may have begun
/// just before or after.
fn exceeds(ticks: u32, limit: Duration) -> bool {
    TICK * ticks.saturating_sub(1) > limit
}

fn store_waker(slot: &mut Option<Waker>, waker: &Waker) {
    if !slot.as_ref().is_some_and(|known| known.will_wake(waker)) {
        *slot = Some(waker.clone());
    }
}
