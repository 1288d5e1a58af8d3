//! What a gateway knows of one endpoint.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;

use crate::health::Health;
use crate::slots::Slots;

/// Where an endpoint stands in its life.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Takes requests.
    Live,
    /// Takes no new requests; those in flight finish.
    Leaving,
}

/// An endpoint as the platform lists it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listing {
    /// Name, unique within the service.
    pub name: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Where it stands.
    pub phase: Phase,
}

/// One endpoint of a service, as one gateway sees it.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// What the platform lists.
    pub listing: Listing,
    /// Hash of the name, short enough for messages.
    pub id: u64,
    /// Requests of this gateway that are in flight.
    pub in_flight: u32,
    /// Load that the endpoint last reported, and when.
    pub reported_load: Option<(u32, Duration)>,
    /// When this gateway last began a request here.
    pub last_started: Duration,
    /// Slots that this gateway may use.
    pub slots: Slots,
    /// Failures, latency and ejection.
    pub health: Health,
}

impl Endpoint {
    /// A new endpoint without history.
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

    /// Whether a new request may be sent here.
    #[must_use]
    pub fn accepts(&self, connections: u32) -> bool {
        self.listing.phase == Phase::Live
            && !self.health.is_ejected()
            && self.in_flight < connections
    }

    /// Slots that this gateway may use and does not.
    #[must_use]
    pub fn free_slots(&self, now: Duration) -> u32 {
        self.slots.usable(now).saturating_sub(self.in_flight)
    }
}

/// The short number of an endpoint's name.
#[must_use]
pub fn id_of(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}
