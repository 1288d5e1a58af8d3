//! Limit on starts that are placed and not sent yet.
//!
//! A placed run reserves its resources until it ends. While the owner can send fewer orders than it
//! decides, further placements would only take room for tasks that cannot begin, and fix early which
//! of them come first. Their steps wait instead, in the order of their urgency.

use std::time::Duration;

use crate::workflow::congestion::Congestion;
use crate::workflow::core::Core;
use crate::workflow::live_run::{Stage, Stop};
use crate::workflow::record::Run;

/// Time in which the starts that are not sent yet should all be sent.
const SEND_TIME: Duration = Duration::from_millis(200);
/// Shortest delay of an answer that the rate of orders is derived from.
const DELAY_MIN: Duration = Duration::from_millis(2);
/// Number of windows of orders that may always be placed.
const WINDOWS_MIN: f64 = 2.0;

/// Returns how many starts may be placed and not sent.
fn backlog_limit(congestion: &Congestion) -> usize {
    let rounds = SEND_TIME.div_duration_f64(congestion.usual().max(DELAY_MIN));
    let starts = congestion.window() * rounds.max(WINDOWS_MIN);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a positive number of orders"
    )]
    let starts = starts as usize;
    starts
}

impl Core {
    /// Returns how many further tasks may be placed that are not long-running.
    pub(super) fn free_start_slots(&self) -> usize {
        let unsent = self.runs.iter().filter(|(run, live)| {
            let waits = live.sent == 0
                && live.stop == Stop::None
                && !matches!(live.stage, Stage::Started(_));
            waits && !self.lasts(**run)
        });
        backlog_limit(&self.congestion).saturating_sub(unsent.count())
    }

    fn lasts(&self, run: Run) -> bool {
        let task = self.log_state.task(run.task);
        let step = task.and_then(|(job, _)| job.step(run.task));
        step.is_some_and(|step| step.long_running)
    }
}
