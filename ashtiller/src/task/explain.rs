//! A cell, an account or a job in words for operators.

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

/// Entries of a list that are shown.
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

/// Shows a cell, or only what belongs to `account` and `job`; empty names show
/// all. Lists are cut at 100 entries.
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
    let whole = account.is_empty();
    let rank = |rank: Priority| cell.backlog().priority_len(rank);
    let view = CellView {
        cell: name.clone(),
        running: cell.running(),
        queued: cell.backlog().len(),
        queued_urgent: rank(PRIORITIES[0]),
        queued_critical: rank(PRIORITIES[1]),
        queued_batch: rank(PRIORITIES[2]),
        counts: cell.counts(),
        workers: if whole {
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
        .map(|(worker, host)| WorkerView {
            worker: worker.clone(),
            state: match () {
                () if host.is_quarantined() => "quarantined",
                () if host.absent_since.is_some() => "absent",
                () if host.session.boot().is_none() => "not reached",
                () if host.accepts_attempts(now, terms) => "live",
                () => "leaving or silent",
            },
            tasks: host.tasks.len(),
            taken: host.pool().allocated().to_string(),
            whole: host.pool().capacity().to_string(),
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
        .map(|(name, held)| AccountView {
            account: name.clone(),
            taken: held.pool.allocated().to_string(),
            quota: held.pool.capacity().to_string(),
            queued: cell.backlog().account_len(name),
            evictions: held.eviction_times.len(),
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

/// Why a task waits, in one line; `None` when it does not.
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
        let pause = task.retry_at.saturating_sub(now).as_secs() + 1;
        return format!("failed {} times; tried again in {pause} s", task.failures);
    }
    let held = cell.accounts().get(&submission.account);
    if let Some(held) = held.filter(|held| !held.pool.can_allocate(&needs)) {
        let (taken, quota) = (held.pool.allocated(), held.pool.capacity());
        return format!("over quota: needs {needs}; {taken} of {quota} taken");
    }
    let live = || {
        cell.workers
            .values()
            .filter(|host| host.accepts_attempts(now, terms))
    };
    if live().next().is_none() {
        return "no live worker in this cell".to_owned();
    }
    if live().any(|host| host.pool().can_allocate(&needs)) {
        let rank = Priority::of(submission);
        let queued = cell.backlog().queued(rank, &submission.account);
        let ahead = queued.take_while(|queued| *queued != id).count();
        return format!("in turn: {ahead} tasks of the account are before it");
    }
    let most = live()
        .map(|host| host.pool().free())
        .fold(Resources::default(), |most, free| {
            if free.processors > most.processors {
                free
            } else {
                most
            }
        });
    format!("no worker has {needs} free; the most is {most}")
}
