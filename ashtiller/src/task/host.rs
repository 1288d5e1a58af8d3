//! One worker as a cell's owner sees it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::endpoint::Phase;
use crate::fact::TaskId;
use crate::guard::Guard;
use crate::harm::Kind;
use crate::reconcile::Ack;
use crate::resources::{Pool, Resources};
use crate::session::{Session, LeaseTerms};
use crate::template::Class;

/// Failures in a row, of different tasks, after which a worker is quarantined.
const FAILURES: usize = 3;
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
    pub listed: Phase,
    /// Since when the platform's list lacks it.
    pub absent: Option<Duration>,
    /// Rack.
    pub rack: Arc<str>,
    /// Lease and contact.
    pub session: Session,
    /// When it was last called.
    pub called: Option<Duration>,
    /// Whether a call is under way.
    pub calling: bool,
    /// Tasks that the last report showed running, with their speed in percent.
    pub seen: BTreeMap<TaskId, u32>,
    /// Digest of the report that `seen` was taken from; 0 for none.
    pub digest: u64,
    /// Work that may run on it, with the number of its tasks.
    pub mix: BTreeMap<Work, u32>,
    /// Last reported load of its services, 0 to 1.
    pub loads: BTreeMap<Kind, f64>,
    /// Largest ratio of latency to target that its services last showed.
    pub worst: f64,
    /// Harm to fear from tasks placed too lately to show in a report, and when.
    pub coming: Vec<(Duration, f64)>,
    /// Services over their target, and what is done about it.
    pub guard: Guard,
    /// Attempts that the last report showed running and the log does not place here.
    pub strays: Vec<(Arc<str>, u32)>,
    /// Reported ends to be acknowledged.
    pub acks: Vec<Ack>,
    failed: BTreeSet<TaskId>,
    quarantined: Option<Duration>,
    quarantines: u32,
}

impl Default for WorkerState {
    fn default() -> Self {
        Self {
            pool: Pool::default(),
            tasks: BTreeSet::new(),
            address: None,
            listed: Phase::Live,
            absent: None,
            rack: Arc::from(""),
            session: Session::new(Duration::ZERO),
            called: None,
            calling: false,
            seen: BTreeMap::new(),
            digest: 0,
            mix: BTreeMap::new(),
            loads: BTreeMap::new(),
            worst: 0.0,
            coming: Vec::new(),
            guard: Guard::default(),
            strays: Vec::new(),
            acks: Vec::new(),
            failed: BTreeSet::new(),
            quarantined: None,
            quarantines: 0,
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
    pub fn restore(&mut self, task: TaskId, needs: &Resources, work: Work) {
        self.tasks.insert(task);
        *self.mix.entry(work).or_default() += 1;
        self.pool.restore(needs);
    }

    /// Takes back a grant.
    pub fn release(&mut self, task: TaskId, needs: &Resources, work: Work) {
        if !self.tasks.remove(&task) {
            return;
        }
        self.pool.release(needs);
        self.guard.forget(task);
        if let Some(count) = self.mix.get_mut(&work) {
            *count -= 1;
        }
        self.mix.retain(|_, count| *count > 0);
    }

    /// Last reported load of a service.
    #[must_use]
    pub fn load(&self, kind: Kind) -> f64 {
        self.loads.get(&kind).copied().unwrap_or(0.5)
    }

    /// Whether a new attempt may be placed here: the worker is listed, answers, and
    /// holds a lease that has not ended.
    #[must_use]
    pub fn takes(&self, now: Duration, terms: &LeaseTerms) -> bool {
        self.listed == Phase::Live
            && self.absent.is_none()
            && self.address.is_some()
            && self.session.boot().is_some()
            && self.session.silence(now) < terms.lease
            && now + terms.margin < self.session.bound()
            && self.may_start(now)
    }

    /// After a quarantine one task is let in as a probe.
    fn may_start(&self, now: Duration) -> bool {
        match self.quarantined {
            None => true,
            Some(until) => now >= until && self.tasks.is_empty(),
        }
    }

    /// Whether it is in quarantine or on probation.
    #[must_use]
    pub fn is_quarantined(&self) -> bool {
        self.quarantined.is_some()
    }

    /// An attempt failed here; true when the worker enters quarantine.
    pub fn note_failure(&mut self, task: TaskId, now: Duration) -> bool {
        self.failed.insert(task);
        let probation = self.quarantined.is_some();
        if self.failed.len() < FAILURES && !probation {
            return false;
        }
        let time = QUARANTINE_FIRST.saturating_mul(1 << self.quarantines.min(10));
        self.quarantined = Some(now + time.min(QUARANTINE_MAX));
        self.quarantines += 1;
        self.failed.clear();
        true
    }

    /// An attempt finished here.
    pub fn note_success(&mut self) {
        self.failed.clear();
        self.quarantined = None;
        self.quarantines = self.quarantines.saturating_sub(1);
    }
}
