//! Which batch tasks make room for a latency-critical one.

use std::sync::Arc;
use std::time::Duration;

use crate::cell::Cell;
use crate::fact::{Attempt, TaskId};
use crate::job::Phase;
use crate::resources::Resources;
use crate::session::LeaseTerms;
use crate::template::Class;
use crate::worker_state::WorkerState;

/// Window of an account's eviction budget.
const BUDGET_WINDOW: Duration = Duration::from_hours(1);

/// A batch task that may be evicted.
struct Candidate {
    attempt: Attempt,
    needs: Resources,
    budget_used: f64,
}

/// Chooses the worker on which the fewest evictions make room for `needs`.
///
/// Among tasks, those of the account that has spent least of its eviction budget
/// go first, so that accounts bear evictions alike; an account whose budget is
/// spent is passed over.
#[must_use]
pub fn choose_victims(
    cell: &Cell,
    needs: &Resources,
    terms: &LeaseTerms,
    now: Duration,
) -> Option<(Arc<str>, Vec<Attempt>)> {
    let mut best: Option<(Arc<str>, Vec<Attempt>)> = None;
    for (name, host) in cell
        .workers
        .iter()
        .filter(|(_, host)| host.accepts_attempts(now, terms))
    {
        let Some(victims) = victims_on(cell, host, needs, now) else {
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
    host: &WorkerState,
    needs: &Resources,
    now: Duration,
) -> Option<Vec<Attempt>> {
    if !needs.fits_within(host.pool().capacity()) {
        return None;
    }
    let mut candidates: Vec<Candidate> = host
        .tasks
        .iter()
        .filter_map(|id| eviction_candidate(cell, *id, now))
        .collect();
    candidates.sort_by(|one, other| one.budget_used.total_cmp(&other.budget_used));
    let mut free = host.pool().free();
    let mut victims = Vec::new();
    for victim in candidates {
        if needs.fits_within(&free) {
            break;
        }
        free = free.plus(&victim.needs);
        victims.push(victim.attempt);
    }
    (needs.fits_within(&free) && !victims.is_empty()).then_some(victims)
}

/// Whether a batch task may be evicted within its account's budget.
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
    let recent = account
        .eviction_times
        .iter()
        .filter(|at| now.saturating_sub(**at) < BUDGET_WINDOW)
        .count();
    let recent = u32::try_from(recent).unwrap_or(u32::MAX);
    if recent >= account.evictions_per_hour {
        return None;
    }
    let spent = f64::from(recent) / f64::from(account.evictions_per_hour);
    let attempt = Attempt {
        task: id,
        number: task.attempt,
    };
    Some(Candidate {
        attempt,
        needs: submission.needs,
        budget_used: spent,
    })
}
