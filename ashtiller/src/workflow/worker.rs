//! State that the log owner tracks for one worker incarnation.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::resources::{Pool, Resources};
use crate::workflow::agents::Target;
use crate::workflow::config::ListedWorker;
use crate::workflow::incarnation::Incarnation;
use crate::workflow::interference::Image;
use crate::workflow::lease::{self, Lease};
use crate::workflow::record::{Run, Task};

/// Duration of the first quarantine of a worker whose runs fail; it doubles each time. It is short
/// compared with the bad spells of some seconds that workers show.
const QUARANTINE_MIN: Duration = Duration::from_millis(1500);
/// Upper bound of a quarantine.
const QUARANTINE_MAX: Duration = Duration::from_secs(12);
/// Time after placement for which a run can be the probation run of a worker, the first one after
/// its quarantine. A run that neither ends nor fails for the longest quarantine must not keep the
/// worker closed.
const PROBATION_MAX: Duration = QUARANTINE_MAX;
/// Same limit for a run that makes progress; without progress it would count as stalled within
/// 1.1 s. Long-running tasks that wait for the worker are to start within 3 s.
const PROBATION_PROGRESS_MAX: Duration = Duration::from_secs(2);
/// Longest delay after sending at which an unanswered call may still be carried out.
pub const LATE_MAX: Duration = Duration::from_secs(13);
/// Consecutive failures after which a worker is quarantined.
const QUARANTINE_FAILURES: u32 = 2;

/// Class of an order, in descending priority when not all orders may be sent: stops free capacity
/// and end work that is no longer needed, then come starts of services, relief for services, other
/// starts, and paces that let best-effort runs use more.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum OrderClass {
    /// Stops a run.
    Stop,
    /// Starts a long-running run.
    StartLongRunning,
    /// Lowers the pace of a run.
    Relieve,
    /// Starts any other run that is not best-effort.
    Start,
    /// Starts a best-effort run.
    StartBestEffort,
    /// Raises the pace of a run.
    Pace,
    /// No order is pending.
    Nothing,
}

/// Class of the next order to a worker, and the time since which it has been waiting.
pub type Rank = (OrderClass, Duration);

/// A poll that is in flight.
#[derive(Clone, Copy, Debug)]
pub struct PendingPoll {
    /// Time at which it was sent.
    pub sent: Duration,
    /// Longest time for which the worker may delay the answer until a run ends.
    pub wait: Duration,
    /// Number up to which it acknowledges ends.
    pub ends_recorded: u64,
    /// Fencing token that it carries.
    pub fence: u64,
    /// Whether it extends the lease.
    pub renews: bool,
}

