//! The platform's machines, whose lives are workers.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::store::Called;

/// What a machine does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// It can run a worker.
    Up,
    /// It is on its way to another pool, has its upkeep, or is down.
    Away,
}

/// A machine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Machine {
    /// Name.
    pub name: Arc<str>,
    /// Service whose pool it is in.
    pub pool: Arc<str>,
    /// What it does.
    pub phase: Phase,
}

/// A planned upkeep of some machines.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Wave {
    /// Number.
    pub number: u64,
    /// Machines.
    pub machines: Vec<Arc<str>>,
    /// Time for all of them.
    pub duration: Duration,
    /// Machines that may be away at once.
    pub most: u32,
}

/// An order to a machine; all that runs there dies.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MachineOrder {
    /// Upkeep as part of this wave.
    Upkeep(u64),
    /// A move to this pool.
    Move(Arc<str>),
}

/// What became of an order to a machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Done {
    /// It is carried out, or was before.
    Yes,
    /// The machine is not up; later.
    Busy,
    /// A later holder has given it orders.
    Fenced,
    /// There is no such machine, or it does not take this order.
    Never,
}

/// Who gives orders: the instance and its fence.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Holder {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Fence.
    pub fence: u64,
}

/// Calls about machines.
pub trait Machines: Send + Sync {
    /// All machines.
    fn list(&self) -> Called<'_, Vec<Machine>>;

    /// Gives an order to a machine.
    fn order<'a>(
        &'a self,
        holder: &'a Holder,
        machine: &'a str,
        duty: &'a MachineOrder,
    ) -> Called<'a, Done>;
}
