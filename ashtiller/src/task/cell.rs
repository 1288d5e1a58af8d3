//! One cell's state, rebuilt by replay of its log.
//!
//! [`Cell::apply`] is the only way to change what must last, and it is
//! deterministic: a snapshot and the facts after it give the same state in every
//! owner. Decisions are in `plan`, talk with workers in `reconcile`.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::backlog::{Backlog, Priority};
use crate::fact::{Attempt, End, Fact, TaskId};
use crate::interference_model::Kinds;
use crate::job::{Job, Phase, Placement, Task};
use crate::peer::Submission;
use crate::resources::{Pool, Resources};
use crate::session::Session;
use crate::worker_state::{Work, WorkerState};

/// First pause before a failed task is tried again; each further one doubles.
const BACKOFF_FIRST: Duration = Duration::from_secs(1);
/// Longest such pause.
const BACKOFF_MAX: Duration = Duration::from_mins(1);
/// Factor on the allowed failures of a task that failed on one worker only.
const SINGLE_WORKER_LIMIT_FACTOR: u32 = 3;

/// What one client account holds in the cell.
#[derive(Clone, Debug, Default)]
pub struct Account {
    /// Quota and what its running tasks hold.
    pub pool: Pool,
    /// Evictions allowed in an hour.
    pub evictions_per_hour: u32,
    /// Times of recent evictions on the owner's clock.
    pub eviction_times: Vec<Duration>,
    /// Jobs that are not forgotten.
    pub jobs: u32,
}

/// Counts since this owner began.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Attempts placed.
    pub placed: u64,
    /// Attempts that finished.
    pub finished: u64,
    /// Attempts that failed.
    pub failed: u64,
    /// Attempts evicted.
    pub evicted: u64,
    /// Attempts placed from a checkpoint.
    pub resumed: u64,
    /// Attempts lost with their worker.
    pub lost: u64,
    /// Tasks given up.
    pub given_up: u64,
}

/// The part of a cell that lasts.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct DurableState {
    /// Number of the next job.
    pub next_job: u32,
    /// Jobs by number.
    pub jobs: BTreeMap<u32, Job>,
}

/// One cell.
#[derive(Clone, Debug, Default)]
pub struct Cell {
    durable_state: DurableState,
    job_numbers: BTreeMap<(Arc<str>, Arc<str>), u32>,
    accounts: BTreeMap<Arc<str>, Account>,
    /// Workers by name.
    pub workers: BTreeMap<Arc<str>, WorkerState>,
    backlog: Backlog,
    running: usize,
    counts: Counts,
    kinds: Kinds,
}

impl Cell {
    /// Rebuilds a cell from the part that lasts.
    #[must_use]
    pub fn restore(lasting: DurableState) -> Self {
        let mut cell = Self {
            durable_state: DurableState {
                next_job: lasting.next_job,
                ..DurableState::default()
            },
            ..Self::default()
        };
        for (number, job) in lasting.jobs {
            cell.add_job(number, job);
        }
        cell
    }

    fn add_job(&mut self, number: u32, mut job: Job) {
        job.kind_id = self
            .kinds
            .number(&job.submission.account, &job.submission.kind);
        let work = Work {
            class: job.submission.class,
            kind: job.kind_id,
        };
        let submission = &job.submission;
        let (account, name) = (submission.account.clone(), submission.job.clone());
        self.job_numbers.insert((account.clone(), name), number);
        let held = self.accounts.entry(account.clone()).or_default();
        held.jobs += 1;
        held.evictions_per_hour = submission.evictions;
        held.pool.resize(submission.quota);
        let (rank, needs) = (Priority::of(submission), submission.needs);
        for (index, task) in (0..).zip(&job.tasks) {
            let id = TaskId { job: number, index };
            if let Some(place) = task.phase.placement() {
                held.pool.allocate(&needs);
                self.workers
                    .entry(place.worker.clone())
                    .or_default()
                    .add_task(id, &needs, work);
                self.running += 1;
            } else if task.phase == Phase::Queued {
                self.backlog.push_back(rank, &account, id);
            }
        }
        self.durable_state.jobs.insert(number, job);
    }

