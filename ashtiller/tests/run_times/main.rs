//! Tests of learned run times: the models in virtual time, and their use by the log owner.

mod core;
#[allow(dead_code, reason = "the tests of the owner use the rest")]
#[path = "../owner/driver.rs"]
mod driver;
mod models;
mod ways;
