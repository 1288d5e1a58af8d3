//! Scheduler role: runs tasks on the workers of cells, each of which has one owner.

pub mod agent;
pub mod backlog;
pub mod cell;
pub(crate) mod events;
pub mod evict;
pub mod explain;
pub mod fact;
pub mod job;
pub mod job_forwarder;
pub mod journal;
pub mod owner;
pub mod plan;
pub mod reconcile;
pub mod record;
pub mod scheduler;
pub mod scheduler_metrics;
pub mod session;
pub mod worker_state;
