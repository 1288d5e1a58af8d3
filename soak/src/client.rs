//! HTTP/1 client that submits jobs and queries their state over kept-alive connections.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::time;

/// Timeout of one call, the same as that of the platform's clients.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);

/// Time limit that is sent with each request.
pub const DEADLINE: Duration = Duration::from_secs(3);

type Sender = SendRequest<Full<Bytes>>;

/// Client that reuses a connection until it closes or a call on it fails.
#[derive(Default)]
pub struct Client {
    /// At most one idle connection per address.
    idle: Mutex<BTreeMap<SocketAddr, Sender>>,
}

impl Client {
    /// Sends one request and reads the whole response.
    ///
    /// # Errors
    /// Fails when connecting or the exchange fails, or no whole response arrives in time.
    pub async fn call(
        &self,
        to: SocketAddr,
        method: Method,
        path: &str,
        body: String,
    ) -> anyhow::Result<(StatusCode, Bytes)> {
        let response = self.send(to, method, path, body).await?;
        Ok((response.status(), response.into_body()))
    }

    /// Sends one request and reads the whole response with its headers.
    ///
    /// # Errors
    /// Fails as [`Self::call`] does.
    pub async fn send(
        &self,
        to: SocketAddr,
        method: Method,
        path: &str,
        body: String,
    ) -> anyhow::Result<Response<Bytes>> {
        time::timeout(CALL_TIMEOUT, self.exchange(to, method, path, body))
            .await
            .context("no answer in time")?
    }

    async fn exchange(
        &self,
        to: SocketAddr,
        method: Method,
        path: &str,
        body: String,
    ) -> anyhow::Result<Response<Bytes>> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "jobs.example")
            .header("x-deadline-ms", DEADLINE.as_millis().to_string())
            .body(Full::new(Bytes::from(body)))?;
        let mut sender = self.connect(to).await?;
        let response = sender.send_request(request).await?;
        let (head, body) = response.into_parts();
        let body = body.collect().await?.to_bytes();
        if sender.ready().await.is_ok() {
            self.idle.lock().insert(to, sender);
        }
        Ok(Response::from_parts(head, body))
    }

    async fn connect(&self, to: SocketAddr) -> anyhow::Result<Sender> {
        let kept = self.idle.lock().remove(&to);
        if let Some(sender) = kept.filter(Sender::is_ready) {
            return Ok(sender);
        }
        let stream = TcpStream::connect(to).await.context("connect")?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        // The connection task ends when the sender is dropped.
        tokio::spawn(connection);
        Ok(sender)
    }
}
