//! Entries of the log: what goes in, and what waits for them.

use std::time::Duration;

use crate::workflow::core::{Core, Effect, Now, OnDurable};
use crate::workflow::incarnation::Incarnation;
use crate::workflow::log_state;
use crate::workflow::record::LogRecord;

/// Time after which what waits is looked at again although nothing happened.
const REPLAN: Duration = Duration::from_millis(200);
/// Least time between two entries while room stands empty for which a lasting task has waited
/// for long.
const REFILL: Duration = Duration::from_millis(8);
/// Time between two rounds of placing for each step that waits: a round looks at all of them,
/// and writing an entry with a round in it took an owner 14 to 20 ms with 1,000 open jobs.
const ROUND_EACH: Duration = Duration::from_micros(100);

impl Core {
    /// The entry at `position`, first sent at `sent`, is durable.
    pub fn note_durable(&mut self, position: u64, sent: Duration, now: Now) {
        if self.is_stalled(now) {
            tracing::info!(
                position,
                waited_ms = self.stalled_for(now).as_millis(),
                "store answers again"
            );
            self.store_returned_at = Some(now.at);
        }
        self.durable = self.durable.max(position);
        for id in std::mem::take(&mut self.workers_to_wake) {
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.wake();
            }
        }
        self.ownership_proved_at = self.ownership_proved_at.max(sent);
        self.in_flight = None;
        self.undurable_jobs.retain(|_, at| *at > position);
        while self.deferred.front().is_some_and(|(at, _)| *at <= position) {
            let Some((_, then)) = self.deferred.pop_front() else {
                break;
            };
            self.finish(then, now);
        }
    }

    /// Does something once the entry at `position` is durable.
    pub(super) fn defer(&mut self, position: u64, then: OnDurable, now: Now) {
        if position <= self.durable {
            self.finish(then, now);
            return;
        }
        let place = self.deferred.partition_point(|(at, _)| *at <= position);
        self.deferred.insert(place, (position, then));
    }

    fn finish(&mut self, then: OnDurable, now: Now) {
        match then {
            OnDurable::Answer(ticket, reply) => self.effects.push(Effect::Answer(ticket, reply)),
            OnDurable::Acknowledge(worker, number) => self.acknowledge(&worker, number, now),
        }
    }

    /// Ends of a worker up to this number are in the log.
    fn acknowledge(&mut self, id: &Incarnation, number: u64, now: Now) {
        let pause = self.terms.pause;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.ends_recorded = worker.ends_recorded.max(number);
        if worker.ends_recorded == worker.ends_reported && worker.answers {
            let next = now.at.max(worker.heard + pause);
            worker.next_poll = worker.next_poll.min(next);
        }
    }

    pub(super) fn append_entry(&mut self, now: Now) {
        let since = now.at.saturating_sub(self.last_append);
        let pause = if self.has_freed_capacity(now) {
            self.terms.commit.min(REFILL)
        } else {
            self.terms.commit
        };
        if self.in_flight.is_some() || since < pause {
            return;
        }
        self.record_arrivals(now);
        let pause = (ROUND_EACH * self.backlog).min(REPLAN);
        let dirty = self.needs_planning && now.at >= self.last_planning + pause;
        // Workers are let back, and services calm down, without an event.
        if dirty || now.at >= self.last_planning + REPLAN {
            self.needs_planning = false;
            self.last_planning = now.at;
            self.plan(now);
        }
        self.place_in_freed_capacity(now);
        self.forget_ended(now);
        self.record_lessons(now);
        if self.pending.is_empty() && since < self.terms.proof {
            return;
        }
        let facts = std::mem::take(&mut self.pending);
        self.counts.entries += 1;
        self.effects.push(Effect::Append(self.position, facts));
        self.in_flight = Some((self.position, now.at));
        self.last_append = now.at;
        self.position += 1;
    }

    pub(super) fn forget_ended(&mut self, now: Now) {
        let Some(limit) = now.at.checked_sub(self.terms.keep) else {
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

    /// Keeps what was learned, for a later owner.
    pub(super) fn record_lessons(&mut self, now: Now) {
        if now.at < self.lessons_recorded_at + self.terms.teach {
            return;
        }
        self.lessons_recorded_at = now.at;
        let lessons = self.interference.export();
        if !lessons.is_empty() {
            self.record(LogRecord::Learned(lessons), now);
        }
    }

    /// Applies a fact and puts it into the next entry.
    pub(super) fn record(&mut self, fact: LogRecord, now: Now) {
        let effect = self.log_state.apply(&fact, now.at);
        self.pending.push(fact);
        if let log_state::Effect::Ended(number, outcome) = effect {
            self.undurable_jobs.insert(number, self.position);
            self.close_job(number, outcome);
        }
    }
}
