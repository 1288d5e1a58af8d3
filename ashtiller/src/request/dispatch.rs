//! Admission and routing of one service in one gateway, as a state machine.
//!
//! [`Dispatch`] has no clock, socket or task: each call takes the time since the
//! gateway's start and returns the next action. The gateway, trace replays and
//! snapshot tests run the same code.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::balance::{self, RoutingPolicy};
use crate::endpoint::{Endpoint, Listing, Phase};
use crate::health::{self, EjectionDecision, EjectionReason, RequestResult};
use crate::rendezvous;
use crate::request_queue::{AdmissionRequest, RequestQueue};

/// Weight of a new sample in the moving average of the service time.
const SERVICE_TIME_WEIGHT: f64 = 0.02;
/// Service time assumed before the first sample, in seconds.
const INITIAL_SERVICE_SECONDS: f64 = 0.01;
/// Shortest time after which a refused caller is told to retry.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);
/// Longest time after which a refused caller is told to retry.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);

/// Result of asking for a slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The request goes to the endpoint with this id now.
    Send(u64),
    /// The request is queued; [`Dispatch::assign`] returns it once it has an endpoint.
    Wait,
    /// The request is answered at once and was not run.
    Refuse(Refusal),
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalCause {
    /// The account's queue is full.
    QueueFull,
    /// The expected wait ends after the deadline.
    TooLate,
    /// The service has no live endpoint.
    NoEndpoint,
}

/// A refusal and when to retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why the request is refused.
    pub cause: RefusalCause,
    /// Expected time until the backlog is processed.
    pub retry_after: Duration,
}

/// Settings of a [`Dispatch`].
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest number of connections from this gateway to one endpoint.
    pub max_connections: u32,
    /// Largest share of the endpoints that may be ejected, from 0 to 1.
    pub max_ejected_share: f64,
}

/// Endpoints by state, and their slots and requests, for metrics and `/dump`.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EndpointCounts {
    /// Endpoints that accept requests.
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
    /// Slots allocated to this gateway.
    pub allocated: u32,
}

/// Admission and routing of one service.
pub struct Dispatch {
    pub(crate) endpoints: Vec<Endpoint>,
    pub(crate) index_by_id: BTreeMap<u64, usize>,
    pub(crate) queue: RequestQueue,
    pub(crate) in_flight_by_account: BTreeMap<Arc<str>, u32>,
    pub(crate) policy: Box<dyn RoutingPolicy>,
    pub(crate) limits: Limits,
    pub(crate) mean_service_seconds: f64,
    pub(crate) in_flight: u32,
    pub(crate) peak_demand: u32,
}

impl Dispatch {
    /// Creates a service without endpoints.
    #[must_use]
    pub fn new(policy: Box<dyn RoutingPolicy>, limits: Limits) -> Self {
        Self {
            endpoints: Vec::new(),
            index_by_id: BTreeMap::new(),
            queue: RequestQueue::default(),
            in_flight_by_account: BTreeMap::new(),
            policy,
            limits,
            mean_service_seconds: INITIAL_SERVICE_SECONDS,
            in_flight: 0,
            peak_demand: 0,
        }
    }

