//! State of one worker as its cell's owner knows it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::endpoint::Phase;
use crate::fact::TaskId;
use crate::interference_model::Kind;
use crate::reconcile::Ack;
use crate::resources::{Pool, Resources};
use crate::session::{LeaseTerms, Session};
use crate::template::Class;
use crate::throttling::ThrottleController;

/// Number of consecutive failures, of different tasks, after which a worker is quarantined.
const QUARANTINE_FAILURES: usize = 3;
/// Duration of the first quarantine; it doubles with each further one.
const QUARANTINE_FIRST: Duration = Duration::from_secs(30);
/// Maximum duration of a quarantine.
const QUARANTINE_MAX: Duration = Duration::from_mins(30);

/// Class and kind of a task's work.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Work {
    /// Scheduling class.
    pub class: Class,
    /// Kind, by its number in the cell.
    pub kind: Kind,
}

/// State of one worker.
#[derive(Clone, Debug)]
pub struct WorkerState {
    pool: Pool,
    /// Tasks that may be running on the worker.
    pub tasks: BTreeSet<TaskId>,
    /// Address, once the platform has listed the worker.
    pub address: Option<SocketAddr>,
    /// Phase of the worker in the platform's list.
    pub listed_phase: Phase,
    /// Time since which the platform's list does not contain the worker.
    pub absent_since: Option<Duration>,
    /// Rack of the worker.
    pub rack: Arc<str>,
    /// Lease state.
    pub session: Session,
    /// Time of the last call.
    pub last_called: Option<Duration>,
    /// Whether a call is in flight.
    pub call_in_flight: bool,
    /// Running tasks in the last report, with their speed in percent.
    pub reported_speeds: BTreeMap<TaskId, u32>,
    /// Digest of the report that `reported_speeds` was taken from; 0 for none.
    pub digest: u64,
    /// Number of tasks that may be running, by class and kind of work.
    pub work_counts: BTreeMap<Work, u32>,
    /// Last reported load of the worker's services, 0 to 1.
    pub loads: BTreeMap<Kind, f64>,
    /// Highest ratio of latency to target among the services in the last report.
    pub worst_latency_ratio: f64,
    /// Placement time and expected interference of tasks that were placed too recently to appear in
    /// a report.
    pub pending_interference: Vec<(Duration, f64)>,
    /// Reaction to services that are over their latency target.
    pub guard: ThrottleController,
    /// Running attempts in the last report that the log does not place on this worker.
    pub unknown_attempts: Vec<(Arc<str>, u32)>,
    /// Acknowledgements of reported ends.
    pub acks: Vec<Ack>,
    failed_tasks: BTreeSet<TaskId>,
    quarantined_until: Option<Duration>,
    quarantine_count: u32,
}

impl Default for WorkerState {
    fn default() -> Self {
        Self {
            pool: Pool::default(),
            tasks: BTreeSet::new(),
            address: None,
            listed_phase: Phase::Live,
            absent_since: None,
            rack: Arc::from(""),
            session: Session::new(Duration::ZERO),
            last_called: None,
            call_in_flight: false,
            reported_speeds: BTreeMap::new(),
            digest: 0,
            work_counts: BTreeMap::new(),
            loads: BTreeMap::new(),
            worst_latency_ratio: 0.0,
            pending_interference: Vec::new(),
            guard: ThrottleController::default(),
            unknown_attempts: Vec::new(),
            acks: Vec::new(),
            failed_tasks: BTreeSet::new(),
            quarantined_until: None,
            quarantine_count: 0,
        }
    }
}

impl WorkerState {
    /// Returns the worker's total and allocated resources.
    #[must_use]
    pub fn pool(&self) -> &Pool {
        &self.pool
    }

    /// Returns the worker's resources, for resizing.
    pub fn pool_mut(&mut self) -> &mut Pool {
        &mut self.pool
    }

    /// Adds a task that the log places here, and allocates its resources.
    pub fn add_task(&mut self, task: TaskId, needs: &Resources, work: Work) {
        self.tasks.insert(task);
        *self.work_counts.entry(work).or_default() += 1;
        self.pool.allocate(needs);
    }

    /// Removes a task and releases its resources.
    pub fn remove_task(&mut self, task: TaskId, needs: &Resources, work: Work) {
        if !self.tasks.remove(&task) {
            return;
        }
        self.pool.release(needs);
        self.guard.remove_task(task);
        if let Some(count) = self.work_counts.get_mut(&work) {
            *count -= 1;
        }
        self.work_counts.retain(|_, count| *count > 0);
    }

    /// Returns the last reported load of a service, or 0.5 if none was reported.
    #[must_use]
    pub fn load(&self, kind: Kind) -> f64 {
        self.loads.get(&kind).copied().unwrap_or(0.5)
    }

    /// Returns whether a new attempt may be placed here: the worker is listed as live, answers,
    /// holds a lease that has not expired, and is not quarantined.
    #[must_use]
    pub fn accepts_attempts(&self, now: Duration, terms: &LeaseTerms) -> bool {
        self.listed_phase == Phase::Live
            && self.absent_since.is_none()
            && self.address.is_some()
            && self.session.boot().is_some()
            && self.session.since_last_report(now) < terms.lease
            && now + terms.margin < self.session.lease_bound()
            && self.may_start(now)
    }

    /// Returns whether the quarantine allows a new task. After a quarantine one task is admitted on
    /// probation.
    fn may_start(&self, now: Duration) -> bool {
        match self.quarantined_until {
            None => true,
            Some(until) => now >= until && self.tasks.is_empty(),
        }
    }

    /// Returns whether the worker is in quarantine or on probation after one.
    #[must_use]
    pub fn is_quarantined(&self) -> bool {
        self.quarantined_until.is_some()
    }

    /// Records a failed attempt; returns true if the worker enters quarantine.
    pub fn record_failure(&mut self, task: TaskId, now: Duration) -> bool {
        self.failed_tasks.insert(task);
        let on_probation = self.quarantined_until.is_some();
        if self.failed_tasks.len() < QUARANTINE_FAILURES && !on_probation {
            return false;
        }
        let duration = QUARANTINE_FIRST.saturating_mul(1 << self.quarantine_count.min(10));
        self.quarantined_until = Some(now + duration.min(QUARANTINE_MAX));
        self.quarantine_count += 1;
        self.failed_tasks.clear();
        true
    }

    /// Records a finished attempt, which ends a quarantine.
    pub fn record_success(&mut self) {
        self.failed_tasks.clear();
        self.quarantined_until = None;
        self.quarantine_count = self.quarantine_count.saturating_sub(1);
    }
}
