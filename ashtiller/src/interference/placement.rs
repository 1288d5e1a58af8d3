//! Ways to choose a worker for a task.

use std::time::Duration;

use crate::interference_model::InterferenceModel;
use crate::resources::Resources;
use crate::template::Class;
use crate::throttling;
use crate::worker_state::{Work, WorkerState};

/// Least speed in percent at which batch work is placed beside a service.
const SPEED_MIN: u32 = 40;
/// Weight of harm against an even use of the worker.
const HARM_WEIGHT: f64 = 4.0;

/// What is known where a task is to be placed.
pub struct CandidateHost<'a> {
    /// The worker, whose free resources suffice.
    pub host: &'a WorkerState,
    /// What the task needs.
    pub needs: &'a Resources,
    /// What kind of work it is.
    pub work: Work,
    /// What was learned of harm.
    pub model: &'a InterferenceModel,
    /// Time.
    pub now: Duration,
}

impl CandidateHost<'_> {
    /// Share of the worker that is taken with this task.
    #[must_use]
    pub fn utilization(&self) -> f64 {
        self.host
            .pool()
            .allocated()
            .plus(self.needs)
            .dominant_share_of(self.host.pool().capacity())
    }

    /// Accelerators that the task would keep from those that need them.
    #[must_use]
    pub fn stranded_accelerators(&self) -> f64 {
        let spare = self.needs.accelerators == 0;
        if spare {
            f64::from(self.host.pool().capacity().accelerators)
        } else {
            0.0
        }
    }

    /// Harm to fear between this task and the work beside it, summed.
    #[must_use]
    pub fn expected_interference(&self) -> f64 {
        let beside = self
            .host
            .work_counts
            .iter()
            .filter(|(other, _)| other.class != self.work.class);
        let fears = beside.map(|(other, count)| {
            let (service, batch, times) = match self.work.class {
                Class::Batch => (other.kind, self.work.kind, 1.0),
                Class::LatencyCritical => (self.work.kind, other.kind, f64::from(*count)),
            };
            times
                * self
                    .model
                    .upper_bound(service, batch, self.host.load(service), self.now)
        });
        fears.sum()
    }
}

impl CandidateHost<'_> {
    /// Speed in percent at which batch work may begin here by what was learned.
    #[must_use]
    pub fn starting_percent(&self) -> u32 {
        let services = self
            .host
            .work_counts
            .keys()
            .filter(|work| work.class == Class::LatencyCritical);
        let coming: f64 = self
            .host
            .pending_interference
            .iter()
            .map(|(_, harm)| harm)
            .sum();
        let speeds = services.map(|service| {
            let load = self.host.load(service.kind);
            let fear = self
                .model
                .upper_bound(service.kind, self.work.kind, load, self.now);
            throttling::sustainable_percent(self.host.worst_latency_ratio + coming, fear, 0)
        });
        speeds.min().unwrap_or(100)
    }
}

/// A way to choose a worker; `docs/DESIGN.md` compares them.
pub trait PlacementPolicy: Send + Sync {
    /// Cost of placing a task at a site, the least is chosen; `None` forbids it.
    fn cost(&self, site: &CandidateHost) -> Option<f64>;

    /// Speed in percent at which a batch task begins at the site that was chosen.
    fn starting_percent(&self, _: &CandidateHost) -> u32 {
        100
    }
}

/// Keeps services and batch work apart where harm was learned; fills the fullest
/// worker with batch work and spreads latency-critical tasks.
#[derive(Clone, Copy, Debug, Default)]
pub struct InterferenceAware;

impl PlacementPolicy for InterferenceAware {
    fn cost(&self, site: &CandidateHost) -> Option<f64> {
        let sum = site.expected_interference();
        match site.work.class {
            // A service must run somewhere; batch work can wait for a better place.
            Class::LatencyCritical => {
                Some(site.utilization() + site.stranded_accelerators() + HARM_WEIGHT * sum)
            }
            Class::Batch if site.starting_percent() < SPEED_MIN => None,
            Class::Batch => {
                Some(site.stranded_accelerators() - site.utilization() + HARM_WEIGHT * sum)
            }
        }
    }

    fn starting_percent(&self, site: &CandidateHost) -> u32 {
        site.starting_percent().max(SPEED_MIN)
    }
}
