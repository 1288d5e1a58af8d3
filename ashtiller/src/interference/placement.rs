//! Policies that choose a worker for a task.

use std::time::Duration;

use crate::interference_model::InterferenceModel;
use crate::resources::Resources;
use crate::template::Class;
use crate::throttling;
use crate::worker_state::{Work, WorkerState};

/// Least speed in percent at which batch work may start beside a service.
const MIN_START_PERCENT: u32 = 40;
/// Weight of the interference relative to the utilization of the worker.
const INTERFERENCE_WEIGHT: f64 = 4.0;

/// A worker that may get a task, with what its cost depends on.
pub struct CandidateHost<'a> {
    /// The worker; its free resources suffice for the task.
    pub host: &'a WorkerState,
    /// Resources that the task needs.
    pub needs: &'a Resources,
    /// Class and kind of the task.
    pub work: Work,
    /// Model of the interference between tasks.
    pub model: &'a InterferenceModel,
    /// Present time.
    pub now: Duration,
}

impl CandidateHost<'_> {
    /// Returns the dominant share of the worker that is allocated once the task runs there.
    #[must_use]
    pub fn utilization(&self) -> f64 {
        self.host
            .pool()
            .allocated()
            .plus(self.needs)
            .dominant_share_of(self.host.pool().capacity())
    }

    /// Returns the accelerators that a task without need for them would make unavailable to others.
    #[must_use]
    pub fn stranded_accelerators(&self) -> f64 {
        let needs_none = self.needs.accelerators == 0;
        if needs_none {
            f64::from(self.host.pool().capacity().accelerators)
        } else {
            0.0
        }
    }

    /// Returns the sum of the upper bounds of the interference between this task and the work
    /// beside it.
    #[must_use]
    pub fn expected_interference(&self) -> f64 {
        let colocated = self
            .host
            .work_counts
            .iter()
            .filter(|(other, _)| other.class != self.work.class);
        let bounds = colocated.map(|(other, count)| {
            let (service, batch, task_count) = match self.work.class {
                Class::Batch => (other.kind, self.work.kind, 1.0),
                Class::LatencyCritical => (self.work.kind, other.kind, f64::from(*count)),
            };
            task_count
                * self
                    .model
                    .upper_bound(service, batch, self.host.load(service), self.now)
        });
        bounds.sum()
    }
}

impl CandidateHost<'_> {
    /// Returns the speed in percent at which batch work may start here according to the model.
    #[must_use]
    pub fn starting_percent(&self) -> u32 {
        let services = self
            .host
            .work_counts
            .keys()
            .filter(|work| work.class == Class::LatencyCritical);
        let pending: f64 = self
            .host
            .pending_interference
            .iter()
            .map(|(_, interference)| interference)
            .sum();
        let speeds = services.map(|service| {
            let load = self.host.load(service.kind);
            let bound = self
                .model
                .upper_bound(service.kind, self.work.kind, load, self.now);
            throttling::sustainable_percent(self.host.worst_latency_ratio + pending, bound, 0)
        });
        speeds.min().unwrap_or(100)
    }
}

/// A policy that chooses a worker; `docs/DESIGN.md` compares them.
pub trait PlacementPolicy: Send + Sync {
    /// Returns the cost of placing a task on a candidate, of which the least is chosen; `None`
    /// forbids it.
    fn cost(&self, candidate: &CandidateHost) -> Option<f64>;

    /// Returns the speed in percent at which a batch task starts on the chosen candidate.
    fn starting_percent(&self, _: &CandidateHost) -> u32 {
        100
    }
}

/// Separates services and batch work that interfere according to the model. Packs batch work onto
/// the fullest worker, and spreads latency-critical tasks.
#[derive(Clone, Copy, Debug, Default)]
pub struct InterferenceAware;

impl PlacementPolicy for InterferenceAware {
    fn cost(&self, candidate: &CandidateHost) -> Option<f64> {
        let interference = candidate.expected_interference();
        match candidate.work.class {
            // A service must run somewhere; batch work can wait for a better place.
            Class::LatencyCritical => Some(
                candidate.utilization()
                    + candidate.stranded_accelerators()
                    + INTERFERENCE_WEIGHT * interference,
            ),
            Class::Batch if candidate.starting_percent() < MIN_START_PERCENT => None,
            Class::Batch => Some(
                candidate.stranded_accelerators() - candidate.utilization()
                    + INTERFERENCE_WEIGHT * interference,
            ),
        }
    }

    fn starting_percent(&self, candidate: &CandidateHost) -> u32 {
        candidate.starting_percent().max(MIN_START_PERCENT)
    }
}
