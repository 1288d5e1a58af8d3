//! Jobs that come in, and questions about them.

use std::fmt;

use crate::workflow::core::{Core, Effect, Now, OnDurable, Ticket};
use crate::workflow::job::{Job, Sharing, Step};
use crate::workflow::live_run::Stage;
use crate::workflow::message::{Reply, State};
use crate::workflow::record::{LogRecord, Outcome, Run};
use crate::workflow::state::JobState;

impl Core {
    /// Accepts a job; the answer comes when that is durable.
    pub fn submit(&mut self, job: Job, ticket: Ticket, now: Now) {
        if let Some(number) = self.log_state.find(&job.id) {
            let position = self.undurable_jobs.get(&number).copied().unwrap_or(0);
            self.defer(position, OnDurable::Answer(ticket, Reply::Accepted), now);
            return;
        }
        // Asked for again, it shares the fate of the first call.
        let mut coming = self.arrivals.iter_mut();
        if let Some((_, tickets)) = coming.find(|(other, _)| other.id == job.id) {
            tickets.push(ticket);
            return;
        }
        if let Some(reply) = self.judge(&job, now) {
            tracing::info!(job = %job.id, ?reply, stalled_ms = self.stalled_for(now).as_millis(), "job not taken");
            self.effects.push(Effect::Answer(ticket, reply));
            return;
        }
        self.arrivals.push((job, vec![ticket]));
    }

    /// Records the jobs that came since the last entry.
    pub(super) fn record_arrivals(&mut self, now: Now) {
        for (job, tickets) in std::mem::take(&mut self.arrivals) {
            let Some(queue) = self.config.queue(&job.queue) else {
                for ticket in tickets {
                    self.effects.push(Effect::Answer(ticket, Reply::Missing));
                }
                continue;
            };
            let policy = queue.policy.clone();
            let number = self.log_state.next;
            tracing::info!(job = %job.id, number, queue = %job.queue, steps = %Shape(&job),
                position = self.position, config = self.config.version, "job accepted");
            self.undurable_jobs.insert(number, self.position);
            self.record(LogRecord::Accepted(Box::new(job), policy, now.wall), now);
            self.counts.accepted += 1;
            self.needs_planning = true;
            for ticket in tickets {
                self.defer(
                    self.position,
                    OnDurable::Answer(ticket, Reply::Accepted),
                    now,
                );
            }
        }
    }

    /// While the store is away, jobs that are not in an entry are refused: none of
    /// them was written anywhere.
    pub(super) fn refuse_arrivals(&mut self, now: Now) {
        if self.arrivals.is_empty() || !self.is_stalled(now) {
            return;
        }
        let refused = self.refusal();
        for (job, tickets) in std::mem::take(&mut self.arrivals) {
            tracing::info!(job = %job.id, stalled_ms = self.stalled_for(now).as_millis(), "job refused: the store is away");
            for ticket in tickets {
                self.effects.push(Effect::Answer(ticket, refused.clone()));
            }
        }
    }

    fn refusal(&self) -> Reply {
        let retry = self.terms.retry.as_millis();
        Reply::Refused(u32::try_from(retry).unwrap_or(u32::MAX))
    }

    /// Why a job is not taken, if so.
    fn judge(&self, job: &Job, now: Now) -> Option<Reply> {
        if self.is_stalled(now) || self.log_state.open().len() >= self.terms.jobs {
            return Some(self.refusal());
        }
        if let Err(reason) = job.check() {
            return Some(Reply::Invalid(reason.into()));
        }
        None
    }

    /// Cancels a job; the answer comes when that is durable.
    pub fn cancel(&mut self, id: &str, ticket: Ticket, now: Now) {
        if self.arrivals.iter().any(|(job, _)| *job.id == *id) {
            self.record_arrivals(now);
        }
        let Some(number) = self.log_state.find(id) else {
            tracing::info!(job = id, "cancel of an unknown job");
            self.effects.push(Effect::Answer(ticket, Reply::Missing));
            return;
        };
        if self.log_state.jobs[&number].outcome.is_none() {
            tracing::info!(job = id, number, position = self.position, "job cancelled");
            self.undurable_jobs.insert(number, self.position);
            self.record(LogRecord::Cancelled(number), now);
            self.needs_planning = true;
        }
        let position = self.undurable_jobs.get(&number).copied().unwrap_or(0);
        self.defer(position, OnDurable::Answer(ticket, Reply::Accepted), now);
    }

    /// How a job stands. An outcome is told only once it is durable.
    #[must_use]
    pub fn state(&self, id: &str) -> Reply {
        let Some(number) = self.log_state.find(id) else {
            let coming = self.arrivals.iter().any(|(job, _)| *job.id == *id);
            return if coming {
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

    /// How many accepted jobs of a queue have not begun.
    #[must_use]
    pub fn count_pending(&self, queue: &str) -> Reply {
        let jobs = self
            .log_state
            .open()
            .iter()
            .map(|number| &self.log_state.jobs[number]);
        let open = self.log_state.open().iter().zip(jobs);
        let waiting = open.filter(|(number, job)| {
            *job.job.queue == *queue
                && job.outcome != Some(Outcome::Cancelled)
                && (!job.begun || !self.has_started(**number, job))
        });
        Reply::Pending(waiting.count() as u64)
    }

    /// Whether a start of a job has come through, or a run of it has ended. Starts may wait
    /// for others, or get no answer.
    fn has_started(&self, number: u32, job: &JobState) -> bool {
        let steps = || job.occurrences.values().flat_map(|round| &round.steps);
        let ended = job.live == 0 || steps().any(|step| step.tasks.iter().any(|task| task.done));
        let started = |run: &Run| {
            let live = self.runs.get(run);
            live.is_some_and(|live| matches!(live.stage, Stage::Started(_)))
        };
        ended || self.runs_of(number).iter().any(started)
    }
}

/// A job's steps in a few words, for logs.
struct Shape<'a>(&'a Job);

impl fmt::Display for Shape<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for step in &self.0.steps {
            let kind = match step.sharing {
                Sharing::Apart => "",
                Sharing::Serves(_) => " serves",
                Sharing::Fills => " fills",
            };
            let lasting = if step.long_running { " lasting" } else { "" };
            write!(
                f,
                "[{}x{}m/{}MiB {}ms{kind}{lasting}{} after {:?}]",
                step.count,
                step.needs.processors,
                step.needs.memory >> 20,
                step.estimate.as_millis(),
                Bounds(step),
                step.after
            )?;
        }
        Ok(())
    }
}

/// A step's bounds on where its tasks go and how many may be away, where it has some.
struct Bounds<'a>(&'a Step);

impl fmt::Display for Bounds<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.spread > 0 {
            write!(f, " spread {}", self.0.spread)?;
        }
        if let Some(most) = self.0.away_max {
            write!(f, " away {most}")?;
        }
        Ok(())
    }
}
