//! Entries of the replicated log: their content, and actions deferred until they are durable.

use std::time::Duration;

use crate::workflow::core::{Core, Effect, Now, OnDurable};
use crate::workflow::incarnation::Incarnation;
use crate::workflow::log::entry;
use crate::workflow::log_state;
use crate::workflow::message::Reply;
use crate::workflow::record::LogRecord;

/// Interval after which placement runs again although no event occurred.
const REPLAN_INTERVAL: Duration = Duration::from_millis(200);
/// Minimum time between two entries while there is freed capacity and long-running tasks have
/// waited for long.
const FREED_CAPACITY_PAUSE: Duration = Duration::from_millis(8);
/// Minimum time between two placement rounds per waiting step. A round looks at all of them:
/// writing an entry with a round in it took an owner 14 to 20 ms with 1,000 open jobs.
const ROUND_PAUSE_PER_STEP: Duration = Duration::from_micros(100);

impl Core {
    /// Handles the confirmation that the entry at `position`, first sent at `sent`, is durable.
    pub fn note_durable(&mut self, position: u64, sent: Duration, now: Now) {
        if self.is_stalled(now) {
            tracing::info!(
                position,
                waited_ms = self.stalled_for(now).as_millis(),
                "store answers again"
            );
            self.store_returned_at = Some(now.at);
        }
        self.ownership_proved_at = self.ownership_proved_at.max(sent);
        self.in_flight = None;
        if self.append_next(now) {
            // Records that were decided together count as durable together.
            self.answer_queries(sent);
            return;
        }
        self.durable = self.durable.max(position);
        while let Some((at, _)) = self.workers_to_wake.first()
            && *at <= position
            && let Some((_, id)) = self.workers_to_wake.pop_first()
        {
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.wake();
            }
        }
        self.undurable_jobs.retain(|_, at| *at > position);
        while self.deferred.front().is_some_and(|(at, _)| *at <= position) {
            let Some((_, action)) = self.deferred.pop_front() else {
                break;
            };
            self.run_deferred(action, now);
        }
        self.answer_queries(sent);
    }

    /// Runs an action once the entry at `position` is durable.
    pub(super) fn defer(&mut self, position: u64, action: OnDurable, now: Now) {
        if position <= self.durable {
            self.run_deferred(action, now);
            return;
        }
        let index = self.deferred.partition_point(|(at, _)| *at <= position);
        self.deferred.insert(index, (position, action));
    }

    fn run_deferred(&mut self, action: OnDurable, now: Now) {
        match action {
            OnDurable::Reply(ticket, reply) => self.effects.push(Effect::Reply(ticket, reply)),
            OnDurable::Cancelled(ticket, id) => {
                // The job may have arrived meanwhile.
                let reply = if self.log_state.find(&id).is_some() {
                    Reply::Accepted
                } else {
                    Reply::Missing
                };
                self.effects.push(Effect::Reply(ticket, reply));
            }
            OnDurable::Acknowledge(worker, number) => self.acknowledge(&worker, number, now),
        }
    }

    /// Records that the run ends reported by a worker up to this number are durable.
    fn acknowledge(&mut self, id: &Incarnation, number: u64, now: Now) {
        let pause = self.tuning.pause;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.ends_recorded = worker.ends_recorded.max(number);
        if worker.ends_recorded == worker.ends_reported && worker.answers {
            let next = now.at.max(worker.last_answer + pause);
            worker.next_poll = worker.next_poll.min(next);
        }
    }

    /// Starts the next log entry if none is in flight and one is due, after a placement round if
    /// that is due as well.
    pub(super) fn append_entry(&mut self, now: Now) {
        let since = now.at.saturating_sub(self.last_append);
        let pause = if self.has_freed_capacity(now) {
            self.tuning.commit.min(FREED_CAPACITY_PAUSE)
        } else {
            self.tuning.commit
        };
        if self.in_flight.is_some() || since < pause {
            return;
        }
        self.record_arrivals(now);
        // What a round decides takes as long to be carried out as answers take.
        let pause = ROUND_PAUSE_PER_STEP * self.backlog;
        let pause = pause.max(self.congestion.usual()).min(REPLAN_INTERVAL);
        let is_due = self.needs_planning && now.at >= self.last_planning + pause;
        // Quarantines end and services return to their targets without an event.
        if is_due || now.at >= self.last_planning + REPLAN_INTERVAL {
            self.needs_planning = false;
            self.last_planning = now.at;
            self.place_tasks(now);
            self.end_admission_reading(now);
        }
        self.place_in_freed_capacity(now);
        self.forget_ended(now);
        self.forget_cancelled_ids(now);
        self.record_lessons(now);
        self.record_run_times(now);
        self.record_demand(now);
        self.record_known_owners(now);
        let proves = since >= self.tuning.proof || !self.is_ownership_current(now);
        if !self.has_urgent_records() && !proves {
            return;
        }
        let records = std::mem::take(&mut self.pending_records);
        self.unwritten = entry::split(records, self.tuning.entry_bytes).into();
        self.next_entry = self.position;
        self.position += self.unwritten.len() as u64;
        self.append_next(now);
    }

    /// Starts the next entry of the records that were decided together; returns false if none is left.
    fn append_next(&mut self, now: Now) -> bool {
        let Some(records) = self.unwritten.pop_front() else {
            return false;
        };
        self.counts.entries += 1;
        self.effects.push(Effect::Append(self.next_entry, records));
        self.in_flight = Some((self.next_entry, now.at));
        self.last_append = now.at;
        self.next_entry += 1;
        true
    }

    /// Returns whether the entries that were started hold all records that were decided, so that the
    /// state is that after the last of them.
    #[must_use]
    pub fn is_written_out(&self) -> bool {
        self.pending_records.is_empty() && self.unwritten.is_empty()
    }

    /// Records that jobs which ended longer than `keep` ago are forgotten.
    pub(super) fn forget_ended(&mut self, now: Now) {
        let Some(limit) = now.at.checked_sub(self.tuning.keep) else {
            return;
        };
        for number in self.log_state.ended_before(limit) {
            if self
                .log_state
                .jobs
                .get(&number)
                .is_some_and(|job| job.live == 0)
            {
                self.record(LogRecord::Forgotten(number), now);
            }
        }
    }

    /// Records the learned interference factors for later owners.
    pub(super) fn record_lessons(&mut self, now: Now) {
        if now.at < self.lessons_recorded_at + self.tuning.teach {
            return;
        }
        self.lessons_recorded_at = now.at;
        if let Some(factors) = self.interference.take_changed() {
            self.record(LogRecord::FactorsLearned(factors), now);
        }
    }

    /// Returns the bytes of learned values by what they tell, as far as their number depends on the
    /// names that callers choose.
    #[must_use]
    pub fn learned_bytes(&self) -> [(&'static str, usize); 2] {
        [
            ("interference", self.interference.bytes()),
            ("demand", self.log_state.learned_demand().len()),
        ]
    }

    /// Returns whether a record is decided that may not wait for the next entry.
    pub(super) fn has_urgent_records(&self) -> bool {
        !self.pending_records.iter().all(LogRecord::may_wait)
    }

    /// Applies a log record and adds it to the next log entry.
    pub(super) fn record(&mut self, record: LogRecord, now: Now) {
        let effect = self.log_state.apply(&record, now.at);
        self.pending_records.push(record);
        if let log_state::Effect::Ended(number, outcome) = effect {
            self.undurable_jobs.insert(number, self.position);
            self.close_job(number, outcome);
        }
    }
}
