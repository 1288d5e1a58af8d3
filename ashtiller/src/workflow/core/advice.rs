//! Which workers the advisor lets run a step, and the tickets for them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::failure::Failure;
use crate::workflow::advisor::Tickets;
use crate::workflow::core::candidates::{Candidate, PlacementRequest};
use crate::workflow::core::{Core, Effect, Now, candidates};
use crate::workflow::incarnation::Incarnation;
use crate::workflow::job::Advice;
use crate::workflow::record::Task;

/// Workers named in one question. The platform allows 100 and its users count 30.
const NAMED_MAX: usize = 30;
/// Workers named for each task that waits: some of them will not do.
const NAMED_EACH: usize = 4;
/// Questions under way; the advisor takes one at a time and refuses at 32.
const ASKED_MAX: usize = 4;
/// Time before the end of a ticket at which it is not used any more: a start may be
/// sent again.
const TICKET_MARGIN: Duration = Duration::from_millis(600);
/// Pause after a question that was not answered.
const RETRY: Duration = Duration::from_millis(250);

/// Time for an answer beyond what the policies state: a new connection and the way there
/// and back, a few times over, and little of the 3 s in which a start is due again after
/// its connection fell silent.
const ANSWER_SLACK: Duration = Duration::from_millis(400);
/// Least time for an answer after one that did not come: on a new connection it is more
/// likely that the advisor needs longer than stated.
const ANSWER_LATE: Duration = Duration::from_secs(4);

/// A step of one time of a job.
pub type StepKey = (u32, u32, u16);

/// A question to the advisor.
#[derive(Clone, Debug)]
pub struct AdviceRequest {
    /// Id of the job.
    pub job: Arc<str>,
    /// The step that is to run.
    pub key: StepKey,
    /// Workers that are asked for.
    pub workers: Vec<Incarnation>,
    /// When it was asked.
    pub asked_at: Duration,
    /// Time for the answer.
    pub limit: Duration,
}

/// What is known about a step.
#[derive(Clone, Debug, Default)]
pub struct AdviceState {
    /// Workers that may run it.
    good: BTreeMap<Incarnation, (Arc<str>, Duration)>,
    /// Workers that may not, for good.
    bad: BTreeSet<Incarnation>,
    /// Workers that are asked for now.
    asked: BTreeSet<Incarnation>,
    retry: Duration,
    /// Whether the last question was not answered.
    late: bool,
}

impl Core {
    /// Tickets that hold for a step.
    pub(super) fn tickets(&self, task: Task, now: Now) -> BTreeMap<Incarnation, Arc<str>> {
        let Some(advised) = self.advised.get(&(task.job, task.occurrence, task.step)) else {
            return BTreeMap::new();
        };
        let holds = advised
            .good
            .iter()
            .filter(|(_, (_, until))| *until > now.at + TICKET_MARGIN);
        holds
            .map(|(id, (ticket, _))| (id.clone(), ticket.clone()))
            .collect()
    }

    /// Whether the advisor has said that a step may not run on a worker.
    pub(super) fn is_forbidden(&self, step: StepKey, worker: &Incarnation) -> bool {
        let advised = self.advised.get(&step);
        advised.is_some_and(|advised| advised.bad.contains(worker))
    }

    /// Asks for the likely workers of a step, unless enough is known or asked.
    pub(super) fn request_advice(
        &mut self,
        task: Task,
        tasks: usize,
        fleet: &[Candidate],
        wish: &PlacementRequest<'_>,
        now: Now,
    ) {
        let asking = self
            .advised
            .values()
            .filter(|advised| !advised.asked.is_empty())
            .count();
        let key = (task.job, task.occurrence, task.step);
        let advised = self.advised.entry(key).or_default();
        if !advised.asked.is_empty() || asking >= ASKED_MAX || now.at < advised.retry {
            return;
        }
        let (bad, good) = (advised.bad.clone(), advised.good.clone());
        let fresh = |id: &Incarnation| {
            good.get(id)
                .is_some_and(|(_, until)| *until > now.at + TICKET_MARGIN)
        };
        let open = PlacementRequest {
            advised: None,
            excluded: None,
            failed_on: BTreeSet::new(),
            runs_per_worker: BTreeMap::new(),
            ..*wish
        };
        let mut likely: Vec<&Candidate> = fleet
            .iter()
            .filter(|candidate| !bad.contains(&candidate.id) && !fresh(&candidate.id))
            .filter(|candidate| candidates::is_eligible(candidate, &open))
            .collect();
        // Known to be good, then roomy.
        likely.sort_by_key(|candidate| {
            let known = good.contains_key(&candidate.id);
            (!known, std::cmp::Reverse(candidate.free.processors))
        });
        likely.truncate(NAMED_MAX.min(tasks * NAMED_EACH).max(1));
        let workers: Vec<Incarnation> = likely
            .iter()
            .map(|candidate| candidate.id.clone())
            .collect();
        let Some(job) = self.log_state.jobs.get(&task.job) else {
            return;
        };
        if workers.is_empty() {
            return;
        }
        let id = job.job.id.clone();
        if let Some(advised) = self.advised.get_mut(&key) {
            advised.asked.extend(workers.iter().cloned());
        }
        self.effects.push(Effect::Advise(AdviceRequest {
            job: id,
            key,
            workers,
            asked_at: now.at,
            limit: self.answer_limit(key),
        }));
    }

    /// Time for an answer about a step: the advisor takes one question at a time, so the
    /// others that are asked may come first.
    fn answer_limit(&self, key: StepKey) -> Duration {
        let stated: Duration = self
            .advised
            .iter()
            .filter_map(|(key, advised)| self.stated_time(*key, advised.asked.len()))
            .sum();
        let late = self.advised.get(&key).is_some_and(|advised| advised.late);
        let least = if late { ANSWER_LATE } else { Duration::ZERO };
        least.max(stated + ANSWER_SLACK)
    }

    /// Time that the policy states for a question that names so many workers.
    fn stated_time(&self, key: StepKey, named: usize) -> Option<Duration> {
        let advice = self.log_state.jobs.get(&key.0)?.policy.advice?;
        let named = u32::try_from(named).ok().filter(|named| *named > 0)?;
        Some(advice.decide + advice.each * named)
    }

    /// Takes the advisor's answer to a question of `asked_at`.
    pub fn handle_advice(
        &mut self,
        key: StepKey,
        asked_at: Duration,
        answer: Result<Tickets, Failure>,
        now: Now,
    ) {
        let valid = self
            .log_state
            .jobs
            .get(&key.0)
            .and_then(|job| job.policy.advice);
        let Some(advised) = self.advised.get_mut(&key) else {
            return;
        };
        let asked = std::mem::take(&mut advised.asked);
        let Some(Advice { valid, .. }) = valid else {
            self.advised.remove(&key);
            return;
        };
        match answer {
            Ok(good) => {
                advised.late = false;
                advised.bad.extend(asked);
                for (id, ticket) in good {
                    advised.bad.remove(&id);
                    // The advisor's clock began no later than it was asked.
                    advised.good.insert(id, (ticket, asked_at + valid));
                }
                self.needs_planning = true;
            }
            Err(failure) => {
                tracing::info!(job = key.0, step = key.2, %failure, "advisor did not answer");
                advised.retry = now.at + RETRY;
                advised.late = true;
                self.needs_planning = true;
            }
        }
    }
}
