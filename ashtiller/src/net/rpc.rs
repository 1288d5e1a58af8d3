//! The thread that runs `capnp-rpc` for a process.
//!
//! The library's futures cannot move between threads, so server and client run on a
//! thread of their own: [`bind`] serves a [`Peer`] to others, [`RpcClient::connect`]
//! returns a [`Peer`] that calls another process. Channels pass calls to the thread.

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

/// Calls that may wait for the RPC thread; further ones fail.
const MAX_QUEUED_CALLS: usize = 1024;

/// A handle to the RPC thread, for calls to other processes.
#[derive(Clone)]
pub struct RpcClient {
    calls: mpsc::Sender<(SocketAddr, Call)>,
    call_timeout: Duration,
    bytes: Arc<meter::ByteCounts>,
}

impl RpcClient {
    /// Returns a peer that calls the process at `address`; it connects with its first call.
    #[must_use]
    pub fn connect(&self, address: SocketAddr) -> Arc<dyn Peer> {
        Arc::new(peer_client::PeerClient {
            rpc: self.clone(),
            address,
        })
    }

    /// Queues a call; fails when too many wait or the thread has stopped.
    pub(crate) fn send(&self, address: SocketAddr, call: Call) -> Result<(), ()> {
        self.calls.try_send((address, call)).map_err(|_| ())
    }

    /// Returns the timeout of one call.
    #[must_use]
    pub fn call_timeout(&self) -> Duration {
        self.call_timeout
    }
}

/// The port served to other processes; dropping it closes the port and its connections.
pub struct RpcServer {
    address: SocketAddr,
    client: RpcClient,
    /// Ends the RPC thread when it is dropped with this handle.
    _stop: oneshot::Sender<()>,
}

impl RpcServer {
    /// Returns the bound address, with the port that the kernel chose for port 0.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the counts of bytes exchanged with other processes.
    #[must_use]
    pub fn bytes(&self) -> &Arc<meter::ByteCounts> {
        &self.client.bytes
    }

    /// Returns the client for calls to other processes.
    #[must_use]
    pub fn client(&self) -> &RpcClient {
        &self.client
    }
}

/// Serves `local` on `address`; each outgoing call fails after `call_timeout`.
///
/// # Errors
/// The port cannot be bound, or the thread cannot be started.
pub async fn bind(
    address: SocketAddr,
    call_timeout: Duration,
    local: Arc<dyn Peer>,
) -> anyhow::Result<RpcServer> {
    let listener = std::net::TcpListener::bind(address)
        .map_err(|error| Failure::no_effect("bind peers' port", address, error))?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let (calls, received) = mpsc::channel(MAX_QUEUED_CALLS);
    let (ready, started) = oneshot::channel();
    let bytes = Arc::new(meter::ByteCounts::default());
    let thread_bytes = bytes.clone();
    let (stop, stopped) = oneshot::channel();
    std::thread::Builder::new()
        .name("wire".to_owned())
        .spawn(move || {
            run(
                listener,
                received,
                ThreadArgs {
                    call_timeout,
                    local,
                    bytes: thread_bytes,
                },
                ready,
                stopped,
            );
        })?;
    started.await??;
    Ok(RpcServer {
        address,
        client: RpcClient {
            calls,
            call_timeout,
            bytes,
        },
        _stop: stop,
    })
}

/// What the RPC thread needs.
struct ThreadArgs {
    call_timeout: Duration,
    local: Arc<dyn Peer>,
    bytes: Arc<meter::ByteCounts>,
}

fn run(
    listener: std::net::TcpListener,
    received: mpsc::Receiver<(SocketAddr, Call)>,
    args: ThreadArgs,
    ready: oneshot::Sender<std::io::Result<()>>,
    stopped: oneshot::Receiver<()>,
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
            () = accept(listener, args.local, args.bytes.clone()) => {}
            () = peer_calls::run(received, args.call_timeout, args.bytes) => {}
            _ = stopped => {}
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
            // Most likely the process is out of file descriptors; it retries once others
            // may have been closed.
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
