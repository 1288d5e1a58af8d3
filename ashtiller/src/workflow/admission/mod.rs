//! Admission control and triage under overload. Decisions without clock, socket or random draw;
//! `core` calls them with the time.
//!
//! - [`control`] decides on arrival whether a job is admitted. It reads the waiting work
//!   ([`backlog`]), the rate at which work completes ([`rate`]) and the refused ids ([`refusals`]).
//! - [`triage`] orders accepted work while capacity is short.
//! - [`catalog`] knows what the workers of a service could run if they were empty.
//! - [`copy`] is the state that the owner sends to the other instances.
//!
//! `docs/design/admission.md` describes the parts and compares the orders.

pub mod backlog;
pub mod catalog;
pub mod control;
pub mod copy;
pub mod rate;
pub mod refusals;
pub mod triage;
