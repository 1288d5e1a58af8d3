//! A trace of arrivals, loads and pair effects, replayed second by second through
//! the product's own decisions.
//!
//! The world here is only what a worker would report: services whose latency rises
//! with the batch work beside them, as the trace says, and reports that lag. The
//! cell, the planner, the learner and the guard are the product's.

mod policy;
mod score;
mod trace;
mod world;

pub use policy::Policy;
pub use score::Score;
pub use trace::Trace;

/// Replays a trace under a policy; `seed` draws the noise of the measurements.
#[must_use]
pub fn run(trace: &Trace, policy: Policy, seed: u64) -> Score {
    world::World::open(trace, policy, seed).run()
}
