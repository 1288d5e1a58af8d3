//! Requests of a cell's owner to its workers, and processing of the workers' reports.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::agent::{Command, Ended, Report, ReportedEnd, SyncRequest};
use crate::cell::Cell;
use crate::fact::{Attempt, End, LogRecord, TaskId};
use crate::job::Phase;
use crate::session::{Change, Grant, LeaseTerms, ReportHeader};

/// Acknowledgement of an end that a worker reported; it is sent once its position is durable.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ack {
    /// Name of the task in messages to workers.
    pub task: Arc<str>,
    /// Attempt number.
    pub attempt: u32,
    /// Log position that must be durable before the acknowledgement is sent.
    pub position: u64,
}

/// Log positions, time and epoch that apply to one step of the owner.
#[derive(Clone, Copy, Debug)]
pub struct StepContext {
    /// Epoch of the owner.
    pub epoch: u64,
    /// Position of the log entry that will contain new records.
    pub position: u64,
    /// Highest log position that is durable.
    pub durable: u64,
    /// Current time on the owner's clock.
    pub now: Duration,
}

/// Returns the name of a task in messages to workers.
#[must_use]
pub fn task_name(account: &str, job: &str, id: TaskId) -> Arc<str> {
    format!("{account}/{job}/{id}").into()
}

/// Parses the task's identifier from a name made by [`task_name`].
#[must_use]
pub fn parse_task_name(name: &str) -> Option<TaskId> {
    let (job, index) = name.rsplit_once('/')?.1.split_once('.')?;
    Some(TaskId {
        job: job.parse().ok()?,
        index: index.parse().ok()?,
    })
}

/// Builds the next request to a worker; with `renew` it extends the worker's lease.
pub fn prepare_sync(
    cell: &mut Cell,
    worker: &Arc<str>,
    terms: &LeaseTerms,
    renew: bool,
    step: StepContext,
) -> Option<SyncRequest> {
    let worker_state = cell.workers.get_mut(worker)?;
    let grant = worker_state.session.grant(terms, renew);
    let acks = worker_state
        .acks
        .iter()
        .filter(|ack| ack.position <= step.durable);
    let acks = acks.map(|ack| (ack.task.clone(), ack.attempt)).collect();
    let worker_state = cell.workers.get(worker)?;
    let fenced = worker_state.session.boot().is_some();
    let known = if fenced { worker_state.digest } else { 0 };
    let mut commands: Vec<Command> = Vec::new();
    if fenced {
        let tasks = worker_state.tasks.iter();
        commands.extend(tasks.filter_map(|id| command_for(cell, worker, *id, step.durable)));
        commands.extend(worker_state.unknown_attempts.iter().map(|(task, attempt)| {
            Command::Stop {
                task: task.clone(),
                attempt: *attempt,
            }
        }));
    }
    let Grant { seq, boot, until } = grant;
    Some(SyncRequest {
        epoch: step.epoch,
        seq,
        boot,
        until,
        known,
        commands,
        acks,
    })
}

fn command_for(cell: &Cell, worker: &Arc<str>, id: TaskId, durable: u64) -> Option<Command> {
    let (task, submission) = cell.task(id)?;
    let worker_state = cell.workers.get(worker)?;
    let placement = task.phase.placement()?;
    if placement.position > durable || Some(placement.boot) != worker_state.session.boot() {
        return None;
    }
    let name = task_name(&submission.account, &submission.job, id);
    let attempt = task.attempt;
    match task.phase {
        Phase::Placed(_) if worker_state.reported_speeds.contains_key(&id) => {
            let percent = worker_state.guard.percent(id);
            let speed_changed = worker_state.reported_speeds.get(&id) != Some(&percent);
            speed_changed.then_some(Command::Throttle {
                task: name,
                attempt,
                percent,
            })
        }
        Phase::Placed(_) => {
            let length = submission.length.map_or(0, |length| length.as_millis());
            let length = u64::try_from(length).unwrap_or(u64::MAX);
            Some(Command::Start {
                task: name,
                attempt,
                progress: task.progress,
                length,
            })
        }
        Phase::Evicting(_) => Some(Command::Evict {
            task: name,
            attempt,
        }),
        Phase::Stopping(_) => Some(Command::Stop {
            task: name,
            attempt,
        }),
        _ => None,
    }
}

/// Returns whether the next request to a worker would carry commands or acknowledgements.
#[must_use]
pub fn has_pending_updates(cell: &Cell, worker: &Arc<str>, durable: u64) -> bool {
    let Some(worker_state) = cell.workers.get(worker) else {
        return false;
    };
    worker_state.acks.iter().any(|ack| ack.position <= durable)
        || !worker_state.unknown_attempts.is_empty()
        || worker_state
            .tasks
            .iter()
            .any(|id| command_for(cell, worker, *id, durable).is_some())
}

