//! One entry instance, and news of several, as they go over the network.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Age of the last contact with the store, in milliseconds, up to which a member may get the
/// log.
pub const MAX_STORE_AGE_MS: u32 = 1500;

/// One entry instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Name.
    pub name: Arc<str>,
    /// Where its peers reach it.
    pub address: SocketAddr,
    /// Milliseconds since it last reached the store.
    pub store_age: u32,
    /// Milliseconds that the store took to answer then.
    pub store_took: u32,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Processors that it has, in thousandths.
    pub processors: u64,
    /// Its availability zone.
    pub zone: Arc<str>,
}

impl Member {
    /// Whether it could own the log, as far as is known.
    #[must_use]
    pub fn is_eligible(&self) -> bool {
        !self.leaving && self.store_age < MAX_STORE_AGE_MS
    }
}

/// Number of a change to a list of members: the epoch of the owner that made it, and its count.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Version {
    /// Epoch of the owner.
    pub epoch: u64,
    /// Changes by that owner.
    pub count: u64,
}

/// What a member does not know yet of the others.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MembershipUpdate {
    /// All members.
    All(Vec<Member>),
    /// What has changed since the version that it knows.
    Changes {
        /// Members that are new or have changed.
        changed: Vec<Member>,
        /// Names of those that are gone.
        gone: Vec<Arc<str>>,
    },
}
