//! Placement, eviction and detection of lost attempts for the tasks of one cell.
//!
//! Each decision becomes a log record that is applied to the cell immediately, so that the next
//! decision sees its effect. No command is sent to a worker before the record is durable.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

use crate::agent::Report;
use crate::backlog::{PRIORITIES, Priority};
use crate::cell::Cell;
use crate::endpoint;
use crate::evict;
use crate::fact::{Attempt, End, LogRecord, TaskId};
use crate::interference_model::InterferenceModel;
use crate::job::Phase;
use crate::peer::{JobReply, Submission};
use crate::placement::{CandidateHost, PlacementPolicy};
use crate::resources::Resources;
use crate::session::LeaseTerms;
use crate::template::Class;
use crate::throttling::Action;
use crate::worker_report;
use crate::worker_state::{Work, WorkerState};

/// Number of tasks at the head of an account's queue that are considered for placement.
const LOOK_AHEAD: usize = 16;
/// Maximum number of log records per planning round, which keeps log entries small.
pub const MAX_RECORDS_PER_ROUND: usize = 2000;
/// Time for which an ended job can still be queried.
const ENDED_JOB_RETENTION: Duration = Duration::from_mins(30);
/// Cost added to a worker on which the task has failed before.
const FAILED_BEFORE_COST: f64 = 1000.0;
/// Time after which a worker reserved for an urgent or latency-critical task is released.
const RESERVATION_TIMEOUT: Duration = Duration::from_secs(30);

/// Worker reserved for a queued task until that task can start on it.
#[derive(Clone, Debug)]
struct Reservation {
    worker: Arc<str>,
    until: Duration,
}

/// Planner of one cell.
pub struct Planner {
    policy: Box<dyn PlacementPolicy>,
    terms: LeaseTerms,
    model: InterferenceModel,
    reservations: BTreeMap<TaskId, Reservation>,
    /// Resources and classes of tasks that fitted no worker in this round. A round only consumes
    /// capacity, so what did not fit once does not fit later in the round.
    unplaceable: Vec<(Resources, Class)>,
    /// Resources for which no eviction could free enough capacity in this round.
    without_victims: Vec<Resources>,
}

impl Planner {
    /// Creates a planner that chooses workers by the cost that `policy` returns.
    #[must_use]
    pub fn new(policy: Box<dyn PlacementPolicy>, terms: LeaseTerms) -> Self {
        Self {
            policy,
            terms,
            model: InterferenceModel::default(),
            reservations: BTreeMap::new(),
            unplaceable: Vec::new(),
            without_victims: Vec::new(),
        }
    }

    /// Runs one planning round; the returned records belong to the log entry at `position`.
    pub fn plan_round(&mut self, cell: &mut Cell, position: u64, now: Duration) -> Vec<LogRecord> {
        let mut records = Vec::new();
        self.record_lost_attempts(cell, &mut records, position, now);
        drain_leaving(cell, &mut records, position, now);
        expire_ended_jobs(cell, &mut records, position, now);
        self.reservations.retain(|task, reservation| {
            let queued = cell
                .task(*task)
                .is_some_and(|(task, _)| task.phase == Phase::Queued);
            queued && reservation.until > now
        });
        self.unplaceable.clear();
        self.without_victims.clear();
        for priority in PRIORITIES {
            self.place_queued(cell, priority, &mut records, position, now);
        }
        records
    }

    /// Updates the interference model from a worker's report, and throttles or evicts batch tasks
    /// beside services that are over their latency target.
    pub fn observe(
        &mut self,
        cell: &mut Cell,
        worker: &Arc<str>,
        report: &Report,
        position: u64,
        now: Duration,
    ) -> Vec<LogRecord> {
        let mut records = Vec::new();
        if let Action::Evict(id) =
            worker_report::process_report(cell, &mut self.model, worker, report, now)
        {
            let number = cell.task(id).map_or(0, |(task, _)| task.attempt);
            let attempt = Attempt { task: id, number };
            apply_record(
                cell,
                &mut records,
                LogRecord::Evicting(attempt),
                position,
                now,
            );
        }
        records
    }

