//! Settings of an entry instance, read from an INI file.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use crate::document::Document;
use crate::ingress::ProcessResources;
use crate::mistake::Mistakes;
use crate::settings::{self, Instance};
use crate::workflow::agents::ORDER_TIMEOUT_MIN;
use crate::workflow::log::entry;
use crate::workflow::switches::Switches;
use crate::workflow::tuning::{LEASE_MAX, START_MAX, Tuning};

/// Sections of a settings file.
const SECTIONS: [&str; 5] = ["instance", "entry", "platform", "workers", "policy"];
/// Part of the memory that open jobs may take: one in this many.
const OPEN_JOBS_SHARE: u64 = 8;
/// Size limit of a value in the store, unless it is set, and its allowed range, in bytes.
const VALUE_MAX: u64 = 1 << 20;
const VALUE_MAX_RANGE: RangeInclusive<u64> = 16 << 10..=1 << 30;
const MILLISECOND: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
const MINUTE: Duration = Duration::from_mins(1);
const HOUR: Duration = Duration::from_hours(1);
/// Smallest allowed `drain`: the time for which workers continue after they were told to leave.
/// Half of it is used by the wait of a watch on workers; a start ordered afterwards has to arrive
/// within the other half.
const DRAIN_MIN: Duration = ORDER_TIMEOUT_MIN.saturating_mul(2);
/// Smallest allowed `evacuation`: the time within which an evacuated zone may get its last start. A
/// start may be in flight for [`START_MAX`]; the rest covers the age of the known evacuations.
const EVACUATION_MIN: Duration = START_MAX.saturating_add(Duration::from_millis(200));

/// Listeners of an entry instance, and the peers that it knows.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Listener for clients.
    pub clients: SocketAddr,
    /// Listener for readiness checks of the load balancer.
    pub readiness: SocketAddr,
    /// Listener for other entry instances.
    pub peers: SocketAddr,
    /// Listener for metrics and the state dump.
    pub operators: SocketAddr,
    /// Addresses of other entry instances that may be up.
    pub seeds: Vec<SocketAddr>,
    /// Processors of the instance, in thousandths; larger instances are preferred as owner.
    pub processors: u64,
    /// Time between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Memory and descriptors that the process may use; what the clients of a listener may hold
    /// follows from them.
    pub resources: ProcessResources,
}

/// Addresses of the platform's services.
#[derive(Clone, Debug, PartialEq)]
pub struct Platform {
    /// Key-value store.
    pub store: SocketAddr,
    /// Advisor on workers, if there is one.
    pub advisor: Option<SocketAddr>,
    /// Machine interface, if there is one.
    pub machines: Option<SocketAddr>,
}

/// Settings of one entry instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Identity and location of this process.
    pub instance: Instance,
    /// Listeners and peers.
    pub entry: Entry,
    /// Addresses of the platform's services.
    pub platform: Platform,
    /// Parameters of the log owner.
    pub tuning: Tuning,
}

impl Settings {
    /// Parses settings from the text of an INI file; `file` names it in error messages.
    ///
    /// # Errors
    /// Reports every mistake in the file at once.
    pub fn parse(file: &str, text: &str) -> Result<Self, Mistakes> {
        let mut document = Document::parse(file, text)?;
        let mut read = Self {
            instance: settings::read_instance(&mut document),
            entry: read_entry(&mut document),
            platform: read_platform(&mut document),
            tuning: read_tuning(&mut document),
        };
        document.finish(&SECTIONS)?;
        let memory = read.entry.resources.memory / OPEN_JOBS_SHARE;
        read.tuning.job_bytes = usize::try_from(memory).unwrap_or(usize::MAX);
        Ok(read)
    }
}

