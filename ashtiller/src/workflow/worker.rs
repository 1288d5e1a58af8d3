//! One worker's life, as the owner of a log sees it.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::resources::{Pool, Resources};
use crate::workflow::agents::{Target, TaskName};
use crate::workflow::config::ListedWorker;
use crate::workflow::incarnation::Incarnation;
use crate::workflow::interference::Image;
use crate::workflow::lease::{self, Lease};
use crate::workflow::record::Run;

/// First time for which a worker that fails what it starts gets nothing; doubles.
/// Short against the spells of some seconds that workers show.
const QUARANTINE_FIRST: Duration = Duration::from_millis(1500);
/// Longest such time.
const QUARANTINE_MAX: Duration = Duration::from_secs(12);
/// Time by which a run on trial has said what it can: one that neither ends nor fails for
/// as long as a worker is ever put aside must not keep it shut.
const TRIAL_MAX: Duration = QUARANTINE_MAX;
/// The same for one that makes progress, without which it would count as stalled within
/// 1.1 s: lasting tasks that wait for its worker are to start within 3 s.
const TRIAL_WORKS: Duration = Duration::from_secs(2);
/// How much later than its sending an unanswered call may be carried out.
pub const LATE_MAX: Duration = Duration::from_secs(13);
/// Failures without a success between them that put a worker aside.
const FAILURES: u32 = 2;

/// A run that was given up while a start of it may still be carried out.
#[derive(Debug)]
pub struct LateRun {
    /// Run.
    pub run: Run,
    /// Its task, as the worker knows it.
    pub name: TaskName,
    /// Until when.
    pub until: Duration,
}

/// What an order protects, in the order in which it goes when not all may: room and work
/// that nobody needs any more, services, relief for them, other work, and fills that may
/// work more than before.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum OrderClass {
    /// Stop a run.
    Stop,
    /// Start a run that lasts.
    StartLongRunning,
    /// Let a run work less.
    Relieve,
    /// Start any other run.
    Start,
    /// Let a run work more.
    Pace,
    /// There is none.
    Nothing,
}

/// Class of the next order to a worker, and since when it waits.
pub type Rank = (OrderClass, Duration);

/// A look that is under way.
#[derive(Clone, Copy, Debug)]
pub struct PendingPoll {
    /// When it was sent.
    pub sent: Duration,
    /// For how long it may wait for an end.
    pub wait: Duration,
    /// Number up to which it acknowledges ends.
    pub ends_recorded: u64,
    /// Its fence.
    pub fence: u64,
    /// Whether it extends the lease.
    pub renews: bool,
}

