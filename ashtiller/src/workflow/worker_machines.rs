//! Machines of workers, as the log tells them to later owners.
//!
//! The entry of a worker that crashes goes within seconds, and with it the name of its machine. An owner
//! that takes over after that needs the name to tell from the platform's list of machines whether the
//! worker can run again.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Workers that are kept; each takes some 25 bytes of a snapshot.
const WORKERS_MAX: usize = 4096;

/// Name of the machine of each worker on which a run was placed, by the worker's id. The workers that
/// were recorded first are dropped first.
#[derive(Clone, Debug, Default)]
pub struct WorkerMachines {
    machines: BTreeMap<Arc<str>, Arc<str>>,
    /// Ids in the order in which they were recorded.
    order: VecDeque<Arc<str>>,
}

impl WorkerMachines {
    /// Reports whether nothing is recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.machines.is_empty()
    }

    /// Records the machine of a worker.
    pub fn add(&mut self, worker: &Arc<str>, machine: &Arc<str>) {
        let known = self.machines.insert(worker.clone(), machine.clone());
        if known.is_some() {
            return;
        }
        self.order.push_back(worker.clone());
        if self.order.len() > WORKERS_MAX
            && let Some(oldest) = self.order.pop_front()
        {
            self.machines.remove(&oldest);
        }
    }

    /// Returns the machine of a worker.
    #[must_use]
    pub fn get(&self, worker: &str) -> Option<&Arc<str>> {
        self.machines.get(worker)
    }

    /// Encodes the workers and their machines in the order in which they were recorded.
    ///
    /// # Errors
    /// Fails if a value cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        let pairs = self.order.iter();
        let pairs = pairs.filter_map(|worker| self.machines.get_key_value(worker));
        let pairs: Vec<(&Arc<str>, &Arc<str>)> = pairs.collect();
        postcard::to_stdvec(&pairs)
    }

    /// Decodes what [`Self::encode`] returned.
    ///
    /// # Errors
    /// Fails if the bytes are no such value.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let pairs: Vec<(Arc<str>, Arc<str>)> = postcard::from_bytes(bytes)?;
        let mut machines = Self::default();
        for (worker, machine) in &pairs {
            machines.add(worker, machine);
        }
        Ok(machines)
    }
}
