//! Requests to the advisor: which workers may run a step, and the tickets for them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::failure::Failure;
use crate::workflow::advisor::Tickets;
use crate::workflow::core::candidates::{Candidate, PlacementRequest};
use crate::workflow::core::{Core, Effect, Now, candidates};
use crate::workflow::incarnation::Incarnation;
use crate::workflow::job::Advice;
use crate::workflow::record::{Run, Task};

/// Limit on workers in one request. The platform allows 100 and its users count 30.
const REQUEST_WORKERS_MAX: usize = 30;
/// Workers named in a request per waiting task, since the advisor rejects some of them.
const WORKERS_PER_TASK: usize = 4;
/// Limit on requests in flight. The advisor handles one at a time and refuses further ones at 32.
const REQUESTS_MAX: usize = 4;
/// Remaining validity below which a ticket is no longer used, since a start may be sent again.
const TICKET_MARGIN: Duration = Duration::from_millis(600);
/// Fraction of the validity that the margin takes at most.
const TICKET_MARGIN_FRACTION: u32 = 4;
/// Time that a request may take, unless the advisor needs most of it whatever is asked. A job may be
/// without a run for 3 s only, and requests about other steps wait meanwhile.
const REQUEST_TIME_MAX: Duration = Duration::from_secs(1);
/// Pause after a request that was not answered.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Allowance for an answer beyond the time that the policies state. It covers a new connection
/// and a few round trips, and is a small part of the 3 s within which a start is due again after
/// its connection went silent.
const ANSWER_ALLOWANCE: Duration = Duration::from_millis(400);
/// Minimum time limit of a request after one that got no answer. As that uses a new connection,
/// it is more likely that the advisor needs longer than stated.
const ANSWER_MIN_AFTER_TIMEOUT: Duration = Duration::from_secs(4);

/// Job number, occurrence of the job and step index.
pub type StepKey = (u32, u32, u16);

/// A request to the advisor.
#[derive(Clone, Debug)]
pub struct AdviceRequest {
    /// Id of the job.
    pub job: Arc<str>,
    /// Step to be placed.
    pub key: StepKey,
    /// Workers that the advisor is asked about.
    pub workers: Vec<Incarnation>,
    /// Time at which the request was made.
    pub asked_at: Duration,
    /// Time limit of the request.
    pub limit: Duration,
}

/// Answers of the advisor about one step, and the request in flight.
#[derive(Clone, Debug, Default)]
pub struct AdviceState {
    /// Workers that may run the step, each with its newest ticket.
    allowed: BTreeMap<Incarnation, Ticket>,
    /// Workers that must never run the step.
    forbidden: BTreeSet<Incarnation>,
    /// Workers in the request in flight.
    in_flight: BTreeSet<Incarnation>,
    retry_at: Duration,
    /// Whether the last request got no answer.
    unanswered: bool,
    /// Whether tickets have arrived too late to be used, which is logged once.
    has_useless_tickets: bool,
}

impl AdviceState {
    /// Returns the tickets that a start may still use.
    fn usable_tickets(&self, now: Now) -> impl Iterator<Item = (&Incarnation, &Arc<str>)> {
        let usable = self
            .allowed
            .iter()
            .filter(move |(_, ticket)| ticket.last_use > now.at);
        usable.map(|(id, ticket)| (id, &ticket.text))
    }
}

/// A ticket for the starts of a step on one worker.
#[derive(Clone, Debug)]
struct Ticket {
    text: Arc<str>,
    /// Time until which starts may be sent with it.
    last_use: Duration,
}

/// Returns how long a ticket that holds for `valid` may be used.
fn usable_time(valid: Duration) -> Duration {
    valid.saturating_sub(TICKET_MARGIN.min(valid / TICKET_MARGIN_FRACTION))
}

/// Returns how many workers one request may name.
fn named_max(advice: Advice) -> usize {
    let time = REQUEST_TIME_MAX
        .saturating_sub(advice.decide)
        .max(advice.decide);
    let named = time.as_nanos().checked_div(advice.each.as_nanos());
    let named = named.and_then(|named| usize::try_from(named).ok());
    named.map_or(REQUEST_WORKERS_MAX, |named| {
        named.clamp(1, REQUEST_WORKERS_MAX)
    })
}

impl Core {
    /// Returns the valid tickets for a task's step, by worker.
    pub(super) fn tickets(&self, task: Task, now: Now) -> BTreeMap<Incarnation, Arc<str>> {
        let Some(advised) = self
            .advice_states
            .get(&(task.job, task.occurrence, task.step))
        else {
            return BTreeMap::new();
        };
        let usable = advised.usable_tickets(now);
        usable
            .map(|(id, ticket)| (id.clone(), ticket.clone()))
            .collect()
    }

    /// Returns whether the advisor has ruled out a worker for a step.
    pub(super) fn is_forbidden(&self, step: StepKey, worker: &Incarnation) -> bool {
        let advised = self.advice_states.get(&step);
        advised.is_some_and(|advised| advised.forbidden.contains(worker))
    }

