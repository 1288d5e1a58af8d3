//! A small HTTP/1.1 client for calls whose bodies are short and read whole.
//!
//! One idle connection is kept for each peer. A connection on which a call was
//! given up is closed, so that no late answer can meet a later call.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time;

use crate::failure::Failure;

/// Largest answer that is read.
const ANSWER_MAX: usize = 64 << 20;
/// Idle connections kept for one peer.
const IDLE_MAX: usize = 4;
/// Time after which unacknowledged bytes break a connection: no answer of a peer
/// that is up takes so long to be acknowledged.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// An answer read as a whole.
#[derive(Clone, Debug)]
pub struct Answer {
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
        }
    }
}

struct Link {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: AbortHandle,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// A client with a few idle connections.
#[derive(Default)]
pub struct Client {
    idle: Mutex<HashMap<SocketAddr, Vec<Link>>>,
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
    ) -> Result<Answer, Failure> {
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
    ) -> Result<Answer, Failure> {
        let started = time::Instant::now();
        let timed_out = |_| Failure::none(step, peer, "no connection in time");
        let link = time::timeout(limit, self.connect(step, peer))
            .await
            .map_err(timed_out)??;
        let left = limit.saturating_sub(started.elapsed());
        let exchange = exchange(step, peer, link, call);
        let timed_out = |_| Failure::unknown(step, peer, "no answer in time");
        let (answer, link) = time::timeout(left, exchange).await.map_err(timed_out)??;
        self.keep(peer, link);
        Ok(answer)
    }

    async fn connect(&self, step: &'static str, peer: SocketAddr) -> Result<Link, Failure> {
        while let Some(link) = self.take(peer) {
            if link.sender.is_ready() {
                return Ok(link);
            }
        }
        let failed = |error: &dyn std::fmt::Display| Failure::none(step, peer, error);
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
        })
    }

    fn take(&self, peer: SocketAddr) -> Option<Link> {
        self.idle.lock().get_mut(&peer)?.pop()
    }

    fn keep(&self, peer: SocketAddr, link: Link) {
        let mut idle = self.idle.lock();
        let links = idle.entry(peer).or_default();
        if links.len() < IDLE_MAX {
            links.push(link);
        }
    }
}

async fn exchange(
    step: &'static str,
    peer: SocketAddr,
    mut link: Link,
    call: Call<'_>,
) -> Result<(Answer, Link), Failure> {
    let failed = |error: &dyn std::fmt::Display| Failure::unknown(step, peer, error);
    let mut request = Request::builder()
        .method(call.method)
        .uri(call.target)
        .header("host", peer.to_string());
    for (name, value) in call.headers {
        request = request.header(name, value);
    }
    let request = request
        .body(Full::new(call.body))
        .map_err(|error| Failure::none(step, peer, error))?;
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
        Answer {
            status: head.status,
            index,
            body: body.to_bytes(),
        },
        link,
    ))
}
