//! A client: submits jobs and asks for their state, on connections that it keeps.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::time;

/// Time for one call, as the platform's clients wait.
const LIMIT: Duration = Duration::from_secs(4);

type Sender = SendRequest<Full<Bytes>>;

/// Makes calls; a connection is used again until it ends or a call on it fails.
#[derive(Default)]
pub struct Client {
    /// One idle connection at most for each address.
    idle: Mutex<BTreeMap<SocketAddr, Sender>>,
}

impl Client {
    /// Makes one call.
    ///
    /// # Errors
    /// No whole answer in time.
    pub async fn call(
        &self,
        to: SocketAddr,
        method: Method,
        path: &str,
        body: String,
    ) -> anyhow::Result<(StatusCode, Bytes)> {
        time::timeout(LIMIT, self.exchange(to, method, path, body))
            .await
            .context("no answer in time")?
    }

    async fn exchange(
        &self,
        to: SocketAddr,
        method: Method,
        path: &str,
        body: String,
    ) -> anyhow::Result<(StatusCode, Bytes)> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "jobs.example")
            .header("x-deadline-ms", "3000")
            .body(Full::new(Bytes::from(body)))?;
        let mut sender = self.connect(to).await?;
        let response = sender.send_request(request).await?;
        let status = response.status();
        let body = response.into_body().collect().await?.to_bytes();
        if sender.ready().await.is_ok() {
            self.idle.lock().insert(to, sender);
        }
        Ok((status, body))
    }

    async fn connect(&self, to: SocketAddr) -> anyhow::Result<Sender> {
        let kept = self.idle.lock().remove(&to);
        if let Some(sender) = kept.filter(Sender::is_ready) {
            return Ok(sender);
        }
        let stream = TcpStream::connect(to).await.context("connect")?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        // It ends with the sender.
        tokio::spawn(connection);
        Ok(sender)
    }
}
