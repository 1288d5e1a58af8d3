//! What a cell's owner says to a worker, and what it learns from the answer.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::agent::{Command, Ended, Report, ReportedEnd, SyncRequest};
use crate::cell::Cell;
use crate::fact::{Attempt, End, Fact, TaskId};
use crate::job::Phase;
use crate::session::{Change, Grant, LeaseTerms, ReportHeader};

/// An end that a worker reported; acknowledged once its position is durable.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ack {
    /// Task by its name at workers.
    pub task: Arc<str>,
    /// Attempt.
    pub attempt: u32,
    /// Log position that must be durable first.
    pub position: u64,
}

/// Position and time of a step, and the owner's epoch.
#[derive(Clone, Copy, Debug)]
pub struct StepContext {
    /// Epoch of the owner.
    pub epoch: u64,
    /// Position of the entry that new facts go to.
    pub position: u64,
    /// Newest position that is durable.
    pub durable: u64,
    /// Time.
    pub now: Duration,
}

/// The name of a task at workers.
#[must_use]
pub fn task_name(account: &str, job: &str, id: TaskId) -> Arc<str> {
    format!("{account}/{job}/{id}").into()
}

/// Reads the number back from a task's name.
#[must_use]
pub fn parse_task_name(name: &str) -> Option<TaskId> {
    let (job, index) = name.rsplit_once('/')?.1.split_once('.')?;
    Some(TaskId {
        job: job.parse().ok()?,
        index: index.parse().ok()?,
    })
}

