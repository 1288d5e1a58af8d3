//! A scheduler for colocated latency-critical and batch work.
//!
//! Two roles run on every entry instance, as separate processes: a [`gateway`]
//! admits callers' requests and routes each to an endpoint; a [`scheduler`] owns
//! cells of workers and runs client accounts' tasks on them. What must last is in
//! the platform's key-value service ([`store`]); nothing lives on an instance.
//!
//! Decisions are state machines that take an event and the time and return what to
//! do next. They can be driven without sockets:
//!
//! ```
//! use std::time::Duration;
//!
//! use ashtiller::balance::Kind;
//! use ashtiller::dispatch::{self, Limits, Next};
//! use ashtiller::endpoint::{Listing, Phase};
//! use ashtiller::line::Ticket;
//! use ashtiller::template::Class;
//!
//! let limits = Limits { connections: 6, ejected: 0.3 };
//! let mut fleet = dispatch::open(Kind::Dealt, 1, limits);
//! fleet.list(&[Listing {
//!     name: "runner-1".into(),
//!     address: "127.0.0.1:9001".parse()?,
//!     slots: 8,
//!     phase: Phase::Live,
//! }]);
//! fleet.deal(&["entry-1".into()], "entry-1");
//!
//! let sweep = Ticket {
//!     id: 1,
//!     account: "dealer-north".into(),
//!     class: Class::LatencyCritical,
//!     deadline: Duration::from_secs(2),
//!     limit: 64,
//!     queue: 128,
//!     avoid: None,
//! };
//! assert!(matches!(fleet.offer(sweep, Duration::ZERO), Next::Send(_)));
//! # Ok::<(), std::net::AddrParseError>(())
//! ```
//!
//! The modules, in the order in which to read them:
//!
//! - requests: [`dispatch`], [`line`], [`balance`], [`slots`], [`health`] decide;
//!   [`front`], [`router`], [`desk`], [`pool`], [`claims`], [`lender`], [`prober`]
//!   carry out;
//! - tasks: [`fact`], [`cell`], [`plan`], [`evict`], [`session`], [`reconcile`]
//!   decide; [`journal`], [`owner`], [`agent`] carry out;
//! - harm between tasks: [`harm`], [`guard`], [`watch`], [`fit`];
//! - what is agreed: [`ledger`], [`config`], [`apply`], [`members`], [`membership`];
//! - the edges: [`store`], [`roster`], [`consul`], [`peer`], [`wire`], [`ops`].

pub mod agent;
pub mod apply;
pub mod backlog;
pub mod balance;
pub mod budget;
pub mod calls;
pub mod cell;
pub mod claims;
pub mod clock;
pub mod codec;
pub mod config;
pub mod consul;
pub mod counters;
pub mod desk;
pub mod dispatch;
pub mod document;
pub mod download;
pub mod endpoint;
mod events;
pub mod evict;
pub mod explain;
pub mod fact;
pub mod failure;
pub mod fit;
pub mod follow;
pub mod front;
pub mod gateway;
pub mod guard;
pub mod harm;
pub mod headers;
pub mod health;
pub mod held;
pub mod host;
pub mod hosted;
pub mod intake;
pub mod job;
pub mod jobs;
pub mod journal;
pub mod ledger;
pub mod lender;
pub mod line;
mod loans;
pub mod logs;
pub mod members;
pub mod membership;
pub mod meter;
pub mod mistake;
pub mod ops;
pub mod outcome;
pub mod owner;
pub mod peer;
pub mod plan;
pub mod pool;
pub mod prober;
pub mod reconcile;
pub mod record;
pub mod remote;
pub mod rendezvous;
pub mod resources;
pub mod roster;
pub mod router;
pub mod scheduler;
pub mod schema;
pub mod score;
pub mod session;
pub mod settings;
pub mod slots;
pub mod store;
pub mod tally;
pub mod template;
pub mod unit;
pub mod upload;
pub mod watch;
pub mod web;
pub mod wire;
pub mod workflow;

pub use gateway::Gateway;
pub use scheduler::Scheduler;
pub use settings::Settings;
pub use template::Template;
