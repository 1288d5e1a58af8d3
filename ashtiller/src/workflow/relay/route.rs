//! Which instance carries calls to the workers of an availability zone.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::workflow::membership::member::Member;

/// Time for which an instance that failed as a relay is not one: longer than the 2 s after
/// which a silent member is forgotten.
const DOWN: Duration = Duration::from_secs(3);
/// Time for which a worker is called directly after a call over a relay failed.
const DIRECT: Duration = Duration::from_secs(2);
/// Workers one after the other that answer a direct call and did not over a relay, before it
/// counts as cut off from them.
const FAILURES_MAX: u32 = 8;

/// A worker that is called directly for a while.
#[derive(Debug)]
struct Detour {
    until: Instant,
    /// The relay over which it was not reached, until that is known to be at fault.
    failed_relay: Option<SocketAddr>,
}

/// Relays by availability zone, and what is known against them.
#[derive(Debug, Default)]
pub struct Routes {
    zones: BTreeMap<Arc<str>, SocketAddr>,
    excluded: BTreeMap<SocketAddr, Instant>,
    failures: BTreeMap<SocketAddr, u32>,
    direct: BTreeMap<Arc<str>, Detour>,
}

impl Routes {
    /// Chooses the relay of each zone among the other instances: the largest, and of several
    /// the first by name, so that the choice rests.
    pub fn choose(&mut self, members: &[Member], own: SocketAddr, now: Instant) {
        self.excluded.retain(|_, until| *until > now);
        self.direct.retain(|_, detour| detour.until > now);
        let mut best: BTreeMap<Arc<str>, &Member> = BTreeMap::new();
        let fit = members.iter().filter(|member| {
            member.address != own && !member.leaving && !self.excluded.contains_key(&member.address)
        });
        for member in fit {
            let known = best.entry(member.zone.clone()).or_insert(member);
            let larger = member.processors > known.processors;
            if larger || (member.processors == known.processors && member.name < known.name) {
                *known = member;
            }
        }
        let zones = best.into_iter();
        self.zones = zones.map(|(zone, member)| (zone, member.address)).collect();
    }

    /// The relay for a worker, if it has one now.
    #[must_use]
    pub fn relay_for(&self, zone: &str, worker: &str, now: Instant) -> Option<SocketAddr> {
        let detour = self.direct.get(worker);
        if detour.is_some_and(|detour| detour.until > now) {
            return None;
        }
        self.zones.get(zone).copied()
    }

    /// A call over a relay was answered by the worker.
    pub fn note_answer(&mut self, relay: SocketAddr) {
        self.failures.remove(&relay);
    }

    /// A call over a relay failed; the next ones to that worker go directly.
    pub fn note_failure(&mut self, relay: SocketAddr, worker: &str, now: Instant) {
        let detour = Detour {
            until: now + DIRECT,
            failed_relay: Some(relay),
        };
        self.direct.insert(worker.into(), detour);
    }

    /// A worker has answered a direct call. If it was not reached over a relay just before, that
    /// is the relay's fault; one that answers neither way says nothing of it.
    pub fn note_direct_answer(&mut self, worker: &str, now: Instant) {
        let detour = self.direct.get_mut(worker);
        let Some(relay) = detour.and_then(|detour| detour.failed_relay.take()) else {
            return;
        };
        let failures = self.failures.entry(relay).or_insert(0);
        *failures += 1;
        if *failures >= FAILURES_MAX {
            self.exclude_relay(relay, now);
        }
    }

    /// An instance is not a relay for a while.
    pub fn exclude_relay(&mut self, relay: SocketAddr, now: Instant) {
        self.failures.remove(&relay);
        if self.excluded.insert(relay, now + DOWN).is_none() {
            tracing::info!(%relay, "relay fails; its zone has another, or none");
        }
        self.zones.retain(|_, address| *address != relay);
    }

    /// Relays by zone, for a dump.
    #[must_use]
    pub fn zones(&self) -> &BTreeMap<Arc<str>, SocketAddr> {
        &self.zones
    }
}
