//! JSON description of a cell, an account or a job for operators.

use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;

use crate::backlog::{PRIORITIES, Priority};
use crate::cell::{Cell, Counts};
use crate::fact::TaskId;
use crate::job::{Phase, Task};
use crate::peer::Submission;
use crate::resources::Resources;
use crate::session::LeaseTerms;

/// Maximum number of entries in a list.
const LIST_MAX: usize = 100;

#[derive(Serialize)]
struct CellView {
    cell: Arc<str>,
    running: usize,
    queued: usize,
    queued_urgent: usize,
    queued_critical: usize,
    queued_batch: usize,
    counts: Counts,
    workers: Vec<WorkerView>,
    accounts: Vec<AccountView>,
    jobs: Vec<JobView>,
}

#[derive(Serialize)]
struct WorkerView {
    worker: Arc<str>,
    state: &'static str,
    tasks: usize,
    taken: String,
    whole: String,
}

#[derive(Serialize)]
struct AccountView {
    account: Arc<str>,
    taken: String,
    quota: String,
    queued: usize,
    evictions: usize,
}

#[derive(Serialize)]
struct JobView {
    account: Arc<str>,
    job: Arc<str>,
    cancelled: bool,
    tasks: Vec<TaskView>,
}

#[derive(Serialize)]
struct TaskView {
    index: u32,
    state: &'static str,
    attempt: u32,
    progress_ms: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    worker: Option<Arc<str>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    waits: Option<String>,
}

/// Describes a cell as JSON, or only what belongs to `account` and `job`; an empty name selects
/// all. Lists are truncated after 100 entries.
#[must_use]
pub fn show(
    name: &Arc<str>,
    cell: &Cell,
    account: &str,
    job: &str,
    terms: &LeaseTerms,
    now: Duration,
) -> String {
    let wanted = |found: &str, asked: &str| asked.is_empty() || found == asked;
    let whole_cell = account.is_empty();
    let queued = |priority: Priority| cell.backlog().priority_len(priority);
    let view = CellView {
        cell: name.clone(),
        running: cell.running(),
        queued: cell.backlog().len(),
        queued_urgent: queued(PRIORITIES[0]),
        queued_critical: queued(PRIORITIES[1]),
        queued_batch: queued(PRIORITIES[2]),
        counts: cell.counts(),
        workers: if whole_cell {
            show_workers(cell, terms, now)
        } else {
            Vec::new()
        },
        accounts: show_accounts(cell, |found| wanted(found, account)),
        jobs: cell
            .durable_state()
            .jobs
            .iter()
            .filter(|(_, found)| wanted(&found.submission.account, account))
            .filter(|(_, found)| wanted(&found.submission.job, job))
            .take(LIST_MAX)
            .map(|(number, _)| show_job(cell, *number, terms, now))
            .collect(),
    };
    serde_json::to_string(&view).unwrap_or_default()
}

fn show_workers(cell: &Cell, terms: &LeaseTerms, now: Duration) -> Vec<WorkerView> {
    let shown = cell.workers.iter().take(LIST_MAX);
    shown
        .map(|(worker, worker_state)| WorkerView {
            worker: worker.clone(),
            state: match () {
                () if worker_state.is_quarantined() => "quarantined",
                () if worker_state.absent_since.is_some() => "absent",
                () if worker_state.session.boot().is_none() => "not reached",
                () if worker_state.accepts_attempts(now, terms) => "live",
                () => "leaving or silent",
            },
            tasks: worker_state.tasks.len(),
            taken: worker_state.pool().allocated().to_string(),
            whole: worker_state.pool().capacity().to_string(),
        })
        .collect()
}

fn show_accounts(cell: &Cell, wanted: impl Fn(&str) -> bool) -> Vec<AccountView> {
    let accounts = cell
        .accounts()
        .iter()
        .filter(|(name, _)| wanted(name))
        .take(LIST_MAX);
    accounts
        .map(|(name, usage)| AccountView {
            account: name.clone(),
            taken: usage.pool.allocated().to_string(),
            quota: usage.pool.capacity().to_string(),
            queued: cell.backlog().account_len(name),
            evictions: usage.eviction_times.len(),
        })
        .collect()
}

fn show_job(cell: &Cell, number: u32, terms: &LeaseTerms, now: Duration) -> JobView {
    let Some(job) = cell.job(number) else {
        return JobView {
            account: "".into(),
            job: "".into(),
            cancelled: false,
            tasks: Vec::new(),
        };
    };
    let tasks = (0..).zip(&job.tasks).take(LIST_MAX);
    JobView {
        account: job.submission.account.clone(),
        job: job.submission.job.clone(),
        cancelled: job.cancelled,
        tasks: tasks
            .map(|(index, task)| TaskView {
                index,
                state: task.phase.name(),
                attempt: task.attempt,
                progress_ms: task.progress,
                worker: task.phase.placement().map(|place| place.worker.clone()),
                waits: waiting_reason(cell, TaskId { job: number, index }, terms, now),
            })
            .collect(),
    }
}

/// Describes in one line why a task waits; returns `None` if it does not wait.
#[must_use]
pub fn waiting_reason(
    cell: &Cell,
    id: TaskId,
    terms: &LeaseTerms,
    now: Duration,
) -> Option<String> {
    let (task, submission) = cell.task(id)?;
    if task.phase != Phase::Queued {
        return None;
    }
    Some(describe_wait(cell, task, submission, id, terms, now))
}

fn describe_wait(
    cell: &Cell,
    task: &Task,
    submission: &Submission,
    id: TaskId,
    terms: &LeaseTerms,
    now: Duration,
) -> String {
    let needs = submission.needs;
    if task.retry_at > now {
        let wait_secs = task.retry_at.saturating_sub(now).as_secs() + 1;
        return format!(
            "failed {} times; tried again in {wait_secs} s",
            task.failures
        );
    }
    let usage = cell.accounts().get(&submission.account);
    if let Some(usage) = usage.filter(|usage| !usage.pool.can_allocate(&needs)) {
        let (taken, quota) = (usage.pool.allocated(), usage.pool.capacity());
        return format!("over quota: needs {needs}; {taken} of {quota} taken");
    }
    let live = || {
        cell.workers
            .values()
            .filter(|worker_state| worker_state.accepts_attempts(now, terms))
    };
    if live().next().is_none() {
        return "no live worker in this cell".to_owned();
    }
    if live().any(|worker_state| worker_state.pool().can_allocate(&needs)) {
        let priority = Priority::of(submission);
        let queued = cell.backlog().queued(priority, &submission.account);
        let ahead = queued.take_while(|queued| *queued != id).count();
        return format!("in turn: {ahead} tasks of the account are before it");
    }
    let largest = live().map(|worker_state| worker_state.pool().free()).fold(
        Resources::default(),
        |largest, free| {
            if free.processors > largest.processors {
                free
            } else {
                largest
            }
        },
    );
    format!("no worker has {needs} free; the most is {largest}")
}
