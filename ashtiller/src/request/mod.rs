//! Requests from callers to endpoints: the gateway role.

pub mod balance;
pub mod budget;
pub mod claims;
pub mod desk;
pub mod dispatch;
pub mod download;
pub mod endpoint;
pub mod front;
pub mod gateway;
pub mod headers;
pub mod health;
pub mod held;
pub mod intake;
pub mod lender;
pub mod line;
pub(crate) mod loans;
pub mod outcome;
pub mod pool;
pub mod prober;
pub mod router;
pub mod slots;
pub mod tally;
pub mod upload;
