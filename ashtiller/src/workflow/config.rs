//! The configuration in force and the workers that the platform lists.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::resources::Resources;
use crate::workflow::incarnation::Incarnation;
use crate::workflow::job::Policy;
use crate::workflow::machines::Wave;

/// A queue of jobs, found by the host and path of a client's call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Queue {
    /// Host name that the client asked for.
    pub host: Arc<str>,
    /// How the path begins.
    pub prefix: Arc<str>,
    /// How its jobs are treated.
    pub policy: Policy,
}

/// Workers that share a queue's jobs.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Service {
    /// Whether its workers refuse what does not fit.
    pub guards: bool,
    /// Whether its workers are switched off until they are moved elsewhere.
    pub spare: bool,
}

/// A whole configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Config {
    /// Version; a higher one replaces a lower one.
    pub version: u64,
    /// Queues.
    pub queues: Vec<Queue>,
    /// Services by name.
    pub services: BTreeMap<Arc<str>, Service>,
    /// Largest body of a request in bytes.
    pub body_max: usize,
}

impl Config {
    /// The queue with the longest prefix that begins the path.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Queue> {
        self.queues
            .iter()
            .filter(|queue| *queue.host == *host && path.starts_with(&*queue.prefix))
            .max_by_key(|queue| queue.prefix.len())
    }

    /// The queue of this name, as [`Queue::name`] makes it.
    #[must_use]
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| *queue.name() == *name)
    }
}

impl Queue {
    /// Name of the queue: host and prefix.
    #[must_use]
    pub fn name(&self) -> Arc<str> {
        format!("{}{}", self.host, self.prefix).into()
    }
}

/// A worker's life as the platform lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedWorker {
    /// This life.
    pub incarnation: Incarnation,
    /// Machine that it is a life of, if the platform says.
    pub machine: Option<Arc<str>>,
    /// Service.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
    /// What it has.
    pub capacity: Resources,
    /// Its labels, its rack among them.
    pub labels: Arc<[Arc<str>]>,
    /// Whether it is about to leave.
    pub draining: bool,
    /// While it drains, the time that is left at least.
    pub remaining: Option<Duration>,
}

/// One of the operators' entries.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorEntry {
    /// The configuration.
    Config(Config),
    /// A wave of upkeep.
    Wave(Wave),
    /// Something that concerns nobody here.
    Other,
}

/// Decodes what the platform keeps in the store.
pub trait PlatformCodec: Send + Sync {
    /// Prefix of the workers' entries.
    fn worker_prefix(&self) -> &'static str;

    /// Decodes a worker's entry.
    ///
    /// # Errors
    /// What cannot be read in it.
    fn worker(&self, key: &str, value: &[u8]) -> anyhow::Result<ListedWorker>;

    /// Prefix of the operators' entries.
    fn operator_prefix(&self) -> &'static str;

    /// Decodes one of the operators' entries.
    ///
    /// # Errors
    /// What cannot be read in it.
    fn operated(&self, key: &str, value: &[u8]) -> anyhow::Result<OperatorEntry>;

    /// The availability zone that the operators' entry with this key evacuates, if any. It holds
    /// whatever its value is.
    fn evacuated(&self, key: &str) -> Option<Arc<str>>;

    /// Key and value by which operators are told whether a wave is over.
    fn wave_status(&self, number: u64, over: bool) -> (String, Bytes);
}
