//! Randomized soak test: real entry processes on loopback, stand-ins for the platform,
//! and external faults drawn from a seed.
//!
//! [`world::run`] plays one seed and returns the violated invariants. Each entry reaches
//! the store through its own proxy, which can delay, silence or reset connections. Entries
//! are killed, suspended, stopped and restarted by signals to processes that this program
//! started. Workers crash, return under other ids, or become unreachable. Workers and
//! client ports have proxies as well, so that open connections can be silenced
//! permanently. Entries call each other without a proxy, because they listen on the
//! addresses that they advertise.

pub mod bursts;
pub mod checks;
pub mod client;
pub mod entry;
mod evacuations;
mod faults;
pub mod health;
mod jobs;
pub mod long_running;
pub mod network;
pub mod proxy;
pub mod refusals;
pub mod schedule;
mod shaky;
pub mod world;

#[path = "../../platform/standin/mod.rs"]
pub mod standin;
