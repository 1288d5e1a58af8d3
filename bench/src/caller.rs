//! A caller that keeps connections to one address.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Idle connections to one address.
pub struct Caller {
    address: SocketAddr,
    path: &'static str,
    idle: Mutex<Vec<http1::SendRequest<Full<Bytes>>>>,
}

impl Caller {
    /// A caller of `path` at `address`.
    pub fn new(address: SocketAddr, path: &'static str) -> Arc<Self> {
        Arc::new(Self {
            address,
            path,
            idle: Mutex::default(),
        })
    }

    /// Sends one request that holds a slot for `service_ms` and may take `timeout_ms`.
    pub async fn call(&self, service_ms: f64, timeout_ms: u64) -> anyhow::Result<StatusCode> {
        let mut sender = self.connect().await?;
        let request = Request::builder()
            .uri(self.path)
            .header("host", "fleet")
            .header("client-account", "dealer-north")
            .header("request-timeout", format!("{timeout_ms}ms"))
            .header("service-ms", format!("{service_ms:.3}"))
            .body(Full::default())?;
        let answer = sender.send_request(request).await?;
        let status = answer.status();
        answer.into_body().collect().await?;
        self.idle.lock().expect("idle connections").push(sender);
        Ok(status)
    }

    async fn connect(&self) -> anyhow::Result<http1::SendRequest<Full<Bytes>>> {
        while let Some(mut sender) = self.take() {
            if sender.ready().await.is_ok() {
                return Ok(sender);
            }
        }
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        Ok(sender)
    }

    fn take(&self) -> Option<http1::SendRequest<Full<Bytes>>> {
        self.idle.lock().expect("idle connections").pop()
    }
}
