//! The order of accepted work while capacity is short.
//!
//! Of the jobs that can still be in time, those that have begun come first, so that work already
//! done is not thrown away, and then those with the least remaining work. Jobs that will be late
//! yield. Jobs that are worth nothing get a fixed share, oldest first, so that each ends.

use std::time::Duration;

/// Multiple of a job's time objective up to which a late job is worth something.
pub const WORTH_OBJECTIVES: u32 = 3;
/// Share of a class's placements, by work, that jobs get which are worth nothing any more. A
/// larger share takes capacity from jobs in time: with 0.1, goodput at 4 times the load was 0.895
/// of its best in one run of the model. A smaller one makes the bound longer.
pub const WORTHLESS_SHARE: f64 = 0.08;
/// Largest multiple of its own time objective for which the work accepted before a job takes to
/// complete, as a share of the rate of its class. Beyond the three objectives it leaves room for
/// an error of the rate in favour of accepting. Together with [`WORTHLESS_SHARE`] it bounds the
/// time in which a job ends.
pub const ACCEPTED_OBJECTIVES: u32 = 4;
/// The same multiple for a job that can no longer be in time when it arrives, as its caller was
/// refused before, while jobs are refused that could be. At ten times the load most arrivals are
/// such callers; with the larger multiple they took a fifth of the capacity from jobs in time.
pub const ACCEPTED_OBJECTIVES_LATE: u32 = 1;
/// Time after which the next step gets a turn if none of the promoted ones could be placed.
pub const PROMOTION_PATIENCE: Duration = Duration::from_secs(2);

/// Least work that a promoted step counts as, in processor-seconds.
const MIN_WORK: f64 = 0.01;

/// Returns the place of a step among those of equal lateness and priority: the band, and the order
/// within it.
#[must_use]
pub fn rank(begun: bool, remaining_work: f64) -> (u8, i64) {
    #[expect(
        clippy::cast_possible_truncation,
        reason = "saturates for work beyond all limits"
    )]
    let millis = (remaining_work * 1000.0) as i64;
    (u8::from(!begun), millis)
}

/// Bound on the time from acceptance in which a job ends, if its class completes work at least at
/// `rate_ratio` times the rate at its acceptance: the time for which it is worth something, then
/// the work accepted before it at the share of the worthless, then its own.
///
/// `longest` is the longest time objective of the class. Of the work of each queue with a longer
/// objective, no more than that objective allows was accepted.
#[must_use]
pub fn end_bound(
    objective: Duration,
    longest: Duration,
    own: Duration,
    rate_ratio: f64,
) -> Duration {
    let accepted = (objective + longest) * ACCEPTED_OBJECTIVES + own;
    objective * WORTH_OBJECTIVES + accepted.div_f64(WORTHLESS_SHARE * rate_ratio)
}

/// Account of the share of work that is worth nothing any more.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorthlessShare {
    /// Work that it may place ahead of others, in processor-seconds; negative if it has placed
    /// more than its share.
    credit: f64,
    /// Time of the last placement by its share.
    last_placement: Duration,
}

impl WorthlessShare {
    /// Records work of the class that was placed while capacity was short.
    pub fn note_placed(&mut self, work: f64) {
        self.credit += WORTHLESS_SHARE * work;
    }

    /// Records work that was placed by the share.
    pub fn note_promoted(&mut self, work: f64, now: Duration) {
        self.credit -= work;
        self.last_placement = now;
    }

    /// Drops the credit that nothing waits for. What was placed beyond the share is still owed.
    pub fn settle(&mut self, now: Duration) {
        self.credit = self.credit.min(0.0);
        self.last_placement = now;
    }

    /// Chooses the steps that are placed ahead of others in this round. `waiting` holds their work,
    /// oldest first. If nothing was placed for a while, the oldest may be impossible to place, and
    /// the next ones get a turn.
    #[must_use]
    pub fn choose(&self, waiting: &[f64], now: Duration) -> Vec<usize> {
        let idle = now.saturating_sub(self.last_placement);
        let turns = idle.as_millis() / PROMOTION_PATIENCE.as_millis();
        let first = usize::try_from(turns).unwrap_or(0) % waiting.len().max(1);
        let mut credit = self.credit;
        let mut chosen = Vec::new();
        for index in (first..waiting.len()).chain(0..first) {
            if credit < 0.0 {
                break;
            }
            // A step without an estimate would use no credit.
            credit -= waiting[index].max(MIN_WORK);
            chosen.push(index);
        }
        chosen
    }
}
