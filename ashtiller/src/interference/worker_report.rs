//! What a worker's report says about harm, and what is done about it.

use std::sync::Arc;
use std::time::Duration;

use crate::agent::{Report, Running};
use crate::cell::Cell;
use crate::evict;
use crate::fact::TaskId;
use crate::interference_model::{ColocatedBatch, InterferenceModel, Kind};
use crate::job::{Phase, Task};
use crate::reconcile;
use crate::template::Class;
use crate::throttling::{Action, Observation, Suspect};

/// Time beyond a report's lag after which a placed task shows in it.
const SHOWN: Duration = Duration::from_secs(4);

/// A service in a report.
struct Service {
    kind: Kind,
    ratio: f64,
    load: f64,
}

/// A batch task in a report.
struct Batch {
    task: TaskId,
    kind: Kind,
    speed: f64,
}

/// Learns from a report and decides what to do on its worker.
pub fn process_report(
    cell: &mut Cell,
    harm: &mut InterferenceModel,
    worker: &Arc<str>,
    report: &Report,
    now: Duration,
) -> Action {
    let (services, batches) = sort_running(cell, worker, report);
    if services.is_empty() {
        return Action::Nothing;
    }
    let beside = sum_kinds(&batches);
    for service in &services {
        harm.learn(service.kind, &beside, service.load, service.ratio, now);
    }
    let suspects: Vec<Suspect> = batches
        .iter()
        .filter_map(|batch| suspect(cell, harm, &services, batch, now))
        .collect();
    let worst = services
        .iter()
        .map(|service| service.ratio)
        .fold(0.0, f64::max);
    let Some(host) = cell.workers.get_mut(worker) else {
        return Action::Nothing;
    };
    host.loads = services
        .iter()
        .map(|service| (service.kind, service.load))
        .collect();
    let lag = Duration::from_millis(report.lag);
    host.worst_latency_ratio = worst;
    host.pending_interference
        .retain(|(placed, _)| *placed + lag + SHOWN > now);
    host.guard.decide(
        Observation {
            worst_ratio: worst,
            lag,
            suspects: &suspects,
        },
        now,
    )
}

/// Services that were measured, and the batch tasks beside them: those in the report,
/// or those of the last list when the report says that it is unchanged.
fn sort_running(cell: &Cell, worker: &str, report: &Report) -> (Vec<Service>, Vec<Batch>) {
    let services = report
        .running
        .iter()
        .filter_map(|running| service(cell, worker, running));
    let listed = report.running.iter().filter_map(|running| {
        let id = reconcile::parse_task_name(&running.task)?;
        let (task, _) = cell.task(id)?;
        (task.attempt == running.attempt).then_some((id, running.speed))
    });
    let host = cell.workers.get(worker).filter(|_| report.unchanged);
    let known = host
        .into_iter()
        .flat_map(|host| host.reported_speeds.iter().map(|(id, speed)| (*id, *speed)));
    let batches = listed
        .chain(known)
        .filter_map(|(id, speed)| batch(cell, worker, id, speed));
    (services.collect(), batches.collect())
}

fn is_here(task: &Task, worker: &str) -> bool {
    task.phase
        .placement()
        .is_some_and(|place| &*place.worker == worker)
}

#[expect(clippy::cast_precision_loss, reason = "microseconds of a latency")]
fn service(cell: &Cell, worker: &str, running: &Running) -> Option<Service> {
    let id = reconcile::parse_task_name(&running.task)?;
    let (task, submission) = cell.task(id)?;
    let current = is_here(task, worker) && task.attempt == running.attempt;
    let (latency, target) = running.latency.zip(submission.target).filter(|_| current)?;
    Some(Service {
        kind: cell.job(id.job)?.kind_id,
        ratio: latency as f64 / 1e6 / target.as_secs_f64(),
        load: f64::from(running.load) / 100.0,
    })
}

fn batch(cell: &Cell, worker: &str, id: TaskId, speed: u32) -> Option<Batch> {
    let (task, submission) = cell.task(id)?;
    let counts = submission.class == Class::Batch && is_here(task, worker);
    let kind = cell.job(id.job)?.kind_id;
    counts.then(|| Batch {
        task: id,
        kind,
        speed: f64::from(speed) / 100.0,
    })
}

fn sum_kinds(batches: &[Batch]) -> Vec<ColocatedBatch> {
    let mut beside: Vec<ColocatedBatch> = Vec::new();
    for batch in batches {
        match beside.iter_mut().find(|other| other.kind == batch.kind) {
            Some(other) => other.speed += batch.speed,
            None => beside.push(ColocatedBatch {
                kind: batch.kind,
                speed: batch.speed,
            }),
        }
    }
    beside
}

fn suspect(
    cell: &Cell,
    harm: &InterferenceModel,
    services: &[Service],
    batch: &Batch,
    now: Duration,
) -> Option<Suspect> {
    let (task, _) = cell.task(batch.task)?;
    if !matches!(task.phase, Phase::Placed(_)) {
        return None;
    }
    let feared = services
        .iter()
        .map(|service| harm.upper_bound(service.kind, batch.kind, service.load, now));
    let evictable = evict::has_budget(cell, batch.task, now);
    Some(Suspect {
        task: batch.task,
        interference: feared.fold(0.0, f64::max),
        evictable,
    })
}
