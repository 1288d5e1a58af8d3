//! Active configuration, and the workers that the platform lists.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::ingress::RequestLimits;
use crate::resources::Resources;
use crate::workflow::incarnation::Incarnation;
use crate::workflow::job::Policy;
use crate::workflow::machines::Wave;

/// A queue of jobs, selected by the host and path of a client's request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Queue {
    /// Host name in the request.
    pub host: Arc<str>,
    /// Prefix of the path.
    pub prefix: Arc<str>,
    /// Policy for its jobs.
    pub policy: Policy,
}

/// Group of workers that run the jobs of some queues.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Service {
    /// Whether its workers refuse starts that exceed their capacity.
    pub guards: bool,
    /// Whether its workers are spares, switched off until they are moved to another service.
    pub spare: bool,
}

/// Limits for clients, as the configuration carries them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClientLimits {
    /// Version of the configuration.
    pub version: u64,
    /// Limits of heads and connections.
    pub requests: RequestLimits,
}

/// A complete configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Config {
    /// Version; a higher one replaces a lower one.
    pub version: u64,
    /// Queues of all hosts.
    pub queues: Vec<Queue>,
    /// Services by name.
    pub services: BTreeMap<Arc<str>, Service>,
    /// Largest size of a request body in bytes.
    pub body_max: usize,
}

impl Config {
    /// Returns the queue with the longest prefix that matches the path.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Queue> {
        self.queues
            .iter()
            .filter(|queue| *queue.host == *host && path.starts_with(&*queue.prefix))
            .max_by_key(|queue| queue.prefix.len())
    }

    /// Returns the queue with this name, in the form of [`Queue::name`].
    #[must_use]
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| *queue.name() == *name)
    }
}

impl Queue {
    /// Returns the name of the queue: host and prefix.
    #[must_use]
    pub fn name(&self) -> Arc<str> {
        format!("{}{}", self.host, self.prefix).into()
    }
}

/// A worker incarnation, as listed by the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedWorker {
    /// Incarnation that is listed.
    pub incarnation: Incarnation,
    /// Machine that it runs on, if the platform reports that.
    pub machine: Option<Arc<str>>,
    /// Service of the worker.
    pub service: Arc<str>,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Labels, including its rack.
    pub labels: Arc<[Arc<str>]>,
    /// Whether it is about to leave.
    pub draining: bool,
    /// While it drains, lower bound of the time that remains.
    pub remaining: Option<Duration>,
}

/// Decoded entry of an operator in the store.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorEntry {
    /// Configuration, with its limits for clients. Other instances get the configuration without
    /// these: each reads them from the store.
    Config(Config, ClientLimits),
    /// Maintenance wave.
    Wave(Wave),
    /// An entry that does not concern this process.
    Other,
}

/// Codec of the platform's entries in the store.
pub trait PlatformCodec: Send + Sync {
    /// Returns the key prefix of the workers' entries.
    fn worker_prefix(&self) -> &'static str;

    /// Decodes a worker's entry.
    ///
    /// # Errors
    /// Describes what cannot be decoded.
    fn worker(&self, key: &str, value: &[u8]) -> anyhow::Result<ListedWorker>;

    /// Returns the key prefix of the operators' entries.
    fn operator_prefix(&self) -> &'static str;

    /// Decodes an entry of an operator.
    ///
    /// # Errors
    /// Describes what cannot be decoded.
    fn operated(&self, key: &str, value: &[u8]) -> anyhow::Result<OperatorEntry>;

    /// Returns the availability zone that an operator's entry with this key evacuates, if any. The
    /// key alone counts, whatever the value is.
    fn evacuated(&self, key: &str) -> Option<Arc<str>>;

    /// Returns the key and value that tell operators whether a wave has ended.
    fn wave_status(&self, number: u64, over: bool) -> (String, Bytes);
}
