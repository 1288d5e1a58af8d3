//! Connections from a gateway to endpoints.
//!
//! A connection carries one request at a time. It returns to the pool only after the
//! complete response was read and is closed in all other cases, so a late response can
//! never reach another request.
//!
//! Connections can go silent together, without a reset, while new ones work. What a
//! response proves therefore depends on the age of its connection, and one request
//! without a response makes every idle connection suspect that has had none recently.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{self, Instant};

use crate::failure::Failure;
use crate::request_body::RequestBody;

/// Time limit for a connection to become ready again after a response.
const READY_TIMEOUT: Duration = Duration::from_millis(20);

/// Share of an attempt's elapsed time after which a response counts as recent, which shows
/// that connections of its age are not silent. A connection that went silent during the
/// attempt had responses until then, most likely in the first half.
const RECENT_SHARE: f64 = 0.5;

/// A connection to an endpoint; dropping it closes it.
pub struct Connection {
    /// Sends requests.
    pub sender: http1::SendRequest<RequestBody>,
    endpoint: SocketAddr,
    task: AbortHandle,
    opened: Instant,
    /// When the last response was complete, or the connection was opened.
    last_used: Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A successful response.
struct SuccessfulResponse {
    /// When the connection was opened.
    opened: Instant,
    received: Instant,
}

/// Idle connections and recent responses of one endpoint.
#[derive(Default)]
struct EndpointConnections {
    idle: Vec<Connection>,
    /// The latest successful responses. One that arrives later on an older connection
    /// proves more and replaces those on newer connections, so the list is ordered by both
    /// times.
    responses: Vec<SuccessfulResponse>,
}

impl EndpointConnections {
    fn record_response(&mut self, opened: Instant) {
        self.responses.retain(|response| response.opened < opened);
        let received = Instant::now();
        self.responses.push(SuccessfulResponse { opened, received });
    }
}

/// Pool of idle connections by endpoint.
pub struct ConnectionPool {
    connections: Mutex<HashMap<SocketAddr, EndpointConnections>>,
    connect_timeout: Duration,
    idle_timeout: Duration,
    head_max: usize,
}

impl ConnectionPool {
    /// Creates an empty pool. `connect_timeout` limits the time to connect, `idle_timeout`
    /// the time for which a connection stays idle, and `head_max` the bytes of a
    /// response's head.
    #[must_use]
    pub fn new(connect_timeout: Duration, idle_timeout: Duration, head_max: usize) -> Self {
        Self {
            connections: Mutex::default(),
            connect_timeout,
            idle_timeout,
            head_max,
        }
    }

    /// Takes an idle connection or opens a new one.
    ///
    /// # Errors
    /// No connection could be opened within the time limit; nothing was sent.
    pub async fn checkout(&self, endpoint: SocketAddr) -> Result<Connection, Failure> {
        while let Some(mut connection) = self.take(endpoint) {
            if connection.last_used.elapsed() > self.idle_timeout {
                continue;
            }
            if matches!(
                time::timeout(READY_TIMEOUT, connection.sender.ready()).await,
                Ok(Ok(()))
            ) {
                return Ok(connection);
            }
        }
        let late = |_| Failure::no_effect("connect", endpoint, "no connection in time");
        time::timeout(self.connect_timeout, self.open(endpoint))
            .await
            .map_err(late)?
    }

    async fn open(&self, endpoint: SocketAddr) -> Result<Connection, Failure> {
        let failed = |error: &dyn std::fmt::Display| Failure::no_effect("connect", endpoint, error);
        let stream = TcpStream::connect(endpoint)
            .await
            .map_err(|error| failed(&error))?;
        stream.set_nodelay(true).map_err(|error| failed(&error))?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(self.head_max)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| failed(&error))?;
        let task = tokio::spawn(async move {
            // The request in flight gets the same error.
            let _ = connection.await;
        });
        Ok(Connection {
            sender,
            endpoint,
            task: task.abort_handle(),
            opened: Instant::now(),
            last_used: Instant::now(),
        })
    }

    fn take(&self, endpoint: SocketAddr) -> Option<Connection> {
        self.connections.lock().get_mut(&endpoint)?.idle.pop()
    }

