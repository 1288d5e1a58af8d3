//! A client account's template: its services, jobs and quota, written by operators.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::document::{self, Document};
use crate::mistake::Mistakes;
use crate::resources::Resources;

/// Sections of a template.
const SECTIONS: [&str; 3] = ["account", "service NAME", "job NAME"];
const SECOND: Duration = Duration::from_secs(1);
const HOUR: Duration = Duration::from_hours(1);
const DAY: Duration = Duration::from_hours(24);
/// Largest memory that a template may name, in bytes (1 PiB).
const MAX_MEMORY_BYTES: u64 = 1 << 50;

/// Scheduling class of requests and tasks.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Work whose latency matters, as a user waits for it.
    LatencyCritical,
    /// Best-effort work that uses the remaining capacity.
    Batch,
}

/// Names of the classes in templates.
pub const CLASSES: [(&str, Class); 2] = [
    ("latency-critical", Class::LatencyCritical),
    ("batch", Class::Batch),
];

/// A service that the account may call.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Class of its requests.
    pub class: Class,
    /// Latency target of the service.
    pub latency_target: Duration,
    /// Timeout of a request that sets none.
    pub timeout: Duration,
    /// HTTP methods whose requests may be sent again.
    pub repeatable_methods: Vec<Arc<str>>,
    /// Largest number of requests in flight in one gateway.
    pub max_in_flight: u32,
    /// Largest number of requests queued in one gateway.
    pub max_queued: u32,
}

impl Service {
    /// Returns whether a request with this method may run twice.
    #[must_use]
    pub fn may_repeat(&self, method: &str) -> bool {
        self.repeatable_methods.iter().any(|name| &**name == method)
    }
}

/// A job that the account may submit.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Class of its tasks.
    pub class: Class,
    /// Resources that one task needs.
    pub resources: Resources,
    /// Number of tasks.
    pub tasks: u32,
    /// Declared run time of one task; `None` runs until it is cancelled.
    pub run_time: Option<Duration>,
    /// Latency target of its tasks, if they serve requests.
    pub latency_target: Option<Duration>,
    /// Whether its tasks start before all others.
    pub urgent: bool,
    /// Failed attempts after which a task is not retried.
    pub max_attempts: u32,
}

/// Everything that operators set for one client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Template {
    /// Client account.
    pub account: Arc<str>,
    /// Largest total of resources that its running tasks may hold.
    pub quota: Resources,
    /// Evictions of its tasks allowed in one hour.
    pub evictions_per_hour: u32,
    /// Services by name.
    pub services: BTreeMap<Arc<str>, Service>,
    /// Jobs by name.
    pub jobs: BTreeMap<Arc<str>, Job>,
}

impl Template {
    /// Parses a template from the text of an INI file; `file` is the name that mistakes show.
    ///
    /// # Errors
    /// Returns every mistake in the file.
    pub fn parse(file: &str, text: &str) -> Result<Self, Mistakes> {
        let mut document = Document::parse(file, text)?;
        let mut section = document.section("account");
        let account = section.name("name", None);
        let evictions = section.count("evictions", Some(60), 0..=100_000);
        let quota = Resources {
            processors: section.processors("processors", Some(1_000_000_000)),
            memory: section.size("memory", Some(MAX_MEMORY_BYTES), 0..=MAX_MEMORY_BYTES),
            accelerators: section.count("accelerators", Some(0), 0..=1_000_000),
        };
        let services = read_services(&mut document);
        let jobs = read_jobs(&mut document, &quota);
        document.finish(&SECTIONS)?;
        Ok(Self {
            account,
            quota,
            evictions_per_hour: evictions,
            services,
            jobs,
        })
    }
}

fn read_names(document: &mut Document, kind: &str) -> Vec<(Arc<str>, String)> {
    let mut names = Vec::new();
    for name in document.names_of(kind) {
        let section = format!("{kind} {name}");
        if !document::is_valid_name(&name) {
            let allowed = "1 to 63 letters, digits, `-`, `_` or `.`";
            document.add_mistake(&section, "", &format!("the name `{name}`"), allowed);
        }
        names.push((Arc::from(name), section));
    }
    names
}

fn read_services(document: &mut Document) -> BTreeMap<Arc<str>, Service> {
    let mut services = BTreeMap::new();
    for (name, title) in read_names(document, "service") {
        let mut section = document.section(&title);
        let class = section
            .choice("class", None, &CLASSES)
            .unwrap_or(Class::Batch);
        let timeout = section.duration("timeout", Some(10 * SECOND), SECOND / 100..=HOUR);
        let service = Service {
            class,
            latency_target: section.duration("target", Some(timeout), SECOND / 1000..=HOUR),
            timeout,
            repeatable_methods: section.words("repeat", "GET, HEAD, OPTIONS"),
            max_in_flight: section.count("limit", Some(1024), 1..=1_000_000),
            max_queued: section.count("queue", Some(256), 0..=1_000_000),
        };
        for method in &service.repeatable_methods {
            let known = ["GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"];
            if !known.contains(&&**method) {
                section.reject("repeat", &format!("`{method}`"), &known.join(", "));
            }
        }
        services.insert(name, service);
    }
    services
}

fn read_jobs(document: &mut Document, quota: &Resources) -> BTreeMap<Arc<str>, Job> {
    let mut jobs = BTreeMap::new();
    for (name, title) in read_names(document, "job") {
        let mut section = document.section(&title);
        let needs = Resources {
            processors: section.processors("processors", None),
            memory: section.size("memory", None, 1..=MAX_MEMORY_BYTES),
            accelerators: section.count("accelerators", Some(0), 0..=1024),
        };
        let is_listener = section.flag("listener", Some(false));
        let length = section.duration("length", Some(HOUR), SECOND / 100..=30 * DAY);
        let job = Job {
            class: section
                .choice("class", Some(Class::Batch), &CLASSES)
                .unwrap_or(Class::Batch),
            resources: needs,
            tasks: section.count("tasks", Some(1), 1..=10_000),
            run_time: (!is_listener).then_some(length),
            latency_target: section.optional_duration("target", SECOND / 1000..=HOUR),
            urgent: section.flag("urgent", Some(false)),
            max_attempts: section.count("attempts", Some(5), 1..=100),
        };
        // A quota that could not be read has already added its own mistake.
        if quota.processors > 0 && !job.resources.fits_within(quota) {
            let allowed = format!("at most the account's quota of {quota}");
            section.reject(
                "processors",
                &format!("a task of {}", job.resources),
                &allowed,
            );
        }
        jobs.insert(name, job);
    }
    jobs
}
