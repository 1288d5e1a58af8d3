//! The port where callers connect.

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

/// Time for a caller to send the head of a request.
const HEAD_TIME: Duration = Duration::from_secs(10);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// Serving.
    Open,
    /// Still accepting, because the balancer lags; answers close connections.
    Draining,
    /// Accepting no more; requests in flight finish.
    Closing,
}

/// A running callers' port; dropping it cuts every connection.
pub struct Listener {
    address: SocketAddr,
    stage: watch::Sender<Stage>,
    tracker: TaskTracker,
    accept_task: JoinHandle<()>,
    kill: watch::Sender<bool>,
}

struct Shared {
    router: Arc<Router>,
    tally: Arc<GatewayMetrics>,
    stage: watch::Receiver<Stage>,
    kill: watch::Receiver<bool>,
    head: usize,
}

/// Listens for callers.
///
/// # Errors
/// The port cannot be bound.
pub async fn bind(
    settings: &settings::Gateway,
    router: Arc<Router>,
    tally: Arc<GatewayMetrics>,
) -> Result<Listener, Failure> {
    let failed = |error| Failure::no_effect("bind callers' port", settings.callers, error);
    let listener = TcpListener::bind(settings.callers).await.map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?;
    let (stage, stages) = watch::channel(Stage::Open);
    let (kill, killed) = watch::channel(false);
    let head = usize::try_from(settings.max_head_bytes).unwrap_or(usize::MAX);
    let shared = Arc::new(Shared {
        router,
        tally,
        stage: stages,
        kill: killed,
        head,
    });
    let tracker = TaskTracker::new();
    let room = Arc::new(Semaphore::new(settings.max_callers as usize));
    let listener = tokio::spawn(accept(listener, shared, tracker.clone(), room));
    Ok(Listener {
        address,
        stage,
        tracker,
        accept_task: listener,
        kill,
    })
}

impl Listener {
    /// The address that the kernel gave.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops in a planned way: goes on accepting for `drain`, then finishes what is
    /// in flight.
    pub async fn stop(&self, drain: Duration) {
        self.stage.send_replace(Stage::Draining);
        time::sleep(drain).await;
        self.stage.send_replace(Stage::Closing);
        self.tracker.close();
        self.tracker.wait().await;
    }

    /// Cuts every connection, as a kill does.
    pub fn cut(&self) {
        self.accept_task.abort();
        self.kill.send_replace(true);
    }

    /// Whether a planned stop has begun.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        *self.stage.borrow() != Stage::Open
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.cut();
    }
}

async fn accept(
    listener: TcpListener,
    shared: Arc<Shared>,
    tracker: TaskTracker,
    room: Arc<Semaphore>,
) {
    let mut stage = shared.stage.clone();
    loop {
        let Ok(place) = room.clone().acquire_owned().await else {
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
            converse(stream, shared).await;
            drop(place);
        });
    }
}

async fn converse(stream: TcpStream, shared: Arc<Shared>) {
    let _ = stream.set_nodelay(true);
    shared.tally.callers.inc();
    let (mut stage, mut kill) = (shared.stage.clone(), shared.kill.clone());
    let service = service::service_fn({
        let shared = shared.clone();
        move |request| serve(shared.clone(), request)
    });
    let connection = http1::Builder::new()
        .timer(pool::timer())
        .header_read_timeout(HEAD_TIME)
        .max_buf_size(shared.head)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let killed = wait_until(&mut kill, true);
    tokio::pin!(killed);
    let closing = tokio::select! {
        ended = connection.as_mut() => {
            // The library has answered what it could not parse.
            if ended.is_err_and(|error| error.is_parse()) {
                shared.tally.wrong.inc();
            }
            false
        }
        () = wait_until(&mut stage, Stage::Closing) => true,
        () = killed.as_mut() => false,
    };
    if closing {
        connection.as_mut().graceful_shutdown();
        tokio::select! {
            _ = connection.as_mut() => {}
            () = killed.as_mut() => {}
        }
    }
    shared.tally.callers.dec();
}

async fn wait_until<T: Copy + PartialEq>(receiver: &mut watch::Receiver<T>, value: T) {
    // An error means that the front is gone, which ends everything too.
    let _ = receiver.wait_for(|now| *now == value).await;
}

async fn serve(
    shared: Arc<Shared>,
    request: hyper::Request<hyper::body::Incoming>,
) -> Result<hyper::Response<crate::response_body::ResponseBody>, Infallible> {
    let mut answer = shared.router.serve(request).await;
    if *shared.stage.borrow() != Stage::Open {
        answer
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(answer)
}
