//! Connections from a gateway to endpoints.
//!
//! A connection carries one request at a time and goes back to the pool only
//! after the whole answer was read; any other end closes it. So a late answer
//! can never reach another request.
//!
//! Connections go silent together, without a reset, while new ones work. So what an
//! answer shows depends on the age of its connection, and one request without an answer
//! makes every idle connection suspect that has not answered lately.

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
use crate::request_body::RequestBody;

/// Time for a connection to become ready again after an answer.
const READY: Duration = Duration::from_millis(20);

/// Share of an attempt's time after which an answer of its endpoint shows that
/// connections are not silent: one that went silent under the request had answered others
/// until then, most likely in the first half.
const VOUCH_SHARE: f64 = 0.5;

/// A connection to an endpoint; dropping it closes it.
pub struct Connection {
    /// Sends requests.
    pub sender: http1::SendRequest<RequestBody>,
    endpoint: SocketAddr,
    driver: AbortHandle,
    opened: Instant,
    /// When it last answered, or was opened.
    since: Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// A good answer.
struct Answer {
    /// When its connection was opened.
    opened: Instant,
    came: Instant,
}

/// What is kept of one endpoint.
#[derive(Default)]
struct Links {
    idle: Vec<Connection>,
    /// The newest good answers. One that came later on an older connection shows more, so
    /// they stand in the order of both times.
    answers: Vec<Answer>,
}

impl Links {
    fn note_answer(&mut self, opened: Instant) {
        self.answers.retain(|answer| answer.opened < opened);
        let came = Instant::now();
        self.answers.push(Answer { opened, came });
    }
}

/// Idle connections by endpoint.
pub struct ConnectionPool {
    links: Mutex<HashMap<SocketAddr, Links>>,
    connect: Duration,
    keep: Duration,
    head: usize,
}

impl ConnectionPool {
    /// An empty pool. `connect` limits a connect, `keep` an idle connection's
    /// life, `head` the bytes of an answer's head.
    #[must_use]
    pub fn new(connect: Duration, keep: Duration, head: usize) -> Self {
        Self {
            links: Mutex::default(),
            connect,
            keep,
            head,
        }
    }

    /// Takes an idle connection or opens one.
    ///
    /// # Errors
    /// No connection within the time limit; nothing was sent.
    pub async fn checkout(&self, endpoint: SocketAddr) -> Result<Connection, Failure> {
        while let Some(mut link) = self.take(endpoint) {
            if link.since.elapsed() > self.keep {
                continue;
            }
            if matches!(time::timeout(READY, link.sender.ready()).await, Ok(Ok(()))) {
                return Ok(link);
            }
        }
        let late = |_| Failure::no_effect("connect", endpoint, "no connection in time");
        time::timeout(self.connect, self.open(endpoint))
            .await
            .map_err(late)?
    }

    async fn open(&self, endpoint: SocketAddr) -> Result<Connection, Failure> {
        let failed = |error: &dyn std::fmt::Display| Failure::no_effect("connect", endpoint, error);
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
        Ok(Connection {
            sender,
            endpoint,
            driver: driver.abort_handle(),
            opened: Instant::now(),
            since: Instant::now(),
        })
    }

    fn take(&self, endpoint: SocketAddr) -> Option<Connection> {
        self.links.lock().get_mut(&endpoint)?.idle.pop()
    }

    /// Gives back a connection whose answer was read whole.
    pub fn give_back(&self, mut link: Connection) {
        link.since = Instant::now();
        let mut all = self.links.lock();
        all.entry(link.endpoint).or_default().idle.push(link);
    }

    /// Notes that a request on a connection was answered well.
    pub fn note_answer(&self, link: &Connection) {
        let mut all = self.links.lock();
        let links = all.entry(link.endpoint).or_default();
        links.note_answer(link.opened);
    }

    /// Begins an attempt, which has no answer yet.
    #[must_use]
    pub fn begin(&self, endpoint: SocketAddr) -> Unanswered<'_> {
        Unanswered {
            pool: self,
            endpoint,
            began: Instant::now(),
            over: false,
        }
    }

    fn has_answered(&self, endpoint: SocketAddr, since: Instant) -> bool {
        let all = self.links.lock();
        let mut answers = all
            .get(&endpoint)
            .into_iter()
            .flat_map(|links| &links.answers);
        answers.any(|answer| answer.came > since)
    }

    fn has_heard(&self, opened: Instant, since: Instant) -> bool {
        let all = self.links.lock();
        let mut answers = all.values().flat_map(|links| &links.answers);
        answers.any(|answer| answer.opened <= opened && answer.came > since)
    }

    fn distrust(&self, endpoint: SocketAddr, since: Instant) {
        let mut all = self.links.lock();
        let Some(links) = all.get_mut(&endpoint) else {
            return;
        };
        let before = links.idle.len();
        links.idle.retain(|link| link.since > since);
        let dropped = before - links.idle.len();
        tracing::debug!(%endpoint, dropped, "endpoint gave no answer");
    }

    /// Closes connections that have been idle for long, and all to endpoints that
    /// `serves` rejects.
    pub fn sweep(&self, serves: impl Fn(SocketAddr) -> bool) {
        let mut all = self.links.lock();
        all.retain(|endpoint, links| {
            let keep =
                |link: &Connection| link.since.elapsed() <= self.keep && !link.sender.is_closed();
            links.idle.retain(keep);
            links
                .answers
                .retain(|answer| answer.came.elapsed() <= self.keep);
            let empty = links.idle.is_empty() && links.answers.is_empty();
            serves(*endpoint) && !empty
        });
    }

    /// Idle connections.
    #[must_use]
    pub fn len(&self) -> usize {
        let all = self.links.lock();
        all.values().map(|links| links.idle.len()).sum()
    }

    /// Whether no connection is idle.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// An attempt without an answer. Dropped as such, because its time is over or its caller
/// has gone, it closes the endpoint's idle connections that have not answered lately:
/// what silenced its own may have silenced them, and a request on each would wait too.
pub struct Unanswered<'a> {
    pool: &'a ConnectionPool,
    endpoint: SocketAddr,
    began: Instant,
    over: bool,
}

impl Unanswered<'_> {
    /// It has an answer, or its connection is broken.
    pub fn end(mut self) {
        self.over = true;
    }

    /// Whether the endpoint answers others, and some endpoint does lately on a connection
    /// that was open when it began; answers on newer ones say nothing of its own. One
    /// gateway has too few connections to one endpoint to judge by these alone.
    #[must_use]
    pub fn is_vouched(&self) -> bool {
        let pool = self.pool;
        pool.has_answered(self.endpoint, self.began) && pool.has_heard(self.began, self.lately())
    }

    fn lately(&self) -> Instant {
        self.began + self.began.elapsed().mul_f64(VOUCH_SHARE)
    }
}

impl Drop for Unanswered<'_> {
    fn drop(&mut self) {
        if !self.over {
            self.pool.distrust(self.endpoint, self.lately());
        }
    }
}

/// The timer that hyper's servers use.
#[must_use]
pub fn timer() -> TokioTimer {
    TokioTimer::new()
}
