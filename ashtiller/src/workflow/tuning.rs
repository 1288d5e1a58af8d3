//! Time limits and other parameters of the log owner.

use std::time::Duration;

use crate::workflow::agents::ORDER_TIMEOUT_MIN;
use crate::workflow::follow;
use crate::workflow::log::entry;
use crate::workflow::relay::MAX_QUEUE_DELAY;
use crate::workflow::switches::Switches;

/// Longest useful lease. A service on a worker that vanished silently starts elsewhere when the
/// lease has ended, which the platform requires within about 9 s.
pub const LEASE_MAX: Duration = Duration::from_secs(6);

/// Longest time for which a start is in flight while workers answer normally.
pub const START_MAX: Duration = MAX_QUEUE_DELAY.saturating_add(ORDER_TIMEOUT_MIN);

/// Parameters of the log owner. The platform's bounds come from the settings; [`Tuning::default`]
/// explains the values chosen here.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tuning {
    /// Length of the leases that are requested.
    pub lease: Duration,
    /// Longest lease that a worker grants.
    pub hold: Duration,
    /// Time after the last proof of ownership for which leases are still renewed.
    pub horizon: Duration,
    /// Longest time for which a poll may wait for the end of a run.
    pub wait: Duration,
    /// Same limit for workers with both best-effort and latency-sensitive runs.
    pub watch: Duration,
    /// Pause between two polls of a worker, so that several ends are reported together.
    pub pause: Duration,
    /// Shortest time between two log entries.
    pub commit: Duration,
    /// Time after which an entry is written even if nothing happened, to prove ownership.
    pub proof: Duration,
    /// Time after which an uncommitted entry indicates that the store is unavailable.
    pub stall: Duration,
    /// Time after which a client is told to retry while the store is unavailable.
    pub retry: Duration,
    /// Time for which an ended job can still be queried.
    pub keep: Duration,
    /// Allowance for clock differences before a scheduled job is started, in milliseconds.
    pub clock_slack: u64,
    /// Factor on the run time away from the data's rack.
    pub far: f64,
    /// Largest number of jobs that have not ended.
    pub jobs: usize,
    /// Largest estimated memory of these jobs, in bytes.
    pub job_bytes: usize,
    /// Size limit of a log entry in bytes.
    pub entry_bytes: usize,
    /// Time for which a worker may be missing from the platform's list after a store outage.
    pub relist: Duration,
    /// Time between a pace order and its effect.
    pub pace_delay: Duration,
    /// Time over which workers average the values that they report.
    pub report: Duration,
    /// Interval at which learned factors are recorded.
    pub teach: Duration,
    /// Shortest time for which a worker continues after it was told to leave.
    pub drain: Duration,
    /// Time after a request to evacuate an availability zone by which its workers must get their
    /// last start; none if zones are not evacuated.
    pub evacuation: Option<Duration>,
    /// Time between the orders of two owners to one machine.
    pub turn: Duration,
    /// Longest time for which the capacity reserve holds a long-running step back.
    pub reserve_hold: Duration,
    /// Optional policy mechanisms that are enabled.
    pub switches: Switches,
}

impl Tuning {
    /// Returns the wait of one watch on data that decides the next start.
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
            // The platform's specifications name this value for most sites.
            hold: Duration::from_secs(10),
            // Longer than the outages that operators report, which last 4 to 9 s.
            horizon: Duration::from_secs(11),
            // The longest wait that workers allow; each poll is charged per call.
            wait: Duration::from_secs(2),
            // Reports are averages over half a second.
            watch: Duration::from_millis(500),
            pause: Duration::from_millis(40),
            // Half of it is added to a job's time, and each entry is charged.
            commit: Duration::from_millis(30),
            proof: Duration::from_millis(500),
            // A hundred times the usual latency of the store.
            stall: Duration::from_millis(450),
            retry: Duration::from_secs(1),
            keep: Duration::from_secs(150),
            clock_slack: 50,
            far: 2.0,
            // About 2 KB each, of 260 MB per instance.
            jobs: 20_000,
            job_bytes: 32 << 20,
            entry_bytes: entry::BYTES_MAX,
            relist: Duration::from_millis(2500),
            pace_delay: Duration::from_millis(100),
            report: Duration::from_millis(500),
            // About 3 KB each time; pairs are learned within tens of seconds.
            teach: Duration::from_secs(3),
            // The platform's specifications name this value for both sites.
            drain: Duration::from_secs(2),
            evacuation: None,
            turn: Duration::from_secs(4),
            // The platform asks for a start within 3 s if there is capacity.
            reserve_hold: Duration::from_millis(1500),
            switches: Switches::default(),
        }
    }
}
