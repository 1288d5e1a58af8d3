//! The platform's lagging list of live and leaving instances.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::endpoint::Phase;
use crate::resources::Resources;
use crate::store::Called;

/// One listed instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Instance {
    /// Name.
    pub name: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub phase: Phase,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Rack.
    pub rack: Arc<str>,
    /// Requests that an endpoint runs at a time; 0 for other instances.
    pub slots: u32,
    /// What a worker has; nothing for other instances.
    pub resources: Resources,
}

/// The list of instances.
pub trait Roster: Send + Sync {
    /// Instances of one service as last listed.
    fn instances<'a>(&'a self, service: &'a str) -> Called<'a, Vec<Instance>>;
}
