//! Serves the requests of one connection.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::body::Body;
use super::metrics::Refusal;
use super::response::GuardedResponse;
use super::state::Shared;
use super::stream::IngressStream;

/// A connection of a client; dropping it closes it and gives back what it holds.
pub struct Connection {
    // Closed before its place is given to another connection.
    stream: IngressStream,
    registered: Registered,
}

/// Entry of a connection in its listener, removed on drop.
struct Registered {
    id: u64,
    shared: Arc<Shared>,
}

impl Drop for Registered {
    fn drop(&mut self) {
        self.shared.clear();
        self.shared.ingress.release(self.id);
    }
}

impl Connection {
    pub(super) fn new(id: u64, shared: Arc<Shared>, stream: TcpStream) -> Self {
        Self {
            stream: IngressStream::new(stream, shared.clone()),
            registered: Registered { id, shared },
        }
    }

    /// Serves requests until the connection is closed, or until `stop` completes and the request
    /// under way has ended. The handler gets each request, or the reason to refuse one that could not
    /// be received.
    ///
    /// # Errors
    /// The client does not speak HTTP/1, or its connection failed.
    pub async fn serve<H, F, B>(
        self,
        handler: H,
        stop: impl Future<Output = ()>,
    ) -> Result<(), hyper::Error>
    where
        H: Fn(Result<Request<Body>, Refusal>) -> F,
        F: Future<Output = Response<B>>,
        B: hyper::body::Body + Unpin + 'static,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let Self {
            mut stream,
            registered,
        } = self;
        let shared = &registered.shared;
        let served = tokio::select! {
            biased;
            () = shared.closing.notified() => Ok(()),
            served = serve_requests(&mut stream, shared, handler, stop) => served,
        };
        drop(stream);
        served
    }
}

async fn serve_requests<H, F, B>(
    stream: &mut IngressStream,
    shared: &Arc<Shared>,
    handler: H,
    stop: impl Future<Output = ()>,
) -> Result<(), hyper::Error>
where
    H: Fn(Result<Request<Body>, Refusal>) -> F,
    F: Future<Output = Response<B>>,
    B: hyper::body::Body + Unpin + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut stop = pin!(stop);
    let respond = |request: Request<Incoming>| {
        let request = match shared.begin_request(request.body()) {
            Ok(()) => Ok(request.map(|body| Body::new(body, shared.clone()))),
            Err(refusal) => Err(refusal),
        };
        let (response, shared) = (handler(request), shared.clone());
        async move {
            let response = response.await;
            Ok::<_, Infallible>(response.map(|body| GuardedResponse::new(body, shared)))
        }
    };
    loop {
        // Buffers are allocated once a head is complete.
        let has_head = tokio::select! {
            has_head = stream.receive_head() => has_head,
            () = stop.as_mut() => false,
        };
        if !has_head {
            return Ok(());
        }
        let builder = stream.configure(http1::Builder::new());
        let io = TokioIo::new(&mut *stream);
        let mut connection = pin!(builder.serve_connection(io, service::service_fn(&respond)));
        tokio::select! {
            served = connection.as_mut() => served?,
            () = stop.as_mut() => {
                connection.as_mut().graceful_shutdown();
                return connection.await;
            }
        }
        if !stream.take_restart() {
            return Ok(());
        }
    }
}
