//! Leases that an incarnation of a worker holds by calls that were meant for its predecessor.
//!
//! A worker that restarts under its id takes a call that was sent to the process before. The end of the lease
//! in it is a reading of that process's clock, which tells nothing on the clock of the new one: the lease may
//! last as long as workers grant. Clocks of workers begin anywhere, so a reading does not tell the age of an
//! incarnation. Its start time does, as far as the times of day of two machines agree. Where the platform
//! reports no start times, incarnations are told apart by their clocks, which are taken to begin with them.

use std::time::Duration;

use crate::workflow::core::polls::POLL_TIMEOUT_MAX;
use crate::workflow::core::{Core, Now};
use crate::workflow::incarnation::Incarnation;
use crate::workflow::lease;
use crate::workflow::worker::LATE_MAX;

/// Age by which an incarnation can no longer receive lease grants meant for its predecessor: the
/// last of them went out with a poll that was in flight when this incarnation began.
const FORMER_GRANT_AGE_MAX: Duration = POLL_TIMEOUT_MAX.saturating_mul(2).saturating_add(LATE_MAX);
/// Largest difference between the times of day of two machines.
const WALL_DIFFERENCE_MAX: Duration = Duration::from_secs(10);

impl Core {
    /// Returns the time by which such leases of an incarnation have ended, if its start time is known: it
    /// is too old to take such a call, or no call of an earlier owner is carried out any more.
    fn misdirected_grants_end(&self, worker: &Incarnation, now: Now) -> Option<Duration> {
        let age = Duration::from_millis(now.wall.saturating_sub(worker.born()?));
        let longest = lease::worst_case_elapsed(self.tuning.hold);
        let last = FORMER_GRANT_AGE_MAX + longest + WALL_DIFFERENCE_MAX;
        let by_age = (now.at + last).saturating_sub(age);
        Some(by_age.min(self.earlier_calls_end() + LATE_MAX + longest))
    }

    /// Returns the time by which such leases have ended of an incarnation that has just answered with this
    /// reading of its clock, and rejects the calls of earlier owners from now on.
    pub(super) fn fenced_grants_end(
        &self,
        worker: &Incarnation,
        clock: u64,
        now: Now,
    ) -> Option<Duration> {
        let hold = self.tuning.hold;
        let end = self.misdirected_grants_end(worker, now);
        if worker.born().is_some() {
            return end.map(|end| end.min(now.at + lease::worst_case_elapsed(hold)));
        }
        let left = (FORMER_GRANT_AGE_MAX + hold).saturating_sub(Duration::from_millis(clock));
        let is_young = !left.is_zero();
        is_young.then(|| now.at + lease::worst_case_elapsed(left.min(hold)))
    }

    /// Returns the time by which all leases have ended that earlier owners, which make calls until
    /// `calls_end`, may have granted to an incarnation that has not answered this owner.
    pub(super) fn unfenced_grants_end(
        &self,
        worker: &Incarnation,
        calls_end: Duration,
        now: Now,
    ) -> Duration {
        let usual = calls_end + lease::worst_case_elapsed(self.tuning.lease);
        let longest = calls_end + lease::worst_case_elapsed(self.tuning.hold);
        let end = self.misdirected_grants_end(worker, now);
        end.map_or(usual, |end| end.min(longest).max(usual))
    }
}
