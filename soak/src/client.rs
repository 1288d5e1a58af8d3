//! A client: submits jobs and asks for their state, one call a connection.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time;

/// Time for one call, as the platform's clients wait.
const LIMIT: Duration = Duration::from_secs(4);

/// Makes one call.
///
/// # Errors
/// No whole answer in time.
pub async fn call(
    to: SocketAddr,
    method: Method,
    path: &str,
    body: String,
) -> anyhow::Result<(StatusCode, Bytes)> {
    time::timeout(LIMIT, exchange(to, method, path, body))
        .await
        .context("no answer in time")?
}

async fn exchange(
    to: SocketAddr,
    method: Method,
    path: &str,
    body: String,
) -> anyhow::Result<(StatusCode, Bytes)> {
    let stream = TcpStream::connect(to).await.context("connect")?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let driver = tokio::spawn(connection);
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "jobs.example")
        .header("x-deadline-ms", "3000")
        .body(Full::new(Bytes::from(body)))?;
    let response = sender.send_request(request).await?;
    let status = response.status();
    let body = response.into_body().collect().await?.to_bytes();
    driver.abort();
    Ok((status, body))
}
