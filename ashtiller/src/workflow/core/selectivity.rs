//! How long best-effort steps wait for workers whose services have much headroom.

use std::time::Duration;

use crate::workflow::core::advice::StepKey;
use crate::workflow::core::{Core, Now};

/// Waiting time after which a best-effort step takes any worker whose services tolerate it.
const SELECTIVE_WAIT: Duration = Duration::from_secs(1);

/// Waiting time after which a best-effort step of a job without runs takes a worker whose services stay
/// within their targets, however much headroom they lose.
const OVERDUE_AFTER: Duration = Duration::from_secs(2);
/// Waiting time after which it takes the worker whose services lose least. The estimate of their loss
/// may never fall while nothing runs beside them.
const STARVED_AFTER: Duration = Duration::from_secs(10);

/// What a best-effort task may take from the services beside it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Tolerance {
    /// Headroom that is worth less than what the task earns.
    Usual,
    /// Headroom beyond their targets.
    WithinTargets,
    /// Anything.
    Any,
}

impl Core {
    /// Returns how selective a waiting step is about the services beside it. The value falls from 1
    /// at the beginning of the wait to 0, so that the wait is bounded even with little headroom.
    pub(super) fn selectivity(&self, step: StepKey, now: Now) -> f64 {
        if !self.tuning.switches.select_workers {
            return 0.0;
        }
        let waited = self.waited(step, now);
        1.0 - waited.min(SELECTIVE_WAIT).div_duration_f64(SELECTIVE_WAIT)
    }

    /// Returns what the next task of a best-effort step may take from services. Its pace protects them
    /// afterwards.
    pub(super) fn tolerance(&self, step: StepKey, now: Now) -> Tolerance {
        if self.has_runs(step.0) {
            return Tolerance::Usual;
        }
        match self.waited(step, now) {
            waited if waited >= STARVED_AFTER => Tolerance::Any,
            waited if waited >= OVERDUE_AFTER => Tolerance::WithinTargets,
            _ => Tolerance::Usual,
        }
    }

    /// Returns whether a job has runs that may be active.
    pub(super) fn has_runs(&self, job: u32) -> bool {
        self.log_state
            .jobs
            .get(&job)
            .is_some_and(|job| job.live > 0)
    }

    fn waited(&self, step: StepKey, now: Now) -> Duration {
        let since = self.job_timings.ready_since(step);
        since.map_or(Duration::ZERO, |since| now.at.saturating_sub(since))
    }
}