    /// Requests advice about the best workers for a step, unless a request for the step is in
    /// flight, too many others are, or the pause after an unanswered one is not over.
    pub(super) fn request_advice(
        &mut self,
        task: Task,
        tasks: usize,
        fleet: &[Candidate],
        request: &PlacementRequest<'_>,
        now: Now,
    ) {
        let requests = self
            .advice_states
            .values()
            .filter(|advised| !advised.in_flight.is_empty())
            .count();
        let key = (task.job, task.occurrence, task.step);
        let advised = self.advice_states.entry(key).or_default();
        if !advised.in_flight.is_empty() || requests >= REQUESTS_MAX || now.at < advised.retry_at {
            return;
        }
        let (forbidden, allowed) = (advised.forbidden.clone(), advised.allowed.clone());
        let has_ticket = |id: &Incarnation| {
            let ticket = allowed.get(id);
            ticket.is_some_and(|ticket| ticket.last_use > now.at)
        };
        let unrestricted = PlacementRequest {
            tickets: None,
            excluded: None,
            only: request.only.clone(),
            failed_on: BTreeSet::new(),
            runs_per_worker: BTreeMap::new(),
            reserve: request.reserve.clone(),
            room: None,
            searched: 0,
            ..*request
        };
        let mut candidates: Vec<&Candidate> = fleet
            .iter()
            .filter(|candidate| !forbidden.contains(&candidate.id) && !has_ticket(&candidate.id))
            .filter(|candidate| candidates::is_eligible(candidate, &unrestricted))
            .collect();
        // Workers that were allowed before come first, then those with the most free processors.
        candidates.sort_by_key(|candidate| {
            let was_allowed = allowed.contains_key(&candidate.id);
            (!was_allowed, std::cmp::Reverse(candidate.free.processors))
        });
        let Some(job) = self.log_state.jobs.get(&task.job) else {
            return;
        };
        let named = job.policy.advice.map_or(REQUEST_WORKERS_MAX, named_max);
        candidates.truncate(named.min(tasks * WORKERS_PER_TASK).max(1));
        let workers: Vec<Incarnation> = candidates
            .iter()
            .map(|candidate| candidate.id.clone())
            .collect();
        if workers.is_empty() {
            return;
        }
        let id = job.job.id.clone();
        if let Some(advised) = self.advice_states.get_mut(&key) {
            advised.in_flight.extend(workers.iter().cloned());
        }
        self.effects.push(Effect::Advise(AdviceRequest {
            job: id,
            key,
            workers,
            asked_at: now.at,
            limit: self.answer_limit(key),
        }));
    }

    /// Returns the time limit of a request about a step. The advisor handles one request at a time,
    /// so all others in flight may come first.
    fn answer_limit(&self, key: StepKey) -> Duration {
        let stated: Duration = self
            .advice_states
            .iter()
            .filter_map(|(key, advised)| self.stated_time(*key, advised.in_flight.len()))
            .sum();
        let unanswered = self
            .advice_states
            .get(&key)
            .is_some_and(|advised| advised.unanswered);
        let least = if unanswered {
            ANSWER_MIN_AFTER_TIMEOUT
        } else {
            Duration::ZERO
        };
        least.max(stated + ANSWER_ALLOWANCE)
    }

    /// Returns the answer time that the job's policy states for a request with `named` workers.
    fn stated_time(&self, key: StepKey, named: usize) -> Option<Duration> {
        let advice = self.log_state.jobs.get(&key.0)?.policy.advice?;
        let named = u32::try_from(named).ok().filter(|named| *named > 0)?;
        Some(advice.answer_time(named))
    }

    /// Handles the advisor's answer to the request made at `asked_at`.
    pub fn handle_advice(
        &mut self,
        key: StepKey,
        asked_at: Duration,
        answer: Result<Tickets, Failure>,
        now: Now,
    ) {
        let job = self.log_state.jobs.get(&key.0);
        let advice = job.and_then(|job| job.policy.advice);
        let Some(advised) = self.advice_states.get_mut(&key) else {
            return;
        };
        let in_flight = std::mem::take(&mut advised.in_flight);
        let Some(advice) = advice else {
            self.advice_states.remove(&key);
            return;
        };
        self.needs_planning = true;
        let allowed = match answer {
            Ok(allowed) => allowed,
            Err(failure) => {
                tracing::info!(job = key.0, step = key.2, %failure, "advisor did not answer");
                advised.retry_at = now.at + RETRY_PAUSE;
                advised.unanswered = true;
                return;
            }
        };
        // The tickets hold from the advisor's answer on. It handles requests in turn, so it cannot have
        // answered earlier than this.
        let began = asked_at.max(self.last_advice);
        let named = u32::try_from(in_flight.len()).unwrap_or(u32::MAX);
        let issued = began.saturating_add(advice.answer_time(named)).min(now.at);
        self.last_advice = issued;
        let last_use = issued + usable_time(advice.valid);
        advised.unanswered = false;
        advised.forbidden.extend(in_flight);
        if last_use <= now.at && !allowed.is_empty() {
            self.counts.useless_tickets += allowed.len() as u64;
            advised.retry_at = now.at + RETRY_PAUSE;
            if !std::mem::replace(&mut advised.has_useless_tickets, true) {
                tracing::warn!(
                    job = key.0,
                    step = key.2,
                    tickets = allowed.len(),
                    valid_ms = advice.valid.as_millis(),
                    asked_ms = now.at.saturating_sub(asked_at).as_millis(),
                    "tickets of the advisor are over before a start can use them"
                );
            }
        }
        for (id, text) in allowed {
            advised.forbidden.remove(&id);
            advised.allowed.insert(id, Ticket { text, last_use });
        }
    }

    /// Drops the ticket that a worker has rejected, so that the next start there brings another one.
    pub(super) fn drop_ticket(&mut self, run: Run, now: Now) {
        let task = run.task;
        let key = (task.job, task.occurrence, task.step);
        let (Some(live), Some(advised)) = (self.runs.get(&run), self.advice_states.get_mut(&key))
        else {
            return;
        };
        let ticket = advised.allowed.get_mut(&live.worker);
        if let Some(ticket) = ticket.filter(|it| Some(&it.text) == live.ticket.as_ref())
            && ticket.last_use > now.at
        {
            ticket.last_use = now.at;
            advised.retry_at = advised.retry_at.max(now.at + RETRY_PAUSE);
            self.counts.useless_tickets += 1;
        }
    }
}
