//! The platform's list of machines: read in pages, late, in part told, or not at all.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use ashtiller::failure::Failure;
use ashtiller::workflow::machines::{Machine, MachineList, Process};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::{Event, MS, Simulation};

/// Machines in one page.
const PAGE_SIZE: usize = 3;
/// Timeout of a request.
const TIMEOUT: Duration = Duration::from_millis(1500);

/// A list that is being read. Tokens of pages are positions, so that a machine that is removed
/// meanwhile shifts those after it.
#[derive(Default)]
pub struct Reading {
    list: MachineList,
    position: usize,
}

/// The machines that exist, and the faults of their interface.
pub struct Machines {
    /// Independent of all other draws.
    rng: Pcg64,
    names: BTreeSet<Arc<str>>,
}

impl Machines {
    pub fn new(seed: u64) -> Self {
        Self {
            rng: Pcg64::seed_from_u64(seed ^ 0x6d61_6368_696e_6573),
            names: BTreeSet::new(),
        }
    }

    pub fn add(&mut self, name: &Arc<str>) {
        self.names.insert(name.clone());
    }

    pub fn remove(&mut self, name: &Arc<str>) {
        self.names.remove(name);
    }

    /// Loses a machine, which is removed or stays down.
    pub fn lose(&mut self, name: &Arc<str>) {
        if self.chance(70) {
            self.remove(name);
        }
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn millis(&mut self, from: u32, to: u32) -> Duration {
        MS * self.rng.random_range(from..=to)
    }

    /// Returns the delay of one message, which is long at times.
    fn delay(&mut self) -> Duration {
        if self.chance(10) {
            self.millis(200, 6000)
        } else {
            self.millis(1, 30)
        }
    }
}

impl Simulation {
    /// Lets an owner ask for the list of machines.
    pub fn ask_for_machines(&mut self, owner: usize) {
        if self.platform.chance(10) {
            let failure = Failure::unknown_effect("list machines", "platform", "no answer in time");
            self.schedule(TIMEOUT, Event::MachinesListed(owner, Err(failure)));
        } else {
            let delay = self.platform.delay();
            self.schedule(delay, Event::MachinePage(owner, Reading::default()));
        }
    }

    /// Reads a page of the list, and then the next one or sends the answer.
    pub fn read_machine_page(&mut self, owner: usize, mut reading: Reading) {
        let names = self.platform.names.iter().skip(reading.position);
        let names: Vec<Arc<str>> = names.take(PAGE_SIZE).cloned().collect();
        for name in &names {
            let process = self.process_on(name);
            reading.list.machines.push(Machine {
                name: name.clone(),
                process,
            });
        }
        reading.position += names.len();
        let delay = self.platform.delay();
        if reading.position < self.platform.names.len() {
            reading.list.paged = true;
            self.schedule(delay, Event::MachinePage(owner, reading));
        } else {
            self.schedule(delay, Event::MachinesListed(owner, Ok(reading.list)));
        }
    }

    /// Returns what the platform says of the process on a machine.
    fn process_on(&mut self, machine: &Arc<str>) -> Process {
        let mut workers = self.workers.keys();
        let worker = workers.find(|id| self.machines.get(*id) == Some(machine));
        let worker = worker.cloned();
        if self.platform.chance(10) {
            return Process::Unknown;
        }
        worker.map_or(Process::Ended, Process::Running)
    }
}