    /// Returns the endpoints as this gateway sees them.
    #[must_use]
    pub fn endpoints(&self) -> &[Endpoint] {
        &self.endpoints
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Applies the platform's list. An endpoint that is no longer listed counts as
    /// leaving until its last request ends. An endpoint that is leaving stays so, even
    /// when a later list shows it live.
    pub fn update_listings(&mut self, listings: &[Listing]) {
        for endpoint in &mut self.endpoints {
            let listed = listings
                .iter()
                .find(|listing| listing.name == endpoint.listing.name);
            match listed {
                Some(listing) if listing.address == endpoint.listing.address => {
                    let previous = endpoint.listing.phase;
                    endpoint.listing = listing.clone();
                    if previous == Phase::Leaving {
                        endpoint.listing.phase = Phase::Leaving;
                    }
                }
                _ => endpoint.listing.phase = Phase::Leaving,
            }
        }
        self.endpoints.retain(|endpoint| {
            let removable = endpoint.listing.phase == Phase::Leaving
                && !listings.iter().any(|listing| {
                    listing.name == endpoint.listing.name
                        && listing.address == endpoint.listing.address
                });
            !removable || endpoint.in_flight > 0
        });
        for listing in listings {
            let known = |endpoint: &Endpoint| {
                endpoint.listing.name == listing.name && endpoint.listing.address == listing.address
            };
            if !self.endpoints.iter().any(known) {
                self.add_endpoint(listing.clone());
            }
        }
        self.rebuild_index();
    }

    fn add_endpoint(&mut self, listing: Listing) {
        let mut endpoint = Endpoint::new(listing);
        // Two incarnations of one name at two addresses need different ids.
        while self.endpoints.iter().any(|other| other.id == endpoint.id) {
            endpoint.id = endpoint.id.wrapping_add(1);
        }
        self.endpoints.push(endpoint);
    }

    fn rebuild_index(&mut self) {
        self.index_by_id = self
            .endpoints
            .iter()
            .enumerate()
            .map(|(index, endpoint)| (endpoint.id, index))
            .collect();
    }

    /// Divides the slots of every endpoint among the gateways; `own` is this one.
    /// Rendezvous hashing decides which gateways get the slots that are left over.
    pub fn allocate_slots(&mut self, gateways: &[Arc<str>], own: &str) {
        for endpoint in &mut self.endpoints {
            let ranked = rendezvous::rank(&endpoint.listing.name, gateways);
            let Some(index) = ranked.iter().position(|name| &**name == own) else {
                endpoint.slots.set_allocated(0);
                continue;
            };
            let (index, count) = (count_of(index), count_of(ranked.len()));
            let slots = endpoint.listing.slots;
            endpoint
                .slots
                .set_allocated(slots / count + u32::from(index < slots % count));
        }
    }

    /// Assigns a slot to a request, queues it or refuses it.
    pub fn admit(&mut self, request: AdmissionRequest, now: Duration) -> Admission {
        if !self
            .endpoints
            .iter()
            .any(|endpoint| endpoint.listing.phase == Phase::Live)
        {
            return Admission::Refuse(Refusal {
                cause: RefusalCause::NoEndpoint,
                retry_after: RETRY_AFTER_MIN * 10,
            });
        }
        let immediate =
            self.queue.is_empty() && is_below_limit(&self.in_flight_by_account, &request);
        if let Some(id) = immediate.then(|| self.start(&request, now)).flatten() {
            return Admission::Send(id);
        }
        let wait = self.expected_latency(&request);
        if self.queue.waiting(&request.account) >= request.max_queued as usize {
            return Admission::Refuse(refusal(RefusalCause::QueueFull, wait));
        }
        if now + wait >= request.deadline {
            return Admission::Refuse(refusal(RefusalCause::TooLate, wait));
        }
        self.queue.push(request);
        self.update_peak();
        Admission::Wait
    }

    fn start(&mut self, request: &AdmissionRequest, now: Duration) -> Option<u64> {
        let connections = self.limits.max_connections;
        let index = self
            .policy
            .choose(&self.endpoints, request.avoid, connections, now)?;
        let endpoint = &mut self.endpoints[index];
        endpoint.in_flight += 1;
        endpoint.last_started = now;
        let id = endpoint.id;
        *self
            .in_flight_by_account
            .entry(request.account.clone())
            .or_default() += 1;
        self.in_flight += 1;
        self.update_peak();
        Some(id)
    }

    fn update_peak(&mut self) {
        self.peak_demand = self
            .peak_demand
            .max(self.in_flight + count_of(self.queue.len()));
    }

    /// Estimates the time until a new request has its response.
    fn expected_latency(&self, request: &AdmissionRequest) -> Duration {
        let slots: u32 = self
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.accepts(u32::MAX))
            .map(|endpoint| endpoint.slots.allocated().max(1))
            .sum();
        let ahead = u32::try_from(self.queue.requests_ahead(&request.account, request.class))
            .unwrap_or(u32::MAX);
        let rounds = 1.0 + f64::from(ahead) / f64::from(slots.max(1));
        Duration::from_secs_f64((self.mean_service_seconds * rounds).min(3600.0))
    }

    /// Assigns endpoints to queued requests. Returns pairs of request and endpoint id.
    pub fn assign(&mut self, now: Duration) -> Vec<(u64, u64)> {
        let mut assigned = Vec::new();
        while !self.queue.is_empty() {
            let connections = self.limits.max_connections;
            if self
                .policy
                .choose(&self.endpoints, None, connections, now)
                .is_none()
            {
                break;
            }
            let in_flight = &self.in_flight_by_account;
            let may_start = |request: &AdmissionRequest| {
                in_flight.get(&request.account).copied().unwrap_or(0) < request.max_in_flight
            };
            let Some(request) = self.queue.pop(&may_start) else {
                break;
            };
            if let Some(endpoint) = self.start(&request, now) {
                assigned.push((request.id, endpoint));
            } else {
                self.queue.push(request);
                break;
            }
        }
        assigned
    }

