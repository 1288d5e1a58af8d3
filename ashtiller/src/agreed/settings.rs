//! The settings of one instance, read from an INI file.
//!
//! Both roles read the same file, so an instance needs only one. Every time and size
//! has a unit. `docs/OPERATORS.md` lists each key with its default and range.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::balance;
use crate::document::{Document, Section};
use crate::ingress::ProcessResources;
use crate::mistake::Mistakes;

/// Sections of a settings file.
const SECTIONS: [&str; 4] = ["instance", "platform", "gateway", "scheduler"];
const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
const MINUTE: Duration = Duration::from_mins(1);
const HOUR: Duration = Duration::from_hours(1);
const MIB: u64 = 1 << 20;

/// Identity and location of the instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Instance {
    /// Name, unique among the entry instances.
    pub name: Arc<str>,
    /// Region.
    pub region: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
}

/// Access to the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct Platform {
    /// Address of the key-value store.
    pub store: SocketAddr,
    /// Timeout of one call.
    pub timeout: Duration,
    /// Time to live of this process's lease in the key-value store.
    pub lease: Duration,
    /// Interval between checks for changed services and cells; also the delay before a
    /// failed read of the list of instances is retried.
    pub refresh_interval: Duration,
    /// Service in the platform's catalog whose instances are the workers.
    pub workers: Arc<str>,
}

/// Settings of the gateway role.
#[derive(Clone, Debug, PartialEq)]
pub struct Gateway {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Address for the other gateways and schedulers.
    pub peers: SocketAddr,
    /// Load-balancing policy that chooses endpoints.
    pub routing: balance::Kind,
    /// Largest number of connections to one endpoint.
    pub connections_per_endpoint: u32,
    /// Largest number of connections from callers; memory and descriptors may allow fewer.
    pub max_callers: u32,
    /// Memory and descriptors that the process may use; what callers may hold follows from them.
    pub resources: ProcessResources,
    /// Largest request body.
    pub max_body_bytes: u64,
    /// Largest head of a request or a response.
    pub max_head_bytes: u64,
    /// Largest body that is kept for a retry.
    pub max_replay_bytes: u64,
    /// Timeout of connecting to an endpoint.
    pub connect_timeout: Duration,
    /// An idle connection to an endpoint is closed after this time.
    pub idle_timeout: Duration,
    /// Time for which the load balancer may still send requests after a planned shutdown
    /// has begun.
    pub drain_timeout: Duration,
    /// Retries allowed as a share of first attempts.
    pub retry_share: f64,
    /// Largest share of a service's endpoints that may be ejected.
    pub max_ejected_share: f64,
    /// Largest number of groups of idempotency keys written each second.
    pub claims_per_second: u32,
}

/// Settings of the scheduler role.
#[derive(Clone, Debug, PartialEq)]
pub struct Scheduler {
    /// Address for operators.
    pub operators: SocketAddr,
    /// Address for the other gateways and schedulers.
    pub peers: SocketAddr,
    /// Lease granted to a worker.
    pub lease: Duration,
    /// How long workers' leases are renewed after the cell's ownership was last confirmed.
    pub lease_horizon: Duration,
    /// Allowance for clock drift over a lease.
    pub clock_margin: Duration,
    /// How often a worker's lease is renewed.
    pub renew_interval: Duration,
    /// Shortest time between two writes to a cell's log.
    pub commit_interval: Duration,
    /// Log entries after which a snapshot is written and the log truncated.
    pub snapshot_entries: u32,
}

/// Settings of one instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Section `[instance]`.
    pub instance: Instance,
    /// Section `[platform]`.
    pub platform: Platform,
    /// Section `[gateway]`.
    pub gateway: Gateway,
    /// Section `[scheduler]`.
    pub scheduler: Scheduler,
}