/// Builds the next call to a worker; `renew` extends its lease.
pub fn prepare_sync(
    cell: &mut Cell,
    worker: &Arc<str>,
    terms: &LeaseTerms,
    renew: bool,
    moment: StepContext,
) -> Option<SyncRequest> {
    let host = cell.workers.get_mut(worker)?;
    let grant = host.session.grant(terms, renew);
    let acks = host
        .acks
        .iter()
        .filter(|ack| ack.position <= moment.durable);
    let acks = acks.map(|ack| (ack.task.clone(), ack.attempt)).collect();
    let host = cell.workers.get(worker)?;
    let fenced = host.session.boot().is_some();
    let known = if fenced { host.digest } else { 0 };
    let mut commands: Vec<Command> = Vec::new();
    if fenced {
        let tasks = host.tasks.iter();
        commands.extend(tasks.filter_map(|id| command_for(cell, worker, *id, moment.durable)));
        commands.extend(
            host.unknown_attempts
                .iter()
                .map(|(task, attempt)| Command::Stop {
                    task: task.clone(),
                    attempt: *attempt,
                }),
        );
    }
    let Grant { seq, boot, until } = grant;
    Some(SyncRequest {
        epoch: moment.epoch,
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
    let host = cell.workers.get(worker)?;
    let place = task.phase.placement()?;
    if place.position > durable || Some(place.boot) != host.session.boot() {
        return None;
    }
    let name = task_name(&submission.account, &submission.job, id);
    let attempt = task.attempt;
    match task.phase {
        Phase::Placed(_) if host.reported_speeds.contains_key(&id) => {
            let percent = host.guard.percent(id);
            let differs = host.reported_speeds.get(&id) != Some(&percent);
            differs.then_some(Command::Throttle {
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

/// Whether the next call to a worker would carry commands or acknowledgements.
#[must_use]
pub fn has_pending_updates(cell: &Cell, worker: &Arc<str>, durable: u64) -> bool {
    let Some(host) = cell.workers.get(worker) else {
        return false;
    };
    host.acks.iter().any(|ack| ack.position <= durable)
        || !host.unknown_attempts.is_empty()
        || host
            .tasks
            .iter()
            .any(|id| command_for(cell, worker, *id, durable).is_some())
}

/// Takes a worker's answer; the facts are applied already.
pub fn apply_report(
    cell: &mut Cell,
    worker: &Arc<str>,
    report: &Report,
    terms: &LeaseTerms,
    moment: StepContext,
) -> (Change, Vec<Fact>) {
    let StepContext { epoch, now, .. } = moment;
    let Some(host) = cell.workers.get_mut(worker) else {
        return (Change::Same, Vec::new());
    };
    let answer = ReportHeader {
        epoch: report.epoch,
        seq: report.seq,
        boot: report.boot,
        clock: report.clock,
    };
    let change = host.session.handle_report(epoch, answer, terms, now);
    let fenced = report.epoch == epoch || change == Change::Rebooted;
    if matches!(change, Change::Superseded | Change::Stale) || !fenced {
        return (change, Vec::new());
    }
    let mut facts = Vec::new();
    record_attempts_of_past_boots(cell, worker, report.boot, &mut facts, moment);
    let digest = cell.workers.get(worker).map_or(0, |host| host.digest);
    if !report.unchanged || report.digest != digest {
        update_running(cell, worker, report);
    }
    for ended in &report.ended {
        apply_end(cell, worker, ended, &mut facts, moment);
    }
    let reported = &report.ended;
    if let Some(host) = cell.workers.get_mut(worker) {
        host.acks.retain(|ack| {
            reported
                .iter()
                .any(|ended| ended.task == ack.task && ended.attempt == ack.attempt)
        });
    }
    (change, facts)
}

/// Attempts of an earlier life of the worker do not run any more.
fn record_attempts_of_past_boots(
    cell: &mut Cell,
    worker: &Arc<str>,
    boot: u64,
    facts: &mut Vec<Fact>,
    moment: StepContext,
) {
    let Some(host) = cell.workers.get(worker) else {
        return;
    };
    let lost: Vec<Attempt> = host
        .tasks
        .iter()
        .filter_map(|id| {
            let (task, _) = cell.task(*id)?;
            let former = task.phase.placement()?.boot != boot;
            former.then_some(Attempt {
                task: *id,
                number: task.attempt,
            })
        })
        .collect();
    for attempt in lost {
        record(cell, facts, Fact::Ended(attempt, End::Lost), moment);
    }
}

fn update_running(cell: &mut Cell, worker: &Arc<str>, report: &Report) {
    let mut seen = BTreeMap::new();
    let mut strays = Vec::new();
    for running in &report.running {
        let id = parse_task_name(&running.task);
        let ours = id.is_some_and(|id| is_placed_on(cell, worker, id, running.attempt));
        match id {
            Some(id) if ours => {
                seen.insert(id, running.speed);
            }
            _ => strays.push((running.task.clone(), running.attempt)),
        }
    }
    if let Some(host) = cell.workers.get_mut(worker) {
        host.reported_speeds = seen;
        host.digest = if report.unchanged { 0 } else { report.digest };
        host.unknown_attempts = strays;
    }
}

fn is_placed_on(cell: &Cell, worker: &Arc<str>, id: TaskId, attempt: u32) -> bool {
    cell.task(id).is_some_and(|(task, _)| {
        let here = task
            .phase
            .placement()
            .is_some_and(|place| place.worker == *worker);
        here && task.attempt == attempt
    })
}

fn apply_end(
    cell: &mut Cell,
    worker: &Arc<str>,
    ended: &Ended,
    facts: &mut Vec<Fact>,
    moment: StepContext,
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
        record(cell, facts, Fact::Ended(attempt, end), moment);
        update_health(cell, worker, id, end, moment.now);
    }
    let Some(host) = cell.workers.get_mut(worker) else {
        return;
    };
    let known = host
        .acks
        .iter()
        .any(|ack| ack.task == ended.task && ack.attempt == ended.attempt);
    if !known {
        let (task, attempt) = (ended.task.clone(), ended.attempt);
        host.acks.push(Ack {
            task,
            attempt,
            position: moment.position,
        });
    }
}

fn update_health(cell: &mut Cell, worker: &Arc<str>, id: TaskId, end: End, now: Duration) {
    let Some(host) = cell.workers.get_mut(worker) else {
        return;
    };
    match end {
        End::Finished => host.record_success(),
        End::Failed if host.record_failure(id, now) => {
            tracing::warn!(%worker, "worker quarantined: it fails what it starts");
        }
        _ => {}
    }
}

fn record(cell: &mut Cell, facts: &mut Vec<Fact>, fact: Fact, moment: StepContext) {
    cell.apply(&fact, moment.position, moment.now);
    facts.push(fact);
}
