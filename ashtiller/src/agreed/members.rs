//! Which processes of the project are there, as a state machine.
//!
//! The store lists members under leases; heartbeats tell which of them answer.
//! A member that the store has lost but that still answers stays for a while, so
//! that an outage of the store empties nothing.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::peer::{Heartbeat, Role};
use crate::settings;

/// Prefix of the members' keys.
pub const KEY_PREFIX: &str = "ashtiller/members/";
/// How often two members exchange heartbeats.
const GREET_EVERY: Duration = Duration::from_secs(2);
/// Silence after which the member that is not to begin asks all the same.
const GREET_LATE: Duration = Duration::from_secs(3);
/// Heartbeats that may fail before a member is passed over.
const MISSES: u32 = 3;
/// Silence after which a member that the store has lost is forgotten.
const FORGET: Duration = Duration::from_secs(10);

/// A member as it describes itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Name of its instance.
    pub name: Arc<str>,
    /// Role.
    pub role: Role,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Region.
    pub region: Arc<str>,
    /// Where other processes connect.
    pub peers: SocketAddr,
    /// Where operators connect.
    pub operators: SocketAddr,
}

impl Member {
    /// A process of this instance that listens at these addresses.
    #[must_use]
    pub fn new(
        instance: &settings::Instance,
        role: Role,
        peers: SocketAddr,
        operators: SocketAddr,
    ) -> Self {
        Self {
            name: instance.name.clone(),
            role,
            zone: instance.zone.clone(),
            region: instance.region.clone(),
            peers,
            operators,
        }
    }

    /// The member's key in the store.
    #[must_use]
    pub fn key(&self) -> String {
        format!("{KEY_PREFIX}{}/{}", self.role.name(), self.name)
    }
}

/// What is known of one member.
#[derive(Clone, Debug, Serialize)]
pub struct MemberState {
    /// Its own description.
    pub member: Member,
    /// Whether the store lists it.
    pub listed: bool,
    /// Whether it said that it is stopping.
    pub leaving: bool,
    /// Whether a heartbeat was exchanged with it.
    pub met: bool,
    /// Heartbeats that failed in a row.
    pub misses: u32,
    /// When it last answered.
    pub heard: Duration,
    /// Cells that it last said it owns.
    pub cells: Vec<Arc<str>>,
}

/// All members known.
#[derive(Clone, Debug, Default)]
pub struct Members {
    known: BTreeMap<(Role, Arc<str>), MemberState>,
}

impl Members {
    /// Takes the store's list.
    pub fn update_list(&mut self, members: &[Member], now: Duration) {
        for known in self.known.values_mut() {
            known.listed = false;
        }
        for member in members {
            let key = (member.role, member.name.clone());
            let fresh = MemberState {
                member: member.clone(),
                listed: true,
                leaving: false,
                met: false,
                misses: 0,
                heard: now,
                cells: Vec::new(),
            };
            let known = self.known.entry(key).or_insert_with(|| fresh.clone());
            if known.member == *member {
                known.listed = true;
            } else {
                *known = fresh;
            }
        }
        self.forget(now);
    }

    fn forget(&mut self, now: Duration) {
        self.known.retain(|_, known| {
            known.listed || (!known.leaving && now.saturating_sub(known.heard) < FORGET)
        });
    }

    /// Takes the answer to a heartbeat, or its failure.
    pub fn record_heartbeat(
        &mut self,
        role: Role,
        name: &str,
        answer: Option<&Heartbeat>,
        now: Duration,
    ) {
        let Some(known) = self.known.get_mut(&(role, Arc::from(name))) else {
            return;
        };
        match answer {
            Some(greeting) => {
                known.misses = 0;
                known.met = true;
                known.heard = now;
                known.leaving = greeting.leaving;
                known.cells.clone_from(&greeting.cells);
            }
            None => known.misses = known.misses.saturating_add(1),
        }
        self.forget(now);
    }

    /// Members that this one should greet now. Of two members the one that comes
    /// first in order begins, so that a pair costs one exchange; the other asks
    /// when it hears nothing, and anyone asks again after a failure.
    #[must_use]
    pub fn heartbeats_due(&self, own: &Member, now: Duration) -> Vec<Member> {
        let first = (own.role, own.name.clone());
        let due = self.known.iter().filter(|(key, known)| {
            let silence = now.saturating_sub(known.heard);
            let limit = if first < **key {
                GREET_EVERY
            } else {
                GREET_LATE
            };
            **key != first && (!known.met || known.misses > 0 || silence >= limit)
        });
        due.map(|(_, known)| known.member.clone()).collect()
    }

    /// Everything known, for heartbeats and the dump.
    pub fn iter(&self) -> impl Iterator<Item = &MemberState> {
        self.known.values()
    }

    /// Names of the members of a role that work can be dealt to.
    #[must_use]
    pub fn available(&self, role: Role) -> Vec<Arc<str>> {
        self.known
            .values()
            .filter(|known| known.member.role == role && !known.leaving && known.misses < MISSES)
            .map(|known| known.member.name.clone())
            .collect()
    }

    /// One member.
    #[must_use]
    pub fn get(&self, role: Role, name: &str) -> Option<&MemberState> {
        self.known.get(&(role, Arc::from(name)))
    }

    /// The scheduler that last said it owns `cell`.
    #[must_use]
    pub fn owner(&self, cell: &str) -> Option<&MemberState> {
        self.known
            .values()
            .filter(|known| known.cells.iter().any(|name| &**name == cell))
            .max_by_key(|known| known.heard)
    }
}
