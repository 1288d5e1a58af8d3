//! Admission and routing of one service in one gateway, as a state machine.
//!
//! [`Dispatch`] has no clock, socket or task: each call takes the time since the
//! gateway's start and returns what to do next. The same code runs in the
//! gateway, in replays and in golden sessions.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::balance::{self, RoutingPolicy};
use crate::endpoint::{Endpoint, Listing, Phase};
use crate::health::{self, EjectionDecision, EjectionReason, RequestResult};
use crate::rendezvous;
use crate::request_queue::{AdmissionRequest, RequestQueue};

/// Weight of a new service time in the running mean.
const WEIGHT: f64 = 0.02;
/// Service time assumed before the first sample, in seconds.
const FIRST_GUESS: f64 = 0.01;
/// Shortest time after which a refused caller is asked to come back.
const AFTER_MIN: Duration = Duration::from_millis(100);
/// Longest such time.
const AFTER_MAX: Duration = Duration::from_secs(30);

/// What to do with a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Admission {
    /// Send it to this endpoint now.
    Send(u64),
    /// It waits; [`Dispatch::assign`] will name it.
    Wait,
    /// Answer it at once: it was not run.
    Refuse(Refusal),
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalCause {
    /// The account's queue is full.
    QueueFull,
    /// The wait would pass the deadline.
    TooLate,
    /// The service has no endpoint that takes requests.
    NoEndpoint,
}

/// A refusal and when to come back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why.
    pub cause: RefusalCause,
    /// When the backlog should be gone.
    pub retry_after: Duration,
}

/// Settings of a [`Dispatch`].
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most connections from this gateway to one endpoint.
    pub max_connections: u32,
    /// Largest share of the endpoints that may be ejected.
    pub max_ejected_share: f64,
}

/// Counts of the endpoints, for metrics and the dump.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EndpointCounts {
    /// Endpoints that take requests.
    pub live: u32,
    /// Endpoints that are leaving.
    pub leaving: u32,
    /// Endpoints that are ejected.
    pub ejected: u32,
    /// Requests in flight.
    pub in_flight: u32,
    /// Slots lent to other gateways.
    pub lent: u32,
    /// Slots borrowed from other gateways.
    pub borrowed: u32,
    /// Slots dealt to this gateway.
    pub allocated: u32,
}

/// Admission and routing of one service.
pub struct Dispatch {
    pub(crate) endpoints: Vec<Endpoint>,
    pub(crate) places: BTreeMap<u64, usize>,
    pub(crate) line: RequestQueue,
    pub(crate) flying: BTreeMap<Arc<str>, u32>,
    pub(crate) balance: Box<dyn RoutingPolicy>,
    pub(crate) limits: Limits,
    pub(crate) service_time: f64,
    pub(crate) in_flight: u32,
    pub(crate) peak: u32,
}

impl Dispatch {
    /// A service without endpoints.
    #[must_use]
    pub fn new(balance: Box<dyn RoutingPolicy>, limits: Limits) -> Self {
        Self {
            endpoints: Vec::new(),
            places: BTreeMap::new(),
            line: RequestQueue::default(),
            flying: BTreeMap::new(),
            balance,
            limits,
            service_time: FIRST_GUESS,
            in_flight: 0,
            peak: 0,
        }
    }

    /// The endpoints as this gateway sees them.
    #[must_use]
    pub fn endpoints(&self) -> &[Endpoint] {
        &self.endpoints
    }

