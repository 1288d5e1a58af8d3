//! Starts that may be in flight, as the log tells them to later owners.
//!
//! A start is recorded as pending before it is sent, and as answered once no start of the run is in
//! flight any more. An owner that ends in between leaves the first record only. So the next one tells
//! a start that may be carried out late from one that was answered.

use crate::workflow::core::{Core, Now};
use crate::workflow::incarnation::Incarnation;
use crate::workflow::live_run::{Stage, Stop};
use crate::workflow::record::{LogRecord, Run};
use crate::workflow::worker::LATE_MAX;

impl Core {
    /// Returns the epoch of the owner that sent the pending start of a run.
    fn pending_epoch(&self, run: Run) -> Option<u64> {
        let epoch = self.log_state.pending_starts().get(&run).copied();
        epoch.filter(|_| self.log_state.excludes_copies(run.task))
    }

    /// Returns the epoch of the earlier owner that sent the pending start of a run, if one did.
    fn former_epoch(&self, run: Run) -> Option<u64> {
        self.pending_epoch(run).filter(|epoch| *epoch != self.epoch)
    }

    /// Returns whether a start of a run may be in flight, by whichever owner.
    pub(super) fn has_start_in_flight(&self, run: Run, now: Now) -> bool {
        let live = self.runs.get(&run);
        let in_doubt = live.and_then(|live| live.in_doubt);
        self.log_state.pending_starts().contains_key(&run)
            || in_doubt.is_some_and(|until| now.at < until)
    }

    /// Records that a start of a run is about to be sent.
    pub(super) fn record_pending_start(&mut self, run: Run, now: Now) {
        if self.log_state.excludes_copies(run.task) {
            self.record(LogRecord::StartPending(run, self.epoch), now);
        }
    }

    /// Returns whether a later owner would know of a start that is sent now. If not, the start is
    /// recorded in the next step.
    pub(super) fn is_start_recorded(&mut self, run: Run) -> bool {
        let is_recorded = self.pending_epoch(run) == Some(self.epoch);
        if is_recorded || !self.log_state.excludes_copies(run.task) {
            return true;
        }
        self.unrecorded_starts.insert(run);
        false
    }

    /// Records the starts that are due for runs of earlier owners. They are sent once the records
    /// are durable.
    pub(super) fn record_due_starts(&mut self, now: Now) {
        for run in std::mem::take(&mut self.unrecorded_starts) {
            let Some(live) = self.runs.get_mut(&run) else {
                continue;
            };
            if live.stage != Stage::Starting || live.stop != Stop::None {
                continue;
            }
            live.stage = Stage::Recorded(self.position);
            let worker = live.worker.clone();
            self.workers_to_wake.insert((self.position, worker.clone()));
            self.record_former_start(run, &worker, now);
            self.record_pending_start(run, now);
        }
    }

    /// Records the pending start of an earlier owner, if there is one, as unconfirmed: it may be
    /// carried out after the run has ended or was started again.
    pub(super) fn record_former_start(&mut self, run: Run, worker: &Incarnation, now: Now) {
        let Some(epoch) = self.former_epoch(run) else {
            return;
        };
        let sent = self.last_start_of(epoch);
        let left = (sent + LATE_MAX).saturating_sub(now.at);
        self.counts.unconfirmed += 1;
        tracing::info!(task = %run.task, run = run.number, %worker, epoch, left_ms = left.as_millis(),
            "start of an earlier owner may still be carried out: the task stays with this worker");
        self.record(LogRecord::StartUnconfirmed(run, worker.clone()), now);
        self.log_state.date_unconfirmed(run, sent);
        self.record(LogRecord::StartAnswered(run), now);
    }

    /// Records that a start of a run certainly did not reach its worker, unless another one may have.
    /// A later owner would otherwise wait until it can no longer be carried out.
    pub(super) fn note_unsent_start(&mut self, run: Run, now: Now) {
        let Some(live) = self.runs.get_mut(&run) else {
            return;
        };
        live.sent = live.sent.saturating_sub(1);
        let is_unsent = live.sent == 0 && live.in_doubt.is_none();
        if is_unsent && self.pending_epoch(run) == Some(self.epoch) {
            self.record(LogRecord::StartAnswered(run), now);
        }
    }

    /// Records that no start of a run by this owner is in flight any more, if so.
    pub(super) fn note_answered_start(&mut self, run: Run, now: Now) {
        let Some(live) = self.runs.get(&run) else {
            return;
        };
        let is_started = matches!(live.stage, Stage::Started(_)) && !live.ordering;
        if is_started && self.pending_epoch(run) == Some(self.epoch) {
            self.record(LogRecord::StartAnswered(run), now);
        }
    }

    /// Records that the start of an earlier owner was carried out, as the incarnation that it was sent
    /// to lists the run. That owner had recorded any start before it as unconfirmed.
    pub(super) fn settle_former_start(&mut self, run: Run, now: Now) {
        if self.former_epoch(run).is_some() {
            self.record(LogRecord::StartAnswered(run), now);
        }
    }
}
