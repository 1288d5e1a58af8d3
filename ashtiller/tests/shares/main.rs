//! Fair shares: load patterns in virtual time, and failures around the origins of jobs.

mod decisions;
mod failures;
mod fleet;
mod patterns;
#[path = "../../../platform/standin/worker.rs"]
#[allow(dead_code, reason = "these tests use a part of it")]
mod worker;
