//! Capacity reserve: capacity that long-running work leaves to intermittent short work.
//!
//! [`demand`] learns what short tasks of each queue use and wait for, and [`plan`] decides where a
//! long-running task may start. Both are without clock, socket or random draw; the state machine
//! calls them from `workflow/core/reserve.rs`.

pub mod demand;
pub mod plan;
