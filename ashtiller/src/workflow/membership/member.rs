//! Wire types of the membership: one entry instance, and updates to the list of members.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Age of the last contact with the store, in milliseconds, below which a member may own the log.
pub const MAX_STORE_AGE_MS: u32 = 1500;

/// One entry instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Unique name of the instance.
    pub name: Arc<str>,
    /// Address for requests of its peers.
    pub address: SocketAddr,
    /// Milliseconds since it last reached the store.
    pub store_age: u32,
    /// Latency of the store at that contact, in milliseconds.
    pub store_took: u32,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Processors in thousandths.
    pub processors: u64,
    /// Its availability zone.
    pub zone: Arc<str>,
}

impl Member {
    /// Returns whether it may own the log, as of its last heartbeat.
    #[must_use]
    pub fn is_eligible(&self) -> bool {
        !self.leaving && self.store_age < MAX_STORE_AGE_MS
    }
}

/// Version of a list of members: the epoch of the owner that made the change, and the number of
/// its changes.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Version {
    /// Epoch of the owner.
    pub epoch: u64,
    /// Number of changes by that owner.
    pub count: u64,
}

/// Update to the list of members that a follower holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MembershipUpdate {
    /// All members.
    All(Vec<Member>),
    /// Changes since the version that the follower holds.
    Changes {
        /// Members that are new or have changed.
        changed: Vec<Member>,
        /// Names of members that are gone.
        gone: Vec<Arc<str>>,
    },
}