    /// Returns the interference model that was learned from reports.
    #[must_use]
    pub fn model(&self) -> &InterferenceModel {
        &self.model
    }

    fn record_lost_attempts(
        &self,
        cell: &mut Cell,
        records: &mut Vec<LogRecord>,
        position: u64,
        now: Duration,
    ) {
        let lost: Vec<TaskId> = cell
            .workers
            .values()
            .filter(|worker_state| self.is_lost(worker_state, now))
            .flat_map(|worker_state| worker_state.tasks.iter().copied())
            .take(MAX_RECORDS_PER_ROUND)
            .collect();
        for id in lost {
            let Some((task, _)) = cell.task(id) else {
                continue;
            };
            let attempt = Attempt {
                task: id,
                number: task.attempt,
            };
            apply_record(
                cell,
                records,
                LogRecord::Ended(attempt, End::Lost),
                position,
                now,
            );
        }
    }

    /// Returns whether every lease that the worker may hold has certainly expired.
    fn is_lost(&self, worker_state: &WorkerState, now: Duration) -> bool {
        let lease_expired = now >= worker_state.session.lease_bound();
        let lease_time = self.terms.lease + self.terms.margin;
        let absent_too_long = worker_state
            .absent_since
            .is_some_and(|since| now >= since + lease_time);
        !worker_state.tasks.is_empty()
            && (lease_expired
                || (absent_too_long && worker_state.session.since_last_report(now) >= lease_time))
    }

    fn place_queued(
        &mut self,
        cell: &mut Cell,
        priority: Priority,
        records: &mut Vec<LogRecord>,
        position: u64,
        now: Duration,
    ) {
        let mut accounts: BinaryHeap<Reverse<(u64, Arc<str>)>> = cell
            .backlog()
            .accounts(priority)
            .map(|name| quota_share_order(cell, name))
            .collect();
        while let Some(Reverse((_, account))) = accounts.pop() {
            if records.len() >= MAX_RECORDS_PER_ROUND {
                return;
            }
            if self.place_next(cell, priority, &account, records, position, now) {
                accounts.push(quota_share_order(cell, &account));
            }
        }
    }

    /// Places one task of an account; returns false if none of those considered can start.
    fn place_next(
        &mut self,
        cell: &mut Cell,
        priority: Priority,
        account: &Arc<str>,
        records: &mut Vec<LogRecord>,
        position: u64,
        now: Duration,
    ) -> bool {
        let queued: Vec<TaskId> = cell
            .backlog()
            .queued(priority, account)
            .take(LOOK_AHEAD)
            .collect();
        for id in queued {
            let Some((task, submission)) = cell.task(id) else {
                continue;
            };
            let (needs, class) = (submission.needs, submission.class);
            let within_quota = cell
                .accounts()
                .get(account)
                .is_some_and(|usage| usage.pool.can_allocate(&needs));
            if task.retry_at > now || !within_quota {
                continue;
            }
            let number = task.attempt + 1;
            let no_fit =
                self.unplaceable.contains(&(needs, class)) && !self.reservations.contains_key(&id);
            let chosen = if no_fit {
                None
            } else {
                self.choose_worker(cell, id, priority, now)
            };
            if let Some((worker, boot)) = chosen {
                let attempt = Attempt { task: id, number };
                apply_record(
                    cell,
                    records,
                    LogRecord::Placed {
                        attempt,
                        worker,
                        boot,
                    },
                    position,
                    now,
                );
                self.reservations.remove(&id);
                self.set_initial_speed(cell, id, now);
                return true;
            }
            if !no_fit && !self.reservations.contains_key(&id) {
                self.unplaceable.push((needs, class));
            }
            if priority != Priority::Batch && !self.without_victims.contains(&needs) {
                self.evict_and_reserve(cell, id, records, position, now);
            }
        }
        false
    }