    /// The part that lasts.
    #[must_use]
    pub fn durable_state(&self) -> &DurableState {
        &self.durable_state
    }

    /// Counts since this owner began.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Queued tasks.
    #[must_use]
    pub fn backlog(&self) -> &Backlog {
        &self.backlog
    }

    /// Attempts that may run.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running
    }

    /// Accounts by name.
    #[must_use]
    pub fn accounts(&self) -> &BTreeMap<Arc<str>, Account> {
        &self.accounts
    }

    /// Number of a job by name.
    #[must_use]
    pub fn find_job(&self, account: &Arc<str>, job: &Arc<str>) -> Option<u32> {
        self.job_numbers
            .get(&(account.clone(), job.clone()))
            .copied()
    }

    /// One job.
    #[must_use]
    pub fn job(&self, number: u32) -> Option<&Job> {
        self.durable_state.jobs.get(&number)
    }

    /// One task and its job's submission.
    #[must_use]
    pub fn task(&self, id: TaskId) -> Option<(&Task, &Submission)> {
        let job = self.durable_state.jobs.get(&id.job)?;
        Some((job.tasks.get(id.index as usize)?, &job.submission))
    }

    /// Applies one fact of the log entry at `position`.
    pub fn apply(&mut self, fact: &Fact, position: u64, now: Duration) {
        match fact {
            Fact::Submitted(submission) => {
                let number = self.durable_state.next_job;
                self.durable_state.next_job += 1;
                self.add_job(number, Job::new((**submission).clone()));
            }
            Fact::Cancelled(job) => self.cancel(*job, position, now),
            Fact::Placed {
                attempt,
                worker,
                boot,
            } => {
                let place = Placement {
                    worker: worker.clone(),
                    boot: *boot,
                    position,
                };
                self.place(*attempt, place);
            }
            Fact::Evicting(attempt) => self.evict(*attempt, position, now),
            Fact::Ended(attempt, end) => self.end(*attempt, *end, now),
            Fact::Forgotten(job) => self.remove_job(*job),
        }
    }

    fn place(&mut self, attempt: Attempt, place: Placement) {
        let id = attempt.task;
        let Some(job) = self.durable_state.jobs.get_mut(&id.job) else {
            return;
        };
        let Some(task) = job.tasks.get_mut(id.index as usize) else {
            return;
        };
        let (account, needs) = (job.submission.account.clone(), job.submission.needs);
        self.backlog
            .remove(Priority::of(&job.submission), &account, id);
        self.counts.placed += 1;
        self.counts.resumed += u64::from(task.progress > 0);
        self.running += 1;
        let work = Work {
            class: job.submission.class,
            kind: job.kind_id,
        };
        // The decision asked Pool::grants before it was recorded.
        self.workers
            .entry(place.worker.clone())
            .or_default()
            .add_task(id, &needs, work);
        self.accounts
            .entry(account)
            .or_default()
            .pool
            .allocate(&needs);
        task.attempt = attempt.number;
        task.phase = Phase::Placed(place);
    }

    fn evict(&mut self, attempt: Attempt, position: u64, now: Duration) {
        let Some(job) = self.durable_state.jobs.get_mut(&attempt.task.job) else {
            return;
        };
        let Some(task) = job.tasks.get_mut(attempt.task.index as usize) else {
            return;
        };
        if let Phase::Placed(place) = &task.phase {
            task.phase = Phase::Evicting(Placement {
                position,
                ..place.clone()
            });
            let account = self
                .accounts
                .entry(job.submission.account.clone())
                .or_default();
            account.eviction_times.push(now);
        }
    }

    fn end(&mut self, attempt: Attempt, end: End, now: Duration) {
        let id = attempt.task;
        let Some(job) = self.durable_state.jobs.get_mut(&id.job) else {
            return;
        };
        let Some(task) = job.tasks.get_mut(id.index as usize) else {
            return;
        };
        let Some(place) = task
            .phase
            .placement()
            .filter(|_| task.attempt == attempt.number)
            .cloned()
        else {
            return;
        };
        let needs = job.submission.needs;
        let work = Work {
            class: job.submission.class,
            kind: job.kind_id,
        };
        self.running -= 1;
        if let Some(host) = self.workers.get_mut(&place.worker) {
            host.remove_task(id, &needs, work);
        }
        if let Some(account) = self.accounts.get_mut(&job.submission.account) {
            account.pool.release(&needs);
        }
        count_end(&mut self.counts, end);
        let cancelled = job.cancelled;
        update_ended_task(task, &job.submission, &place, end, cancelled, now);
        let (over, given_up) = (task.phase.is_over(), task.phase == Phase::GivenUp);
        self.counts.given_up += u64::from(given_up);
        if over {
            job.over += 1;
            job.ended_at = job.is_over().then_some(now);
        } else {
            let rank = Priority::of(&job.submission);
            self.backlog.push_front(rank, &job.submission.account, id);
        }
    }

    fn cancel(&mut self, number: u32, position: u64, now: Duration) {
        let Some(job) = self.durable_state.jobs.get_mut(&number) else {
            return;
        };
        job.cancelled = true;
        let rank = Priority::of(&job.submission);
        for (index, task) in (0..).zip(&mut job.tasks) {
            match &task.phase {
                Phase::Queued => {
                    let id = TaskId { job: number, index };
                    self.backlog.remove(rank, &job.submission.account, id);
                    task.phase = Phase::Cancelled;
                    job.over += 1;
                }
                Phase::Placed(place) | Phase::Evicting(place) => {
                    task.phase = Phase::Stopping(Placement {
                        position,
                        ..place.clone()
                    });
                }
                _ => {}
            }
        }
        job.ended_at = job.is_over().then_some(now);
    }

    fn remove_job(&mut self, number: u32) {
        let Some(job) = self.durable_state.jobs.remove(&number) else {
            return;
        };
        let submission = job.submission;
        self.job_numbers
            .remove(&(submission.account.clone(), submission.job));
        if let Some(account) = self.accounts.get_mut(&submission.account) {
            account.jobs -= 1;
            if account.jobs == 0 {
                self.accounts.remove(&submission.account);
            }
        }
    }

    /// Sets what a worker has.
    pub fn resize_worker(&mut self, worker: &Arc<str>, whole: Resources) {
        self.workers
            .entry(worker.clone())
            .or_default()
            .pool_mut()
            .resize(whole);
    }

    /// A new owner begins: leases that earlier owners granted end by `bound`.
    pub fn reset_sessions(&mut self, bound: Duration) {
        for host in self.workers.values_mut() {
            host.session = Session::new(bound);
        }
    }
}

