//! Index of worker incarnations by machine and address. A new catalog entry is compared only
//! with the incarnations of its own worker, machine and address: comparing it with all others took
//! 0.8 s of a processor for 3,000 entries, during which a new owner answered no heartbeats.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::workflow::config::ListedWorker;
use crate::workflow::incarnation::Incarnation;

/// Worker incarnations by machine and by address. Entries of a worker change, so an incarnation
/// found here may have moved since.
#[derive(Debug, Default)]
pub(super) struct LocationIndex {
    machines: HashMap<Arc<str>, Vec<Incarnation>>,
    addresses: HashMap<SocketAddr, Vec<Incarnation>>,
}

impl LocationIndex {
    /// Adds an incarnation at the machine and address of its entry.
    pub fn insert(&mut self, listed: &ListedWorker) {
        if let Some(machine) = &listed.machine {
            insert_unique(
                self.machines.entry(machine.clone()).or_default(),
                &listed.incarnation,
            );
        }
        insert_unique(
            self.addresses.entry(listed.address).or_default(),
            &listed.incarnation,
        );
    }

    /// Removes an incarnation from the machine and address of its entry.
    pub fn remove(&mut self, listed: &ListedWorker) {
        if let Some(machine) = &listed.machine
            && let Some(incarnations) = self.machines.get_mut(machine)
        {
            incarnations.retain(|incarnation| *incarnation != listed.incarnation);
            if incarnations.is_empty() {
                self.machines.remove(machine);
            }
        }
        if let Some(incarnations) = self.addresses.get_mut(&listed.address) {
            incarnations.retain(|incarnation| *incarnation != listed.incarnation);
            if incarnations.is_empty() {
                self.addresses.remove(&listed.address);
            }
        }
    }

    /// Returns the incarnations seen on the machine or at the address of an entry.
    pub fn find(&self, listed: &ListedWorker) -> impl Iterator<Item = &Incarnation> {
        let machine = listed.machine.as_ref();
        let machine = machine.and_then(|machine| self.machines.get(machine));
        let address = self.addresses.get(&listed.address);
        machine.into_iter().chain(address).flatten()
    }
}

fn insert_unique(incarnations: &mut Vec<Incarnation>, incarnation: &Incarnation) {
    if !incarnations.contains(incarnation) {
        incarnations.push(incarnation.clone());
    }
}