    fn choose_worker(
        &self,
        cell: &Cell,
        id: TaskId,
        priority: Priority,
        now: Duration,
    ) -> Option<(Arc<str>, u64)> {
        let (task, submission) = cell.task(id)?;
        let work = Work {
            class: submission.class,
            kind: cell.job(id.job)?.kind_id,
        };
        let reserved = self.reserved_for_others(id, priority);
        let mut best: Option<(f64, &Arc<str>, u64)> = None;
        for (name, worker_state) in &cell.workers {
            let available = worker_state.pool().can_allocate(&submission.needs)
                && worker_state.accepts_attempts(now, &self.terms);
            let Some(boot) = worker_state
                .session
                .boot()
                .filter(|_| available && !reserved.contains(name))
            else {
                continue;
            };
            let site = CandidateHost {
                host: worker_state,
                needs: &submission.needs,
                work,
                model: &self.model,
                now,
            };
            let Some(cost) = self.policy.cost(&site) else {
                continue;
            };
            // A worker on which the task failed is chosen only if no other worker fits.
            let failed_before = f64::from(u8::from(task.failed_on.contains(name)));
            let cost = cost + FAILED_BEFORE_COST * failed_before;
            if best.is_none_or(|(least, _, _)| cost < least) {
                best = Some((cost, name, boot));
            }
        }
        best.map(|(_, name, boot)| (name.clone(), boot))
    }

    /// Sets the initial speed of a placed batch task to what the services on the same worker
    /// tolerate.
    fn set_initial_speed(&self, cell: &mut Cell, id: TaskId, now: Duration) {
        let Some((task, submission)) = cell.task(id) else {
            return;
        };
        let Some(placement) = task
            .phase
            .placement()
            .filter(|_| submission.class == Class::Batch)
        else {
            return;
        };
        let (needs, worker) = (submission.needs, placement.worker.clone());
        let work = Work {
            class: Class::Batch,
            kind: cell.job(id.job).map_or(0, |job| job.kind_id),
        };
        let Some(worker_state) = cell.workers.get_mut(&worker) else {
            return;
        };
        let site = CandidateHost {
            host: worker_state,
            needs: &needs,
            work,
            model: &self.model,
            now,
        };
        let (percent, interference) = (
            self.policy.starting_percent(&site),
            site.expected_interference(),
        );
        worker_state.guard.start_throttled(id, percent, now);
        worker_state
            .pending_interference
            .push((now, interference * f64::from(percent) / 100.0));
    }

    /// Returns the workers reserved for other tasks; urgent tasks ignore reservations.
    fn reserved_for_others(&self, id: TaskId, priority: Priority) -> BTreeSet<Arc<str>> {
        if priority == Priority::Urgent || self.reservations.is_empty() {
            return BTreeSet::new();
        }
        let others = self.reservations.iter().filter(|(task, _)| **task != id);
        others
            .map(|(_, reservation)| reservation.worker.clone())
            .collect()
    }

    fn evict_and_reserve(
        &mut self,
        cell: &mut Cell,
        id: TaskId,
        records: &mut Vec<LogRecord>,
        position: u64,
        now: Duration,
    ) {
        if self.reservations.contains_key(&id) {
            return;
        }
        let Some((_, submission)) = cell.task(id) else {
            return;
        };
        let needs = submission.needs;
        let Some((worker, victims)) = evict::choose_victims(cell, &needs, &self.terms, now) else {
            self.without_victims.push(needs);
            return;
        };
        for victim in victims {
            apply_record(cell, records, LogRecord::Evicting(victim), position, now);
        }
        self.reservations.insert(
            id,
            Reservation {
                worker,
                until: now + RESERVATION_TIMEOUT,
            },
        );
    }
}

/// Returns a heap key under which accounts that use the smallest share of their quota come first.
fn quota_share_order(cell: &Cell, account: &Arc<str>) -> Reverse<(u64, Arc<str>)> {
    let share = cell.accounts().get(account).map_or(0.0, |usage| {
        usage
            .pool
            .allocated()
            .dominant_share_of(usage.pool.capacity())
    });
    // Non-negative floats sort in the same order as their bit patterns.
    Reverse((share.to_bits(), account.clone()))
}

