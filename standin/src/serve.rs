//! HTTP server shared by the stand-ins.

use std::future::{self, Future};
use std::io;
use std::net;
use std::pin;
use std::sync;
use std::task;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming, SizeHint};
use hyper::header::HeaderMap;
use hyper::{Request, Response};
use hyper_util::rt;
use tokio::sync::watch;
use tokio::time;

/// Delay between sending the first half of a truncated body and closing the connection.
const TRUNCATE_DELAY: time::Duration = time::Duration::from_millis(30);

/// Answer of a stand-in.
pub type Answer = Response<Payload>;

/// Body of an answer, sent completely or truncated.
#[derive(Debug)]
pub struct Payload {
    remaining: Option<Bytes>,
    size: Option<u64>,
    /// Delay before a truncated body fails, so that its first half is sent.
    failure_delay: Option<pin::Pin<Box<time::Sleep>>>,
}

impl Payload {
    /// Creates a body that is sent completely.
    #[must_use]
    pub fn complete(body: Bytes) -> Self {
        let size = Some(body.len() as u64);
        Self {
            remaining: Some(body),
            size,
            failure_delay: None,
        }
    }

    /// Removes the length, so that the body is sent in chunks.
    #[must_use]
    pub fn in_chunks(mut self) -> Self {
        self.size = None;
        self
    }

    /// Creates a body that announces its full length but ends after the first half.
    #[must_use]
    pub fn truncated(body: &Bytes) -> Self {
        let size = Some(body.len() as u64);
        Self {
            remaining: Some(body.slice(..body.len() / 2)),
            size,
            failure_delay: Some(Box::pin(time::sleep(TRUNCATE_DELAY))),
        }
    }
}

impl hyper::body::Body for Payload {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if let Some(chunk) = self.remaining.take().filter(|chunk| !chunk.is_empty()) {
            return task::Poll::Ready(Some(Ok(Frame::data(chunk))));
        }
        let Some(failure_delay) = &mut self.failure_delay else {
            return task::Poll::Ready(None);
        };
        failure_delay
            .as_mut()
            .poll(context)
            .map(|()| Some(Err(io::Error::other("body truncated by a fault switch"))))
    }

    fn is_end_stream(&self) -> bool {
        self.remaining.is_none() && self.failure_delay.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        self.size
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

/// Request with its complete body.
#[derive(Debug)]
pub struct Call {
    /// Upper-case method.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Query without the question mark.
    pub query: String,
    /// Header fields as received.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl Call {
    /// Returns the value of a query parameter; a parameter without a value is empty.
    #[must_use]
    pub fn param(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .map(|pair| pair.split_once('=').unwrap_or((pair, "")))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }
}

/// Reaction of a handler to a request.
#[derive(Debug)]
pub enum Reply {
    /// Sends this answer.
    Send(Answer),
    /// Closes the connection without an answer.
    CloseConnection,
}

/// Running server; dropping it closes the port and all connections.
#[derive(Debug)]
pub struct Server {
    address: net::SocketAddr,
    stop: watch::Sender<bool>,
}

impl Server {
    /// Returns the address assigned by the kernel.
    #[must_use]
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Closes the port and all connections at once, as if the process were killed.
    pub fn kill(&self) {
        self.stop.send_replace(true);
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Listens on `address` and answers each request with `handler`.
///
/// # Errors
/// Fails if the port cannot be bound.
pub async fn bind<H, F>(address: &str, handler: H) -> anyhow::Result<Server>
where
    H: Fn(Call) -> F + Send + Sync + 'static,
    F: future::Future<Output = Reply> + Send + 'static,
{
    let listener = tokio::net::TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let (stop, stopped) = watch::channel(false);
    let handler = sync::Arc::new(handler);
    tokio::spawn(accept(listener, handler, stopped));
    Ok(Server { address, stop })
}

async fn accept<H, F>(
    listener: tokio::net::TcpListener,
    handler: sync::Arc<H>,
    mut stopped: watch::Receiver<bool>,
) where
    H: Fn(Call) -> F + Send + Sync + 'static,
    F: future::Future<Output = Reply> + Send + 'static,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.wait_for(|stop| *stop) => return,
        };
        let Ok((stream, _)) = accepted else { continue };
        let _ = stream.set_nodelay(true);
        tokio::spawn(serve_connection(stream, handler.clone(), stopped.clone()));
    }
}

async fn serve_connection<H, F>(
    stream: tokio::net::TcpStream,
    handler: sync::Arc<H>,
    mut stopped: watch::Receiver<bool>,
) where
    H: Fn(Call) -> F + Send + Sync + 'static,
    F: future::Future<Output = Reply> + Send + 'static,
{
    let service = hyper::service::service_fn(move |request| answer(request, handler.clone()));
    let connection = hyper::server::conn::http1::Builder::new()
        .serve_connection(rt::TokioIo::new(stream), service);
    tokio::select! {
        _ = connection => {}
        _ = stopped.wait_for(|stop| *stop) => {}
    }
}

async fn answer<H, F>(request: Request<Incoming>, handler: sync::Arc<H>) -> anyhow::Result<Answer>
where
    H: Fn(Call) -> F,
    F: future::Future<Output = Reply>,
{
    let (head, body) = request.into_parts();
    let call = Call {
        method: head.method.as_str().to_owned(),
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or_default().to_owned(),
        headers: head.headers,
        body: body.collect().await?.to_bytes(),
    };
    match handler(call).await {
        Reply::Send(answer) => Ok(answer),
        Reply::CloseConnection => anyhow::bail!("connection closed by a fault switch"),
    }
}

/// Builds an answer from a status code and a body.
#[must_use]
pub fn text(status: u16, body: impl Into<Bytes>) -> Answer {
    let mut answer = Response::new(Payload::complete(body.into()));
    *answer.status_mut() =
        hyper::StatusCode::from_u16(status).unwrap_or(hyper::StatusCode::INTERNAL_SERVER_ERROR);
    answer
}

/// Builds a JSON answer.
#[must_use]
pub fn json(value: &impl serde::Serialize) -> Answer {
    match serde_json::to_vec(value) {
        Ok(body) => text(200, body),
        Err(error) => text(500, error.to_string()),
    }
}
