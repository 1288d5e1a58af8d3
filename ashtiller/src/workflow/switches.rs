//! Mechanisms of the policy that an operator may switch off.

/// What each does when it is on. All are on unless the settings say otherwise.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a switch of its own in the settings"
)]
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Switches {
    /// Short steps are placed before lasting ones of their priority.
    pub short_first: bool,
    /// A lasting step, and the oldest one that is too late to earn, go first when others
    /// were placed before them for too long.
    pub room_in_time: bool,
    /// Runs that fill move off workers where they are slowed down.
    pub move_fills: bool,
    /// Runs that fill are slowed down for the services beside them.
    pub pace_fills: bool,
    /// Services of one image share workers.
    pub group_images: bool,
    /// Runs that fill ask for little more than the unused processors of a worker.
    pub bound_fills: bool,
    /// Services keep a share of their headroom when a fill is placed beside them.
    pub keep_headroom: bool,
    /// Paces follow where the load of a service goes.
    pub follow_slopes: bool,
    /// Steps that fill are at first placed beside services with much headroom only.
    pub select_workers: bool,
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
        }
    }
}
