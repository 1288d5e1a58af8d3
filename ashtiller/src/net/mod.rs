//! Calls to other processes and to the platform, and who listens.

pub mod calls;
pub mod codec;
pub mod consul;
pub mod follow;
pub mod hosted;
pub mod meter;
pub mod ops;
pub mod peer;
pub mod remote;
pub mod roster;
pub mod schema;
pub mod store;
pub mod web;
pub mod wire;
