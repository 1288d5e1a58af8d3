//! Where lives of workers were seen: a new entry is compared with those of its own worker,
//! machine and address. With all others, 3,000 entries took 0.8 s of a whole processor, in
//! which a new owner answered no heartbeat.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::workflow::config::ListedWorker;
use crate::workflow::incarnation::Incarnation;

/// Lives by machine and by address. Entries of a worker change, so one that is found here may
/// be elsewhere by now.
#[derive(Debug, Default)]
pub(super) struct LocationIndex {
    machines: HashMap<Arc<str>, Vec<Incarnation>>,
    addresses: HashMap<SocketAddr, Vec<Incarnation>>,
}

impl LocationIndex {
    /// A life is where its entry says.
    pub fn note(&mut self, listed: &ListedWorker) {
        if let Some(machine) = &listed.machine {
            insert(
                self.machines.entry(machine.clone()).or_default(),
                &listed.incarnation,
            );
        }
        insert(
            self.addresses.entry(listed.address).or_default(),
            &listed.incarnation,
        );
    }

    /// A life is not there any more.
    pub fn forget(&mut self, listed: &ListedWorker) {
        if let Some(machine) = &listed.machine
            && let Some(lives) = self.machines.get_mut(machine)
        {
            lives.retain(|life| *life != listed.incarnation);
            if lives.is_empty() {
                self.machines.remove(machine);
            }
        }
        if let Some(lives) = self.addresses.get_mut(&listed.address) {
            lives.retain(|life| *life != listed.incarnation);
            if lives.is_empty() {
                self.addresses.remove(&listed.address);
            }
        }
    }

    /// Lives that were seen on the machine or at the address of an entry.
    pub fn find(&self, listed: &ListedWorker) -> impl Iterator<Item = &Incarnation> {
        let machine = listed.machine.as_ref();
        let machine = machine.and_then(|machine| self.machines.get(machine));
        let address = self.addresses.get(&listed.address);
        machine.into_iter().chain(address).flatten()
    }
}

fn insert(lives: &mut Vec<Incarnation>, life: &Incarnation) {
    if !lives.contains(life) {
        lives.push(life.clone());
    }
}