/// One worker's life.
#[derive(Debug)]
#[expect(clippy::struct_excessive_bools, reason = "each is a state of its own")]
pub struct Worker {
    /// What the platform says of it.
    pub listed: ListedWorker,
    /// Whether an entry of its own was read; until then it is known by an answer only.
    pub entered: bool,
    /// Since when the platform does not list it.
    pub absent: Option<Duration>,
    /// Since when it is about to leave.
    pub draining: Option<Duration>,
    /// Whether another life of it is listed.
    pub replaced: bool,
    /// Whether that was said by the life before, of a worker without births.
    pub former_drains: bool,
    /// Its lease.
    pub lease: Lease,
    /// Whether it has answered under this owner's fence.
    pub fenced: bool,
    /// Highest fence of the looks that were not answered, by this life or one before, and may
    /// still acknowledge ends.
    outdated: u64,
    /// Whether the last look at it was answered.
    pub answers: bool,
    /// When it last answered a look.
    pub heard: Duration,
    /// Since when it does not.
    pub missed: Option<Duration>,
    /// When a connection to it was first refused or broke since then: its process has ended, or
    /// the network says so.
    pub broke: Option<Duration>,
    /// The look that is under way.
    pub pending_poll: Option<PendingPoll>,
    /// When the next look is due.
    pub next_poll: Duration,
    /// Orders under way.
    pub ordering: u32,
    /// When the last order went out.
    pub ordered: Duration,
    /// When there may be an order for it.
    work: Duration,
    /// What its next order protects, and until when that holds if nothing happens.
    rank: Option<(Rank, Duration)>,
    /// Room that runs take.
    pub pool: Pool,
    /// Runs that may be going on there.
    pub runs: BTreeSet<Run>,
    /// Ends up to this number were reported.
    pub ends_reported: u64,
    /// Ends up to this number are recorded.
    pub ends_recorded: u64,
    /// The worker has heard that ends up to this number are recorded.
    pub ends_acknowledged: u64,
    /// Until when a call that was not answered may still extend its lease.
    pub renewing: Option<Duration>,
    /// Until when a look that was not answered, by this life or one before, may still acknowledge
    /// ends.
    pub acknowledging: Option<Duration>,
    /// Until when a look meant for the life before may acknowledge ends of this one.
    pub forgetful: Option<Duration>,
    /// Runs that were given up here, or at the life before, and may begin after all.
    pub late: Vec<LateRun>,
    /// Runs there that serve.
    pub serving: u32,
    /// Runs there that fill.
    pub filling: u32,
    /// Processors asked for by the runs that fill, in thousandths.
    pub filled: u64,
    /// Runs that filled and have ended not long ago: their image, the share of the worker's
    /// processors that they used, and when they ended.
    pub left: Vec<(Image, f64, Duration)>,
    /// Since when a run there that serves is over its target.
    pub over: Option<Duration>,
    /// When a report last showed no run there over its target.
    pub calm: Duration,
    /// When reports show the paces that were last set.
    pub settled: Duration,
    /// Its machine was told to end it: only an answer to a look that begins at this time or
    /// later shows that it lives on.
    pub doubted: Option<Duration>,
    /// Until when it gets no runs because it fails, stalls or is slow.
    pub quarantined_until: Option<Duration>,
    failures: u32,
    quarantines: u32,
    /// When it was last put aside.
    shut: Duration,
}

impl Worker {
    /// A worker whose earlier leases end by `bound`.
    #[must_use]
    pub fn new(listed: ListedWorker, bound: Duration) -> Self {
        Self {
            pool: Pool::new(listed.capacity),
            draining: None,
            replaced: false,
            former_drains: false,
            listed,
            entered: false,
            absent: None,
            lease: Lease::new(bound),
            fenced: false,
            outdated: 0,
            answers: false,
            heard: Duration::ZERO,
            missed: None,
            broke: None,
            pending_poll: None,
            next_poll: Duration::ZERO,
            ordering: 0,
            ordered: Duration::ZERO,
            work: Duration::ZERO,
            rank: None,
            runs: BTreeSet::new(),
            ends_reported: 0,
            ends_recorded: 0,
            ends_acknowledged: 0,
            renewing: None,
            acknowledging: None,
            forgetful: None,
            late: Vec::new(),
            serving: 0,
            filling: 0,
            filled: 0,
            left: Vec::new(),
            over: None,
            calm: Duration::ZERO,
            settled: Duration::ZERO,
            doubted: None,
            quarantined_until: None,
            failures: 0,
            quarantines: 0,
            shut: Duration::ZERO,
        }
    }

    /// It has answered a call with this fence.
    pub fn note_fence(&mut self, fence: u64) {
        if fence > self.outdated {
            self.forgetful = None;
        }
    }

    /// How to address it, under this fence.
    #[must_use]
    pub fn target(&self, fence: u64, patience: Duration) -> Target {
        Target {
            incarnation: self.listed.incarnation.clone(),
            address: self.listed.address,
            fence,
            timeout: patience,
            zone: self.listed.zone.clone(),
        }
    }

    /// There may be an order for it.
    pub fn wake(&mut self) {
        self.work = Duration::ZERO;
        self.rank = None;
    }

    /// There is no order for it before this time, unless something happens.
    pub fn rest_until(&mut self, next: Duration) {
        self.work = next;
        self.rank = None;
    }

    /// Whether there may be an order for it.
    #[must_use]
    pub fn has_work(&self, now: Duration) -> bool {
        self.work <= now
    }