fn count_end(counts: &mut Counts, end: End) {
    match end {
        End::Finished => counts.finished += 1,
        End::Failed => counts.failed += 1,
        End::Evicted(_) => counts.evicted += 1,
        End::Lost => counts.lost += 1,
        End::Stopped => {}
    }
}

fn update_ended_task(
    task: &mut Task,
    submission: &Submission,
    place: &Placement,
    end: End,
    cancelled: bool,
    now: Duration,
) {
    if let End::Evicted(progress) = end {
        task.progress = task.progress.max(progress);
    }
    if end == End::Failed {
        task.failures += 1;
        if !task.failed_on.contains(&place.worker) {
            task.failed_on.push(place.worker.clone());
        }
        let doublings = task.failures.saturating_sub(1).min(16);
        task.retry_at = now + (BACKOFF_FIRST * (1 << doublings)).min(BACKOFF_MAX);
    }
    // Failures on one worker alone may be the worker's fault.
    let several = task.failed_on.len() > 1;
    let limit = if several {
        submission.attempts
    } else {
        submission.attempts * SINGLE_WORKER_LIMIT_FACTOR
    };
    task.phase = match end {
        End::Finished => Phase::Finished,
        _ if cancelled => Phase::Cancelled,
        End::Failed if task.failures >= limit => Phase::GivenUp,
        _ => Phase::Queued,
    };
}
