//! Connections from a gateway to endpoints.
//!
//! A connection carries one request at a time and goes back to the pool only
//! after the whole answer was read; any other end closes it. So a late answer
//! can never reach another request.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::client::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{self, Instant};

use crate::failure::Failure;
use crate::upload::Upload;

/// Time for a connection to become ready again after an answer.
const READY: Duration = Duration::from_millis(20);

/// A connection to an endpoint; dropping it closes it.
pub struct Link {
    /// Sends requests.
    pub sender: http1::SendRequest<Upload>,
    endpoint: SocketAddr,
    driver: AbortHandle,
    since: Instant,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Idle connections by endpoint.
pub struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Link>>>,
    connect: Duration,
    keep: Duration,
    head: usize,
}

impl Pool {
    /// An empty pool. `connect` limits a connect, `keep` an idle connection's
    /// life, `head` the bytes of an answer's head.
    #[must_use]
    pub fn new(connect: Duration, keep: Duration, head: usize) -> Self {
        Self {
            idle: Mutex::default(),
            connect,
            keep,
            head,
        }
    }

    /// Takes an idle connection or opens one.
    ///
    /// # Errors
    /// No connection within the time limit; nothing was sent.
    pub async fn checkout(&self, endpoint: SocketAddr) -> Result<Link, Failure> {
        while let Some(mut link) = self.take(endpoint) {
            if link.since.elapsed() > self.keep {
                continue;
            }
            if matches!(time::timeout(READY, link.sender.ready()).await, Ok(Ok(()))) {
                return Ok(link);
            }
        }
        let late = |_| Failure::none("connect", endpoint, "no connection in time");
        time::timeout(self.connect, self.open(endpoint))
            .await
            .map_err(late)?
    }

    async fn open(&self, endpoint: SocketAddr) -> Result<Link, Failure> {
        let failed = |error: &dyn std::fmt::Display| Failure::none("connect", endpoint, error);
        let stream = TcpStream::connect(endpoint)
            .await
            .map_err(|error| failed(&error))?;
        stream.set_nodelay(true).map_err(|error| failed(&error))?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(self.head)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| failed(&error))?;
        let driver = tokio::spawn(async move {
            // The request in flight sees the same error.
            let _ = connection.await;
        });
        Ok(Link {
            sender,
            endpoint,
            driver: driver.abort_handle(),
            since: Instant::now(),
        })
    }

    fn take(&self, endpoint: SocketAddr) -> Option<Link> {
        self.idle.lock().get_mut(&endpoint)?.pop()
    }

    /// Gives back a connection whose answer was read whole.
    pub fn give_back(&self, mut link: Link) {
        link.since = Instant::now();
        self.idle
            .lock()
            .entry(link.endpoint)
            .or_default()
            .push(link);
    }

    /// Closes connections that have been idle for long, and all to endpoints that
    /// `serves` rejects.
    pub fn sweep(&self, serves: impl Fn(SocketAddr) -> bool) {
        let mut idle = self.idle.lock();
        idle.retain(|endpoint, links| {
            links.retain(|link| link.since.elapsed() <= self.keep && !link.sender.is_closed());
            serves(*endpoint) && !links.is_empty()
        });
    }

    /// Idle connections.
    #[must_use]
    pub fn len(&self) -> usize {
        self.idle.lock().values().map(Vec::len).sum()
    }

    /// Whether no connection is idle.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// The timer that hyper's servers use.
#[must_use]
pub fn timer() -> TokioTimer {
    TokioTimer::new()
}
