//! The platform's lagging list of live and leaving instances.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::endpoint::Phase;
use crate::resources::Resources;
use crate::store::CallFuture;

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

/// Instances of one service, and the position from which to watch on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InstanceList {
    /// Instances as last listed.
    pub instances: Vec<Instance>,
    /// Position to pass to the next [`Roster::watch`].
    pub index: u64,
}

/// The list of instances.
pub trait ServiceCatalog: Send + Sync {
    /// Waits until the instances of a service differ from position `index`, at most
    /// `wait`, and reads them; position 0 reads at once.
    fn watch<'a>(
        &'a self,
        service: &'a str,
        index: u64,
        wait: Duration,
    ) -> CallFuture<'a, InstanceList>;
}
