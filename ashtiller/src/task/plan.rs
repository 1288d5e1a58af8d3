//! Decisions of a cell's owner: what to place, evict and give up as lost.
//!
//! Each decision becomes a fact that is applied at once, so that the next one
//! sees it; nothing is done at a worker before the fact is durable.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

use crate::agent::Report;
use crate::backlog::{PRIORITIES, Priority};
use crate::cell::Cell;
use crate::endpoint;
use crate::evict;
use crate::fact::{Attempt, End, Fact, TaskId};
use crate::interference_model::InterferenceModel;
use crate::job::Phase;
use crate::peer::{Submission, Verdict};
use crate::placement::{CandidateHost, PlacementPolicy};
use crate::resources::Resources;
use crate::session::LeaseTerms;
use crate::template::Class;
use crate::throttling::Action;
use crate::worker_report;
use crate::worker_state::{Work, WorkerState};

/// Queued tasks of one account that are looked at for one that may start.
const LOOK_AHEAD: usize = 16;
/// Facts in one round, so that a log entry stays small.
pub const MAX_FACTS_PER_ROUND: usize = 2000;
/// An ended job is shown this long.
const ENDED_JOB_RETENTION: Duration = Duration::from_mins(30);
/// Cost of a worker on which the task failed before.
const FAILED_BEFORE_COST: f64 = 1000.0;
/// A worker held back for an urgent task is let go after this time.
const RESERVATION_TIMEOUT: Duration = Duration::from_secs(30);

/// A worker held back until a task can start on it.
#[derive(Clone, Debug)]
struct Reservation {
    worker: Arc<str>,
    until: Duration,
}

/// Decides for one cell.
pub struct Planner {
    fit: Box<dyn PlacementPolicy>,
    terms: LeaseTerms,
    harm: InterferenceModel,
    reservations: BTreeMap<TaskId, Reservation>,
    /// Shapes that found no worker in this round. A round only takes room away, so
    /// what did not fit once does not fit again.
    unplaceable: Vec<(Resources, Class)>,
    /// Shapes for which nothing could be evicted in this round.
    without_victims: Vec<Resources>,
}

impl Planner {
    /// A planner that chooses workers by `fit`.
    #[must_use]
    pub fn new(fit: Box<dyn PlacementPolicy>, terms: LeaseTerms) -> Self {
        Self {
            fit,
            terms,
            harm: InterferenceModel::default(),
            reservations: BTreeMap::new(),
            unplaceable: Vec::new(),
            without_victims: Vec::new(),
        }
    }

    /// One round of decisions; the facts belong to the entry at `position`.
    pub fn plan_round(&mut self, cell: &mut Cell, position: u64, now: Duration) -> Vec<Fact> {
        let mut facts = Vec::new();
        self.record_lost_attempts(cell, &mut facts, position, now);
        drain_leaving(cell, &mut facts, position, now);
        expire_ended_jobs(cell, &mut facts, position, now);
        self.reservations.retain(|task, pledge| {
            let queued = cell
                .task(*task)
                .is_some_and(|(task, _)| task.phase == Phase::Queued);
            queued && pledge.until > now
        });
        self.unplaceable.clear();
        self.without_victims.clear();
        for rank in PRIORITIES {
            self.place_queued(cell, rank, &mut facts, position, now);
        }
        facts
    }

    /// Learns from a worker's report and acts on services that are over target.
    pub fn observe(
        &mut self,
        cell: &mut Cell,
        worker: &Arc<str>,
        report: &Report,
        position: u64,
        now: Duration,
    ) -> Vec<Fact> {
        let mut facts = Vec::new();
        if let Action::Evict(id) =
            worker_report::process_report(cell, &mut self.harm, worker, report, now)
        {
            let number = cell.task(id).map_or(0, |(task, _)| task.attempt);
            let attempt = Attempt { task: id, number };
            record(cell, &mut facts, Fact::Evicting(attempt), position, now);
        }
        facts
    }

    /// What was learned of harm.
    #[must_use]
    pub fn harm(&self) -> &InterferenceModel {
        &self.harm
    }

    fn record_lost_attempts(
        &self,
        cell: &mut Cell,
        facts: &mut Vec<Fact>,
        position: u64,
        now: Duration,
    ) {
        let lost: Vec<TaskId> = cell
            .workers
            .values()
            .filter(|host| self.is_lost(host, now))
            .flat_map(|host| host.tasks.iter().copied())
            .take(MAX_FACTS_PER_ROUND)
            .collect();
        for id in lost {
            let Some((task, _)) = cell.task(id) else {
                continue;
            };
            let attempt = Attempt {
                task: id,
                number: task.attempt,
            };
            record(cell, facts, Fact::Ended(attempt, End::Lost), position, now);
        }
    }

