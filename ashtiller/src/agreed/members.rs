//! State machine of the membership: which gateways and schedulers are up.
//!
//! The store lists the members, each under a lease; heartbeats show which of them respond.
//! A member that the store no longer lists but that still responds is kept, so that an
//! outage of the store does not empty the list.

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
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Silence after which the member that normally waits sends a heartbeat as well.
const HEARTBEAT_OVERDUE: Duration = Duration::from_secs(3);
/// Failed heartbeats in a row after which a member gets no work.
const MAX_MISSES: u32 = 3;
/// Silence after which a member that the store does not list is removed.
const REMOVE_AFTER: Duration = Duration::from_secs(10);

/// A member's description of itself, stored under its key.
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
    /// Address for other processes.
    pub peers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
}

impl Member {
    /// Describes the process of `instance` that listens on these addresses.
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

    /// Returns the member's key in the store.
    #[must_use]
    pub fn key(&self) -> String {
        format!("{KEY_PREFIX}{}/{}", self.role.name(), self.name)
    }
}

/// What is known of one member.
#[derive(Clone, Debug, Serialize)]
pub struct MemberState {
    /// The member's description of itself.
    pub member: Member,
    /// Whether the store lists it.
    pub listed: bool,
    /// Whether its last heartbeat said that it is shutting down.
    pub leaving: bool,
    /// Whether it has responded to a heartbeat or sent one.
    pub met: bool,
    /// Number of heartbeats that failed in a row.
    pub misses: u32,
    /// Time of its last heartbeat; before the first, the time it was listed.
    pub heard: Duration,
    /// Cells that it owns by its last heartbeat.
    pub cells: Vec<Arc<str>>,
}

/// All known members.
#[derive(Clone, Debug, Default)]
pub struct Members {
    known: BTreeMap<(Role, Arc<str>), MemberState>,
}

impl Members {
    /// Applies the store's list of members.
    pub fn update_list(&mut self, members: &[Member], now: Duration) {
        for known in self.known.values_mut() {
            known.listed = false;
        }
        for member in members {
            let key = (member.role, member.name.clone());
            let new_state = MemberState {
                member: member.clone(),
                listed: true,
                leaving: false,
                met: false,
                misses: 0,
                heard: now,
                cells: Vec::new(),
            };
            let known = self.known.entry(key).or_insert_with(|| new_state.clone());
            if known.member == *member {
                known.listed = true;
            } else {
                *known = new_state;
            }
        }
        self.remove_expired(now);
    }

    fn remove_expired(&mut self, now: Duration) {
        self.known.retain(|_, known| {
            known.listed || (!known.leaving && now.saturating_sub(known.heard) < REMOVE_AFTER)
        });
    }

    /// Records a member's heartbeat; `None` means that a heartbeat to it failed.
    pub fn record_heartbeat(
        &mut self,
        role: Role,
        name: &str,
        heartbeat: Option<&Heartbeat>,
        now: Duration,
    ) {
        let Some(known) = self.known.get_mut(&(role, Arc::from(name))) else {
            return;
        };
        match heartbeat {
            Some(heartbeat) => {
                known.misses = 0;
                known.met = true;
                known.heard = now;
                known.leaving = heartbeat.leaving;
                known.cells.clone_from(&heartbeat.cells);
            }
            None => known.misses = known.misses.saturating_add(1),
        }
        self.remove_expired(now);
    }

    /// Returns the members to which `own` should send a heartbeat now. Of two members the
    /// first by role and name sends it, so that each pair exchanges one; the other sends
    /// one when it hears nothing, and either retries after a failure.
    #[must_use]
    pub fn heartbeats_due(&self, own: &Member, now: Duration) -> Vec<Member> {
        let own_key = (own.role, own.name.clone());
        let due = self.known.iter().filter(|(key, known)| {
            let silence = now.saturating_sub(known.heard);
            let limit = if own_key < **key {
                HEARTBEAT_INTERVAL
            } else {
                HEARTBEAT_OVERDUE
            };
            **key != own_key && (!known.met || known.misses > 0 || silence >= limit)
        });
        due.map(|(_, known)| known.member.clone()).collect()
    }

    /// Iterates over the known members, for heartbeats and the dump.
    pub fn iter(&self) -> impl Iterator<Item = &MemberState> {
        self.known.values()
    }

    /// Returns the names of the members of a role that can be given work.
    #[must_use]
    pub fn available(&self, role: Role) -> Vec<Arc<str>> {
        self.known
            .values()
            .filter(|known| {
                known.member.role == role && !known.leaving && known.misses < MAX_MISSES
            })
            .map(|known| known.member.name.clone())
            .collect()
    }

    /// Returns what is known of one member.
    #[must_use]
    pub fn get(&self, role: Role, name: &str) -> Option<&MemberState> {
        self.known.get(&(role, Arc::from(name)))
    }

    /// Returns the scheduler whose heartbeat claimed `cell` last.
    #[must_use]
    pub fn owner(&self, cell: &str) -> Option<&MemberState> {
        self.known
            .values()
            .filter(|known| known.cells.iter().any(|name| &**name == cell))
            .max_by_key(|known| known.heard)
    }
}
