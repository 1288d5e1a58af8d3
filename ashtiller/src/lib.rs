//! A scheduler for colocated latency-critical and batch work.
//!
//! Two roles run on every entry instance, as separate processes: a [`gateway`] admits
//! callers' requests and routes each to an endpoint; a [`scheduler`] owns cells of workers
//! and runs client accounts' tasks on them. All durable state is in the platform's
//! key-value store ([`store`]); instances keep none.
//!
//! Decisions are made by state machines that take an event and the time and return what to
//! do next. They can be driven without sockets:
//!
//! ```
//! use std::time::Duration;
//!
//! use ashtiller::balance::Kind;
//! use ashtiller::dispatch::{self, Admission, Limits};
//! use ashtiller::endpoint::{Listing, Phase};
//! use ashtiller::request_queue::AdmissionRequest;
//! use ashtiller::template::Class;
//!
//! let limits = Limits { max_connections: 6, max_ejected_share: 0.3 };
//! let mut fleet = dispatch::build(Kind::Dealt, 1, limits);
//! fleet.update_listings(&[Listing {
//!     name: "runner-1".into(),
//!     address: "127.0.0.1:9001".parse()?,
//!     slots: 8,
//!     phase: Phase::Live,
//! }]);
//! fleet.allocate_slots(&["entry-1".into()], "entry-1");
//!
//! let request = AdmissionRequest {
//!     id: 1,
//!     account: "dealer-north".into(),
//!     class: Class::LatencyCritical,
//!     deadline: Duration::from_secs(2),
//!     max_in_flight: 64,
//!     max_queued: 128,
//!     avoid: None,
//! };
//! assert!(matches!(fleet.admit(request, Duration::ZERO), Admission::Send(_)));
//! # Ok::<(), std::net::AddrParseError>(())
//! ```
//!
//! On the users' platform a single process, [`workflow`], takes the place of both roles; it
//! owns or follows a log of jobs that consist of dependent steps.
//!
//! The modules by folder, in the suggested reading order:
//!
//! - [`workflow`]: jobs of steps, decided in [`workflow::core`];
//! - [`request`]: decisions in [`dispatch`], [`request_queue`], [`balance`], [`slots`] and
//!   [`health`], carried out by [`listener`], [`router`], [`service_dispatcher`], [`pool`],
//!   [`claims`], [`slot_borrower`] and [`prober`];
//! - [`task`]: decisions in [`fact`], [`cell`], [`plan`], [`evict`], [`session`] and
//!   [`reconcile`], carried out by [`journal`], [`owner`] and [`agent`];
//! - [`interference`]: [`interference_model`], [`throttling`], [`worker_report`],
//!   [`placement`];
//! - [`agreed`]: [`config_state`], [`config`], [`apply`], [`members`], [`membership`];
//! - [`net`]: [`store`], [`service_catalog`], [`consul`], [`peer`], [`rpc`], [`ops`], and [`ingress`],
//!   which bounds what clients hold;
//! - [`build_info`]: which commit is running.

pub mod agreed;
pub mod base;
pub mod build_info;
pub mod interference;
pub mod net;
pub mod request;
pub mod task;
pub mod workflow;

// Re-exported so that paths do not depend on the folder of a module.
pub use agreed::{
    apply, config, config_state, document, members, membership, mistake, settings, template, unit,
};
pub use base::{clock, counters, failure, logs, rendezvous, resources, stall};
pub use interference::{interference_model, placement, throttling, worker_report};
pub use net::{
    codec, consul, ingress, meter, ops, peer, peer_calls, peer_client, peer_server, rpc, schema,
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
