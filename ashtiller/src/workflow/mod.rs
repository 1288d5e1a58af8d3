//! Jobs of dependent steps, run on workers by whichever entry instance owns the log.
//!
//! - Data: [`job`], [`record`], [`config`], [`evacuations`] and [`tuning`].
//! - Decisions: [`log_state`] applies records to [`state`] and [`core`] decides. [`worker`],
//!   [`incarnation`], [`lease`] and [`live_run`] are its view of the workers, and [`blame`]
//!   attributes worker crashes to tasks. [`load`] records demand and capacity, [`run_times`]
//!   learns how long tasks take, [`reserve`] keeps capacity for short work, [`shares`] divides
//!   capacity between callers, and [`admission`] decides which jobs are accepted under overload.
//! - Execution: [`log`] writes entries and [`owner`] runs the state machine. [`membership`] tracks
//!   the instances and elects the owner, [`node`] is the process, and [`peers`] sends requests to
//!   other instances over [`link`].
//! - Interfaces: [`kv`], [`agents`] and [`advisor`] are traits. [`follow`] watches the store, at
//!   intervals set by [`store_latency`].

pub mod admission;
pub mod advisor;
pub mod agents;
pub mod blame;
pub mod cancelled_ids;
pub mod config;
pub mod congestion;
pub mod core;
pub mod evacuations;
pub mod follow;
pub mod headroom;
pub mod incarnation;
pub mod interference;
pub mod job;
pub mod known_owners;
pub mod kv;
pub mod lease;
pub mod link;
pub mod live_run;
pub mod load;
pub mod log;
pub mod log_state;
pub mod machines;
pub mod membership;
pub mod message;
pub mod metrics;
pub mod node;
mod occurrence_window;
pub mod owner;
pub mod peers;
pub mod record;
pub mod recorded_losses;
pub mod relay;
pub mod reserve;
pub mod room;
pub mod run_times;
pub mod settings;
pub mod shares;
pub mod silent_workers;
pub mod snapshot;
pub mod state;
pub mod store_latency;
pub mod submission_room;
pub mod switches;
pub mod traffic;
pub mod tuning;
pub mod worker;
pub mod worker_machines;