/// State of one worker incarnation.
#[derive(Debug)]
#[expect(clippy::struct_excessive_bools, reason = "each is a state of its own")]
pub struct Worker {
    /// Entry of the worker in the platform's list.
    pub listed: ListedWorker,
    /// Whether its own entry was read; until then the worker is known only from an answer.
    pub has_entry: bool,
    /// Time since which the platform does not list it.
    pub unlisted_since: Option<Duration>,
    /// Time since which it is draining.
    pub draining_since: Option<Duration>,
    /// Time since which another incarnation of the worker is listed, unless it has answered since.
    pub replaced_since: Option<Duration>,
    /// Whether the draining flag came from the previous incarnation, on a platform that reports no
    /// start times.
    pub former_drains: bool,
    /// Lease granted to the worker.
    pub lease: Lease,
    /// Whether it has answered a call with this owner's fencing token.
    pub fenced: bool,
    /// Highest fencing token of a poll that it has answered with all its ends: it rejects all calls with
    /// a lower one, and has told what became of them.
    pub answered_fence: u64,
    /// Time at which the last poll that it has answered with all its ends was sent. The lists show all
    /// runs that began before then.
    pub poll_sent: Duration,
    /// Highest fencing token of unanswered polls, sent to this incarnation or an earlier one, that
    /// may still acknowledge ends.
    unanswered_fence: u64,
    /// Whether its process is known to have ended, and its runs were suspected as far as they may be.
    pub ended: bool,
    /// Whether the last poll was answered.
    pub answers: bool,
    /// Time of the last answer to a poll.
    pub last_answer: Duration,
    /// Time since which polls are not answered.
    pub silent_since: Option<Duration>,
    /// Time since then at which a connection to it was first refused or broken: either its process
    /// has ended or the network reports so.
    pub broken_since: Option<Duration>,
    /// Runs that were given up since its last answer.
    pub lapsed: Vec<Run>,
    /// Poll in flight.
    pub pending_poll: Option<PendingPoll>,
    /// Time at which the next poll is due.
    pub next_poll: Duration,
    /// Number of orders in flight.
    pub ordering: u32,
    /// Time at which the last order was sent.
    pub ordered: Duration,
    /// Earliest time at which an order for it may be pending.
    order_due: Duration,
    /// Priority of its next order, and the time until which it is valid if nothing changes.
    rank: Option<(Rank, Duration)>,
    /// Capacity and the reservations of its runs.
    pub pool: Pool,
    /// Runs that may be active on the worker.
    pub runs: BTreeSet<Run>,
    /// Whether it may have more ends than its last answer lists.
    pub more_ends: bool,
    /// Highest number of an end that the worker has reported.
    pub ends_reported: u64,
    /// Highest number of an end that is recorded in the log.
    pub ends_recorded: u64,
    /// Highest number of an end that the worker knows to be recorded.
    pub ends_acknowledged: u64,
    /// Time until which an unanswered call may still extend its lease.
    pub renewing: Option<Duration>,
    /// Time until which an unanswered poll, sent to this incarnation or an earlier one, may still
    /// acknowledge ends.
    pub acknowledging: Option<Duration>,
    /// Time until which a poll meant for the previous incarnation may acknowledge ends of this one.
    pub stale_ack_until: Option<Duration>,
    /// Latest run of each task that has ended or was stopped on this incarnation, for tasks with
    /// starts that may still be carried out.
    pub ended_runs: BTreeMap<Task, u32>,
    /// Number of latency-sensitive runs on the worker.
    pub serving: u32,
    /// Number of best-effort runs on the worker.
    pub filling: u32,
    /// Processors requested by the best-effort runs, in thousandths.
    pub filled: u64,
    /// Resources that short runs have reserved.
    pub short: Resources,
    /// Best-effort runs that ended recently: their image, the share of the worker's processors that
    /// they used, and the time of their end.
    pub recent_fills: Vec<(Image, f64, Duration)>,
    /// Time since which a latency-sensitive run on the worker exceeds its target.
    pub over_target_since: Option<Duration>,
    /// Time of the last report in which no run on the worker exceeded its target.
    pub last_within_target: Duration,
    /// Time from which reports reflect the paces that were last set.
    pub paces_settled_at: Duration,
    /// Set when the worker's machine was told to end it: only the answer to a poll sent at this
    /// time or later shows that the worker still runs.
    pub doubted: Option<Duration>,
    /// End of the quarantine; the worker gets no runs until then because it fails, stalls or is
    /// slow.
    pub quarantined_until: Option<Duration>,
    failures: u32,
    quarantines: u32,
    /// Time at which the last quarantine began.
    quarantined_at: Duration,
}

impl Worker {
    /// Creates a worker whose earlier leases have all ended by `bound`.
    #[must_use]
    pub fn new(listed: ListedWorker, bound: Duration) -> Self {
        Self {
            pool: Pool::new(listed.capacity),
            draining_since: None,
            replaced_since: None,
            former_drains: false,
            listed,
            has_entry: false,
            unlisted_since: None,
            lease: Lease::new(bound),
            fenced: false,
            answered_fence: 0,
            poll_sent: Duration::ZERO,
            unanswered_fence: 0,
            ended: false,
            answers: false,
            last_answer: Duration::ZERO,
            silent_since: None,
            broken_since: None,
            lapsed: Vec::new(),
            pending_poll: None,
            next_poll: Duration::ZERO,
            ordering: 0,
            ordered: Duration::ZERO,
            order_due: Duration::ZERO,
            rank: None,
            runs: BTreeSet::new(),
            more_ends: false,
            ends_reported: 0,
            ends_recorded: 0,
            ends_acknowledged: 0,
            renewing: None,
            acknowledging: None,
            stale_ack_until: None,
            ended_runs: BTreeMap::new(),
            serving: 0,
            filling: 0,
            filled: 0,
            short: Resources::default(),
            recent_fills: Vec::new(),
            over_target_since: None,
            last_within_target: Duration::ZERO,
            paces_settled_at: Duration::ZERO,
            doubted: None,
            quarantined_until: None,
            failures: 0,
            quarantines: 0,
            quarantined_at: Duration::ZERO,
        }
    }

    /// Records an answer to a poll. One with a part of the ends does not show what became of earlier
    /// calls.
    pub fn note_answered(&mut self, poll: &PendingPoll) {
        if self.more_ends {
            return;
        }
        if poll.fence > self.answered_fence {
            self.answered_fence = poll.fence;
            // Starts may have waited for this.
            self.wake();
        }
        self.poll_sent = self.poll_sent.max(poll.sent);
        if poll.fence > self.unanswered_fence {
            self.stale_ack_until = None;
        }
    }

    /// Returns the address of this incarnation for calls with this fencing token.
    #[must_use]
    pub fn target(&self, fence: u64, timeout: Duration) -> Target {
        Target {
            incarnation: self.listed.incarnation.clone(),
            address: self.listed.address,
            fence,
            timeout,
            zone: self.listed.zone.clone(),
        }
    }

    /// Marks that an order may be pending.
    pub fn wake(&mut self) {
        self.order_due = Duration::ZERO;
        self.rank = None;
    }

