//! Basic types and utilities that all other modules use.

pub mod clock;
pub mod counters;
pub mod failure;
pub mod logs;
pub mod rendezvous;
pub mod resources;
pub mod stall;
