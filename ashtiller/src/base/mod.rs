//! What everything else stands on.

pub mod clock;
pub mod counters;
pub mod failure;
pub mod logs;
pub mod rendezvous;
pub mod resources;
