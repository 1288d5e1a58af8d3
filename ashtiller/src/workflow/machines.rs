//! Interface to the platform's machines, on which workers run.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::store::CallFuture;

/// What the platform says of the worker process on a machine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Process {
    /// The worker with this id.
    Running(Arc<str>),
    /// None: the machine is down.
    Ended,
    /// Nothing certain.
    Unknown,
}

/// A machine of the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Machine {
    /// Name of the machine.
    pub name: Arc<str>,
    /// Worker process on it.
    pub process: Process,
}

/// All machines of the platform.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct MachineList {
    /// The machines.
    pub machines: Vec<Machine>,
    /// Whether they were read in several pages, between which machines may have come and gone.
    pub paged: bool,
}

/// A planned maintenance of several machines.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Wave {
    /// Number of the wave.
    pub number: u64,
    /// Names of the machines.
    pub machines: Vec<Arc<str>>,
    /// Time allowed for all of them.
    pub duration: Duration,
    /// Largest number of machines that may be unavailable at once.
    pub most: u32,
}

/// An order to a machine; it ends everything that runs there.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MachineOrder {
    /// Maintenance as part of this wave.
    Upkeep(u64),
    /// Move to this pool.
    Move(Arc<str>),
}

/// Reply to an order to a machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Done {
    /// The order is carried out, or was before.
    Yes,
    /// The machine is not up; the order may be retried later.
    Busy,
    /// A holder with a higher fencing token has given the machine orders.
    Fenced,
    /// There is no such machine, or it does not accept this order.
    Never,
}

/// Issuer of orders, identified by instance and fencing token.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Holder {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Fencing token.
    pub fence: u64,
}

/// Client of the platform's machine interface.
pub trait Machines: Send + Sync {
    /// Lists all machines, as of some time after the call.
    fn list(&self) -> CallFuture<'_, MachineList>;

    /// Sends an order to a machine.
    fn order<'a>(
        &'a self,
        holder: &'a Holder,
        machine: &'a str,
        duty: &'a MachineOrder,
    ) -> CallFuture<'a, Done>;
}
