//! Job admission, cancellation and status queries.

use std::fmt;
use std::sync::Arc;

use crate::workflow::admission::refusals;
use crate::workflow::core::queries::Query;
use crate::workflow::core::{Core, Effect, Now, OnDurable, RequestToken};
use crate::workflow::job::{Job, Sharing, Step};
use crate::workflow::live_run::Stage;
use crate::workflow::log::entry;
use crate::workflow::message::{Reply, State};
use crate::workflow::record::{LogRecord, Outcome, Run};
use crate::workflow::state::{JobState, TaskState};

impl Core {
    /// Accepts a job. The client is answered once the log entry that holds the job is durable.
    pub fn submit(&mut self, job: Job, ticket: RequestToken, now: Now) {
        if let Some(number) = self.log_state.find(&job.id) {
            let position = self.undurable_jobs.get(&number).copied().unwrap_or(0);
            self.defer(position, OnDurable::Reply(ticket, Reply::Accepted), now);
            return;
        }
        // A repeated submission gets the same reply as the first one.
        let mut arrivals = self.arrivals.iter_mut();
        if let Some((_, tickets)) = arrivals.find(|(other, _)| other.id == job.id) {
            tickets.push(ticket);
            return;
        }
        if let Some(reply) = self.check_admission(&job, now) {
            tracing::info!(job = %job.id, ?reply, stalled_ms = self.stalled_for(now).as_millis(),
                "job rejected");
            self.effects.push(Effect::Reply(ticket, reply));
            return;
        }
        if let Some(reply) = self.refuse_for_overload(&job, now) {
            self.effects.push(Effect::Reply(ticket, reply));
            return;
        }
        self.arrivals.push((job, vec![ticket]));
    }

    /// Records the jobs that were submitted since the last log entry.
    pub(super) fn record_arrivals(&mut self, now: Now) {
        let mut origins = self.shares.take_arriving();
        for (job, tickets) in std::mem::take(&mut self.arrivals) {
            let Some(queue) = self.config.queue(&job.queue) else {
                for ticket in tickets {
                    self.query(Query::Queue, ticket, now);
                }
                continue;
            };
            let policy = queue.policy.clone();
            let number = self.log_state.next;
            tracing::info!(job = %job.id, number, queue = %job.queue, steps = %StepSummary(&job),
                position = self.position, config = self.config.version, "job accepted");
            self.undurable_jobs.insert(number, self.position);
            let origin = origins.remove(&job.id);
            let since = self.first_attempt(&job.id, now);
            self.record(LogRecord::Accepted(Box::new(job), policy, since), now);
            self.record_origin(number, origin, now);
            self.counts.accepted += 1;
            self.needs_planning = true;
            if self.log_state.jobs[&number].outcome.is_some() {
                // For versions that do not know the cancelled id.
                self.record(LogRecord::Cancelled(number), now);
                tracing::info!(
                    number,
                    "job was cancelled before it arrived, and does not run"
                );
            }
            for ticket in tickets {
                self.defer(
                    self.position,
                    OnDurable::Reply(ticket, Reply::Accepted),
                    now,
                );
            }
        }
    }

    /// Rejects the jobs that are in no log entry yet while the store does not answer. None of
    /// them has been written anywhere.
    pub(super) fn reject_arrivals(&mut self, now: Now) {
        if self.arrivals.is_empty() || !self.is_stalled(now) {
            return;
        }
        self.shares.take_arriving();
        for (job, tickets) in std::mem::take(&mut self.arrivals) {
            tracing::info!(job = %job.id, stalled_ms = self.stalled_for(now).as_millis(),
                "job rejected: the store does not answer");
            for ticket in tickets {
                let refused = self.retry_later_reply(&job.id);
                self.effects.push(Effect::Reply(ticket, refused));
            }
        }
    }

    /// Returns the refusal for reasons other than overload. The retry delay differs between callers.
    fn retry_later_reply(&self, id: &str) -> Reply {
        let retry = if self.tuning.switches.admission_control {
            refusals::spread_delay(id, self.tuning.retry)
        } else {
            self.tuning.retry
        };
        Reply::Refused(refusals::millis(retry))
    }

    /// Returns the reason to reject a job, or `None` if it can be accepted.
    fn check_admission(&mut self, job: &Job, now: Now) -> Option<Reply> {
        if self.is_stalled(now) || self.log_state.open().len() >= self.tuning.jobs {
            return Some(self.retry_later_reply(&job.id));
        }
        if let Err(reason) = job.check() {
            return Some(Reply::Invalid(reason.into()));
        }
        let (bytes, limit) = (entry::job_bytes(job), self.tuning.entry_bytes);
        if bytes > limit {
            let reason =
                format!("the job takes {bytes} bytes of the log, at most {limit} are allowed");
            return Some(Reply::Invalid(reason.into()));
        }
        if !self.has_memory_for(job) {
            self.counts.refused_for_memory += 1;
            return Some(self.retry_later_reply(&job.id));
        }
        None
    }

    /// Reports whether the open jobs leave memory for one more, beside those that arrived with it.
    fn has_memory_for(&self, job: &Job) -> bool {
        let arrived = self.arrivals.iter().map(|(job, _)| job.open_bytes());
        let taken = self.log_state.open_bytes() + arrived.sum::<usize>();
        taken.saturating_add(job.open_bytes()) <= self.tuning.job_bytes
    }

