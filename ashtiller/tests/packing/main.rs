//! Placement on a nearly full fleet, in virtual time.

mod fleet;
mod short_work;
#[path = "../../../platform/standin/worker.rs"]
#[allow(dead_code, reason = "these tests use a part of it")]
mod worker;