/// Processes a worker's report. The returned log records are already applied to the cell.
pub fn apply_report(
    cell: &mut Cell,
    worker: &Arc<str>,
    report: &Report,
    terms: &LeaseTerms,
    step: StepContext,
) -> (Change, Vec<LogRecord>) {
    let StepContext { epoch, now, .. } = step;
    let Some(worker_state) = cell.workers.get_mut(worker) else {
        return (Change::Same, Vec::new());
    };
    let header = ReportHeader {
        epoch: report.epoch,
        seq: report.seq,
        boot: report.boot,
        clock: report.clock,
    };
    let change = worker_state
        .session
        .handle_report(epoch, header, terms, now);
    let fenced = report.epoch == epoch || change == Change::Rebooted;
    if matches!(change, Change::Superseded | Change::Stale) || !fenced {
        return (change, Vec::new());
    }
    let mut records = Vec::new();
    record_attempts_of_past_boots(cell, worker, report.boot, &mut records, step);
    let digest = cell
        .workers
        .get(worker)
        .map_or(0, |worker_state| worker_state.digest);
    if !report.unchanged || report.digest != digest {
        update_running(cell, worker, report);
    }
    for ended in &report.ended {
        apply_end(cell, worker, ended, &mut records, step);
    }
    let still_reported = &report.ended;
    if let Some(worker_state) = cell.workers.get_mut(worker) {
        worker_state.acks.retain(|ack| {
            still_reported
                .iter()
                .any(|ended| ended.task == ack.task && ended.attempt == ack.attempt)
        });
    }
    (change, records)
}

/// Records attempts of earlier boots of the worker as lost, since they are no longer running.
fn record_attempts_of_past_boots(
    cell: &mut Cell,
    worker: &Arc<str>,
    boot: u64,
    records: &mut Vec<LogRecord>,
    step: StepContext,
) {
    let Some(worker_state) = cell.workers.get(worker) else {
        return;
    };
    let lost: Vec<Attempt> = worker_state
        .tasks
        .iter()
        .filter_map(|id| {
            let (task, _) = cell.task(*id)?;
            let earlier_boot = task.phase.placement()?.boot != boot;
            earlier_boot.then_some(Attempt {
                task: *id,
                number: task.attempt,
            })
        })
        .collect();
    for attempt in lost {
        apply_record(cell, records, LogRecord::Ended(attempt, End::Lost), step);
    }
}

fn update_running(cell: &mut Cell, worker: &Arc<str>, report: &Report) {
    let mut speeds = BTreeMap::new();
    let mut unknown = Vec::new();
    for running in &report.running {
        let id = parse_task_name(&running.task);
        let placed_here = id.is_some_and(|id| is_placed_on(cell, worker, id, running.attempt));
        match id {
            Some(id) if placed_here => {
                speeds.insert(id, running.speed);
            }
            _ => unknown.push((running.task.clone(), running.attempt)),
        }
    }
    if let Some(worker_state) = cell.workers.get_mut(worker) {
        worker_state.reported_speeds = speeds;
        worker_state.digest = if report.unchanged { 0 } else { report.digest };
        worker_state.unknown_attempts = unknown;
    }
}

fn is_placed_on(cell: &Cell, worker: &Arc<str>, id: TaskId, attempt: u32) -> bool {
    cell.task(id).is_some_and(|(task, _)| {
        let here = task
            .phase
            .placement()
            .is_some_and(|placement| placement.worker == *worker);
        here && task.attempt == attempt
    })
}

fn apply_end(
    cell: &mut Cell,
    worker: &Arc<str>,
    ended: &Ended,
    records: &mut Vec<LogRecord>,
    step: StepContext,
) {
    let active =
        parse_task_name(&ended.task).filter(|id| is_placed_on(cell, worker, *id, ended.attempt));
    if let Some(id) = active {
        let end = match ended.end {
            ReportedEnd::Finished => End::Finished,
            ReportedEnd::Failed => End::Failed,
            ReportedEnd::Evicted => End::Evicted(ended.progress),
            ReportedEnd::Stopped => End::Stopped,
            ReportedEnd::Lapsed => End::Lost,
        };
        let attempt = Attempt {
            task: id,
            number: ended.attempt,
        };
        apply_record(cell, records, LogRecord::Ended(attempt, end), step);
        update_health(cell, worker, id, end, step.now);
    }
    let Some(worker_state) = cell.workers.get_mut(worker) else {
        return;
    };
    let known = worker_state
        .acks
        .iter()
        .any(|ack| ack.task == ended.task && ack.attempt == ended.attempt);
    if !known {
        let (task, attempt) = (ended.task.clone(), ended.attempt);
        worker_state.acks.push(Ack {
            task,
            attempt,
            position: step.position,
        });
    }
}

fn update_health(cell: &mut Cell, worker: &Arc<str>, id: TaskId, end: End, now: Duration) {
    let Some(worker_state) = cell.workers.get_mut(worker) else {
        return;
    };
    match end {
        End::Finished => worker_state.record_success(),
        End::Failed if worker_state.record_failure(id, now) => {
            tracing::warn!(%worker, "worker quarantined because its tasks fail");
        }
        _ => {}
    }
}

fn apply_record(
    cell: &mut Cell,
    records: &mut Vec<LogRecord>,
    record: LogRecord,
    step: StepContext,
) {
    cell.apply(&record, step.position, step.now);
    records.push(record);
}
