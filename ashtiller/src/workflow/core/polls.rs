//! Polls of workers: when they are due and what each one requests.

use std::time::Duration;

use crate::workflow::agents::{POLL_TIMEOUT_MIN, Poll};
use crate::workflow::core::{Core, Effect, Now};
use crate::workflow::incarnation::Incarnation;
use crate::workflow::live_run::Stop;
use crate::workflow::worker::{PendingPoll, Worker};

/// Time between two scans of all workers for due polls.
const POLL_SCAN_INTERVAL: Duration = Duration::from_millis(4);
/// Delay between polls of a worker that does not answer: the first is used until the worker has
/// been silent for `SILENT_AFTER`, then the second.
pub(super) const POLL_RETRY: [Duration; 2] =
    [Duration::from_millis(150), Duration::from_millis(700)];
/// Longest timeout of a poll beyond its long-poll wait. Together with that wait it stays below the
/// length of a lease.
pub(super) const POLL_TIMEOUT_MAX: Duration = Duration::from_secs(2);
/// Fraction (one in this many) of the workers that a new owner polls for the first time at once.
/// Their replies list all runs, and on a slow link the replies of all workers together would time
/// out and be requested again. A third also bounds the delay that unresponsive workers cause the
/// others to three poll timeouts.
const FIRST_POLL_DIVISOR: usize = 3;
/// Number of workers that may always be polled at once.
const FIRST_POLLS_MIN: usize = 16;
/// Silence after which a worker is polled less often.
const SILENT_AFTER: Duration = Duration::from_secs(5);

impl Core {
    /// Sends the polls that are due.
    pub(super) fn send_due_polls(&mut self, now: Now) {
        if now.at < self.last_poll_scan + POLL_SCAN_INTERVAL {
            return;
        }
        self.last_poll_scan = now.at;
        let limit = self.congestion.timeout(POLL_TIMEOUT_MIN, POLL_TIMEOUT_MAX);
        for incarnation in self.collect_due_polls(now) {
            let Some(poll) = self.prepare_poll(&incarnation, now) else {
                continue;
            };
            let target = self.workers[&incarnation].target(self.fences.of(&incarnation), limit);
            self.counts.looks += 1;
            self.effects.push(Effect::Poll(target, poll));
        }
    }

    /// Returns the workers whose poll is due: all that have answered this owner, and those of the
    /// others that have waited longest, up to the limit of first polls in flight.
    fn collect_due_polls(&self, now: Now) -> Vec<Incarnation> {
        let due = self.workers.values();
        let due =
            due.filter(|worker| worker.pending_poll.is_none() && now.at >= worker.next_poll_due());
        let mut due: Vec<&Worker> = due.collect();
        let first = due.iter().filter(|worker| !worker.fenced).count();
        let max = (self.workers.len() / FIRST_POLL_DIVISOR).max(FIRST_POLLS_MIN);
        if first > 0 {
            let in_flight = self.workers.values();
            let in_flight =
                in_flight.filter(|worker| !worker.fenced && worker.pending_poll.is_some());
            let free = max.saturating_sub(in_flight.count());
            if first > free {
                due.sort_by_key(|worker| (!worker.fenced, worker.next_poll_due()));
                due.truncate(due.len() - first + free);
            }
        }
        due.into_iter()
            .map(|worker| worker.incarnation().clone())
            .collect()
    }

    /// Returns whether a worker answers and has runs.
    fn needs_lease(&self, incarnation: &Incarnation) -> bool {
        let worker = self.workers.get(incarnation);
        worker.is_some_and(|worker| worker.answers && !worker.runs.is_empty())
    }

    /// Records that a worker is being polled and returns the request.
    fn prepare_poll(&mut self, incarnation: &Incarnation, now: Now) -> Option<Poll> {
        let renews = self.may_renew(now) && self.needs_lease(incarnation);
        let grants = renews && self.may_grant(incarnation, now);
        // A latency-sensitive service over its target must be relieved within 4 s, which leaves
        // time for fewer reports.
        let watch = if self.congestion.is_congested() {
            self.tuning.wait / 2
        } else {
            self.tuning.watch
        };
        let fence = self.fences.of(incarnation);
        let worker = self.workers.get_mut(incarnation)?;
        let mixed = worker.serving > 0 && worker.filling > 0;
        let known = worker.fenced && worker.answers && worker.doubted.is_none();
        let wait = match (known, mixed) {
            // A lease can be granted only once the worker's clock is known.
            (false, _) => Duration::ZERO,
            (true, true) => watch,
            (true, false) => self.tuning.wait,
        };
        let stopping = worker.runs.iter().any(|run| {
            let live = self.runs.get(run);
            live.is_some_and(|live| matches!(live.stop, Stop::Confirmed(_)))
        });
        // A start may wait for a list that follows a failed call.
        let rejects = worker.answered_fence >= fence;
        let wait = if stopping || !rejects || self.orphans.has_any(incarnation) {
            wait.min(Duration::from_millis(100))
        } else {
            wait
        };
        // The lease follows once it may be granted.
        let wait = if renews && !grants {
            Duration::ZERO
        } else {
            wait
        };
        let until = if grants {
            worker.lease.grant(now.at, self.tuning.lease)
        } else {
            None
        };
        // A needless acknowledgement could only reach a later incarnation. So may one to a worker
        // that was silent or whose clock lagged: that incarnation would forget ends that nobody has
        // read, and their tasks would run again.
        let ends_recorded = if worker.answers && worker.ends_recorded > worker.ends_acknowledged {
            worker.ends_recorded
        } else {
            0
        };
        worker.pending_poll = Some(PendingPoll {
            sent: now.at,
            wait,
            ends_recorded,
            fence,
            renews: until.is_some(),
        });
        Some(Poll {
            until,
            ends_recorded,
            wait,
        })
    }

    /// Records an unanswered poll; `broke` is set if its connection was refused or reset.
    pub(super) fn note_missed_poll(&mut self, id: &Incarnation, broke: bool, now: Now) {
        self.raise_fence(id, now);
        let worker = self.workers.get(id);
        let is_tried = worker.is_some_and(|worker| self.has_trial(worker, now));
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.answers = false;
        worker.silent_since.get_or_insert(now.at);
        if broke {
            worker.broken_since.get_or_insert(now.at);
        }
        if !is_tried {
            self.place_losses.note(worker, now.at);
        }
        let silent = now.at.saturating_sub(worker.last_answer) > SILENT_AFTER;
        worker.next_poll = now.at + POLL_RETRY[usize::from(silent)];
    }
}
