//! Policy mechanisms that an operator may disable.

/// Enabled policy mechanisms. All are enabled unless the settings disable them.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a switch of its own in the settings"
)]
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Switches {
    /// Short steps are placed before long-running ones of the same priority.
    pub short_first: bool,
    /// A long-running step goes first if others were placed before it for too long. So does, at
    /// intervals, the oldest short step whose job is too late to earn anything.
    pub room_in_time: bool,
    /// Best-effort runs move off workers where they are throttled.
    pub move_fills: bool,
    /// Best-effort runs are throttled for the services beside them.
    pub pace_fills: bool,
    /// Services of one image share workers.
    pub group_images: bool,
    /// Best-effort runs request little more than the idle processors of a worker.
    pub bound_fills: bool,
    /// Services keep a share of their headroom when a best-effort run is placed beside them.
    pub keep_headroom: bool,
    /// Paces follow the trend of a service's load.
    pub follow_slopes: bool,
    /// Best-effort steps are at first placed only beside services with much headroom.
    pub select_workers: bool,
    /// Capacity is kept free for short runs when long-running ones would take all of it.
    pub capacity_reserve: bool,
    /// Long-running runs move to smaller pieces of free capacity while short tasks fit nowhere.
    pub defragment: bool,
    /// Jobs that cannot end in time under overload are refused, and late ones get a limited share.
    pub admission_control: bool,
    /// Waiting steps of equal priority get workers by the shares of their callers.
    pub fair_shares: bool,
    /// Run times are learned, and correct the estimates of clients.
    pub learned_run_times: bool,
}

impl Default for Switches {
    fn default() -> Self {
        Self {
            short_first: true,
            room_in_time: true,
            move_fills: true,
            pace_fills: true,
            group_images: true,
            bound_fills: true,
            keep_headroom: true,
            follow_slopes: true,
            select_workers: true,
            capacity_reserve: true,
            defragment: true,
            admission_control: true,
            fair_shares: true,
            learned_run_times: true,
        }
    }
}