    /// Returns a connection to the pool after its response was read completely.
    pub fn release(&self, mut connection: Connection) {
        connection.last_used = Instant::now();
        let mut all = self.connections.lock();
        all.entry(connection.endpoint)
            .or_default()
            .idle
            .push(connection);
    }

    /// Records a successful response on a connection.
    pub fn record_response(&self, connection: &Connection) {
        let mut all = self.connections.lock();
        let connections = all.entry(connection.endpoint).or_default();
        connections.record_response(connection.opened);
    }

    /// Starts to track an attempt that has no response yet.
    #[must_use]
    pub fn begin_attempt(&self, endpoint: SocketAddr) -> PendingAttempt<'_> {
        PendingAttempt {
            pool: self,
            endpoint,
            started: Instant::now(),
            ended: false,
        }
    }

    fn has_responded(&self, endpoint: SocketAddr, since: Instant) -> bool {
        let all = self.connections.lock();
        let mut responses = all
            .get(&endpoint)
            .into_iter()
            .flat_map(|connections| &connections.responses);
        responses.any(|response| response.received > since)
    }

    fn older_connection_responded(&self, opened: Instant, since: Instant) -> bool {
        let all = self.connections.lock();
        let mut responses = all.values().flat_map(|connections| &connections.responses);
        responses.any(|response| response.opened <= opened && response.received > since)
    }

    fn close_suspect(&self, endpoint: SocketAddr, since: Instant) {
        let mut all = self.connections.lock();
        let Some(connections) = all.get_mut(&endpoint) else {
            return;
        };
        let size_before = connections.idle.len();
        connections
            .idle
            .retain(|connection| connection.last_used > since);
        let dropped = size_before - connections.idle.len();
        tracing::debug!(%endpoint, dropped, "no response from endpoint; closed suspect idle connections");
    }

    /// Closes connections that exceed the idle timeout, and all connections to endpoints
    /// that `is_listed` rejects.
    pub fn prune(&self, is_listed: impl Fn(SocketAddr) -> bool) {
        let mut all = self.connections.lock();
        all.retain(|endpoint, connections| {
            let is_fresh = |connection: &Connection| {
                connection.last_used.elapsed() <= self.idle_timeout
                    && !connection.sender.is_closed()
            };
            connections.idle.retain(is_fresh);
            connections
                .responses
                .retain(|response| response.received.elapsed() <= self.idle_timeout);
            let empty = connections.idle.is_empty() && connections.responses.is_empty();
            is_listed(*endpoint) && !empty
        });
    }

    /// Returns the number of idle connections.
    #[must_use]
    pub fn len(&self) -> usize {
        let all = self.connections.lock();
        all.values().map(|connections| connections.idle.len()).sum()
    }

    /// Returns whether no connection is idle.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// An attempt that has no response yet. If it is dropped in this state, because of a
/// timeout or because the caller disconnected, the endpoint's idle connections without a
/// recent response are closed. They may have gone silent for the same reason, and a
/// request on each of them would wait as well.
pub struct PendingAttempt<'a> {
    pool: &'a ConnectionPool,
    endpoint: SocketAddr,
    started: Instant,
    ended: bool,
}

impl PendingAttempt<'_> {
    /// Ends the attempt after a response or a connection error.
    pub fn complete(mut self) {
        self.ended = true;
    }

    /// Returns whether the endpoint has responded to other requests since the attempt
    /// started, and some endpoint has responded recently on a connection that was open at
    /// that time. Responses on newer connections prove nothing about this one, and one
    /// gateway has too few connections to one endpoint to decide by these alone.
    #[must_use]
    pub fn should_keep_waiting(&self) -> bool {
        let pool = self.pool;
        pool.has_responded(self.endpoint, self.started)
            && pool.older_connection_responded(self.started, self.recent_since())
    }

    fn recent_since(&self) -> Instant {
        self.started + self.started.elapsed().mul_f64(RECENT_SHARE)
    }
}

impl Drop for PendingAttempt<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.pool.close_suspect(self.endpoint, self.recent_since());
        }
    }
}
