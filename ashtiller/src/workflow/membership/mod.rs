//! Membership of the entry instances, and the election of the owner of the log.
//!
//! - [`member`]: the wire types of one instance and of updates to the list;
//! - [`members`]: the list that the owner maintains and its followers replicate;
//! - [`failover_order`]: the order in which followers replace an owner that has failed;
//! - [`handover`]: when an owner hands the log over, and to which instance;
//! - [`election`]: heartbeats to the owner, and its replacement after a failure;
//! - [`owner_history`]: when this process learned of each of the newest owners.

pub mod election;
pub mod failover_order;
pub mod handover;
pub mod member;
pub mod members;
pub mod owner_history;
