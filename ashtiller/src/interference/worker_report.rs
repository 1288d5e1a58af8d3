//! Evaluates a worker's report: updates the interference model and decides on throttling.

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

/// Time beyond a report's lag after which the effect of a placed task is visible in it.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Measurement of a service in a report.
struct Service {
    kind: Kind,
    ratio: f64,
    load: f64,
}

/// Speed of a batch task in a report.
struct Batch {
    task: TaskId,
    kind: Kind,
    speed: f64,
}

/// Updates the model from a report and returns the next action on its worker.
pub fn process_report(
    cell: &mut Cell,
    model: &mut InterferenceModel,
    worker: &Arc<str>,
    report: &Report,
    now: Duration,
) -> Action {
    let (services, batches) = classify_running(cell, worker, report);
    if services.is_empty() {
        return Action::Nothing;
    }
    let colocated = sum_by_kind(&batches);
    for it in &services {
        model.learn(it.kind, &colocated, it.load, it.ratio, now);
    }
    let suspects: Vec<Suspect> = batches
        .iter()
        .filter_map(|batch| to_suspect(cell, model, &services, batch, now))
        .collect();
    let worst = services.iter().map(|it| it.ratio).fold(0.0, f64::max);
    let Some(host) = cell.workers.get_mut(worker) else {
        return Action::Nothing;
    };
    host.loads = services.iter().map(|it| (it.kind, it.load)).collect();
    let lag = Duration::from_millis(report.lag);
    host.worst_latency_ratio = worst;
    host.pending_interference
        .retain(|(placed, _)| *placed + lag + SETTLE_TIME > now);
    host.guard.decide(
        Observation {
            worst_ratio: worst,
            lag,
            suspects: &suspects,
        },
        now,
    )
}

/// Returns the measured services and the batch tasks beside them: those in the report, or those of
/// the last list if the report says that it is unchanged.
fn classify_running(cell: &Cell, worker: &str, report: &Report) -> (Vec<Service>, Vec<Batch>) {
    let services = report
        .running
        .iter()
        .filter_map(|running| to_service(cell, worker, running));
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
        .filter_map(|(id, speed)| to_batch(cell, worker, id, speed));
    (services.collect(), batches.collect())
}

fn is_placed_on(task: &Task, worker: &str) -> bool {
    task.phase
        .placement()
        .is_some_and(|place| &*place.worker == worker)
}

#[expect(clippy::cast_precision_loss, reason = "microseconds of a latency")]
fn to_service(cell: &Cell, worker: &str, running: &Running) -> Option<Service> {
    let id = reconcile::parse_task_name(&running.task)?;
    let (task, submission) = cell.task(id)?;
    let current = is_placed_on(task, worker) && task.attempt == running.attempt;
    let (latency, target) = running.latency.zip(submission.target).filter(|_| current)?;
    Some(Service {
        kind: cell.job(id.job)?.kind_id,
        ratio: latency as f64 / 1e6 / target.as_secs_f64(),
        load: f64::from(running.load) / 100.0,
    })
}

fn to_batch(cell: &Cell, worker: &str, id: TaskId, speed: u32) -> Option<Batch> {
    let (task, submission) = cell.task(id)?;
    let counts = submission.class == Class::Batch && is_placed_on(task, worker);
    let kind = cell.job(id.job)?.kind_id;
    counts.then(|| Batch {
        task: id,
        kind,
        speed: f64::from(speed) / 100.0,
    })
}

fn sum_by_kind(batches: &[Batch]) -> Vec<ColocatedBatch> {
    let mut colocated: Vec<ColocatedBatch> = Vec::new();
    for batch in batches {
        match colocated.iter_mut().find(|other| other.kind == batch.kind) {
            Some(other) => other.speed += batch.speed,
            None => colocated.push(ColocatedBatch {
                kind: batch.kind,
                speed: batch.speed,
            }),
        }
    }
    colocated
}

fn to_suspect(
    cell: &Cell,
    model: &InterferenceModel,
    services: &[Service],
    batch: &Batch,
    now: Duration,
) -> Option<Suspect> {
    let (task, _) = cell.task(batch.task)?;
    if !matches!(task.phase, Phase::Placed(_)) {
        return None;
    }
    let bounds = services
        .iter()
        .map(|it| model.upper_bound(it.kind, batch.kind, it.load, now));
    let evictable = evict::has_budget(cell, batch.task, now);
    Some(Suspect {
        task: batch.task,
        interference: bounds.fold(0.0, f64::max),
        evictable,
    })
}
