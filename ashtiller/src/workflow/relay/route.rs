//! Chooses the instance that relays calls to the workers of an availability zone.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::workflow::membership::member::Member;

/// Time for which an instance that failed as a relay is excluded: longer than the 2 s after which a
/// member without heartbeats is removed.
const EXCLUSION_TIME: Duration = Duration::from_secs(3);
/// Time for which a worker is called directly after a call over a relay failed.
const DIRECT_TIME: Duration = Duration::from_secs(2);
/// Consecutive workers that answer a direct call but did not answer over a relay, after which the
/// relay counts as partitioned from them.
const MAX_FAILURES: u32 = 8;

/// A worker that is called directly for some time.
#[derive(Debug)]
struct DirectRoute {
    until: Instant,
    /// The relay over which it did not answer, until the failure is attributed to that relay.
    failed_relay: Option<SocketAddr>,
}

/// Relays by availability zone, with their failures.
#[derive(Debug, Default)]
pub struct Routes {
    zones: BTreeMap<Arc<str>, SocketAddr>,
    excluded: BTreeMap<SocketAddr, Instant>,
    failures: BTreeMap<SocketAddr, u32>,
    direct: BTreeMap<Arc<str>, DirectRoute>,
}

impl Routes {
    /// Chooses the relay of each zone among the other instances: the largest one, and among equals
    /// the first by name, so that the choice is stable.
    pub fn choose(&mut self, members: &[Member], own_address: SocketAddr, now: Instant) {
        self.excluded.retain(|_, until| *until > now);
        self.direct.retain(|_, route| route.until > now);
        let mut best: BTreeMap<Arc<str>, &Member> = BTreeMap::new();
        let candidates = members.iter().filter(|member| {
            member.address != own_address
                && !member.leaving
                && !self.excluded.contains_key(&member.address)
        });
        for member in candidates {
            let current = best.entry(member.zone.clone()).or_insert(member);
            let larger = member.processors > current.processors;
            if larger || (member.processors == current.processors && member.name < current.name) {
                *current = member;
            }
        }
        let zones = best.into_iter();
        self.zones = zones.map(|(zone, member)| (zone, member.address)).collect();
    }

    /// Returns the relay for a worker; `None` if the worker is called directly.
    #[must_use]
    pub fn relay_for(&self, zone: &str, worker: &str, now: Instant) -> Option<SocketAddr> {
        let route = self.direct.get(worker);
        if route.is_some_and(|route| route.until > now) {
            return None;
        }
        self.zones.get(zone).copied()
    }

    /// Records that a worker answered a call over a relay.
    pub fn note_answer(&mut self, relay: SocketAddr) {
        self.failures.remove(&relay);
    }

    /// Records that a call over a relay failed; the next ones to that worker go directly.
    pub fn note_failure(&mut self, relay: SocketAddr, worker: &str, now: Instant) {
        let route = DirectRoute {
            until: now + DIRECT_TIME,
            failed_relay: Some(relay),
        };
        self.direct.insert(worker.into(), route);
    }

    /// Records that a worker answered a direct call. If a call over a relay failed just before, the
    /// failure counts against the relay; a worker that answers neither way does not count.
    pub fn note_direct_answer(&mut self, worker: &str, now: Instant) {
        let route = self.direct.get_mut(worker);
        let Some(relay) = route.and_then(|route| route.failed_relay.take()) else {
            return;
        };
        let failures = self.failures.entry(relay).or_insert(0);
        *failures += 1;
        if *failures >= MAX_FAILURES {
            self.exclude_relay(relay, now);
        }
    }

    /// Excludes an instance from being a relay for some time.
    pub fn exclude_relay(&mut self, relay: SocketAddr, now: Instant) {
        self.failures.remove(&relay);
        if self.excluded.insert(relay, now + EXCLUSION_TIME).is_none() {
            tracing::info!(%relay, "relay excluded; its zone uses another relay or direct calls");
        }
        self.zones.retain(|_, address| *address != relay);
    }

    /// Returns the relays by zone, for the dump.
    #[must_use]
    pub fn zones(&self) -> &BTreeMap<Arc<str>, SocketAddr> {
        &self.zones
    }
}