    /// Requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.line.len()
    }

    /// Takes the platform's list. An endpoint that has gone from it is treated as
    /// leaving until its last request ends; leaving is never taken back by a list
    /// that still shows it live.
    pub fn update_listings(&mut self, listings: &[Listing]) {
        for endpoint in &mut self.endpoints {
            let listed = listings
                .iter()
                .find(|listing| listing.name == endpoint.listing.name);
            match listed {
                Some(listing) if listing.address == endpoint.listing.address => {
                    let was = endpoint.listing.phase;
                    endpoint.listing = listing.clone();
                    if was == Phase::Leaving {
                        endpoint.listing.phase = Phase::Leaving;
                    }
                }
                _ => endpoint.listing.phase = Phase::Leaving,
            }
        }
        self.endpoints.retain(|endpoint| {
            let gone = endpoint.listing.phase == Phase::Leaving
                && !listings.iter().any(|listing| {
                    listing.name == endpoint.listing.name
                        && listing.address == endpoint.listing.address
                });
            !gone || endpoint.in_flight > 0
        });
        for listing in listings {
            let known = |endpoint: &Endpoint| {
                endpoint.listing.name == listing.name && endpoint.listing.address == listing.address
            };
            if !self.endpoints.iter().any(known) {
                self.add(listing.clone());
            }
        }
        self.index();
    }

    fn add(&mut self, listing: Listing) {
        let mut endpoint = Endpoint::new(listing);
        // Two lives of one name at two addresses need two numbers.
        while self.endpoints.iter().any(|other| other.id == endpoint.id) {
            endpoint.id = endpoint.id.wrapping_add(1);
        }
        self.endpoints.push(endpoint);
    }

    fn index(&mut self) {
        self.places = self
            .endpoints
            .iter()
            .enumerate()
            .map(|(place, endpoint)| (endpoint.id, place))
            .collect();
    }

    /// Deals every endpoint's slots among the gateways; `own` is this one.
    pub fn allocate_slots(&mut self, gateways: &[Arc<str>], own: &str) {
        for endpoint in &mut self.endpoints {
            let ranked = rendezvous::rank(&endpoint.listing.name, gateways);
            let Some(place) = ranked.iter().position(|name| &**name == own) else {
                endpoint.slots.set_allocated(0);
                continue;
            };
            let (place, count) = (count_of(place), count_of(ranked.len()));
            let slots = endpoint.listing.slots;
            endpoint
                .slots
                .set_allocated(slots / count + u32::from(place < slots % count));
        }
    }

    /// A request asks for a slot.
    pub fn admit(&mut self, ticket: AdmissionRequest, now: Duration) -> Admission {
        if !self
            .endpoints
            .iter()
            .any(|endpoint| endpoint.listing.phase == Phase::Live)
        {
            return Admission::Refuse(Refusal {
                cause: RefusalCause::NoEndpoint,
                retry_after: AFTER_MIN * 10,
            });
        }
        let first = self.line.is_empty() && may_fly(&self.flying, &ticket);
        if let Some(id) = first.then(|| self.begin(&ticket, now)).flatten() {
            return Admission::Send(id);
        }
        let wait = self.estimate(&ticket);
        if self.line.waiting(&ticket.account) >= ticket.max_queued as usize {
            return Admission::Refuse(refuse(RefusalCause::QueueFull, wait));
        }
        if now + wait >= ticket.deadline {
            return Admission::Refuse(refuse(RefusalCause::TooLate, wait));
        }
        self.line.push(ticket);
        self.note_peak();
        Admission::Wait
    }

    fn begin(&mut self, ticket: &AdmissionRequest, now: Duration) -> Option<u64> {
        let connections = self.limits.max_connections;
        let place = self
            .balance
            .choose(&self.endpoints, ticket.avoid, connections, now)?;
        let endpoint = &mut self.endpoints[place];
        endpoint.in_flight += 1;
        endpoint.last_started = now;
        let id = endpoint.id;
        *self.flying.entry(ticket.account.clone()).or_default() += 1;
        self.in_flight += 1;
        self.note_peak();
        Some(id)
    }

    fn note_peak(&mut self) {
        self.peak = self.peak.max(self.in_flight + count_of(self.line.len()));
    }

    /// Expected time until a new request would have its answer.
    fn estimate(&self, ticket: &AdmissionRequest) -> Duration {
        let slots: u32 = self
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.accepts(u32::MAX))
            .map(|endpoint| endpoint.slots.allocated().max(1))
            .sum();
        let ahead = u32::try_from(self.line.requests_ahead(&ticket.account, ticket.class))
            .unwrap_or(u32::MAX);
        let turns = 1.0 + f64::from(ahead) / f64::from(slots.max(1));
        Duration::from_secs_f64((self.service_time * turns).min(3600.0))
    }

    /// Names waiting requests that now have an endpoint.
    pub fn assign(&mut self, now: Duration) -> Vec<(u64, u64)> {
        let mut assigned = Vec::new();
        while !self.line.is_empty() {
            let connections = self.limits.max_connections;
            if self
                .balance
                .choose(&self.endpoints, None, connections, now)
                .is_none()
            {
                break;
            }
            let flying = &self.flying;
            let may = |ticket: &AdmissionRequest| {
                flying.get(&ticket.account).copied().unwrap_or(0) < ticket.max_in_flight
            };
            let Some(ticket) = self.line.pop(&may) else {
                break;
            };
            if let Some(endpoint) = self.begin(&ticket, now) {
                assigned.push((ticket.id, endpoint));
            } else {
                self.line.push(ticket);
                break;
            }
        }
        assigned
    }

    /// A waiting request gives up; false when it was assigned already.
    pub fn cancel(&mut self, account: &Arc<str>, id: u64) -> bool {
        self.line.remove(account, id)
    }

    /// A request at an endpoint has ended.
    pub fn finish(&mut self, account: &Arc<str>, id: u64, sample: RequestResult, now: Duration) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(flying) = self.flying.get_mut(account) {
            *flying -= 1;
            if *flying == 0 {
                self.flying.remove(account);
            }
        }
        if let RequestResult::Success(time) = sample {
            self.service_time += WEIGHT * (time.as_secs_f64() - self.service_time);
        }
        let Some(&place) = self.places.get(&id) else {
            return;
        };
        self.endpoints[place].in_flight = self.endpoints[place].in_flight.saturating_sub(1);
        self.endpoints[place].health.record(sample);
        self.judge(place, now);
    }

    fn judge(&mut self, place: usize, now: Duration) {
        let endpoint = &self.endpoints[place];
        if endpoint.health.is_ejected() {
            return;
        }
        let peers = self.endpoints.iter().enumerate();
        let peers = peers
            .filter(|(other, _)| *other != place)
            .map(|(_, peer)| &peer.health);
        let EjectionDecision::Eject(reason) = health::evaluate(&endpoint.health, peers) else {
            return;
        };
        if self.may_eject() {
            self.endpoints[place].health.eject(reason, now);
        }
    }

    /// One endpoint may always be ejected, if another is left; more only up to the
    /// share.
    fn may_eject(&self) -> bool {
        let all = self.endpoints.len();
        let ejected = self
            .endpoints
            .iter()
            .filter(|peer| peer.health.is_ejected())
            .count()
            + 1;
        let share = f64::from(count_of(ejected)) / f64::from(count_of(all));
        ejected < all && (ejected == 1 || share <= self.limits.max_ejected_share)
    }

    /// An endpoint said, by an answer, that it takes no new requests.
    pub fn mark_leaving(&mut self, id: u64, now: Duration) {
        if let Some(&place) = self.places.get(&id) {
            self.endpoints[place]
                .health
                .eject(EjectionReason::Leaving, now);
        }
    }

    /// An endpoint reported its load.
    pub fn record_load(&mut self, id: u64, load: u32, now: Duration) {
        if let Some(&place) = self.places.get(&id) {
            self.endpoints[place].reported_load = Some((load, now));
        }
    }

    /// Endpoints whose ejection is over, to be probed.
    #[must_use]
    pub fn due_probes(&self, now: Duration) -> Vec<u64> {
        self.endpoints
            .iter()
            .filter(|endpoint| {
                endpoint.listing.phase == Phase::Live && endpoint.health.is_probe_due(now)
            })
            .map(|endpoint| endpoint.id)
            .collect()
    }

    /// Takes the result of a probe.
    pub fn record_probe(&mut self, id: u64, good: bool, now: Duration) {
        if let Some(&place) = self.places.get(&id) {
            self.endpoints[place].health.record_probe(good, now);
        }
    }

    /// One endpoint by number.
    #[must_use]
    pub fn endpoint(&self, id: u64) -> Option<&Endpoint> {
        self.places.get(&id).map(|&place| &self.endpoints[place])
    }

    /// Counts of the endpoints.
    #[must_use]
    pub fn endpoint_counts(&self, now: Duration) -> EndpointCounts {
        let mut census = EndpointCounts::default();
        for endpoint in &self.endpoints {
            census.in_flight += endpoint.in_flight;
            census.lent += endpoint.slots.lent(now);
            census.borrowed += endpoint.slots.borrowed(now);
            census.allocated += endpoint.slots.allocated();
            match endpoint.listing.phase {
                Phase::Leaving => census.leaving += 1,
                Phase::Live if endpoint.health.is_ejected() => census.ejected += 1,
                Phase::Live => census.live += 1,
            }
        }
        census
    }
}

/// Builds a dispatch with a policy by name.
#[must_use]
pub fn build(kind: balance::Kind, seed: u64, limits: Limits) -> Dispatch {
    Dispatch::new(balance::build(kind, seed), limits)
}

/// Whether the ticket's account may have another request in flight.
fn may_fly(flying: &BTreeMap<Arc<str>, u32>, ticket: &AdmissionRequest) -> bool {
    flying.get(&ticket.account).copied().unwrap_or(0) < ticket.max_in_flight
}

fn refuse(cause: RefusalCause, wait: Duration) -> Refusal {
    Refusal {
        cause,
        retry_after: wait.clamp(AFTER_MIN, AFTER_MAX),
    }
}

/// A size as a count.
pub(crate) fn count_of(size: usize) -> u32 {
    u32::try_from(size).unwrap_or(u32::MAX)
}
