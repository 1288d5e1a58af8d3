//! HTTP listener for callers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Request, Response};
use prometheus::Registry;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time;
use tokio_util::task::TaskTracker;

use crate::failure::Failure;
use crate::gateway_metrics::GatewayMetrics;
use crate::ingress::{self, Ingress, Refusal, RequestLimits};
use crate::response_body::ResponseBody;
use crate::router::Router;
use crate::settings;

/// Time limit for a caller to send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Time that a caller's connection may be idle.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

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
    time_task: JoinHandle<()>,
    ingress: Arc<Ingress>,
    abort: watch::Sender<bool>,
}

struct Shared {
    router: Arc<Router>,
    metrics: Arc<GatewayMetrics>,
    stage: watch::Receiver<Stage>,
    abort: watch::Receiver<bool>,
    ingress: Arc<Ingress>,
}

/// Starts the listener for callers.
///
/// # Errors
/// The port cannot be bound, or the listener's metrics are registered already.
pub async fn bind(
    settings: &settings::Gateway,
    router: Arc<Router>,
    metrics: Arc<GatewayMetrics>,
    registry: &Registry,
) -> anyhow::Result<Listener> {
    let failed = |error| Failure::no_effect("bind callers' port", settings.callers, error);
    let listener = TcpListener::bind(settings.callers).await.map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?;
    let (stage, stage_changes) = watch::channel(Stage::Open);
    let (abort, aborted) = watch::channel(false);
    Ingress::prepare(&listener);
    let ingress = open_ingress(settings, registry)?;
    let shared = Arc::new(Shared {
        router,
        metrics,
        stage: stage_changes,
        abort: aborted,
        ingress: ingress.clone(),
    });
    let tracker = TaskTracker::new();
    let accept_task = tokio::spawn(accept(listener, shared, tracker.clone()));
    Ok(Listener {
        address,
        stage,
        tracker,
        accept_task,
        time_task: tokio::spawn(Ingress::enforce(vec![ingress.clone()])),
        ingress,
        abort,
    })
}

fn open_ingress(settings: &settings::Gateway, registry: &Registry) -> anyhow::Result<Arc<Ingress>> {
    let mut capacity = settings.resources.client_capacity();
    capacity.connections = capacity.connections.min(settings.max_callers as usize);
    let limits = RequestLimits {
        head_bytes: usize::try_from(settings.max_head_bytes).unwrap_or(usize::MAX),
        head_timeout: HEAD_TIMEOUT,
        idle_timeout: IDLE_TIMEOUT,
    };
    Ok(Ingress::open(capacity, limits, registry, "gateway")?)
}

impl Listener {
    /// Returns the address that the listener is bound to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Shuts down gracefully: accepts connections for `drain` longer, then waits for
    /// requests in flight. Requests whose callers have not sent all of them are refused.
    pub async fn stop(&self, drain: Duration) {
        self.stage.send_replace(Stage::Draining);
        time::sleep(drain).await;
        self.stage.send_replace(Stage::Closing);
        self.ingress.close_unfinished();
        self.tracker.close();
        self.tracker.wait().await;
    }

    /// Closes every connection at once, as a killed process does.
    pub fn abort(&self) {
        self.accept_task.abort();
        self.time_task.abort();
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

async fn accept(listener: TcpListener, shared: Arc<Shared>, tracker: TaskTracker) {
    let mut stage = shared.stage.clone();
    loop {
        let connection = tokio::select! {
            connection = shared.ingress.accept(&listener) => connection,
            () = wait_until(&mut stage, Stage::Closing) => return,
        };
        tracker.spawn(serve_connection(connection, shared.clone()));
    }
}

async fn serve_connection(connection: ingress::Connection, shared: Arc<Shared>) {
    shared.metrics.callers.inc();
    let (mut stage, mut abort) = (shared.stage.clone(), shared.abort.clone());
    let handler = |request| serve(shared.clone(), request);
    let served = connection.serve(handler, wait_until(&mut stage, Stage::Closing));
    tokio::select! {
        served = served => {
            // hyper has already responded to a request that it could not parse.
            if served.is_err_and(|error| error.is_parse()) {
                shared.metrics.rejected.inc();
            }
        }
        () = wait_until(&mut abort, true) => {}
    }
    shared.metrics.callers.dec();
}

async fn wait_until<T: Copy + PartialEq>(receiver: &mut watch::Receiver<T>, value: T) {
    // An error means that the listener was dropped, which ends all connections too.
    let _ = receiver.wait_for(|now| *now == value).await;
}

async fn serve(
    shared: Arc<Shared>,
    request: Result<Request<ingress::Body>, Refusal>,
) -> Response<ResponseBody> {
    let mut response = match request {
        Ok(request) => shared.router.serve(request).await,
        Err(refusal) => shared.router.refuse(refusal),
    };
    if *shared.stage.borrow() != Stage::Open {
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
