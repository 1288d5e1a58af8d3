//! A list of machines by machine and by worker, and what it proves about a worker.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use crate::workflow::machines::{MachineList, Process};

/// What proves that a worker's process has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Proof {
    /// Another worker runs on its machine.
    Replaced,
    /// Its machine does not exist any more.
    Gone,
    /// Its machine runs no worker. On some platforms the next one may have the same id.
    Down,
}

impl Proof {
    /// Returns the cause for logs.
    pub fn cause(self) -> &'static str {
        match self {
            Self::Replaced => "another worker runs on its machine",
            Self::Gone => "its machine is not listed any more",
            Self::Down => "its machine runs no worker",
        }
    }
}

/// A list by name of machine and by id of worker.
pub(super) struct MachineIndex<'a> {
    machines: HashMap<&'a str, &'a Process>,
    running: BTreeSet<&'a str>,
    /// Whether the worker of some machine is not told.
    has_unknown: bool,
}

impl<'a> MachineIndex<'a> {
    /// Indexes a list.
    pub fn new(list: &'a MachineList) -> Self {
        let mut index = Self {
            machines: HashMap::new(),
            running: BTreeSet::new(),
            has_unknown: false,
        };
        for machine in &list.machines {
            match &machine.process {
                Process::Running(id) => {
                    index.running.insert(id);
                }
                Process::Ended => {}
                Process::Unknown => index.has_unknown = true,
            }
            let known = index.machines.insert(&machine.name, &machine.process);
            if known.is_some_and(|known| *known != machine.process) {
                // The machine changed while the pages were read.
                index.machines.insert(&machine.name, &Process::Unknown);
                index.has_unknown = true;
            }
        }
        index
    }

    /// Returns what the list proves of the worker with this id, if its machine is listed.
    pub fn find_proof(&self, id: &str, machine: &str) -> Option<Proof> {
        if self.has_worker(id) {
            return None;
        }
        match self.machines.get(machine)? {
            Process::Running(_) => Some(Proof::Replaced),
            Process::Ended => Some(Proof::Down),
            Process::Unknown => None,
        }
    }

    /// Returns whether the list names a machine.
    pub fn has_machine(&self, name: &str) -> bool {
        self.machines.contains_key(name)
    }

    /// Returns whether the list names a worker.
    pub fn has_worker(&self, id: &str) -> bool {
        self.running.contains(id)
    }

    /// Returns whether no machine of the list may be the one that runs the worker with this id.
    pub fn is_absent(&self, id: &str, machine: Option<&Arc<str>>) -> bool {
        let elsewhere = machine.map_or(!self.has_unknown, |name| !self.has_machine(name));
        elsewhere && !self.has_worker(id)
    }
}