    /// Removes a queued request whose caller gave up. Returns false if it already has
    /// an endpoint.
    pub fn cancel(&mut self, account: &Arc<str>, id: u64) -> bool {
        self.queue.remove(account, id)
    }

    /// Records the end of a request at an endpoint and frees its slot.
    pub fn finish(&mut self, account: &Arc<str>, id: u64, result: RequestResult, now: Duration) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(in_flight) = self.in_flight_by_account.get_mut(account) {
            *in_flight -= 1;
            if *in_flight == 0 {
                self.in_flight_by_account.remove(account);
            }
        }
        if let RequestResult::Success(time) = result {
            self.mean_service_seconds +=
                SERVICE_TIME_WEIGHT * (time.as_secs_f64() - self.mean_service_seconds);
        }
        let Some(&index) = self.index_by_id.get(&id) else {
            return;
        };
        self.endpoints[index].in_flight = self.endpoints[index].in_flight.saturating_sub(1);
        self.endpoints[index].health.record(result);
        self.check_health(index, now);
    }

    fn check_health(&mut self, index: usize, now: Duration) {
        let endpoint = &self.endpoints[index];
        if endpoint.health.is_ejected() {
            return;
        }
        let peers = self.endpoints.iter().enumerate();
        let peers = peers
            .filter(|(other, _)| *other != index)
            .map(|(_, peer)| &peer.health);
        let EjectionDecision::Eject(reason) = health::evaluate(&endpoint.health, peers) else {
            return;
        };
        if self.may_eject() {
            self.endpoints[index].health.eject(reason, now);
        }
    }

    /// Returns whether one more endpoint may be ejected. The immediate one always may, if
    /// another is left; further ones only up to the configured share.
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

    /// Ejects an endpoint whose response says that it accepts no new requests.
    pub fn mark_leaving(&mut self, id: u64, now: Duration) {
        if let Some(&index) = self.index_by_id.get(&id) {
            self.endpoints[index]
                .health
                .eject(EjectionReason::Leaving, now);
        }
    }

    /// Records the number of requests in flight that an endpoint reports.
    pub fn record_load(&mut self, id: u64, load: u32, now: Duration) {
        if let Some(&index) = self.index_by_id.get(&id) {
            self.endpoints[index].reported_load = Some((load, now));
        }
    }

    /// Returns the ids of live endpoints whose ejection time is over, to be probed.
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

    /// Records the result of a probe.
    pub fn record_probe(&mut self, id: u64, good: bool, now: Duration) {
        if let Some(&index) = self.index_by_id.get(&id) {
            self.endpoints[index].health.record_probe(good, now);
        }
    }

    /// Returns the endpoint with this id.
    #[must_use]
    pub fn endpoint(&self, id: u64) -> Option<&Endpoint> {
        self.index_by_id
            .get(&id)
            .map(|&index| &self.endpoints[index])
    }

    /// Counts endpoints, requests in flight and slots.
    #[must_use]
    pub fn endpoint_counts(&self, now: Duration) -> EndpointCounts {
        let mut counts = EndpointCounts::default();
        for endpoint in &self.endpoints {
            counts.in_flight += endpoint.in_flight;
            counts.lent += endpoint.slots.lent(now);
            counts.borrowed += endpoint.slots.borrowed(now);
            counts.allocated += endpoint.slots.allocated();
            match endpoint.listing.phase {
                Phase::Leaving => counts.leaving += 1,
                Phase::Live if endpoint.health.is_ejected() => counts.ejected += 1,
                Phase::Live => counts.live += 1,
            }
        }
        counts
    }
}

/// Creates a [`Dispatch`] with a built-in routing policy; `seed` makes its random
/// choices repeatable.
#[must_use]
pub fn build(kind: balance::Kind, seed: u64, limits: Limits) -> Dispatch {
    Dispatch::new(balance::build(kind, seed), limits)
}

/// Returns whether the account is below its limit of requests in flight.
fn is_below_limit(in_flight: &BTreeMap<Arc<str>, u32>, request: &AdmissionRequest) -> bool {
    in_flight.get(&request.account).copied().unwrap_or(0) < request.max_in_flight
}

fn refusal(cause: RefusalCause, wait: Duration) -> Refusal {
    Refusal {
        cause,
        retry_after: wait.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX),
    }
}

/// Converts a size to `u32`, saturating.
pub(crate) fn count_of(size: usize) -> u32 {
    u32::try_from(size).unwrap_or(u32::MAX)
}
