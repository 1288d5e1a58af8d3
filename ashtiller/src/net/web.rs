//! A small HTTP/1.1 client for calls with short bodies that are read as a whole.
//!
//! A few idle connections are kept for each peer. A connection on which a call was
//! abandoned is closed, so that a late response cannot be taken for that of a later call.
//! Connections to a peer often go silent together: after a call got no response in time,
//! none of the idle connections to its peer is used again.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::LazyLock;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use prometheus::IntCounter;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{self, Instant};

use crate::failure::Failure;

/// Largest response body that is read.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Idle connections kept for one peer.
const MAX_IDLE_CONNECTIONS: usize = 4;
/// Time after which unacknowledged bytes break a connection (`TCP_USER_TIMEOUT`); a peer
/// that is up acknowledges sooner.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(3);

/// Number of connections of this process on which a call got no response in time.
static SILENT_CONNECTIONS: LazyLock<IntCounter> = LazyLock::new(|| {
    IntCounter::new(
        "ashtiller_web_silent_links",
        "connections on which a call got no answer in time",
    )
    .expect("valid metric name and help text")
});

/// Returns the counter of connections on which a call got no response in time, of all
/// clients of this process.
#[must_use]
pub fn silent_connections() -> IntCounter {
    SILENT_CONNECTIONS.clone()
}

/// A response read as a whole.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status code.
    pub status: StatusCode,
    /// Value of the `X-Consul-Index` header, if there is one.
    pub index: Option<u64>,
    /// Complete body.
    pub body: Bytes,
}

/// Request of one call.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: &'a str,
    /// Headers other than `host`.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Bytes,
    /// Whether to open a new connection even if idle ones exist: the call retries one
    /// whose connection may have gone silent.
    pub new_connection: bool,
}

impl<'a> Call<'a> {
    /// Builds a call without further headers.
    #[must_use]
    pub fn new(method: Method, target: &'a str, body: Bytes) -> Self {
        Self {
            method,
            target,
            headers: Vec::new(),
            body,
            new_connection: false,
        }
    }
}

struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    /// Time of the last response, or of the opening before the first.
    last_response: Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Idle connections to one peer.
#[derive(Default)]
struct PeerConnections {
    idle: Vec<Connection>,
    /// Time of the last response on the connection that went silent; `None` once any
    /// connection responds again.
    silent_since: Option<Instant>,
}

/// An HTTP client that keeps a few idle connections for each peer.
#[derive(Default)]
pub struct Client {
    peers: Mutex<HashMap<SocketAddr, PeerConnections>>,
}