    /// Cancels a job, which may arrive later. The client is answered once the cancellation is durable,
    /// which also proves that no later owner knows a job that is unknown here.
    pub fn cancel(&mut self, id: &str, ticket: RequestToken, now: Now) {
        if self.cancel_known(id, ticket, now) {
            return;
        }
        let cancelled = self.log_state.cancelled_ids();
        if !cancelled.contains(id) {
            if !cancelled.has_room_for(id) {
                tracing::warn!(
                    job = id,
                    ids = cancelled.len(),
                    "cancellation refused: too many unknown jobs were cancelled"
                );
                let refused = self.retry_later_reply(id);
                self.effects.push(Effect::Reply(ticket, refused));
                return;
            }
            tracing::info!(
                job = id,
                position = self.position,
                "cancellation of an unknown job"
            );
        }
        // Recorded again if it was: the entry proves the ownership after this call.
        let id: Arc<str> = id.into();
        self.record(LogRecord::IdCancelled(id.clone()), now);
        self.defer(self.position, OnDurable::Cancelled(ticket, id), now);
    }

    /// Forgets cancelled ids of which no copy of the job can be under way any more.
    pub(super) fn forget_cancelled_ids(&mut self, now: Now) {
        if let Some(limit) = now.at.checked_sub(self.tuning.keep) {
            self.log_state.forget_cancelled_ids(limit);
        }
    }

    /// Cancels a job; returns false if it is not in the log.
    fn cancel_known(&mut self, id: &str, ticket: RequestToken, now: Now) -> bool {
        if self.arrivals.iter().any(|(job, _)| *job.id == *id) {
            self.record_arrivals(now);
        }
        let Some(number) = self.log_state.find(id) else {
            return false;
        };
        if self.log_state.jobs[&number].outcome.is_none() {
            tracing::info!(job = id, number, position = self.position, "job cancelled");
            self.undurable_jobs.insert(number, self.position);
            self.record(LogRecord::Cancelled(number), now);
            self.needs_planning = true;
        }
        let position = self.undurable_jobs.get(&number).copied().unwrap_or(0);
        self.defer(position, OnDurable::Reply(ticket, Reply::Accepted), now);
        true
    }

    /// Returns the state of a job, as far as this process knows; [`Core::query`] also proves that it
    /// owns the log. An outcome is reported only once it is durable.
    #[must_use]
    pub fn state(&self, id: &str) -> Reply {
        let Some(number) = self.log_state.find(id) else {
            let submitted = self.arrivals.iter().any(|(job, _)| *job.id == *id);
            return if submitted {
                Reply::State(State::Queued)
            } else {
                Reply::Missing
            };
        };
        let job = &self.log_state.jobs[&number];
        let durable = !self.undurable_jobs.contains_key(&number);
        let state = match job.outcome {
            Some(outcome) if durable => State::Over(outcome),
            _ if job.begun => State::Running,
            _ => State::Queued,
        };
        Reply::State(state)
    }

    /// Returns the number of accepted jobs of a queue that have not started, as far as this process
    /// knows.
    #[must_use]
    pub fn count_pending(&self, queue: &str) -> Reply {
        let jobs = self
            .log_state
            .open()
            .iter()
            .map(|number| &self.log_state.jobs[number]);
        let open = self.log_state.open().iter().zip(jobs);
        let pending = open.filter(|(number, job)| {
            *job.job.queue == *queue
                && job.outcome != Some(Outcome::Cancelled)
                && (!job.begun || !self.has_started(**number, job))
        });
        Reply::Pending(pending.count() as u64)
    }

    /// Returns whether a worker has confirmed a start of the job. A placed run does not count, and neither
    /// does one that was withdrawn: its start order may have waited behind others, or been refused.
    /// Of the runs of earlier owners those count that left a trace in the log.
    fn has_started(&self, number: u32, job: &JobState) -> bool {
        let steps = || {
            job.occurrences
                .values()
                .flat_map(|occurrence| &occurrence.steps)
        };
        let has_run =
            |task: &TaskState| task.done || !task.failed.is_empty() || !task.checkpoint.is_empty();
        let has_closed_occurrence = job.occurrences.len() < job.next_occurrence as usize;
        let ended = self.started_jobs.contains(&number)
            || has_closed_occurrence
            || steps().any(|step| step.tasks.iter().any(has_run));
        let started = |run: &Run| {
            let live = self.runs.get(run);
            live.is_some_and(|live| matches!(live.stage, Stage::Started(_)))
        };
        ended || self.runs_of(number).iter().any(started)
    }
}

/// Formats a summary of a job's steps for logs.
struct StepSummary<'a>(&'a Job);

impl fmt::Display for StepSummary<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for step in &self.0.steps {
            let kind = match step.sharing {
                Sharing::Apart => "",
                Sharing::Serves(_) => " serves",
                Sharing::Fills => " fills",
            };
            let long_running = if step.long_running { " lasting" } else { "" };
            write!(
                f,
                "[{}x{}m/{}MiB {}ms{kind}{long_running}{} after {:?}]",
                step.count,
                step.needs.processors,
                step.needs.memory >> 20,
                step.estimate.as_millis(),
                StepLimits(step),
                step.depends_on
            )?;
        }
        Ok(())
    }
}

/// Formats a step's limits on tasks per worker and on tasks that are down at once, where it has
/// any.
struct StepLimits<'a>(&'a Step);

impl fmt::Display for StepLimits<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.spread > 0 {
            write!(f, " spread {}", self.0.spread)?;
        }
        if let Some(limit) = self.0.away_max {
            write!(f, " away {limit}")?;
        }
        Ok(())
    }
}
