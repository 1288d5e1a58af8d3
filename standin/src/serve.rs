//! The accept loop that the stand-ins share.

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

/// Time between the first half of a body and its cut.
const CUT_AFTER: time::Duration = time::Duration::from_millis(30);

/// An answer of a stand-in.
pub type Answer = Response<Payload>;

/// The body of an answer: sent whole, or cut after a part.
#[derive(Debug)]
pub struct Payload {
    left: Option<Bytes>,
    size: Option<u64>,
    /// Ends a body that is to be cut; the delay lets the first half be sent.
    cut: Option<pin::Pin<Box<time::Sleep>>>,
}

impl Payload {
    /// A body that is sent whole.
    #[must_use]
    pub fn complete(body: Bytes) -> Self {
        let size = Some(body.len() as u64);
        Self {
            left: Some(body),
            size,
            cut: None,
        }
    }

    /// The same body without its length, so that it is sent in chunks.
    #[must_use]
    pub fn in_chunks(mut self) -> Self {
        self.size = None;
        self
    }

    /// A body whose second half never comes, though its length was promised.
    #[must_use]
    pub fn truncated(body: &Bytes) -> Self {
        let size = Some(body.len() as u64);
        Self {
            left: Some(body.slice(..body.len() / 2)),
            size,
            cut: Some(Box::pin(time::sleep(CUT_AFTER))),
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
        if let Some(part) = self.left.take().filter(|part| !part.is_empty()) {
            return task::Poll::Ready(Some(Ok(Frame::data(part))));
        }
        let Some(cut) = &mut self.cut else {
            return task::Poll::Ready(None);
        };
        cut.as_mut()
            .poll(context)
            .map(|()| Some(Err(io::Error::other("cut by a switch"))))
    }

    fn is_end_stream(&self) -> bool {
        self.left.is_none() && self.cut.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        self.size
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

/// A request whose body has been read as a whole.
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
    /// Whole body.
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

/// What a handler does with a connection after a request.
#[derive(Debug)]
pub enum Reply {
    /// Send this answer.
    Send(Answer),
    /// Close the connection without an answer.
    CloseConnection,
}

/// A listening stand-in; dropping it closes the port and every connection.
#[derive(Debug)]
pub struct Server {
    address: net::SocketAddr,
    stop: watch::Sender<bool>,
}

impl Server {
    /// The address that the kernel gave.
    #[must_use]
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Closes the port and every connection at once, as a kill does.
    pub fn kill(&self) {
        self.stop.send_replace(true);
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Listens on `address` and answers each request by `handle`.
///
/// # Errors
/// The port cannot be bound.
pub async fn bind<H, F>(address: &str, handle: H) -> anyhow::Result<Server>
where
    H: Fn(Call) -> F + Send + Sync + 'static,
    F: future::Future<Output = Reply> + Send + 'static,
{
    let listener = tokio::net::TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let (stop, stopped) = watch::channel(false);
    let handle = sync::Arc::new(handle);
    tokio::spawn(accept(listener, handle, stopped));
    Ok(Server { address, stop })
}

async fn accept<H, F>(
    listener: tokio::net::TcpListener,
    handle: sync::Arc<H>,
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
        tokio::spawn(converse(stream, handle.clone(), stopped.clone()));
    }
}

async fn converse<H, F>(
    stream: tokio::net::TcpStream,
    handle: sync::Arc<H>,
    mut stopped: watch::Receiver<bool>,
) where
    H: Fn(Call) -> F + Send + Sync + 'static,
    F: future::Future<Output = Reply> + Send + 'static,
{
    let service = hyper::service::service_fn(move |request| answer(request, handle.clone()));
    let connection = hyper::server::conn::http1::Builder::new()
        .serve_connection(rt::TokioIo::new(stream), service);
    tokio::select! {
        _ = connection => {}
        _ = stopped.wait_for(|stop| *stop) => {}
    }
}

async fn answer<H, F>(request: Request<Incoming>, handle: sync::Arc<H>) -> anyhow::Result<Answer>
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
    match handle(call).await {
        Reply::Send(answer) => Ok(answer),
        Reply::CloseConnection => anyhow::bail!("connection cut by a switch"),
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