impl Settings {
    /// Parses settings from the text of an INI file; `file` is the name that mistakes show.
    ///
    /// # Errors
    /// Returns every mistake in the file.
    ///
    /// ```
    /// let text = "[instance]\nname = entry-1\navailability_zone = bern\n\
    ///     [platform]\nstore = 127.0.0.1:8500\n";
    /// let settings = ashtiller::settings::Settings::parse("entry.ini", text)?;
    /// assert_eq!(&*settings.instance.zone, "bern");
    /// # Ok::<(), ashtiller::mistake::Mistakes>(())
    /// ```
    pub fn parse(file: &str, text: &str) -> Result<Self, Mistakes> {
        let mut document = Document::parse(file, text)?;
        let settings = Self {
            instance: read_instance(&mut document),
            platform: read_platform(&mut document),
            gateway: read_gateway(&mut document),
            scheduler: read_scheduler(&mut document),
        };
        check_lease(&mut document, &settings.scheduler);
        document.finish(&SECTIONS)?;
        Ok(settings)
    }
}

/// Reads the section `[instance]`, which settings of every kind have.
pub(crate) fn read_instance(document: &mut Document) -> Instance {
    let mut section = document.section("instance");
    Instance {
        name: section.name("name", None),
        region: section.name("region", Some("default")),
        zone: section.name("availability_zone", None),
    }
}

fn read_platform(document: &mut Document) -> Platform {
    let mut section = document.section("platform");
    Platform {
        store: section.address("store", None),
        timeout: section.duration("timeout", Some(2 * SECOND), 10 * MS..=MINUTE),
        lease: section.duration("lease", Some(15 * SECOND), SECOND..=HOUR),
        refresh_interval: section.duration("refresh", Some(SECOND), 50 * MS..=MINUTE),
        workers: section.name("workers", Some("workers")),
    }
}

fn read_gateway(document: &mut Document) -> Gateway {
    let mut section = document.section("gateway");
    Gateway {
        callers: section.address("callers", Some(loopback(8080))),
        operators: section.address("operators", Some(loopback(8081))),
        peers: section.address("peers", Some(loopback(8082))),
        routing: section
            .choice("routing", Some(balance::Kind::Dealt), &balance::KINDS)
            .unwrap_or(balance::Kind::Dealt),
        connections_per_endpoint: section.count("connections", Some(6), 1..=1000),
        max_callers: section.count("callers_max", Some(4096), 1..=1_000_000),
        resources: read_resources(&mut section),
        max_body_bytes: section.size("body", Some(16 * MIB), 1..=1024 * MIB),
        max_head_bytes: section.size("head", Some(32 << 10), 8 << 10..=MIB),
        max_replay_bytes: section.size("replay", Some(64 << 10), 0..=16 * MIB),
        connect_timeout: section.duration("connect", Some(250 * MS), MS..=MINUTE),
        idle_timeout: section.duration("idle", Some(30 * SECOND), 10 * MS..=HOUR),
        drain_timeout: section.duration("drain", Some(5 * SECOND), Duration::ZERO..=10 * MINUTE),
        retry_share: section.share("retries", Some(0.1)),
        max_ejected_share: section.share("ejected", Some(0.3)),
        claims_per_second: section.count("claims", Some(10), 1..=1000),
    }
}

/// Reads what the process may use; what is missing is asked of the system.
pub(crate) fn read_resources(section: &mut Section<'_>) -> ProcessResources {
    let memory = section.optional_size("memory", 16 * MIB..=MIB * MIB);
    let descriptors = section.optional_count("descriptors", 64..=10_000_000);
    ProcessResources::detect(memory, descriptors.map(u64::from))
}

fn read_scheduler(document: &mut Document) -> Scheduler {
    let mut section = document.section("scheduler");
    Scheduler {
        operators: section.address("operators", Some(loopback(8091))),
        peers: section.address("peers", Some(loopback(8092))),
        lease: section.duration("lease", Some(12 * SECOND), 100 * MS..=10 * MINUTE),
        lease_horizon: section.duration("horizon", Some(45 * MINUTE), Duration::ZERO..=24 * HOUR),
        clock_margin: section.duration("margin", Some(SECOND), MS..=MINUTE),
        renew_interval: section.duration("renew", Some(3 * SECOND), 20 * MS..=5 * MINUTE),
        commit_interval: section.duration("commit", Some(150 * MS), MS..=10 * SECOND),
        snapshot_entries: section.count("snapshot", Some(512), 1..=100_000),
    }
}

fn check_lease(document: &mut Document, scheduler: &Scheduler) {
    if scheduler.renew_interval * 3 > scheduler.lease {
        let found = "less than three renewals (`renew`) within a lease";
        document.add_mistake("scheduler", "lease", found, "at least three times `renew`");
    }
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}
