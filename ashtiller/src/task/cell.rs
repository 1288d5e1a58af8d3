//! State of one cell, rebuilt by replaying its log.
//!
//! [`Cell::apply`] is the only way to change the durable state, and it is deterministic: a snapshot
//! and the log records after it give the same state in every owner. Scheduling decisions are in
//! `plan`, the exchange with workers is in `reconcile`.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::backlog::{Backlog, Priority};
use crate::fact::{Attempt, End, LogRecord, TaskId};
use crate::interference_model::Kinds;
use crate::job::{Job, Phase, Placement, Task};
use crate::peer::Submission;
use crate::resources::{Pool, Resources};
use crate::session::Session;
use crate::worker_state::{Work, WorkerState};

/// Initial backoff before a failed task is retried; it doubles with each further failure.
const BACKOFF_FIRST: Duration = Duration::from_secs(1);
/// Maximum backoff.
const BACKOFF_MAX: Duration = Duration::from_mins(1);
/// Factor on the failure limit of a task that has failed on one worker only.
const SINGLE_WORKER_LIMIT_FACTOR: u32 = 3;

/// Quota usage, evictions and jobs of one client account in the cell.
#[derive(Clone, Debug, Default)]
pub struct Account {
    /// Quota, and the resources held by the account's running tasks.
    pub pool: Pool,
    /// Maximum number of evictions per hour.
    pub evictions_per_hour: u32,
    /// Times of evictions on the owner's clock.
    pub eviction_times: Vec<Duration>,
    /// Number of jobs in the cell; ended jobs count until they are removed.
    pub jobs: u32,
}

/// Counters since this owner took over the cell.
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

/// Part of a cell that is stored in snapshots.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct DurableState {
    /// Number of the next job.
    pub next_job: u32,
    /// Jobs by number.
    pub jobs: BTreeMap<u32, Job>,
}

