//! One worker as a cell's owner sees it.

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

/// Failures in a row, of different tasks, after which a worker is quarantined.
const QUARANTINE_FAILURES: usize = 3;
/// First quarantine; each further one doubles.
const QUARANTINE_FIRST: Duration = Duration::from_secs(30);
/// Longest quarantine.
const QUARANTINE_MAX: Duration = Duration::from_mins(30);

/// What kind of work a task is.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Work {
    /// Class.
    pub class: Class,
    /// Kind, by its number in the cell.
    pub kind: Kind,
}

/// One worker.
#[derive(Clone, Debug)]
pub struct WorkerState {
    pool: Pool,
    /// Tasks that may run on it.
    pub tasks: BTreeSet<TaskId>,
    /// Address, once the platform lists it.
    pub address: Option<SocketAddr>,
    /// Where it stands in the platform's list.
    pub listed_phase: Phase,
    /// Since when the platform's list lacks it.
    pub absent_since: Option<Duration>,
    /// Rack.
    pub rack: Arc<str>,
    /// Lease and contact.
    pub session: Session,
    /// When it was last called.
    pub last_called: Option<Duration>,
    /// Whether a call is under way.
    pub call_in_flight: bool,
    /// Tasks that the last report showed running, with their speed in percent.
    pub reported_speeds: BTreeMap<TaskId, u32>,
    /// Digest of the report that `seen` was taken from; 0 for none.
    pub digest: u64,
    /// Work that may run on it, with the number of its tasks.
    pub work_counts: BTreeMap<Work, u32>,
    /// Last reported load of its services, 0 to 1.
    pub loads: BTreeMap<Kind, f64>,
    /// Largest ratio of latency to target that its services last showed.
    pub worst_latency_ratio: f64,
    /// Harm to fear from tasks placed too lately to show in a report, and when.
    pub pending_interference: Vec<(Duration, f64)>,
    /// Services over their target, and what is done about it.
    pub guard: ThrottleController,
    /// Attempts that the last report showed running and the log does not place here.
    pub unknown_attempts: Vec<(Arc<str>, u32)>,
    /// Reported ends to be acknowledged.
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
    /// What it has and has handed out.
    #[must_use]
    pub fn pool(&self) -> &Pool {
        &self.pool
    }

    /// The same, to change its size.
    pub fn pool_mut(&mut self) -> &mut Pool {
        &mut self.pool
    }

    /// Counts a grant that the log records.
    pub fn add_task(&mut self, task: TaskId, needs: &Resources, work: Work) {
        self.tasks.insert(task);
        *self.work_counts.entry(work).or_default() += 1;
        self.pool.allocate(needs);
    }

    /// Takes back a grant.
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

    /// Last reported load of a service.
    #[must_use]
    pub fn load(&self, kind: Kind) -> f64 {
        self.loads.get(&kind).copied().unwrap_or(0.5)
    }

    /// Whether a new attempt may be placed here: the worker is listed, answers, and
    /// holds a lease that has not ended.
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

    /// After a quarantine one task is let in as a probe.
    fn may_start(&self, now: Duration) -> bool {
        match self.quarantined_until {
            None => true,
            Some(until) => now >= until && self.tasks.is_empty(),
        }
    }

    /// Whether it is in quarantine or on probation.
    #[must_use]
    pub fn is_quarantined(&self) -> bool {
        self.quarantined_until.is_some()
    }

    /// An attempt failed here; true when the worker enters quarantine.
    pub fn record_failure(&mut self, task: TaskId, now: Duration) -> bool {
        self.failed_tasks.insert(task);
        let probation = self.quarantined_until.is_some();
        if self.failed_tasks.len() < QUARANTINE_FAILURES && !probation {
            return false;
        }
        let time = QUARANTINE_FIRST.saturating_mul(1 << self.quarantine_count.min(10));
        self.quarantined_until = Some(now + time.min(QUARANTINE_MAX));
        self.quarantine_count += 1;
        self.failed_tasks.clear();
        true
    }

    /// An attempt finished here.
    pub fn record_success(&mut self) {
        self.failed_tasks.clear();
        self.quarantined_until = None;
        self.quarantine_count = self.quarantine_count.saturating_sub(1);
    }
}
