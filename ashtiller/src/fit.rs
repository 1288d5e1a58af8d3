//! Ways to choose a worker for a task.

use std::sync::Arc;

use crate::host::Host;
use crate::peer::Submission;
use crate::template::Class;

/// A way to choose a worker; `docs/DESIGN.md` compares them.
pub trait Fit: Send + Sync {
    /// Cost of placing a task of `submission` on `host`, whose free resources
    /// suffice; the least is chosen.
    fn cost(&self, worker: &Arc<str>, host: &Host, submission: &Submission) -> f64;
}

/// Fills the fullest worker with batch work and spreads latency-critical tasks.
#[derive(Clone, Copy, Debug, Default)]
pub struct Spread;

impl Fit for Spread {
    fn cost(&self, _: &Arc<str>, host: &Host, submission: &Submission) -> f64 {
        let used = host
            .pool()
            .taken()
            .plus(&submission.needs)
            .share_of(host.pool().whole());
        let accelerators = f64::from(host.pool().whole().accelerators);
        // Accelerators are kept for those that need them.
        let waste = if submission.needs.accelerators == 0 {
            accelerators
        } else {
            0.0
        };
        match submission.class {
            Class::LatencyCritical => used + waste,
            Class::Batch => waste - used,
        }
    }
}