/// State of one cell.
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
    /// Rebuilds a cell from its durable state.
    #[must_use]
    pub fn restore(state: DurableState) -> Self {
        let mut cell = Self {
            durable_state: DurableState {
                next_job: state.next_job,
                ..DurableState::default()
            },
            ..Self::default()
        };
        for (number, job) in state.jobs {
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
        let usage = self.accounts.entry(account.clone()).or_default();
        usage.jobs += 1;
        usage.evictions_per_hour = submission.evictions;
        usage.pool.resize(submission.quota);
        let (priority, needs) = (Priority::of(submission), submission.needs);
        for (index, task) in (0..).zip(&job.tasks) {
            let id = TaskId { job: number, index };
            if let Some(placement) = task.phase.placement() {
                usage.pool.allocate(&needs);
                self.workers
                    .entry(placement.worker.clone())
                    .or_default()
                    .add_task(id, &needs, work);
                self.running += 1;
            } else if task.phase == Phase::Queued {
                self.backlog.push_back(priority, &account, id);
            }
        }
        self.durable_state.jobs.insert(number, job);
    }

    /// Returns the part that is stored in snapshots.
    #[must_use]
    pub fn durable_state(&self) -> &DurableState {
        &self.durable_state
    }

    /// Returns the counters since this owner took over the cell.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the queued tasks.
    #[must_use]
    pub fn backlog(&self) -> &Backlog {
        &self.backlog
    }

    /// Returns the number of attempts that may be running.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns the accounts by name.
    #[must_use]
    pub fn accounts(&self) -> &BTreeMap<Arc<str>, Account> {
        &self.accounts
    }

    /// Returns the number of the job that has this name in an account.
    #[must_use]
    pub fn find_job(&self, account: &Arc<str>, job: &Arc<str>) -> Option<u32> {
        self.job_numbers
            .get(&(account.clone(), job.clone()))
            .copied()
    }

    /// Returns the job with a number.
    #[must_use]
    pub fn job(&self, number: u32) -> Option<&Job> {
        self.durable_state.jobs.get(&number)
    }

    /// Returns a task and the submission of its job.
    #[must_use]
    pub fn task(&self, id: TaskId) -> Option<(&Task, &Submission)> {
        let job = self.durable_state.jobs.get(&id.job)?;
        Some((job.tasks.get(id.index as usize)?, &job.submission))
    }

    /// Applies one record of the log entry at `position`; `now` is the time on the owner's clock.
    pub fn apply(&mut self, record: &LogRecord, position: u64, now: Duration) {
        match record {
            LogRecord::Submitted(submission) => {
                let number = self.durable_state.next_job;
                self.durable_state.next_job += 1;
                self.add_job(number, Job::new((**submission).clone()));
            }
            LogRecord::Cancelled(job) => self.cancel(*job, position, now),
            LogRecord::Placed {
                attempt,
                worker,
                boot,
            } => {
                let placement = Placement {
                    worker: worker.clone(),
                    boot: *boot,
                    position,
                };
                self.place(*attempt, placement);
            }
            LogRecord::Evicting(attempt) => self.evict(*attempt, position, now),
            LogRecord::Ended(attempt, end) => self.end(*attempt, *end, now),
            LogRecord::Forgotten(job) => self.remove_job(*job),
        }
    }

    fn place(&mut self, attempt: Attempt, placement: Placement) {
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
        // The planner has checked `Pool::can_allocate` before it created this record.
        self.workers
            .entry(placement.worker.clone())
            .or_default()
            .add_task(id, &needs, work);
        self.accounts
            .entry(account)
            .or_default()
            .pool
            .allocate(&needs);
        task.attempt = attempt.number;
        task.phase = Phase::Placed(placement);
    }

    fn evict(&mut self, attempt: Attempt, position: u64, now: Duration) {
        let Some(job) = self.durable_state.jobs.get_mut(&attempt.task.job) else {
            return;
        };
        let Some(task) = job.tasks.get_mut(attempt.task.index as usize) else {
            return;
        };
        if let Phase::Placed(placement) = &task.phase {
            task.phase = Phase::Evicting(Placement {
                position,
                ..placement.clone()
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
        let Some(placement) = task
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
        if let Some(worker_state) = self.workers.get_mut(&placement.worker) {
            worker_state.remove_task(id, &needs, work);
        }
        if let Some(account) = self.accounts.get_mut(&job.submission.account) {
            account.pool.release(&needs);
        }
        count_end(&mut self.counts, end);
        let cancelled = job.cancelled;
        update_ended_task(task, &job.submission, &placement, end, cancelled, now);
        let (over, given_up) = (task.phase.is_over(), task.phase == Phase::GivenUp);
        self.counts.given_up += u64::from(given_up);
        if over {
            job.over += 1;
            job.ended_at = job.is_over().then_some(now);
        } else {
            let priority = Priority::of(&job.submission);
            self.backlog
                .push_front(priority, &job.submission.account, id);
        }
    }

    fn cancel(&mut self, number: u32, position: u64, now: Duration) {
        let Some(job) = self.durable_state.jobs.get_mut(&number) else {
            return;
        };
        job.cancelled = true;
        let priority = Priority::of(&job.submission);
        for (index, task) in (0..).zip(&mut job.tasks) {
            match &task.phase {
                Phase::Queued => {
                    let id = TaskId { job: number, index };
                    self.backlog.remove(priority, &job.submission.account, id);
                    task.phase = Phase::Cancelled;
                    job.over += 1;
                }
                Phase::Placed(placement) | Phase::Evicting(placement) => {
                    task.phase = Phase::Stopping(Placement {
                        position,
                        ..placement.clone()
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

    /// Sets the total resources of a worker.
    pub fn resize_worker(&mut self, worker: &Arc<str>, whole: Resources) {
        self.workers
            .entry(worker.clone())
            .or_default()
            .pool_mut()
            .resize(whole);
    }

    /// Resets the sessions for a new owner; leases that earlier owners granted expire by `bound`.
    pub fn reset_sessions(&mut self, bound: Duration) {
        for worker_state in self.workers.values_mut() {
            worker_state.session = Session::new(bound);
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
    placement: &Placement,
    end: End,
    cancelled: bool,
    now: Duration,
) {
    if let End::Evicted(progress) = end {
        task.progress = task.progress.max(progress);
    }
    if end == End::Failed {
        task.failures += 1;
        if !task.failed_on.contains(&placement.worker) {
            task.failed_on.push(placement.worker.clone());
        }
        let doublings = task.failures.saturating_sub(1).min(16);
        task.retry_at = now + (BACKOFF_FIRST * (1 << doublings)).min(BACKOFF_MAX);
    }
    // Failures on one worker only may be caused by that worker.
    let failed_on_several = task.failed_on.len() > 1;
    let limit = if failed_on_several {
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
