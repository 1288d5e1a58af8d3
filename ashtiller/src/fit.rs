//! Ways to choose a worker for a task.

use std::time::Duration;

use crate::harm::Harm;
use crate::host::{Host, Work};
use crate::resources::Resources;
use crate::template::Class;

/// Harm to one service, as a share of its target, that forbids a placement.
const HARM_MAX: f64 = 0.3;
/// Weight of harm against an even use of the worker.
const HARM_WEIGHT: f64 = 4.0;

/// What is known where a task is to be placed.
pub struct Site<'a> {
    /// The worker, whose free resources suffice.
    pub host: &'a Host,
    /// What the task needs.
    pub needs: &'a Resources,
    /// What kind of work it is.
    pub work: Work,
    /// What was learned of harm.
    pub harm: &'a Harm,
    /// Time.
    pub now: Duration,
}

impl Site<'_> {
    /// Share of the worker that is taken with this task.
    #[must_use]
    pub fn used(&self) -> f64 {
        self.host
            .pool()
            .taken()
            .plus(self.needs)
            .share_of(self.host.pool().whole())
    }

    /// Accelerators that the task would keep from those that need them.
    #[must_use]
    pub fn waste(&self) -> f64 {
        let spare = self.needs.accelerators == 0;
        if spare {
            f64::from(self.host.pool().whole().accelerators)
        } else {
            0.0
        }
    }

    /// Largest harm to fear between this task and one service, and the sum.
    #[must_use]
    pub fn feared(&self) -> (f64, f64) {
        let beside = self
            .host
            .mix
            .iter()
            .filter(|(other, _)| other.class != self.work.class);
        beside.fold((0.0, 0.0), |(most, sum), (other, count)| {
            let (service, batch) = match self.work.class {
                Class::Batch => (other.kind, self.work.kind),
                Class::LatencyCritical => (self.work.kind, other.kind),
            };
            let fear = self
                .harm
                .fear(service, batch, self.host.load(service), self.now);
            let times = if self.work.class == Class::Batch {
                1.0
            } else {
                f64::from(*count)
            };
            (f64::max(most, fear * times), sum + fear * times)
        })
    }
}

/// A way to choose a worker; `docs/DESIGN.md` compares them.
pub trait Fit: Send + Sync {
    /// Cost of placing a task at a site, the least is chosen; `None` forbids it.
    fn cost(&self, site: &Site) -> Option<f64>;
}

/// Keeps services and batch work apart where harm was learned; fills the fullest
/// worker with batch work and spreads latency-critical tasks.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gentle;

impl Fit for Gentle {
    fn cost(&self, site: &Site) -> Option<f64> {
        let (most, sum) = site.feared();
        match site.work.class {
            // A service must run somewhere; batch work can wait for a better place.
            Class::LatencyCritical => Some(site.used() + site.waste() + HARM_WEIGHT * sum),
            Class::Batch if most > HARM_MAX => None,
            Class::Batch => Some(site.waste() - site.used() + HARM_WEIGHT * sum),
        }
    }
}
