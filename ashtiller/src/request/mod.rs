//! The gateway role: routes callers' requests to endpoints.

pub mod balance;
pub mod claims;
pub mod dispatch;
pub mod endpoint;
pub mod gateway;
pub mod gateway_metrics;
pub mod headers;
pub mod health;
pub mod listener;
pub(crate) mod loans;
pub mod outcome;
pub mod pool;
pub mod prober;
pub mod replayable_body;
pub mod request_body;
pub mod request_head;
pub mod request_queue;
pub mod response_body;
pub mod retry_budget;
pub mod router;
pub mod service_dispatcher;
pub mod slot_borrower;
pub mod slots;