fn read_entry(document: &mut Document) -> Entry {
    let mut section = document.section("entry");
    let host = section.name("host", None);
    let ports: Vec<u16> = section
        .words("ports", "")
        .iter()
        .filter_map(|port| port.parse().ok())
        .collect();
    if ports.len() != 2 || ports[0] >= ports[1] {
        section.reject(
            "ports",
            "no range",
            "first and last port of a range, such as 7720,7735",
        );
    }
    let ip = host.parse();
    if ip.is_err() {
        section.reject("host", &host, "an IP number");
    }
    let ip = ip.unwrap_or_else(|_| std::net::IpAddr::from([127, 0, 0, 1]));
    let first = ports.first().copied().unwrap_or_default();
    let seeds = section.words("seeds", "");
    Entry {
        clients: section.address("clients", None),
        readiness: section.address("readiness", None),
        peers: SocketAddr::new(ip, first),
        operators: section.address("operators", Some(SocketAddr::from(([127, 0, 0, 1], 9464)))),
        seeds: seeds.iter().filter_map(|seed| seed.parse().ok()).collect(),
        processors: section.processors("processors", Some(1000)),
        grace: section.duration("grace", Some(6 * SECOND), SECOND..=10 * MINUTE),
        resources: settings::read_resources(&mut section),
    }
}

fn read_platform(document: &mut Document) -> Platform {
    let mut section = document.section("platform");
    let store = section.address("store", None);
    let optional = |words: Vec<Arc<str>>| words.first().and_then(|word| word.parse().ok());
    Platform {
        store,
        advisor: optional(section.words("advisor", "")),
        machines: optional(section.words("machines", "")),
    }
}

fn read_tuning(document: &mut Document) -> Tuning {
    let defaults = Tuning::default();
    let mut section = document.section("platform");
    let value_max = section.size("value_max", Some(VALUE_MAX), VALUE_MAX_RANGE);
    let value_max = usize::try_from(value_max).unwrap_or(usize::MAX);
    let mut section = document.section("workers");
    let max_lease = section.duration("lease", Some(defaults.hold), SECOND..=10 * MINUTE);
    Tuning {
        lease: max_lease.min(LEASE_MAX),
        hold: max_lease,
        horizon: section.duration("horizon", Some(defaults.horizon), SECOND..=HOUR),
        wait: section.duration("wait", Some(defaults.wait), 10 * MILLISECOND..=MINUTE),
        watch: section.duration("watch", Some(defaults.watch), 10 * MILLISECOND..=MINUTE),
        pause: section.duration("pause", Some(defaults.pause), MILLISECOND..=MINUTE),
        commit: section.duration("commit", Some(defaults.commit), MILLISECOND..=10 * SECOND),
        retry: section.duration("retry", Some(defaults.retry), MILLISECOND..=MINUTE),
        entry_bytes: entry::bytes_max(value_max),
        keep: section.duration("keep", Some(defaults.keep), SECOND..=24 * HOUR),
        far: f64::from(section.count("far_percent", Some(200), 100..=10_000)) / 100.0,
        drain: section.duration("drain", Some(defaults.drain), DRAIN_MIN..=MINUTE),
        evacuation: section.optional_duration("evacuation", EVACUATION_MIN..=MINUTE),
        turn: section.duration("turn", Some(defaults.turn), 10 * MILLISECOND..=HOUR),
        reserve_hold: section.duration(
            "reserve_hold",
            Some(defaults.reserve_hold),
            Duration::ZERO..=HOUR,
        ),
        switches: read_switches(document),
        ..defaults
    }
}

fn read_switches(document: &mut Document) -> Switches {
    let mut section = document.section("policy");
    let defaults = Switches::default();
    Switches {
        short_first: section.flag("short_first", Some(defaults.short_first)),
        room_in_time: section.flag("room_in_time", Some(defaults.room_in_time)),
        move_fills: section.flag("move_fills", Some(defaults.move_fills)),
        pace_fills: section.flag("pace_fills", Some(defaults.pace_fills)),
        group_images: section.flag("group_images", Some(defaults.group_images)),
        bound_fills: section.flag("bound_fills", Some(defaults.bound_fills)),
        keep_headroom: section.flag("keep_headroom", Some(defaults.keep_headroom)),
        follow_slopes: section.flag("follow_slopes", Some(defaults.follow_slopes)),
        select_workers: section.flag("select_workers", Some(defaults.select_workers)),
        capacity_reserve: section.flag("capacity_reserve", Some(defaults.capacity_reserve)),
        defragment: section.flag("defragment", Some(defaults.defragment)),
        admission_control: section.flag("admission_control", Some(defaults.admission_control)),
        fair_shares: section.flag("fair_shares", Some(defaults.fair_shares)),
        learned_run_times: section.flag("learned_run_times", Some(defaults.learned_run_times)),
    }
}
