//! The rule that a long-running task starts soon wherever there is room for two of its kind.
//!
//! It is decided on what workers are seen to run, so it holds however the owner accounts for
//! capacity.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ashtiller::workflow::agents::TaskName;
use ashtiller::workflow::incarnation::Incarnation;

use crate::health::SLACK;

/// Time for which one worker has room for two such tasks until a waiting one must have started.
pub const START_LIMIT: Duration = Duration::from_secs(3);
/// Time after the end of a task's last run from which the rule holds for it.
pub const REST: Duration = Duration::from_secs(6);
/// Time after the loss of a worker from which the rule holds again. An owner that does not know its
/// predecessor waits up to 17 s for leases on a worker that does not answer.
pub const LOSS_REST: Duration = Duration::from_secs(20);

/// What was seen of the workers at one time.
#[derive(Default)]
pub struct Sighting {
    /// Whether the owner and the store have been free of faults for long enough.
    pub calm: bool,
    /// Fencing token of the owner.
    pub owner: Option<u64>,
    /// Long-running tasks of accepted jobs.
    pub wanted: BTreeSet<TaskName>,
    /// Those that run.
    pub running: BTreeSet<TaskName>,
    /// Workers that are present and reachable.
    pub present: BTreeSet<Incarnation>,
    /// Workers among them with room for two such tasks, which may get tasks.
    pub roomy: BTreeSet<Incarnation>,
}

/// Follows the rule through the sightings.
#[derive(Default)]
pub struct StartRule {
    /// When each task that does not run became subject to the rule.
    waits: BTreeMap<TaskName, Duration>,
    /// Tasks that ran and workers that were present in the last sighting.
    ran: BTreeSet<TaskName>,
    present: BTreeSet<Incarnation>,
    owner: Option<u64>,
    /// When a worker was last lost.
    lost_at: Option<Duration>,
    /// Since when each worker has had room without interruption.
    room: BTreeMap<Incarnation, Duration>,
    /// Since when it has been calm.
    calm: Option<Duration>,
}

impl StartRule {
    /// Takes one sighting and returns descriptions of the tasks that have waited for too long. A
    /// task is reported once for each wait.
    pub fn take(&mut self, now: Duration, sighting: &Sighting) -> Vec<String> {
        if !self.present.is_subset(&sighting.present) {
            self.lost_at = Some(now);
        }
        self.present.clone_from(&sighting.present);
        let is_same_owner = std::mem::replace(&mut self.owner, sighting.owner) == sighting.owner;
        let is_calm =
            sighting.calm && is_same_owner && self.lost_at.is_none_or(|at| now > at + LOSS_REST);
        self.calm = is_calm.then(|| self.calm.unwrap_or(now));
        self.room
            .retain(|worker, _| sighting.roomy.contains(worker));
        for worker in &sighting.roomy {
            self.room.entry(worker.clone()).or_insert(now);
        }
        self.waits
            .retain(|task, _| sighting.wanted.contains(task) && !sighting.running.contains(task));
        for task in sighting.wanted.difference(&sighting.running) {
            let rest = if self.ran.contains(task) {
                REST
            } else {
                Duration::ZERO
            };
            self.waits.entry(task.clone()).or_insert(now + rest);
        }
        self.ran.clone_from(&sighting.running);
        let Some(calm) = self.calm else {
            return Vec::new();
        };
        let mut late = Vec::new();
        for (task, since) in &mut self.waits {
            let room = self.room.iter().find(|(_, room)| {
                now > (**room)
                    .max(*since)
                    .max(calm)
                    .saturating_add(START_LIMIT + SLACK)
            });
            if let Some((worker, room)) = room {
                late.push(format!(
                    "{task:?} waits at {:.3} although {worker} has had room for two since {:.3}",
                    now.as_secs_f64(),
                    room.as_secs_f64(),
                ));
                *since = Duration::MAX;
            }
        }
        late
    }
}
