//! Network access: calls to other processes and to the platform, and the ports served.

pub mod codec;
pub mod consul;
pub mod ingress;
pub mod meter;
pub mod ops;
pub mod peer;
pub mod peer_calls;
pub mod peer_client;
pub mod peer_server;
pub mod rpc;
pub mod schema;
pub mod service_catalog;
pub mod service_watcher;
pub mod store;
pub mod web;
