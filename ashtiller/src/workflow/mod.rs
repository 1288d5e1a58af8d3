//! Jobs of dependent steps, run on workers by whichever entry instance owns the log.
//!
//! - what there is: [`job`], [`fact`], [`config`], [`evacuations`], [`terms`];
//! - what is decided: [`book`] replays facts into [`state`], [`core`] decides, [`worker`], [`life`],
//!   [`lease`] and [`live`] are its view of the fleet, [`blame`] judges crashes of workers;
//! - what is carried out: [`log`] writes, [`owner`] runs the state machine,
//!   [`membership`] says which instances there are and which one owns, [`node`] is the process,
//!   [`peers`] asks others over [`link`];
//! - the borders: [`kv`], [`agents`] and [`advisor`] are traits, [`follow`] reads changes as
//!   fast as [`tempo`] allows.

pub mod advisor;
pub mod agents;
pub mod blame;
pub mod config;
pub mod congestion;
pub mod core;
pub mod evacuations;
pub mod follow;
pub mod headroom;
pub mod incarnation;
pub mod interference;
pub mod job;
pub mod kv;
pub mod lease;
pub mod link;
pub mod live_run;
pub mod log;
pub mod log_state;
pub mod machines;
pub mod membership;
pub mod message;
pub mod metrics;
pub mod node;
pub mod owner;
pub mod peers;
pub mod record;
pub mod relay;
pub mod settings;
pub mod snapshot;
pub mod state;
pub mod store_latency;
pub mod switches;
pub mod traffic;
pub mod tuning;
pub mod worker;