fn apply_record(
    cell: &mut Cell,
    records: &mut Vec<LogRecord>,
    record: LogRecord,
    position: u64,
    now: Duration,
) {
    cell.apply(&record, position, now);
    records.push(record);
}

/// Evicts the tasks placed on workers that are leaving.
fn drain_leaving(cell: &mut Cell, records: &mut Vec<LogRecord>, position: u64, now: Duration) {
    let leaving: Vec<TaskId> = cell
        .workers
        .values()
        .filter(|worker_state| worker_state.listed_phase == endpoint::Phase::Leaving)
        .flat_map(|worker_state| worker_state.tasks.iter().copied())
        .collect();
    for id in leaving {
        let Some((task, _)) = cell.task(id) else {
            continue;
        };
        if matches!(task.phase, Phase::Placed(_)) {
            let attempt = Attempt {
                task: id,
                number: task.attempt,
            };
            apply_record(cell, records, LogRecord::Evicting(attempt), position, now);
        }
    }
}

fn expire_ended_jobs(cell: &mut Cell, records: &mut Vec<LogRecord>, position: u64, now: Duration) {
    let expired: Vec<u32> = cell
        .durable_state()
        .jobs
        .iter()
        .filter(|(_, job)| {
            job.is_over() && job.ended_at.unwrap_or_default() + ENDED_JOB_RETENTION < now
        })
        .map(|(number, _)| *number)
        .take(MAX_RECORDS_PER_ROUND)
        .collect();
    for number in expired {
        apply_record(cell, records, LogRecord::Forgotten(number), position, now);
    }
}

/// Validates a submission and records it as a job.
pub fn submit(
    cell: &mut Cell,
    submission: Submission,
    position: u64,
    now: Duration,
) -> (JobReply, Option<LogRecord>) {
    if let Some(known) = cell.find_job(&submission.account, &submission.job) {
        let same = cell
            .job(known)
            .is_some_and(|job| is_same_work(&job.submission, &submission));
        if same {
            return (JobReply::Known, None);
        }
        return (
            JobReply::Conflict("the name is taken by another job".into()),
            None,
        );
    }
    if let Some(reason) = infeasible_reason(cell, &submission) {
        return (JobReply::Never(reason.into()), None);
    }
    let record = LogRecord::Submitted(Box::new(submission));
    cell.apply(&record, position, now);
    (JobReply::Accepted, Some(record))
}

/// Returns whether two submissions ask for the same work. Their quotas are not compared, because
/// the quota may have changed in between.
fn is_same_work(one: &Submission, other: &Submission) -> bool {
    one.kind == other.kind
        && one.tasks == other.tasks
        && one.needs == other.needs
        && one.class == other.class
        && one.length == other.length
        && one.urgent == other.urgent
        && one.target == other.target
}

fn infeasible_reason(cell: &Cell, submission: &Submission) -> Option<String> {
    if submission.tasks == 0 {
        return Some("the job has no tasks".to_owned());
    }
    let needs = &submission.needs;
    if !needs.fits_within(&submission.quota) {
        return Some(format!(
            "a task needs {needs}; the account's quota is {}",
            submission.quota
        ));
    }
    let listed = || {
        cell.workers
            .values()
            .filter(|worker_state| worker_state.address.is_some())
    };
    let possible = listed().any(|worker_state| needs.fits_within(worker_state.pool().capacity()));
    if possible || listed().next().is_none() {
        return None;
    }
    Some(format!(
        "a task needs {needs}; no worker of this cell has that much"
    ))
}

/// Records the cancellation of a job.
pub fn cancel(
    cell: &mut Cell,
    account: &Arc<str>,
    job: &Arc<str>,
    position: u64,
    now: Duration,
) -> (JobReply, Option<LogRecord>) {
    let Some(number) = cell.find_job(account, job) else {
        return (JobReply::Missing, None);
    };
    if cell
        .job(number)
        .is_some_and(|job| job.cancelled || job.is_over())
    {
        return (JobReply::Known, None);
    }
    let record = LogRecord::Cancelled(number);
    cell.apply(&record, position, now);
    (JobReply::Accepted, Some(record))
}
