//! The thread that speaks `capnp-rpc` for a process.
//!
//! The library's futures stay on one thread, so both sides live on a thread of
//! their own: [`bind`] serves a [`Peer`] to others, [`Wire::connect`] yields a
//! [`Peer`] that stands for another process. Requests cross by channels.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{self, LocalSet};
use tokio::{runtime, time};

use crate::failure::Failure;
use crate::meter;
use crate::peer::Peer;
use crate::peer_calls::{self, Call};
use crate::peer_client;
use crate::peer_server;
use crate::schema::peer_capnp::peer;

/// Calls that may wait for the wire's thread.
const BACKLOG: usize = 1024;

/// A handle to the wire's thread.
#[derive(Clone)]
pub struct RpcClient {
    calls: mpsc::Sender<(SocketAddr, Call)>,
    call_timeout: Duration,
    bytes: Arc<meter::ByteCounts>,
}

impl RpcClient {
    /// A peer that stands for the process at `address`; connects when first asked.
    #[must_use]
    pub fn connect(&self, address: SocketAddr) -> Arc<dyn Peer> {
        Arc::new(peer_client::PeerClient {
            rpc: self.clone(),
            address,
        })
    }

    /// Queues a call; fails when too many wait or the thread has ended.
    pub(crate) fn send(&self, address: SocketAddr, call: Call) -> Result<(), ()> {
        self.calls.try_send((address, call)).map_err(|_| ())
    }

    /// Time limit of one call.
    #[must_use]
    pub fn call_timeout(&self) -> Duration {
        self.call_timeout
    }
}

/// A served port; dropping it closes the port and its connections.
pub struct RpcServer {
    address: SocketAddr,
    client: RpcClient,
    /// Dropped with this handle, which ends the thread.
    _alive: oneshot::Sender<()>,
}

impl RpcServer {
    /// The address that the kernel gave.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bytes that passed to and from other processes.
    #[must_use]
    pub fn bytes(&self) -> &Arc<meter::ByteCounts> {
        &self.client.bytes
    }

    /// The wire through which other processes are reached.
    #[must_use]
    pub fn client(&self) -> &RpcClient {
        &self.client
    }
}

/// Serves `local` on `address`; each outgoing call may take `limit`.
///
/// # Errors
/// The port cannot be bound, or the thread not be started.
pub async fn bind(
    address: SocketAddr,
    limit: Duration,
    local: Arc<dyn Peer>,
) -> anyhow::Result<RpcServer> {
    let listener = std::net::TcpListener::bind(address)
        .map_err(|error| Failure::no_effect("bind peers' port", address, error))?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let (calls, received) = mpsc::channel(BACKLOG);
    let (ready, started) = oneshot::channel();
    let bytes = Arc::new(meter::ByteCounts::default());
    let counted = bytes.clone();
    let (alive, ended) = oneshot::channel();
    std::thread::Builder::new()
        .name("wire".to_owned())
        .spawn(move || {
            run(
                listener,
                received,
                Terms {
                    limit,
                    local,
                    bytes: counted,
                },
                ready,
                ended,
            );
        })?;
    started.await??;
    Ok(RpcServer {
        address,
        client: RpcClient {
            calls,
            call_timeout: limit,
            bytes,
        },
        _alive: alive,
    })
}

/// What the thread needs.
struct Terms {
    limit: Duration,
    local: Arc<dyn Peer>,
    bytes: Arc<meter::ByteCounts>,
}

fn run(
    listener: std::net::TcpListener,
    received: mpsc::Receiver<(SocketAddr, Call)>,
    terms: Terms,
    ready: oneshot::Sender<std::io::Result<()>>,
    ended: oneshot::Receiver<()>,
) {
    let runtime = match runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            let _ = ready.send(Err(error));
            return;
        }
    };
    let _ = ready.send(Ok(()));
    LocalSet::new().block_on(&runtime, async move {
        tokio::select! {
            () = accept(listener, terms.local, terms.bytes.clone()) => {}
            () = peer_calls::run(received, terms.limit, terms.bytes) => {}
            _ = ended => {}
        }
    });
}

async fn accept(
    listener: std::net::TcpListener,
    local: Arc<dyn Peer>,
    bytes: Arc<meter::ByteCounts>,
) {
    let Ok(listener) = TcpListener::from_std(listener) else {
        return;
    };
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Out of descriptors, most likely; those in use will be given back.
            time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let client: peer::Client = capnp_rpc::new_client(peer_server::PeerServer {
            peer: local.clone(),
        });
        let network = peer_calls::tcp_network(stream, Side::Server, &bytes);
        task::spawn_local(RpcSystem::new(Box::new(network), Some(client.client)));
    }
}
