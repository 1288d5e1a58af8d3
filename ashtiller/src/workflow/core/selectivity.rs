//! How long best-effort steps wait for workers whose services have much headroom.

use std::time::Duration;

use crate::workflow::core::advice::StepKey;
use crate::workflow::core::{Core, Now};

/// Waiting time after which a best-effort step takes any worker whose services tolerate it.
const SELECTIVE_WAIT: Duration = Duration::from_secs(1);

impl Core {
    /// Returns how selective a waiting step is about the services beside it. The value falls from 1
    /// at the beginning of the wait to 0, so that the wait is bounded even with little headroom.
    pub(super) fn selectivity(&self, step: StepKey, now: Now) -> f64 {
        if !self.tuning.switches.select_workers {
            return 0.0;
        }
        let since = self.job_timings.ready_since(step);
        let waited = since.map_or(Duration::ZERO, |since| now.at.saturating_sub(since));
        1.0 - waited.min(SELECTIVE_WAIT).div_duration_f64(SELECTIVE_WAIT)
    }
}
