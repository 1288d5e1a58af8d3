//! Admission of what clients send before it is a request that can be decided on.
//!
//! Everything that clients hold at a listener is bounded as a sum: their connections by a share of
//! the process's descriptors and memory, and the bytes of unfinished or undecided requests by a
//! budget. Each connection may hold [`ALLOTMENT`] bytes outside of the budget, so that small requests
//! are served while large ones are refused. A full listener closes the connection that deserves it
//! least. What a client starts it must continue: heads, bodies and the reading of responses have
//! times of their own.

mod body;
mod budget;
mod connection;
mod framing;
mod limits;
mod metrics;
mod response;
mod state;
mod stream;

use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::{Mutex, RwLock};
use prometheus::Registry;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time;

pub use body::{Body, BodyError, Progress};
pub use budget::{ALLOTMENT, ByteBudget, Exhausted, Reservation};
pub use connection::Connection;
pub use framing::{ChunkScanner, HeadScanner};
pub use limits::{Capacity, ProcessResources, RequestLimits};
pub use metrics::{Metrics, Refusal};
pub use response::GuardedResponse;

use state::{Shared, Standing};

/// Interval at which the times of connections are checked.
const TICK: Duration = Duration::from_millis(250);
/// Ticks between two log lines about refused clients.
const REPORT_TICKS: u32 = 20;
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Longest wait for a connection that was told to close.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(100);
/// Buffers of the kernel for each direction of a connection in bytes; it allocates up to twice as much.
const SOCKET_BUFFER: usize = 32 << 10;

/// Admission of the clients of one listener.
pub struct Ingress {
    capacity: Capacity,
    budget: Arc<ByteBudget>,
    limits: RwLock<RequestLimits>,
    connections: Mutex<HashMap<u64, Arc<Shared>>>,
    next_id: AtomicU64,
    /// Ticks since the listener was opened: a clock that costs requests nothing to read.
    ticks: AtomicU32,
    released: Notify,
    metrics: Metrics,
}

impl Ingress {
    /// Creates the admission of a listener; its metrics are named after `subsystem`.
    ///
    /// # Errors
    /// Fails if the metrics are registered already.
    pub fn open(
        capacity: Capacity,
        limits: RequestLimits,
        registry: &Registry,
        subsystem: &str,
    ) -> Result<Arc<Self>, prometheus::Error> {
        let metrics = Metrics::register(registry, subsystem, &capacity)?;
        Ok(Arc::new(Self {
            capacity,
            budget: Arc::new(ByteBudget::new(capacity.bytes)),
            limits: RwLock::new(limits),
            connections: Mutex::default(),
            next_id: AtomicU64::new(0),
            ticks: AtomicU32::new(0),
            released: Notify::new(),
            metrics,
        }))
    }

    /// Replaces the limits of requests, also for open connections.
    pub fn set_limits(&self, limits: RequestLimits) {
        *self.limits.write() = limits;
    }

    /// Returns the limits of requests.
    #[must_use]
    pub fn limits(&self) -> RequestLimits {
        *self.limits.read()
    }

    /// Bounds what the kernel buffers for each connection of a listener.
    pub fn prepare(listener: &TcpListener) {
        let socket = SockRef::from(listener);
        let set = socket
            .set_recv_buffer_size(SOCKET_BUFFER)
            .and_then(|()| socket.set_send_buffer_size(SOCKET_BUFFER));
        if let Err(error) = set {
            tracing::debug!(%error, "socket buffers not set; the kernel's defaults apply");
        }
    }

    /// Returns the next connection. If there are too many, the one that deserves it least is closed;
    /// if all of them wait for this process, the new one is.
    pub async fn accept(self: &Arc<Self>, listener: &TcpListener) -> Connection {
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    tracing::warn!(%error, "failed to accept a connection");
                    time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            if !self.make_room().await {
                continue;
            }
            if let Err(error) = stream.set_nodelay(true) {
                // Small responses may be delayed then.
                tracing::trace!(%error, "failed to set TCP_NODELAY");
            }
            return self.register(stream);
        }
    }

    fn register(self: &Arc<Self>, stream: TcpStream) -> Connection {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let shared = Arc::new(Shared::new(self.clone()));
        self.connections.lock().insert(id, shared.clone());
        self.metrics.connections.inc();
        Connection::new(id, shared, stream)
    }

    fn release(&self, id: u64) {
        self.connections.lock().remove(&id);
        self.metrics.connections.dec();
        self.released.notify_one();
    }

    /// Makes room for one connection; returns false if there is none that may be closed.
    async fn make_room(&self) -> bool {
        while self.connections.lock().len() >= self.capacity.connections {
            self.metrics.note(Refusal::Connections);
            let Some(victim) = self.least_deserving() else {
                return false;
            };
            let released = self.released.notified();
            victim.close();
            // Ends without a notification only if the task of the connection does not run.
            let _ = time::timeout(RELEASE_TIMEOUT, released).await;
        }
        true
    }

    fn least_deserving(&self) -> Option<Arc<Shared>> {
        let now = self.now();
        let connections = self.connections.lock();
        let ranked = connections
            .iter()
            .filter_map(|(id, shared)| Some((shared.standing(now)?, Reverse(*id), shared)));
        let last = ranked.max_by_key(|(standing, age, _)| (*standing, *age));
        last.map(|(.., shared)| shared.clone())
    }

    /// Closes the connections whose clients owe the rest of a request; requests that wait for this
    /// process are finished.
    pub fn close_unfinished(&self) {
        let connections: Vec<_> = self.connections.lock().values().cloned().collect();
        for shared in connections {
            match shared.standing(self.now()) {
                Some(Standing::Unfinished(..)) if shared.refuse(Refusal::Stopping) => {}
                Some(_) => shared.close(),
                None => {}
            }
        }
    }

    /// Enforces the times of all connections of these listeners until the task is dropped.
    pub async fn enforce(listeners: Vec<Arc<Self>>) {
        let mut ticks = time::interval(TICK);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            for ingress in &listeners {
                ingress.check_times();
            }
        }
    }

    fn check_times(&self) {
        let now = self.ticks.fetch_add(1, Ordering::Relaxed) + 1;
        let limits = self.limits();
        let connections: Vec<_> = self.connections.lock().values().cloned().collect();
        for shared in connections {
            if let Some(reason) = shared.check_times(now, &limits) {
                self.metrics.note(reason);
            }
        }
        self.metrics.set_bytes(self.budget.used());
        if now.is_multiple_of(REPORT_TICKS) {
            self.metrics.report();
        }
    }

    fn now(&self) -> u32 {
        self.ticks.load(Ordering::Relaxed)
    }
}
