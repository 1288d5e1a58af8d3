//! Fair shares of a service's capacity between the queues of its jobs and, within a queue, between
//! the availability zones of the callers.
//!
//! [`origins`] knows where jobs came from, [`ledger`] keeps what each queue and origin uses and has
//! used, and [`order`] puts the waiting steps of one placement round in order. None of them has a
//! clock, socket, file or random draw.

pub mod ledger;
pub mod order;
pub mod origins;
