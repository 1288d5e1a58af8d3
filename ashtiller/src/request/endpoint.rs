//! An endpoint of a service, and its state in one gateway.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;

use crate::health::Health;
use crate::slots::Slots;

/// Lifecycle phase of an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Accepts requests.
    Live,
    /// Accepts no new requests; those in flight finish.
    Leaving,
}

/// An endpoint as the platform lists it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listing {
    /// Name, unique within the service.
    pub name: Arc<str>,
    /// Address on which the endpoint listens.
    pub address: SocketAddr,
    /// Number of requests that the endpoint runs concurrently.
    pub slots: u32,
    /// Lifecycle phase.
    pub phase: Phase,
}

/// One endpoint of a service, as one gateway sees it.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Entry in the platform's list.
    pub listing: Listing,
    /// Hash of the name, used in messages between gateways.
    pub id: u64,
    /// Number of this gateway's requests in flight.
    pub in_flight: u32,
    /// Requests in flight that the endpoint last reported, and when.
    pub reported_load: Option<(u32, Duration)>,
    /// When this gateway last sent a request to the endpoint.
    pub last_started: Duration,
    /// Slots that this gateway may use.
    pub slots: Slots,
    /// Failure rate, latency and ejection.
    pub health: Health,
}

impl Endpoint {
    /// Creates an endpoint without history.
    #[must_use]
    pub fn new(listing: Listing) -> Self {
        Self {
            id: id_of(&listing.name),
            listing,
            in_flight: 0,
            reported_load: None,
            last_started: Duration::ZERO,
            slots: Slots::default(),
            health: Health::default(),
        }
    }

    /// Returns whether the endpoint is live, not ejected, and has fewer than `connections`
    /// requests of this gateway in flight.
    #[must_use]
    pub fn accepts(&self, connections: u32) -> bool {
        self.listing.phase == Phase::Live
            && !self.health.is_ejected()
            && self.in_flight < connections
    }

    /// Returns the number of unused slots of this gateway.
    #[must_use]
    pub fn free_slots(&self, now: Duration) -> u32 {
        self.slots.usable(now).saturating_sub(self.in_flight)
    }
}

/// Returns the id of an endpoint, a hash of its name.
#[must_use]
pub fn id_of(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}
