//! HTTP listener for callers.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinHandle;
use tokio::time;
use tokio_util::task::TaskTracker;

use crate::failure::Failure;
use crate::gateway_metrics::GatewayMetrics;
use crate::pool;
use crate::router::Router;
use crate::settings;

/// Time limit for a caller to send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Stage of a graceful shutdown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// Normal operation.
    Open,
    /// Connections are still accepted, because the load balancer reacts late; responses
    /// close their connections.
    Draining,
    /// No more connections are accepted; requests in flight finish.
    Closing,
}

/// A running listener for callers; dropping it closes every connection.
pub struct Listener {
    address: SocketAddr,
    stage: watch::Sender<Stage>,
    tracker: TaskTracker,
    accept_task: JoinHandle<()>,
    abort: watch::Sender<bool>,
}

struct Shared {
    router: Arc<Router>,
    metrics: Arc<GatewayMetrics>,
    stage: watch::Receiver<Stage>,
    abort: watch::Receiver<bool>,
    head: usize,
}

/// Starts the listener for callers.
///
/// # Errors
/// The port cannot be bound.
pub async fn bind(
    settings: &settings::Gateway,
    router: Arc<Router>,
    metrics: Arc<GatewayMetrics>,
) -> Result<Listener, Failure> {
    let failed = |error| Failure::no_effect("bind callers' port", settings.callers, error);
    let listener = TcpListener::bind(settings.callers).await.map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?;
    let (stage, stage_changes) = watch::channel(Stage::Open);
    let (abort, aborted) = watch::channel(false);
    let head = usize::try_from(settings.max_head_bytes).unwrap_or(usize::MAX);
    let shared = Arc::new(Shared {
        router,
        metrics,
        stage: stage_changes,
        abort: aborted,
        head,
    });
    let tracker = TaskTracker::new();
    let permits = Arc::new(Semaphore::new(settings.max_callers as usize));
    let accept_task = tokio::spawn(accept(listener, shared, tracker.clone(), permits));
    Ok(Listener {
        address,
        stage,
        tracker,
        accept_task,
        abort,
    })
}

impl Listener {
    /// Returns the address that the listener is bound to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Shuts down gracefully: accepts connections for `drain` longer, then waits for
    /// requests in flight.
    pub async fn stop(&self, drain: Duration) {
        self.stage.send_replace(Stage::Draining);
        time::sleep(drain).await;
        self.stage.send_replace(Stage::Closing);
        self.tracker.close();
        self.tracker.wait().await;
    }

    /// Closes every connection at once, as a killed process does.
    pub fn abort(&self) {
        self.accept_task.abort();
        self.abort.send_replace(true);
    }

    /// Returns whether a graceful shutdown has begun.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        *self.stage.borrow() != Stage::Open
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.abort();
    }
}

async fn accept(
    listener: TcpListener,
    shared: Arc<Shared>,
    tracker: TaskTracker,
    permits: Arc<Semaphore>,
) {
    let mut stage = shared.stage.clone();
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_until(&mut stage, Stage::Closing) => return,
        };
        let Ok((stream, _)) = accepted else {
            time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let shared = shared.clone();
        tracker.spawn(async move {
            serve_connection(stream, shared).await;
            drop(permit);
        });
    }
}

async fn serve_connection(stream: TcpStream, shared: Arc<Shared>) {
    let _ = stream.set_nodelay(true);
    shared.metrics.callers.inc();
    let (mut stage, mut abort) = (shared.stage.clone(), shared.abort.clone());
    let service = service::service_fn({
        let shared = shared.clone();
        move |request| serve(shared.clone(), request)
    });
    let connection = http1::Builder::new()
        .timer(pool::timer())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(shared.head)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let aborted = wait_until(&mut abort, true);
    tokio::pin!(aborted);
    let closing = tokio::select! {
        ended = connection.as_mut() => {
            // hyper has already responded to a request that it could not parse.
            if ended.is_err_and(|error| error.is_parse()) {
                shared.metrics.rejected.inc();
            }
            false
        }
        () = wait_until(&mut stage, Stage::Closing) => true,
        () = aborted.as_mut() => false,
    };
    if closing {
        connection.as_mut().graceful_shutdown();
        tokio::select! {
            _ = connection.as_mut() => {}
            () = aborted.as_mut() => {}
        }
    }
    shared.metrics.callers.dec();
}

async fn wait_until<T: Copy + PartialEq>(receiver: &mut watch::Receiver<T>, value: T) {
    // An error means that the listener was dropped, which ends all connections too.
    let _ = receiver.wait_for(|now| *now == value).await;
}

async fn serve(
    shared: Arc<Shared>,
    request: hyper::Request<hyper::body::Incoming>,
) -> Result<hyper::Response<crate::response_body::ResponseBody>, Infallible> {
    let mut response = shared.router.serve(request).await;
    if *shared.stage.borrow() != Stage::Open {
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}
