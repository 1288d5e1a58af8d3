//! Looks at workers: which are due, and what each asks.

use std::time::Duration;

use crate::workflow::agents::{POLL_TIMEOUT_MIN, Poll};
use crate::workflow::core::{Core, Effect, Now};
use crate::workflow::incarnation::Incarnation;
use crate::workflow::live_run::Stop;
use crate::workflow::worker::{PendingPoll, Worker};

/// Time between two searches for looks that are due, each through all workers.
const LOOKS: Duration = Duration::from_millis(4);
/// Pause between two looks at a worker that did not answer, growing to the second.
pub(super) const POLL_RETRY: [Duration; 2] =
    [Duration::from_millis(150), Duration::from_millis(700)];
/// Longest time for which an answer to a look is waited for beyond its wait: with the wait
/// itself it stays below a lease.
pub(super) const POLL_TIMEOUT_MAX: Duration = Duration::from_secs(2);
/// Part of the workers that a new owner looks at for the first time at once. Their answers list
/// all that runs there; on a thin link those of all workers together come too late, and are asked
/// for again. A third also bounds what workers that say nothing cost the others: three times the
/// limit of a look.
const FIRST_SHARE: usize = 3;
/// Workers that are always looked at at once.
const FIRST_MIN: usize = 16;
/// Silence after which a worker is looked at more rarely.
const SILENT: Duration = Duration::from_secs(5);

impl Core {
    /// Sends the looks that are due.
    pub(super) fn send_due_polls(&mut self, now: Now) {
        if now.at < self.last_poll_scan + LOOKS {
            return;
        }
        self.last_poll_scan = now.at;
        let limit = self.pressure.timeout(POLL_TIMEOUT_MIN, POLL_TIMEOUT_MAX);
        for life in self.collect_looks(now) {
            let Some(look) = self.prepare_look(&life, now) else {
                continue;
            };
            let target = self.workers[&life].target(self.fences.of(&life), limit);
            self.counts.looks += 1;
            self.effects.push(Effect::Look(target, look));
        }
    }

    /// Workers at which a look is due: all that have answered this owner, and of the others as many
    /// as may be under way, those that have waited longest.
    fn collect_looks(&self, now: Now) -> Vec<Incarnation> {
        let due = self.workers.values();
        let due =
            due.filter(|worker| worker.pending_poll.is_none() && now.at >= worker.next_poll_due());
        let mut due: Vec<&Worker> = due.collect();
        let first = due.iter().filter(|worker| !worker.fenced).count();
        let most = (self.workers.len() / FIRST_SHARE).max(FIRST_MIN);
        if first > 0 {
            let under_way = self.workers.values();
            let under_way =
                under_way.filter(|worker| !worker.fenced && worker.pending_poll.is_some());
            let free = most.saturating_sub(under_way.count());
            if first > free {
                due.sort_by_key(|worker| (!worker.fenced, worker.next_poll_due()));
                due.truncate(due.len() - first + free);
            }
        }
        due.into_iter()
            .map(|worker| worker.incarnation().clone())
            .collect()
    }

    /// Notes that a worker is looked at now; the result is what it is asked.
    fn prepare_look(&mut self, life: &Incarnation, now: Now) -> Option<Poll> {
        let renew = self.may_renew(now);
        // A service over its target must have relief within 4 s, so reports may be fewer.
        let watch = if self.pressure.is_congested() {
            self.terms.wait / 2
        } else {
            self.terms.watch
        };
        let fence = self.fences.of(life);
        let worker = self.workers.get_mut(life)?;
        let mixed = worker.serving > 0 && worker.filling > 0;
        let known = worker.fenced && worker.answers && worker.doubted.is_none();
        let wait = match (known, mixed) {
            // The clock must be known before a lease can be granted.
            (false, _) => Duration::ZERO,
            (true, true) => watch,
            (true, false) => self.terms.wait,
        };
        let stopping = worker.runs.iter().any(|run| {
            let placed = self.runs.get(run);
            placed.is_some_and(|placed| matches!(placed.stop, Stop::Confirmed(_)))
        });
        let wait = if stopping {
            wait.min(Duration::from_millis(100))
        } else {
            wait
        };
        let grants = renew && worker.answers && !worker.runs.is_empty();
        let until = if grants {
            worker.lease.grant(now.at, self.terms.lease)
        } else {
            None
        };
        // An acknowledgement that is not needed could only be taken by a later life, and one to
        // a worker that was silent, or whose clock lagged, may be: it would forget ends that
        // nobody has read, and their tasks would be done again.
        let seen = if worker.answers && worker.ends_recorded > worker.ends_acknowledged {
            worker.ends_recorded
        } else {
            0
        };
        worker.pending_poll = Some(PendingPoll {
            sent: now.at,
            wait,
            ends_recorded: seen,
            fence,
            renews: until.is_some(),
        });
        Some(Poll {
            until,
            ends_recorded: seen,
            wait,
        })
    }

    /// A look was not answered; `broke` when its connection was refused or broke.
    pub(super) fn note_missed_poll(&mut self, id: &Incarnation, broke: bool, now: Now) {
        self.raise_fence(id, now);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.answers = false;
        worker.missed.get_or_insert(now.at);
        if broke {
            worker.broke.get_or_insert(now.at);
        }
        let silent = now.at.saturating_sub(worker.heard) > SILENT;
        worker.next_poll = now.at + POLL_RETRY[usize::from(silent)];
    }
}
