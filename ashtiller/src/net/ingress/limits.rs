//! Limits of one request, and what a process may use for all of them.

use std::fs;
use std::time::Duration;

use nix::sys::resource::{self, Resource};

/// Memory that one connection may take: buffers for reading and writing, the allotment, and what the
/// kernel keeps of unread bytes.
const CONNECTION_BYTES: u64 = 64 << 10;
/// Part of the memory that connections may take: one in this many.
const CONNECTION_MEMORY_SHARE: u64 = 4;
/// Part of the memory that the budget of bytes may take: one in this many.
const BUDGET_MEMORY_SHARE: u64 = 16;
/// Part of the descriptors that clients may take, one in this many; the others are for the store, workers, peers and
/// operators.
const CLIENT_DESCRIPTOR_SHARE: u64 = 3;
/// Part of the descriptors that a port for a few trusted clients may take: one in this many.
const SIDE_DESCRIPTOR_SHARE: u64 = 16;
/// Most connections to a port for a few trusted clients.
const SIDE_CONNECTIONS_MAX: u64 = 64;
/// Budget of bytes of a port for a few trusted clients.
const SIDE_BYTES: usize = 256 << 10;
/// Memory that is assumed if the system does not tell.
const DEFAULT_MEMORY: u64 = 512 << 20;
/// Descriptors that are assumed if the system does not tell.
const DEFAULT_DESCRIPTORS: u64 = 1024;
/// Files with the memory limit of the process's control group.
const GROUP_LIMITS: [&str; 2] = [
    "/sys/fs/cgroup/memory.max",
    "/sys/fs/cgroup/memory/memory.limit_in_bytes",
];

/// Limits of one request, and of a connection without one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestLimits {
    /// Largest head in bytes, with the empty lines before it.
    pub head_bytes: usize,
    /// Time from the first byte of a head to its end.
    pub head_timeout: Duration,
    /// Time that a connection may be idle between requests, and that a response may wait for its client.
    pub idle_timeout: Duration,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            head_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// What all clients of a listener may hold together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Capacity {
    /// Open connections.
    pub connections: usize,
    /// Bytes of unfinished and undecided requests, beyond the allotment of each connection.
    pub bytes: usize,
}

impl Capacity {
    /// Returns the capacity of a port that only a few trusted clients use.
    #[must_use]
    pub fn side(resources: &ProcessResources) -> Self {
        let connections = resources.descriptors / SIDE_DESCRIPTOR_SHARE;
        Self {
            connections: size(connections.clamp(1, SIDE_CONNECTIONS_MAX)),
            bytes: SIDE_BYTES,
        }
    }
}

/// Memory and descriptors that the process may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProcessResources {
    /// Memory in bytes.
    pub memory: u64,
    /// Open descriptors.
    pub descriptors: u64,
}

impl ProcessResources {
    /// Returns what the system lets this process use; given values replace what it tells.
    #[must_use]
    pub fn detect(memory: Option<u64>, descriptors: Option<u64>) -> Self {
        Self {
            memory: memory.unwrap_or_else(available_memory),
            descriptors: descriptors.unwrap_or_else(|| {
                soft_limit(Resource::RLIMIT_NOFILE).unwrap_or(DEFAULT_DESCRIPTORS)
            }),
        }
    }

    /// Returns the capacity of the listener for clients.
    #[must_use]
    pub fn client_capacity(&self) -> Capacity {
        let by_memory = self.memory / CONNECTION_MEMORY_SHARE / CONNECTION_BYTES;
        let by_descriptors = self.descriptors / CLIENT_DESCRIPTOR_SHARE;
        Capacity {
            connections: size(by_memory.min(by_descriptors).max(1)),
            bytes: size(self.memory / BUDGET_MEMORY_SHARE),
        }
    }
}

fn size(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}

fn available_memory() -> u64 {
    let group = GROUP_LIMITS.iter().filter_map(|path| {
        let text = fs::read_to_string(path).ok()?;
        text.trim().parse().ok()
    });
    let own = [Resource::RLIMIT_AS, Resource::RLIMIT_DATA].into_iter();
    let own = own.filter_map(soft_limit);
    let all = group.chain(own).chain(machine_memory());
    all.min().unwrap_or(DEFAULT_MEMORY)
}

/// Returns the memory of the machine.
fn machine_memory() -> Option<u64> {
    let info = nix::sys::sysinfo::sysinfo().ok()?;
    Some(info.ram_total()).filter(|total| *total > 0)
}

/// Returns a limit of the process, unless it is unlimited or unknown.
fn soft_limit(resource: Resource) -> Option<u64> {
    let (soft, _) = resource::getrlimit(resource).ok()?;
    (soft != resource::RLIM_INFINITY).then_some(soft)
}
