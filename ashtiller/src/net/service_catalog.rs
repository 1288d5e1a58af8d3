//! The platform's service catalog: live and leaving instances, known with some delay.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::endpoint::Phase;
use crate::resources::Resources;
use crate::store::CallFuture;

/// One listed instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Instance {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Whether it is live or leaving.
    pub phase: Phase,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Rack.
    pub rack: Arc<str>,
    /// Requests that an endpoint serves concurrently; 0 for other instances.
    pub slots: u32,
    /// Capacity of a worker; zero for other instances.
    pub resources: Resources,
}

/// Instances of one service and the index from which to continue watching.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InstanceList {
    /// Instances listed for the service.
    pub instances: Vec<Instance>,
    /// Index to pass to the next [`ServiceCatalog::watch`].
    pub index: u64,
}

/// The platform's list of instances.
pub trait ServiceCatalog: Send + Sync {
    /// Waits until the instances of a service have changed since `index`, at most
    /// `wait`, and reads them; index 0 reads at once.
    fn watch<'a>(
        &'a self,
        service: &'a str,
        index: u64,
        wait: Duration,
    ) -> CallFuture<'a, InstanceList>;
}
