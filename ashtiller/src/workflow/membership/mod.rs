//! Which instances there are, and which of them owns the log.
//!
//! - [`member`]: one instance as others see it, and news of several;
//! - [`members`]: the list that the owner keeps and its followers copy;
//! - [`succession`]: in which order followers replace an owner that is gone;
//! - [`heir`]: when an owner hands the log over, and to whom;
//! - [`campaign`]: heartbeats, and the steps from a lost owner to the next one.

pub mod election;
pub mod failover_order;
pub mod handover;
pub mod member;
pub mod members;
