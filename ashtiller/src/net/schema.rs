//! Code generated from `schema/peer.capnp` and `schema/entry.capnp`; see `CONTRIBUTING.md`.

#[allow(missing_docs, clippy::all, clippy::pedantic, reason = "generated")]
#[rustfmt::skip]
#[path = "peer_capnp.rs"]
pub mod peer_capnp;

#[allow(missing_docs, clippy::all, clippy::pedantic, reason = "generated")]
#[rustfmt::skip]
#[path = "entry_capnp.rs"]
pub mod entry_capnp;
