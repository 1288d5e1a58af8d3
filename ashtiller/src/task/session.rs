//! State machine of the lease that a cell's owner grants to one worker.
//!
//! The end of a lease is a time on the worker's own clock: the clock reading of its last report
//! plus the length of the lease. A message that is delayed by any time, or sent by an owner that
//! was paused, therefore extends no lease. For the same reason the owner knows a time on its own
//! clock by which every lease that it granted has expired.

use std::time::Duration;

/// Whether a worker has acknowledged this owner's epoch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FenceState {
    /// The worker has not answered this owner yet.
    Unfenced,
    /// The worker has answered under this owner's epoch.
    Fenced {
        /// Boot number of the worker.
        boot: u64,
    },
}

/// Durations that determine a lease.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTerms {
    /// Length of a lease.
    pub lease: Duration,
    /// Allowance for clock drift.
    pub margin: Duration,
}

/// Lease grant that the next request carries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Grant {
    /// Sequence number of the request within the epoch.
    pub seq: u64,
    /// Expected boot number; 0 for any.
    pub boot: u64,
    /// End of the lease on the worker's clock, in milliseconds; 0 grants no lease.
    pub until: u64,
}

/// Effect of a report on the session.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// First report under this epoch.
    Fenced,
    /// Nothing changed.
    Same,
    /// The worker restarted, so none of its earlier attempts is running.
    Rebooted,
    /// A newer owner has fenced the worker.
    Superseded,
    /// The report is older than one that was already processed, and is ignored.
    Stale,
}

/// Part of a report that describes the worker itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReportHeader {
    /// Highest epoch that the worker has seen.
    pub epoch: u64,
    /// Highest sequence number that the worker has seen in that epoch.
    pub seq: u64,
    /// Boot number of the worker.
    pub boot: u64,
    /// Reading of the worker's clock, in milliseconds.
    pub clock: u64,
}

/// Lease state of one worker.
#[derive(Clone, Debug)]
pub struct Session {
    fence_state: FenceState,
    seq: u64,
    last_seq: u64,
    past_boots: Vec<u64>,
    last_report: Option<(u64, Duration)>,
    lease_bound: Duration,
}

impl Session {
    /// Creates a session whose worker may hold leases of earlier owners until `lease_bound`.
    #[must_use]
    pub fn new(lease_bound: Duration) -> Self {
        Self {
            fence_state: FenceState::Unfenced,
            seq: 0,
            last_seq: 0,
            past_boots: Vec::new(),
            last_report: None,
            lease_bound,
        }
    }

    /// Returns whether the worker has acknowledged this owner's epoch.
    #[must_use]
    pub fn fence_state(&self) -> FenceState {
        self.fence_state
    }

    /// Returns the worker's boot number, once known.
    #[must_use]
    pub fn boot(&self) -> Option<u64> {
        match self.fence_state {
            FenceState::Unfenced => None,
            FenceState::Fenced { boot } => Some(boot),
        }
    }

    /// Returns the time by which every lease granted so far has expired.
    #[must_use]
    pub fn lease_bound(&self) -> Duration {
        self.lease_bound
    }

    /// Returns the time since the last report, or `now` if there was none.
    #[must_use]
    pub fn since_last_report(&self, now: Duration) -> Duration {
        self.last_report
            .map_or(now, |(_, at)| now.saturating_sub(at))
    }

    /// Prepares the next grant. Without `renew` it does not extend the lease.
    pub fn grant(&mut self, terms: &LeaseTerms, renew: bool) -> Grant {
        self.seq += 1;
        let boot = self.boot().unwrap_or(0);
        let Some((clock, at)) = self.last_report.filter(|_| renew && boot != 0) else {
            return Grant {
                seq: self.seq,
                boot,
                until: 0,
            };
        };
        self.lease_bound = self.lease_bound.max(at + terms.lease + terms.margin);
        let lease = u64::try_from(terms.lease.as_millis()).unwrap_or(u64::MAX);
        Grant {
            seq: self.seq,
            boot,
            until: clock.saturating_add(lease),
        }
    }

    /// Processes a report that arrived at `now`; `epoch` is the epoch of this owner.
    pub fn handle_report(
        &mut self,
        epoch: u64,
        header: ReportHeader,
        terms: &LeaseTerms,
        now: Duration,
    ) -> Change {
        if header.epoch > epoch {
            return Change::Superseded;
        }
        if self.is_stale(epoch, header) {
            return Change::Stale;
        }
        let fenced = header.epoch == epoch;
        let change = match self.fence_state {
            FenceState::Fenced { boot } if boot != header.boot => Change::Rebooted,
            FenceState::Unfenced if fenced => Change::Fenced,
            _ => Change::Same,
        };
        if fenced {
            self.last_seq = header.seq;
        }
        if change == Change::Rebooted {
            self.past_boots.extend(self.boot());
        }
        if change == Change::Fenced {
            // Earlier owners granted their leases before this clock reading.
            self.lease_bound = now + terms.lease + terms.margin;
        }
        if fenced || change == Change::Rebooted {
            self.fence_state = FenceState::Fenced { boot: header.boot };
            self.last_report = Some((header.clock, now));
        }
        change
    }

    /// Returns whether a report arrived out of order. Within an epoch the sequence numbers show the
    /// order; a past boot number does not come back.
    fn is_stale(&self, epoch: u64, header: ReportHeader) -> bool {
        let older = header.epoch == epoch && header.seq <= self.last_seq;
        let rebooted = self.boot().is_some_and(|boot| boot != header.boot);
        self.past_boots.contains(&header.boot) || (older && !rebooted)
    }
}