impl Client {
    /// Makes one call within `timeout`.
    ///
    /// # Errors
    /// No connection (no effect), or no complete response in time (unknown effect).
    pub async fn call(
        &self,
        step: &'static str,
        peer: SocketAddr,
        method: Method,
        target: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Response, Failure> {
        self.call_with(step, peer, Call::new(method, target, body), timeout)
            .await
    }

    /// Makes one call with headers within `timeout`.
    ///
    /// # Errors
    /// No connection (no effect), or no complete response in time (unknown effect).
    pub async fn call_with(
        &self,
        step: &'static str,
        peer: SocketAddr,
        call: Call<'_>,
        timeout: Duration,
    ) -> Result<Response, Failure> {
        let started = Instant::now();
        let timed_out = |_| Failure::no_effect(step, peer, "no connection in time");
        let connection = time::timeout(timeout, self.connect(step, peer, call.new_connection))
            .await
            .map_err(timed_out)??;
        let remaining = timeout.saturating_sub(started.elapsed());
        let last_response = connection.last_response;
        let exchange = exchange(step, peer, connection, call);
        let Ok(result) = time::timeout(remaining, exchange).await else {
            self.discard_idle(step, peer, last_response);
            return Err(Failure::unknown_effect(step, peer, "no answer in time"));
        };
        let (response, connection) = result?;
        self.put_idle(peer, connection);
        Ok(response)
    }

    async fn connect(
        &self,
        step: &'static str,
        peer: SocketAddr,
        new_connection: bool,
    ) -> Result<Connection, Failure> {
        while !new_connection && let Some(connection) = self.take_idle(peer) {
            if connection.sender.is_ready() {
                return Ok(connection);
            }
        }
        open(step, peer).await
    }

    fn take_idle(&self, peer: SocketAddr) -> Option<Connection> {
        self.peers.lock().get_mut(&peer)?.idle.pop()
    }

    /// Puts a connection that has responded among the idle ones.
    fn put_idle(&self, peer: SocketAddr, mut connection: Connection) {
        connection.last_response = Instant::now();
        let mut peers = self.peers.lock();
        let connections = peers.entry(peer).or_default();
        if let Some(since) = connections.silent_since.take() {
            let age = since.elapsed().as_millis();
            tracing::info!(%peer, age_ms = age, "peer responds again");
        }
        if connections.idle.len() < MAX_IDLE_CONNECTIONS {
            connections.idle.push(connection);
        }
    }

    /// Drops all idle connections to a peer after a connection that had last responded at
    /// `last_response` gave no response in time. The same fault may have silenced them
    /// all, and trying each in turn would cost one timeout each.
    fn discard_idle(&self, step: &'static str, peer: SocketAddr, last_response: Instant) {
        SILENT_CONNECTIONS.inc();
        let mut peers = self.peers.lock();
        let connections = peers.entry(peer).or_default();
        let idle = std::mem::take(&mut connections.idle);
        if connections.silent_since.is_none() {
            connections.silent_since = Some(last_response);
            let age = last_response.elapsed().as_millis();
            tracing::info!(step, %peer, age_ms = age, dropped = idle.len(), "peer is silent");
        }
    }
}

/// Opens a connection.
async fn open(step: &'static str, peer: SocketAddr) -> Result<Connection, Failure> {
    let failed = |error: &dyn std::fmt::Display| Failure::no_effect(step, peer, error);
    let stream = TcpStream::connect(peer)
        .await
        .map_err(|error| failed(&error))?;
    stream.set_nodelay(true).map_err(|error| failed(&error))?;
    SockRef::from(&stream)
        .set_tcp_user_timeout(Some(UNACKED_TIMEOUT))
        .map_err(|error| failed(&error))?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| failed(&error))?;
    let driver = tokio::spawn(async move {
        // The sender reports the same error to the caller.
        let _ = connection.await;
    });
    Ok(Connection {
        sender,
        driver: driver.abort_handle(),
        last_response: Instant::now(),
    })
}

async fn exchange(
    step: &'static str,
    peer: SocketAddr,
    mut connection: Connection,
    call: Call<'_>,
) -> Result<(Response, Connection), Failure> {
    let failed = |error: &dyn std::fmt::Display| Failure::unknown_effect(step, peer, error);
    let mut request = Request::builder()
        .method(call.method)
        .uri(call.target)
        .header("host", peer.to_string());
    for (name, value) in call.headers {
        request = request.header(name, value);
    }
    let request = request
        .body(Full::new(call.body))
        .map_err(|error| Failure::no_effect(step, peer, error))?;
    let response = connection
        .sender
        .send_request(request)
        .await
        .map_err(|error| failed(&error))?;
    let (head, body) = response.into_parts();
    let body = Limited::new(body, MAX_RESPONSE_BYTES)
        .collect()
        .await
        .map_err(|error| failed(&error))?;
    let index = head
        .headers
        .get("x-consul-index")
        .and_then(|index| index.to_str().ok()?.parse().ok());
    connection
        .sender
        .ready()
        .await
        .map_err(|error| failed(&error))?;
    Ok((
        Response {
            status: head.status,
            index,
            body: body.to_bytes(),
        },
        connection,
    ))
}