    /// What its next order protects, if that is known.
    #[must_use]
    pub fn rank(&self, now: Duration) -> Option<Rank> {
        let (rank, until) = self.rank?;
        (now < until).then_some(rank)
    }

    /// Notes what its next order protects, which holds until then if nothing happens.
    pub fn set_rank(&mut self, rank: Rank, until: Duration) {
        self.rank = Some((rank, until));
    }

    /// When the next look at it is due.
    #[must_use]
    pub fn next_poll_due(&self) -> Duration {
        self.next_poll.max(self.doubted.unwrap_or_default())
    }

    /// Whether it has this label.
    #[must_use]
    pub fn has_label(&self, label: &str) -> bool {
        self.listed.labels.iter().any(|have| **have == *label)
    }

    /// Processors that no run asked for, in thousandths.
    #[must_use]
    pub fn unused(&self) -> u64 {
        self.pool.free().processors
    }

    /// Takes over from the life before, which is over, what belongs to the machine and what was
    /// sent to that life and may come here; a worker grants leases of at most `hold`.
    pub fn take_over_from(&mut self, former: &mut Self, hold: Duration) {
        self.failures = self.failures.max(former.failures);
        self.quarantines = self.quarantines.max(former.quarantines);
        self.quarantined_until = self.quarantined_until.max(former.quarantined_until);
        self.shut = self.shut.max(former.shut);
        if let Some(look) = former.pending_poll {
            former.note_unanswered(&look);
        }
        self.late.append(&mut former.late);
        // An old entry may list the life before once more, of which nothing is known then.
        self.acknowledging = self.acknowledging.max(former.acknowledging);
        self.forgetful = self.forgetful.max(self.acknowledging);
        self.outdated = self.outdated.max(former.outdated);
        self.renewing = self.renewing.max(former.renewing);
        if let Some(until) = former.renewing {
            self.lease.extend(until + lease::worst_case_elapsed(hold));
        }
    }

    /// A look at it was not answered in time, and may still be carried out.
    pub fn note_unanswered(&mut self, look: &PendingPoll) {
        let until = look.sent + LATE_MAX;
        if look.renews {
            self.renewing = self.renewing.max(Some(until));
        }
        if look.ends_recorded > 0 {
            self.acknowledging = self.acknowledging.max(Some(until));
            self.outdated = self.outdated.max(look.fence);
        }
    }

    /// Changes what it has.
    pub fn resize(&mut self, capacity: Resources) {
        self.pool.resize(capacity);
    }

    /// Counts a run that failed; true when the worker is put aside for it.
    pub fn note_failure(&mut self, now: Duration) -> bool {
        self.failures += 1;
        if self.failures < FAILURES || self.quarantined_until.is_some_and(|until| until > now) {
            return false;
        }
        self.quarantine(now);
        true
    }

    /// Gives it nothing for a while, longer each time until something succeeds there.
    pub fn quarantine(&mut self, now: Duration) {
        let doubled = QUARANTINE_FIRST * 2u32.pow(self.quarantines.min(4));
        self.quarantined_until = Some(now + doubled.min(QUARANTINE_MAX));
        self.quarantines += 1;
        self.shut = now;
    }

    /// Counts a run that succeeded.
    pub fn note_success(&mut self) {
        self.failures = 0;
        self.quarantines = 0;
        self.quarantined_until = None;
    }

    /// Failures since the last success.
    #[must_use]
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Whether it is on trial: it was put aside and nothing has succeeded since.
    #[must_use]
    pub fn on_trial(&self) -> bool {
        self.quarantines > 0
    }

    /// Whether a run that was placed there at this time is its trial, and not over; `works`
    /// when the run makes progress.
    ///
    /// What ran there before says nothing new, and lasting runs among it never end.
    #[must_use]
    pub fn is_trial(&self, placed: Duration, works: bool, now: Duration) -> bool {
        let limit = if works { TRIAL_WORKS } else { TRIAL_MAX };
        self.on_trial() && placed >= self.shut && now < placed + limit
    }

    /// Its life.
    #[must_use]
    pub fn incarnation(&self) -> &Incarnation {
        &self.listed.incarnation
    }
}
