//! The lease that a cell's owner grants to one worker, as a state machine.
//!
//! The end of a lease is named on the worker's own clock: the clock of its last
//! report plus the lease. A message that is late by any time, or sent by an owner
//! that was paused, therefore extends nothing. For the same reason the owner
//! knows a time on its own clock by which every lease it granted has ended.

use std::time::Duration;

/// Where a worker stands towards this owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FenceState {
    /// It has not answered this owner yet.
    Unfenced,
    /// It has answered under this owner's epoch.
    Fenced {
        /// Its boot number.
        boot: u64,
    },
}

/// Times that a session uses.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTerms {
    /// Length of a lease.
    pub lease: Duration,
    /// Allowance for drift.
    pub margin: Duration,
}

/// A grant to send: number and end of the lease on the worker's clock.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Grant {
    /// Number within the epoch.
    pub seq: u64,
    /// Boot number expected; 0 for any.
    pub boot: u64,
    /// End of the lease in milliseconds of the worker's clock; 0 grants nothing.
    pub until: u64,
}

/// What a report changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// First answer under this epoch.
    Fenced,
    /// The worker goes on as before.
    Same,
    /// The worker restarted: nothing of its earlier life runs.
    Rebooted,
    /// A newer owner has fenced the worker.
    Superseded,
    /// The answer is older than one that was taken; it says nothing.
    Stale,
}

/// What an answer says of the worker itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReportHeader {
    /// Highest epoch that the worker has seen.
    pub epoch: u64,
    /// Highest number that it has seen in that epoch.
    pub seq: u64,
    /// Its boot number.
    pub boot: u64,
    /// Its clock in milliseconds.
    pub clock: u64,
}

/// One worker's lease.
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
    /// A session whose worker may hold leases of earlier owners until `bound`.
    #[must_use]
    pub fn new(bound: Duration) -> Self {
        Self {
            fence_state: FenceState::Unfenced,
            seq: 0,
            last_seq: 0,
            past_boots: Vec::new(),
            last_report: None,
            lease_bound: bound,
        }
    }

    /// Where the worker stands.
    #[must_use]
    pub fn fence_state(&self) -> FenceState {
        self.fence_state
    }

    /// Boot number, once known.
    #[must_use]
    pub fn boot(&self) -> Option<u64> {
        match self.fence_state {
            FenceState::Unfenced => None,
            FenceState::Fenced { boot } => Some(boot),
        }
    }

    /// Time by which every lease granted so far has ended.
    #[must_use]
    pub fn lease_bound(&self) -> Duration {
        self.lease_bound
    }

    /// Age of the last answer.
    #[must_use]
    pub fn since_last_report(&self, now: Duration) -> Duration {
        self.last_report
            .map_or(now, |(_, at)| now.saturating_sub(at))
    }

    /// Prepares the next grant. Without `renew` it grants nothing new.
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

    /// Takes an answer that arrived at `now`; `epoch` is this owner's.
    pub fn handle_report(
        &mut self,
        epoch: u64,
        answer: ReportHeader,
        terms: &LeaseTerms,
        now: Duration,
    ) -> Change {
        if answer.epoch > epoch {
            return Change::Superseded;
        }
        if self.is_stale(epoch, answer) {
            return Change::Stale;
        }
        let fenced = answer.epoch == epoch;
        let change = match self.fence_state {
            FenceState::Fenced { boot } if boot != answer.boot => Change::Rebooted,
            FenceState::Unfenced if fenced => Change::Fenced,
            _ => Change::Same,
        };
        if fenced {
            self.last_seq = answer.seq;
        }
        if change == Change::Rebooted {
            self.past_boots.extend(self.boot());
        }
        if change == Change::Fenced {
            // Leases of earlier owners were granted before this clock reading.
            self.lease_bound = now + terms.lease + terms.margin;
        }
        if fenced || change == Change::Rebooted {
            self.fence_state = FenceState::Fenced { boot: answer.boot };
            self.last_report = Some((answer.clock, now));
        }
        change
    }

    /// Answers may overtake each other. Within an epoch their numbers tell; a life
    /// of the worker that has ended does not come back.
    fn is_stale(&self, epoch: u64, answer: ReportHeader) -> bool {
        let older = answer.epoch == epoch && answer.seq <= self.last_seq;
        let rebooted = self.boot().is_some_and(|boot| boot != answer.boot);
        self.past_boots.contains(&answer.boot) || (older && !rebooted)
    }
}
