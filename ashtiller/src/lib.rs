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
//! On the users' platform all of it is one process, [`workflow`], that owns or follows a
//! log of jobs made of dependent steps.
//!
//! The modules, by folder, in the order in which to read them:
//!
//! - [`workflow`]: jobs of steps, decided in [`workflow::core`];
//! - [`request`]: [`dispatch`], [`mod@line`], [`balance`], [`slots`], [`health`] decide;
//!   [`front`], [`router`], [`desk`], [`pool`], [`claims`], [`lender`], [`prober`]
//!   carry out;
//! - [`task`]: [`fact`], [`cell`], [`plan`], [`evict`], [`session`], [`reconcile`]
//!   decide; [`journal`], [`owner`], [`agent`] carry out;
//! - [`interference`]: [`harm`], [`guard`], [`watch`], [`fit`];
//! - [`agreed`]: [`ledger`], [`config`], [`apply`], [`members`], [`membership`];
//! - [`net`], the edges: [`store`], [`roster`], [`consul`], [`peer`], [`wire`], [`ops`].

pub mod agreed;
pub mod base;
pub mod interference;
pub mod net;
pub mod request;
pub mod task;
pub mod workflow;

// Modules are named by what they are, wherever their folder is.
pub use agreed::{
    apply, config, config_state, document, members, membership, mistake, settings, template, unit,
};
pub use base::{clock, counters, failure, logs, rendezvous, resources};
pub use interference::{interference_model, placement, throttling, worker_report};
pub use net::{
    codec, consul, meter, ops, peer, peer_calls, peer_client, peer_server, rpc, schema,
    service_catalog, service_watcher, store, web,
};
pub use request::{
    balance, claims, dispatch, endpoint, gateway, gateway_metrics, headers, health, listener,
    outcome, pool, prober, replayable_body, request_body, request_head, request_queue,
    response_body, retry_budget, router, service_dispatcher, slot_borrower, slots,
};
pub(crate) use task::events;
pub use task::{
    agent, backlog, cell, evict, explain, fact, job, job_forwarder, journal, owner, plan,
    reconcile, record, scheduler, scheduler_metrics, session, worker_state,
};

pub use gateway::Gateway;
pub use scheduler::Scheduler;
pub use settings::Settings;
pub use template::Template;
