//! Selection of the batch tasks to evict for a latency-critical task.

use std::sync::Arc;
use std::time::Duration;

use crate::cell::Cell;
use crate::fact::{Attempt, TaskId};
use crate::job::Phase;
use crate::resources::Resources;
use crate::session::LeaseTerms;
use crate::template::Class;
use crate::worker_state::WorkerState;

/// Time window of an account's eviction budget.
const BUDGET_WINDOW: Duration = Duration::from_hours(1);

/// Batch task that may be evicted.
struct Candidate {
    attempt: Attempt,
    needs: Resources,
    budget_used: f64,
}

/// Chooses the worker on which the fewest evictions free enough capacity for `needs`.
///
/// Tasks of the account that has used the smallest share of its eviction budget are evicted first,
/// which spreads evictions evenly over the accounts. Accounts without budget left are skipped.
#[must_use]
pub fn choose_victims(
    cell: &Cell,
    needs: &Resources,
    terms: &LeaseTerms,
    now: Duration,
) -> Option<(Arc<str>, Vec<Attempt>)> {
    let mut best: Option<(Arc<str>, Vec<Attempt>)> = None;
    for (name, worker_state) in cell
        .workers
        .iter()
        .filter(|(_, worker_state)| worker_state.accepts_attempts(now, terms))
    {
        let Some(victims) = victims_on(cell, worker_state, needs, now) else {
            continue;
        };
        if best
            .as_ref()
            .is_none_or(|(_, least)| victims.len() < least.len())
        {
            best = Some((name.clone(), victims));
        }
    }
    best
}

fn victims_on(
    cell: &Cell,
    worker_state: &WorkerState,
    needs: &Resources,
    now: Duration,
) -> Option<Vec<Attempt>> {
    if !needs.fits_within(worker_state.pool().capacity()) {
        return None;
    }
    let mut candidates: Vec<Candidate> = worker_state
        .tasks
        .iter()
        .filter_map(|id| eviction_candidate(cell, *id, now))
        .collect();
    candidates.sort_by(|one, other| one.budget_used.total_cmp(&other.budget_used));
    let mut free = worker_state.pool().free();
    let mut victims = Vec::new();
    for candidate in candidates {
        if needs.fits_within(&free) {
            break;
        }
        free = free.plus(&candidate.needs);
        victims.push(candidate.attempt);
    }
    (needs.fits_within(&free) && !victims.is_empty()).then_some(victims)
}

/// Returns whether a task is a batch task that may be evicted within its account's budget.
#[must_use]
pub fn has_budget(cell: &Cell, id: TaskId, now: Duration) -> bool {
    eviction_candidate(cell, id, now).is_some()
}

fn eviction_candidate(cell: &Cell, id: TaskId, now: Duration) -> Option<Candidate> {
    let (task, submission) = cell.task(id)?;
    let evictable = submission.class == Class::Batch && !submission.urgent;
    if !evictable || !matches!(task.phase, Phase::Placed(_)) {
        return None;
    }
    let account = cell.accounts().get(&submission.account)?;
    let recent_evictions = account
        .eviction_times
        .iter()
        .filter(|at| now.saturating_sub(**at) < BUDGET_WINDOW)
        .count();
    let recent_evictions = u32::try_from(recent_evictions).unwrap_or(u32::MAX);
    if recent_evictions >= account.evictions_per_hour {
        return None;
    }
    let budget_used = f64::from(recent_evictions) / f64::from(account.evictions_per_hour);
    let attempt = Attempt {
        task: id,
        number: task.attempt,
    };
    Some(Candidate {
        attempt,
        needs: submission.needs,
        budget_used,
    })
}
