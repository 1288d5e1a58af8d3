//! A small HTTP/1.1 client for calls whose bodies are short and read whole.
//!
//! A few idle connections are kept for each peer. A connection on which a call was
//! given up is closed, so that no late answer can meet a later call. Connections go
//! silent together: when a call got no answer in time, no idle connection to its peer
//! is used again.

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

/// Largest answer that is read.
const ANSWER_MAX: usize = 64 << 20;
/// Idle connections kept for one peer.
const IDLE_MAX: usize = 4;
/// Time after which unacknowledged bytes break a connection: no answer of a peer
/// that is up takes so long to be acknowledged.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Connections of this process on which a call got no answer in time.
static SILENT: LazyLock<IntCounter> = LazyLock::new(|| {
    IntCounter::new(
        "ashtiller_web_silent_links",
        "connections on which a call got no answer in time",
    )
    .expect("a name and a help text")
});

/// Counts the connections on which a call got no answer in time, of all clients of this
/// process.
#[must_use]
pub fn silent_connections() -> IntCounter {
    SILENT.clone()
}

/// An answer read as a whole.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status code.
    pub status: StatusCode,
    /// Value of `X-Consul-Index`, if there is one.
    pub index: Option<u64>,
    /// Whole body.
    pub body: Bytes,
}

/// What is called.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: &'a str,
    /// Headers beside the host.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Bytes,
    /// Whether it goes over a new connection though idle ones may be there, as it stands
    /// in for a call whose connection may have gone silent.
    pub new_connection: bool,
}

impl<'a> Call<'a> {
    /// A call without further headers.
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

struct Link {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    /// When it last answered, or was opened.
    answered: Instant,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Connections to one peer.
#[derive(Default)]
struct Links {
    idle: Vec<Link>,
    /// When the connection that went silent had last answered, until one answers again.
    silent: Option<Instant>,
}

/// A client with a few idle connections.
#[derive(Default)]
pub struct Client {
    links: Mutex<HashMap<SocketAddr, Links>>,
}

impl Client {
    /// Makes one call within `limit`.
    ///
    /// # Errors
    /// No connection (no effect), or no whole answer in time (unknown effect).
    pub async fn call(
        &self,
        step: &'static str,
        peer: SocketAddr,
        method: Method,
        target: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<Response, Failure> {
        self.call_with(step, peer, Call::new(method, target, body), limit)
            .await
    }

    /// Makes one call with headers within `limit`.
    ///
    /// # Errors
    /// No connection (no effect), or no whole answer in time (unknown effect).
    pub async fn call_with(
        &self,
        step: &'static str,
        peer: SocketAddr,
        call: Call<'_>,
        limit: Duration,
    ) -> Result<Response, Failure> {
        let started = Instant::now();
        let timed_out = |_| Failure::no_effect(step, peer, "no connection in time");
        let link = time::timeout(limit, self.connect(step, peer, call.new_connection))
            .await
            .map_err(timed_out)??;
        let left = limit.saturating_sub(started.elapsed());
        let answered = link.answered;
        let exchange = exchange(step, peer, link, call);
        let Ok(done) = time::timeout(left, exchange).await else {
            self.distrust(step, peer, answered);
            return Err(Failure::unknown_effect(step, peer, "no answer in time"));
        };
        let (answer, link) = done?;
        self.keep(peer, link);
        Ok(answer)
    }

    async fn connect(
        &self,
        step: &'static str,
        peer: SocketAddr,
        apart: bool,
    ) -> Result<Link, Failure> {
        while !apart && let Some(link) = self.take(peer) {
            if link.sender.is_ready() {
                return Ok(link);
            }
        }
        open(step, peer).await
    }

    fn take(&self, peer: SocketAddr) -> Option<Link> {
        self.links.lock().get_mut(&peer)?.idle.pop()
    }

    /// Keeps a connection that has answered.
    fn keep(&self, peer: SocketAddr, mut link: Link) {
        link.answered = Instant::now();
        let mut all = self.links.lock();
        let links = all.entry(peer).or_default();
        if let Some(since) = links.silent.take() {
            let age = since.elapsed().as_millis();
            tracing::info!(%peer, age_ms = age, "peer answers again");
        }
        if links.idle.len() < IDLE_MAX {
            links.idle.push(link);
        }
    }

    /// Drops all idle connections to a peer after one of them, which had last answered
    /// at `answered`, gave no answer in time: what silenced it may have silenced them,
    /// and trying each in turn would cost a call's limit each time.
    fn distrust(&self, step: &'static str, peer: SocketAddr, answered: Instant) {
        SILENT.inc();
        let mut all = self.links.lock();
        let links = all.entry(peer).or_default();
        let idle = std::mem::take(&mut links.idle);
        if links.silent.is_none() {
            links.silent = Some(answered);
            let age = answered.elapsed().as_millis();
            tracing::info!(step, %peer, age_ms = age, dropped = idle.len(), "link is silent");
        }
    }
}

/// Opens a connection.
async fn open(step: &'static str, peer: SocketAddr) -> Result<Link, Failure> {
    let failed = |error: &dyn std::fmt::Display| Failure::no_effect(step, peer, error);
    let stream = TcpStream::connect(peer)
        .await
        .map_err(|error| failed(&error))?;
    stream.set_nodelay(true).map_err(|error| failed(&error))?;
    SockRef::from(&stream)
        .set_tcp_user_timeout(Some(USER_TIMEOUT))
        .map_err(|error| failed(&error))?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| failed(&error))?;
    let driver = tokio::spawn(async move {
        // The caller sees the same error through the sender.
        let _ = connection.await;
    });
    Ok(Link {
        sender,
        driver: driver.abort_handle(),
        answered: Instant::now(),
    })
}

async fn exchange(
    step: &'static str,
    peer: SocketAddr,
    mut link: Link,
    call: Call<'_>,
) -> Result<(Response, Link), Failure> {
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
    let response = link
        .sender
        .send_request(request)
        .await
        .map_err(|error| failed(&error))?;
    let (head, body) = response.into_parts();
    let body = Limited::new(body, ANSWER_MAX)
        .collect()
        .await
        .map_err(|error| failed(&error))?;
    let index = head
        .headers
        .get("x-consul-index")
        .and_then(|index| index.to_str().ok()?.parse().ok());
    link.sender.ready().await.map_err(|error| failed(&error))?;
    Ok((
        Response {
            status: head.status,
            index,
            body: body.to_bytes(),
        },
        link,
    ))
}
