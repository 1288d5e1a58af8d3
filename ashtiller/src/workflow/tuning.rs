//! Times and limits of the owner of a log.

use std::time::Duration;

use crate::workflow::agents::ORDER_TIMEOUT_MIN;
use crate::workflow::follow;
use crate::workflow::relay::MAX_QUEUE_DELAY;
use crate::workflow::switches::Switches;

/// Longest lease that is of use: a service whose worker has gone without a word starts
/// elsewhere when the lease is over, which the platform wants within some 9 s.
pub const LEASE_MAX: Duration = Duration::from_secs(6);

/// Time for which a start is under way at most while workers answer as usual.
pub const START_MAX: Duration = MAX_QUEUE_DELAY.saturating_add(ORDER_TIMEOUT_MIN);

/// Times and limits. The platform's bounds come from the settings; what is ours is
/// explained where [`Terms::default`] sets it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tuning {
    /// Longest lease that is asked for.
    pub lease: Duration,
    /// Longest lease that a worker grants.
    pub hold: Duration,
    /// How long leases are renewed past the last proof of ownership.
    pub horizon: Duration,
    /// How long a look may wait for an end.
    pub wait: Duration,
    /// The same at a worker where runs that fill are beside runs that serve.
    pub watch: Duration,
    /// Pause between two looks at a worker, so that ends are reported together.
    pub pause: Duration,
    /// Least time between two entries.
    pub commit: Duration,
    /// Time after which an entry is written although nothing happened.
    pub proof: Duration,
    /// Time after which an entry under way counts as a sign that the store is away.
    pub stall: Duration,
    /// Time to come back that a client is told while the store is away.
    pub retry: Duration,
    /// How long an ended job is known.
    pub keep: Duration,
    /// Slack between clocks before a job that has a time is started, milliseconds.
    pub clock_slack: u64,
    /// Factor on run time away from the data's rack.
    pub far: f64,
    /// Jobs that are not over, at most.
    pub jobs: usize,
    /// How long a worker may miss in the platform's list after the store was away.
    pub relist: Duration,
    /// Time between a pace and its effect.
    pub pace_delay: Duration,
    /// Time over which workers average what they report.
    pub report: Duration,
    /// How often what was learned is kept.
    pub teach: Duration,
    /// Least time for which a worker goes on after it was told to leave.
    pub drain: Duration,
    /// Time after an availability zone's evacuation was asked for by which its workers must get
    /// their last start; nothing where zones are not evacuated.
    pub evacuation: Option<Duration>,
    /// Time between orders of two owners to one machine.
    pub turn: Duration,
    /// Mechanisms of the policy that are on.
    pub switches: Switches,
}

impl Tuning {
    /// Wait of one watch of the store on whose news the next start depends.
    #[must_use]
    pub fn watch_wait(&self) -> Duration {
        let wait = follow::short_wait(self.drain);
        let evacuation = self.evacuation;
        evacuation.map_or(wait, |bound| wait.min(bound.saturating_sub(START_MAX) / 2))
    }
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            lease: LEASE_MAX,
            // What the platform's sheets name for most sites.
            hold: Duration::from_secs(10),
            // Longer than the outages that operators report, which last 4 to 9 s.
            horizon: Duration::from_secs(11),
            // The longest that workers allow; a look is priced by the call.
            wait: Duration::from_secs(2),
            // Reports are averages over half a second.
            watch: Duration::from_millis(500),
            pause: Duration::from_millis(40),
            // Half of it is added to a job's time, and each entry is priced.
            commit: Duration::from_millis(30),
            proof: Duration::from_millis(500),
            // A hundred times the store's usual answer.
            stall: Duration::from_millis(450),
            retry: Duration::from_secs(1),
            keep: Duration::from_secs(150),
            clock_slack: 50,
            far: 2.0,
            // Some 2 KB each, against 260 MB an instance.
            jobs: 20_000,
            relist: Duration::from_millis(2500),
            pace_delay: Duration::from_millis(100),
            report: Duration::from_millis(500),
            // Some 3 KB each time; pairs are learned within tens of seconds.
            teach: Duration::from_secs(3),
            // What the platform's sheets name for both sites.
            drain: Duration::from_secs(2),
            evacuation: None,
            turn: Duration::from_secs(4),
            switches: Switches::default(),
        }
    }
}
