//! A randomized soak: real entry processes on loopback, the platform's stand-ins,
//! and faults from outside that follow from a seed.
//!
//! [`world::run`] plays one seed and returns what was broken. Each entry reaches the
//! store through a proxy of its own that can delay, silence or reset it; entries are
//! killed, frozen, stopped and started again by signals to processes that this
//! program started; workers die, come back under other ids, or are cut off. Workers and
//! clients' ports have a proxy as well, so that open connections can fall silent for
//! good. Entries call each other without one: they listen where they say that they are.

pub mod checks;
pub mod client;
pub mod entry;
mod evacuations;
mod faults;
mod jobs;
pub mod network;
pub mod proxy;
pub mod schedule;
mod shaky;
pub mod touch;
pub mod world;

#[path = "../../platform/standin/mod.rs"]
pub mod standin;