    /// Records that no order is pending before `next` unless something changes.
    pub fn rest_until(&mut self, next: Duration) {
        self.order_due = next;
        self.rank = None;
    }

    /// Reports whether an order may be pending.
    #[must_use]
    pub fn has_work(&self, now: Duration) -> bool {
        self.order_due <= now
    }

    /// Returns the priority of its next order while that is still valid.
    #[must_use]
    pub fn rank(&self, now: Duration) -> Option<Rank> {
        let (rank, until) = self.rank?;
        (now < until).then_some(rank)
    }

    /// Records the priority of its next order, valid until `until` if nothing changes.
    pub fn set_rank(&mut self, rank: Rank, until: Duration) {
        self.rank = Some((rank, until));
    }

    /// Returns the time at which the next poll is due.
    #[must_use]
    pub fn next_poll_due(&self) -> Duration {
        self.next_poll.max(self.doubted.unwrap_or_default())
    }

    /// Reports whether the worker has this label.
    #[must_use]
    pub fn has_label(&self, label: &str) -> bool {
        self.listed.labels.iter().any(|have| **have == *label)
    }

    /// Returns the processors that no run has requested, in thousandths.
    #[must_use]
    pub fn unused(&self) -> u64 {
        self.pool.free().processors
    }

    /// Takes over the state of `former`, the ended previous incarnation: what belongs to the
    /// machine, and calls sent to `former` that may reach this incarnation. A worker grants leases
    /// of at most `hold`.
    pub fn take_over_from(&mut self, former: &mut Self, hold: Duration) {
        self.failures = self.failures.max(former.failures);
        self.quarantines = self.quarantines.max(former.quarantines);
        self.quarantined_until = self.quarantined_until.max(former.quarantined_until);
        self.quarantined_at = self.quarantined_at.max(former.quarantined_at);
        if let Some(poll) = former.pending_poll {
            former.note_unanswered(&poll);
        }
        // A stale entry may list the previous incarnation again, with no knowledge of its calls; so
        // they are kept here.
        self.acknowledging = self.acknowledging.max(former.acknowledging);
        self.stale_ack_until = self.stale_ack_until.max(self.acknowledging);
        self.unanswered_fence = self.unanswered_fence.max(former.unanswered_fence);
        self.renewing = self.renewing.max(former.renewing);
        if let Some(until) = former.renewing {
            self.lease.extend(until + lease::worst_case_elapsed(hold));
        }
    }

    /// Records that a poll was not answered in time; it may still be carried out.
    pub fn note_unanswered(&mut self, poll: &PendingPoll) {
        let until = poll.sent + LATE_MAX;
        if poll.renews {
            self.renewing = self.renewing.max(Some(until));
        }
        if poll.ends_recorded > 0 {
            self.acknowledging = self.acknowledging.max(Some(until));
            self.unanswered_fence = self.unanswered_fence.max(poll.fence);
        }
    }

    /// Sets the capacity of the worker.
    pub fn resize(&mut self, capacity: Resources) {
        self.pool.resize(capacity);
    }

    /// Counts a failed run; returns true when the worker is quarantined for it.
    pub fn note_failure(&mut self, now: Duration) -> bool {
        self.failures += 1;
        if self.failures < QUARANTINE_FAILURES
            || self.quarantined_until.is_some_and(|until| until > now)
        {
            return false;
        }
        self.quarantine(now);
        true
    }

    /// Quarantines the worker, for longer each time until a run succeeds there.
    pub fn quarantine(&mut self, now: Duration) {
        let doubled = QUARANTINE_MIN * 2u32.pow(self.quarantines.min(4));
        self.quarantined_until = Some(now + doubled.min(QUARANTINE_MAX));
        self.quarantines += 1;
        self.quarantined_at = now;
    }

    /// Counts a successful run and ends the quarantine.
    pub fn note_success(&mut self) {
        self.failures = 0;
        self.quarantines = 0;
        self.quarantined_until = None;
    }

    /// Returns the number of failures since the last success.
    #[must_use]
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Reports whether the worker is on probation: it was quarantined and no run has succeeded
    /// there since.
    #[must_use]
    pub fn on_probation(&self) -> bool {
        self.quarantines > 0
    }

    /// Reports whether a run placed at `placed` is the worker's current probation run after a
    /// quarantine; `works` tells that the run makes progress.
    ///
    /// Runs placed before the quarantine tell nothing about the present state, and long-running
    /// ones among them never end.
    #[must_use]
    pub fn is_probation_run(&self, placed: Duration, works: bool, now: Duration) -> bool {
        let limit = if works {
            PROBATION_PROGRESS_MAX
        } else {
            PROBATION_MAX
        };
        self.on_probation() && placed >= self.quarantined_at && now < placed + limit
    }

    /// Returns the incarnation.
    #[must_use]
    pub fn incarnation(&self) -> &Incarnation {
        &self.listed.incarnation
    }
}