    /// Whether every lease that the worker may hold has ended for certain.
    fn is_lost(&self, host: &WorkerState, now: Duration) -> bool {
        let lapsed = now >= host.session.lease_bound();
        let wait = self.terms.lease + self.terms.margin;
        let gone = host.absent_since.is_some_and(|since| now >= since + wait);
        !host.tasks.is_empty() && (lapsed || (gone && host.session.since_last_report(now) >= wait))
    }

    fn place_queued(
        &mut self,
        cell: &mut Cell,
        rank: Priority,
        facts: &mut Vec<Fact>,
        position: u64,
        now: Duration,
    ) {
        let mut turns: BinaryHeap<Reverse<(u64, Arc<str>)>> = cell
            .backlog()
            .accounts(rank)
            .map(|name| quota_share_order(cell, name))
            .collect();
        while let Some(Reverse((_, account))) = turns.pop() {
            if facts.len() >= MAX_FACTS_PER_ROUND {
                return;
            }
            if self.place_next(cell, rank, &account, facts, position, now) {
                turns.push(quota_share_order(cell, &account));
            }
        }
    }

    /// Places one task of an account; false when none of those looked at can start.
    fn place_next(
        &mut self,
        cell: &mut Cell,
        rank: Priority,
        account: &Arc<str>,
        facts: &mut Vec<Fact>,
        position: u64,
        now: Duration,
    ) -> bool {
        let queued: Vec<TaskId> = cell
            .backlog()
            .queued(rank, account)
            .take(LOOK_AHEAD)
            .collect();
        for id in queued {
            let Some((task, submission)) = cell.task(id) else {
                continue;
            };
            let (needs, class) = (submission.needs, submission.class);
            let quota = cell
                .accounts()
                .get(account)
                .is_some_and(|held| held.pool.can_allocate(&needs));
            if task.retry_at > now || !quota {
                continue;
            }
            let number = task.attempt + 1;
            let full =
                self.unplaceable.contains(&(needs, class)) && !self.reservations.contains_key(&id);
            let chosen = if full {
                None
            } else {
                self.choose_worker(cell, id, rank, now)
            };
            if let Some((worker, boot)) = chosen {
                let attempt = Attempt { task: id, number };
                record(
                    cell,
                    facts,
                    Fact::Placed {
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
            if !full && !self.reservations.contains_key(&id) {
                self.unplaceable.push((needs, class));
            }
            if rank != Priority::Batch && !self.without_victims.contains(&needs) {
                self.evict_and_reserve(cell, id, facts, position, now);
            }
        }
        false
    }

    fn choose_worker(
        &self,
        cell: &Cell,
        id: TaskId,
        rank: Priority,
        now: Duration,
    ) -> Option<(Arc<str>, u64)> {
        let (task, submission) = cell.task(id)?;
        let work = Work {
            class: submission.class,
            kind: cell.job(id.job)?.kind_id,
        };
        let pledged = self.reserved_for_others(id, rank);
        let mut best: Option<(f64, &Arc<str>, u64)> = None;
        for (name, host) in &cell.workers {
            let open = host.pool().can_allocate(&submission.needs)
                && host.accepts_attempts(now, &self.terms);
            let Some(boot) = host
                .session
                .boot()
                .filter(|_| open && !pledged.contains(name))
            else {
                continue;
            };
            let site = CandidateHost {
                host,
                needs: &submission.needs,
                work,
                model: &self.harm,
                now,
            };
            let Some(cost) = self.fit.cost(&site) else {
                continue;
            };
            // A task that failed somewhere goes elsewhere while there is an elsewhere.
            let again = f64::from(u8::from(task.failed_on.contains(name)));
            let cost = cost + FAILED_BEFORE_COST * again;
            if best.is_none_or(|(least, _, _)| cost < least) {
                best = Some((cost, name, boot));
            }
        }
        best.map(|(_, name, boot)| (name.clone(), boot))
    }

    /// Lets a placed batch task begin as slowly as the services beside it need.
    fn set_initial_speed(&self, cell: &mut Cell, id: TaskId, now: Duration) {
        let Some((task, submission)) = cell.task(id) else {
            return;
        };
        let Some(place) = task
            .phase
            .placement()
            .filter(|_| submission.class == Class::Batch)
        else {
            return;
        };
        let (needs, worker) = (submission.needs, place.worker.clone());
        let work = Work {
            class: Class::Batch,
            kind: cell.job(id.job).map_or(0, |job| job.kind_id),
        };
        let Some(host) = cell.workers.get_mut(&worker) else {
            return;
        };
        let site = CandidateHost {
            host,
            needs: &needs,
            work,
            model: &self.harm,
            now,
        };
        let (percent, feared) = (
            self.fit.starting_percent(&site),
            site.expected_interference(),
        );
        host.guard.start_throttled(id, percent, now);
        host.pending_interference
            .push((now, feared * f64::from(percent) / 100.0));
    }

    /// Workers held back for others.
    fn reserved_for_others(&self, id: TaskId, rank: Priority) -> BTreeSet<Arc<str>> {
        if rank == Priority::Urgent || self.reservations.is_empty() {
            return BTreeSet::new();
        }
        let others = self.reservations.iter().filter(|(task, _)| **task != id);
        others.map(|(_, pledge)| pledge.worker.clone()).collect()
    }

    fn evict_and_reserve(
        &mut self,
        cell: &mut Cell,
        id: TaskId,
        facts: &mut Vec<Fact>,
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
            record(cell, facts, Fact::Evicting(victim), position, now);
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

/// Accounts that hold the smallest share of their quota come first.
fn quota_share_order(cell: &Cell, account: &Arc<str>) -> Reverse<(u64, Arc<str>)> {
    let share = cell.accounts().get(account).map_or(0.0, |held| {
        held.pool
            .allocated()
            .dominant_share_of(held.pool.capacity())
    });
    // Non-negative floats order as their bits do.
    Reverse((share.to_bits(), account.clone()))
}

fn record(cell: &mut Cell, facts: &mut Vec<Fact>, fact: Fact, position: u64, now: Duration) {
    cell.apply(&fact, position, now);
    facts.push(fact);
}

/// Moves tasks off workers that are leaving.
fn drain_leaving(cell: &mut Cell, facts: &mut Vec<Fact>, position: u64, now: Duration) {
    let leaving: Vec<TaskId> = cell
        .workers
        .values()
        .filter(|host| host.listed_phase == endpoint::Phase::Leaving)
        .flat_map(|host| host.tasks.iter().copied())
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
            record(cell, facts, Fact::Evicting(attempt), position, now);
        }
    }
}

fn expire_ended_jobs(cell: &mut Cell, facts: &mut Vec<Fact>, position: u64, now: Duration) {
    let old: Vec<u32> = cell
        .durable_state()
        .jobs
        .iter()
        .filter(|(_, job)| {
            job.is_over() && job.ended_at.unwrap_or_default() + ENDED_JOB_RETENTION < now
        })
        .map(|(number, _)| *number)
        .take(MAX_FACTS_PER_ROUND)
        .collect();
    for number in old {
        record(cell, facts, Fact::Forgotten(number), position, now);
    }
}

/// Checks a submission and records it.
pub fn submit(
    cell: &mut Cell,
    submission: Submission,
    position: u64,
    now: Duration,
) -> (Verdict, Option<Fact>) {
    if let Some(known) = cell.find_job(&submission.account, &submission.job) {
        let same = cell
            .job(known)
            .is_some_and(|job| is_same_work(&job.submission, &submission));
        if same {
            return (Verdict::Known, None);
        }
        return (
            Verdict::Conflict("the name is taken by another job".into()),
            None,
        );
    }
    if let Some(reason) = infeasible_reason(cell, &submission) {
        return (Verdict::Never(reason.into()), None);
    }
    let fact = Fact::Submitted(Box::new(submission));
    cell.apply(&fact, position, now);
    (Verdict::Accepted, Some(fact))
}

/// The quota may have changed between two submissions of the same work.
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
    let listed = || cell.workers.values().filter(|host| host.address.is_some());
    let possible = listed().any(|host| needs.fits_within(host.pool().capacity()));
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
) -> (Verdict, Option<Fact>) {
    let Some(number) = cell.find_job(account, job) else {
        return (Verdict::Missing, None);
    };
    if cell
        .job(number)
        .is_some_and(|job| job.cancelled || job.is_over())
    {
        return (Verdict::Known, None);
    }
    let fact = Fact::Cancelled(number);
    cell.apply(&fact, position, now);
    (Verdict::Accepted, Some(fact))
}
