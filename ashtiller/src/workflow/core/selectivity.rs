//! How long steps that fill wait for workers whose services bear them well.

use std::time::Duration;

use crate::workflow::core::advice::StepKey;
use crate::workflow::core::{Core, Now};

/// Time after which a step that fills goes wherever its services bear it at all.
const SELECTIVE: Duration = Duration::from_secs(1);

impl Core {
    /// How selective a waiting step is about services beside it: 1 when it begins to wait, falling
    /// to 0, so that the wait is bounded however little headroom there is.
    pub(super) fn selectivity(&self, step: StepKey, now: Now) -> f64 {
        if !self.terms.switches.select_workers {
            return 0.0;
        }
        let since = self.ledger.ready_since(step);
        let waited = since.map_or(Duration::ZERO, |since| now.at.saturating_sub(since));
        1.0 - waited.min(SELECTIVE).div_duration_f64(SELECTIVE)
    }
}
