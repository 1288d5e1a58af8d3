//! Admission control and triage under overload, in virtual time.

mod copies;
#[path = "../owner/driver.rs"]
#[allow(dead_code, reason = "these tests use a part of it")]
mod driver;
mod fleet;
mod model;
mod orders;
mod owner;
