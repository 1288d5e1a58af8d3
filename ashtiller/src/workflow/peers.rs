//! Client for requests to other entry instances. A connection may stop answering for good while new
//! ones work, so one that is silent for a while is compared with a new one.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use prometheus::IntCounter;
use tokio::io;
use tokio::task::{self, AbortHandle};
use tokio::time::{self, Instant};
use tokio_util::sync::CancellationToken;

use crate::failure::Failure;
use crate::meter;
use crate::peer_calls;
use crate::schema::entry_capnp::entry;
use crate::workflow::admission::copy::OverloadCopy;
use crate::workflow::link::Dial;
use crate::workflow::message::{PeerRequest, Reply};
use crate::workflow::snapshot;
use crate::workflow::traffic::{self, Way};

/// Timeout for connecting to another instance: a few times the delay to another zone.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Silence after which a connection with a call in flight is compared with a new one: above the
/// slowest round trip to another zone, so that calls are seldom affected.
const SILENCE_LIMIT: Duration = Duration::from_millis(250);
/// Timeout for opening a new connection and an answer on it. Together with [`SILENCE_LIMIT`] it
/// stays below the timeout of a heartbeat, which is 700 ms.
const CHECK_TIMEOUT: Duration = Duration::from_millis(430);

/// One connection to another instance.
struct Connection {
    client: entry::Client,
    address: SocketAddr,
    last_answer: Cell<Instant>,
    checking: Cell<bool>,
    silent: CancellationToken,
    driver: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        // A silent peer never ends the task.
        self.driver.abort();
    }
}

impl Connection {
    /// Sends a request followed by a section, which is empty for most requests; returns the reply
    /// and the section after it.
    async fn ask(
        &self,
        ask: &PeerRequest,
        section: &[u8],
    ) -> Result<(Reply, OverloadCopy), capnp::Error> {
        let mut bytes = postcard::to_stdvec(ask)
            .map_err(|error| capnp::Error::failed(format!("encode request: {error}")))?;
        bytes.extend_from_slice(section);
        let mut request = self.client.ask_request();
        request.get().set_request(&bytes);
        traffic::note(ask.kind(), Way::Sent, bytes.len());
        let response = request.send().promise.await?;
        self.last_answer.set(Instant::now());
        let bytes = response.get()?.get_reply()?;
        traffic::note(ask.kind(), Way::Received, bytes.len());
        let (reply, rest) = postcard::take_from_bytes(bytes)
            .map_err(|error| capnp::Error::failed(format!("decode reply: {error}")))?;
        // A section of a version that this one cannot read counts as none.
        let (section, _) = snapshot::take_section(rest).unwrap_or_default();
        Ok((reply, section))
    }

    /// Returns the time since which a call sent at `sent` has seen no answer on this connection.
    fn silent_since(&self, sent: Instant) -> Instant {
        sent.max(self.last_answer.get())
    }
}

/// Connections to other instances.
pub struct PeerConnections {
    dial: Rc<dyn Dial>,
    open: RefCell<HashMap<SocketAddr, Rc<Connection>>>,
    bytes: Arc<meter::ByteCounts>,
    silent: IntCounter,
    /// Section of the newest reply to a heartbeat, with its time of arrival.
    overload: RefCell<Option<(OverloadCopy, Instant)>>,
}

impl PeerConnections {
    /// Creates an empty set of connections; `dial` opens them, `silent` counts those that stopped
    /// answering.
    #[must_use]
    pub fn over(dial: Rc<dyn Dial>, silent: IntCounter) -> Rc<Self> {
        Rc::new(Self {
            dial,
            open: RefCell::default(),
            bytes: Arc::default(),
            silent,
            overload: RefCell::default(),
        })
    }

    /// Returns the retry delay of a caller for whom no owner answers, by the state of admission
    /// that came with the newest reply to a heartbeat.
    #[must_use]
    pub fn retry_delay(&self, id: &str, default: Duration) -> Duration {
        let overload = self.overload.borrow();
        let copy = overload.as_ref().map(|(copy, at)| (copy, at.elapsed()));
        OverloadCopy::retry_delay(copy, id, default)
    }

    /// Returns the milliseconds since the last answer of each peer on its connection.
    #[must_use]
    pub fn ages(&self) -> BTreeMap<String, u64> {
        let open = self.open.borrow();
        let ages = open.iter().map(|(address, link)| {
            let age = link.last_answer.get().elapsed().as_millis();
            (address.to_string(), u64::try_from(age).unwrap_or(u64::MAX))
        });
        ages.collect()
    }

    /// Sends a request to the instance at `address`, which may take `limit` to answer.
    ///
    /// # Errors
    /// Fails without effect if there is no connection, and with unknown effect if there is no
    /// answer in time or the connection stopped answering.
    pub async fn ask(
        self: &Rc<Self>,
        step: &'static str,
        address: SocketAddr,
        ask: &PeerRequest,
        limit: Duration,
    ) -> Result<Reply, Failure> {
        self.ask_with_section(step, address, ask, &[], limit).await
    }

    /// Sends a request followed by a section, which older versions ignore.
    ///
    /// # Errors
    /// As for [`PeerConnections::ask`].
    pub async fn ask_with_section(
        self: &Rc<Self>,
        step: &'static str,
        address: SocketAddr,
        ask: &PeerRequest,
        section: &[u8],
        limit: Duration,
    ) -> Result<Reply, Failure> {
        let link = self.connect(step, address).await?;
        let sent = Instant::now();
        let cause = tokio::select! {
            biased;
            answer = time::timeout(limit, link.ask(ask, section)) => match answer {
                Ok(Ok((reply, section))) => {
                    if matches!(reply, Reply::Welcome(_)) {
                        *self.overload.borrow_mut() = Some((section, Instant::now()));
                    }
                    return Ok(reply);
                }
                Ok(Err(error)) => error.to_string(),
                // Another answer since then shows that the connection works.
                Err(_) if link.last_answer.get() >= sent => {
                    return Err(Failure::unknown_effect(step, address, "no answer in time"));
                }
                Err(_) => "no answer in time".to_owned(),
            },
            () = link.silent.cancelled() => "the connection is silent".to_owned(),
            never = self.watch_silence(step, &link, sent) => match never {},
        };
        self.forget(&link);
        Err(Failure::unknown_effect(step, address, cause))
    }

    /// Starts a check of the connection whenever it is silent for [`SILENCE_LIMIT`].
    async fn watch_silence(
        self: &Rc<Self>,
        step: &'static str,
        link: &Rc<Connection>,
        sent: Instant,
    ) -> Infallible {
        loop {
            let since = link.silent_since(sent);
            time::sleep_until(since + SILENCE_LIMIT).await;
            if link.silent_since(sent) > since {
                continue;
            }
            if !link.checking.replace(true) {
                task::spawn_local(self.clone().check(step, link.clone()));
            }
            time::sleep(SILENCE_LIMIT).await;
        }
    }

    /// Sends the same request on the connection and, slightly later, on a new one. If only the new
    /// one is answered, the peer works and the old connection does not: all calls on it are ended.
    async fn check(self: Rc<Self>, step: &'static str, link: Rc<Connection>) {
        let replacement = async {
            let replacement = self.open(step, link.address).await.ok()?;
            replacement.ask(&PeerRequest::Lead, &[]).await.ok()?;
            Some(replacement)
        };
        tokio::select! {
            biased;
            // The connection works, or it is broken, which its calls notice themselves.
            _ = link.ask(&PeerRequest::Lead, &[]) => {}
            answered = time::timeout(CHECK_TIMEOUT, replacement) => {
                if let Ok(Some(replacement)) = answered {
                    self.replace(step, &link, replacement);
                }
            }
        }
        link.checking.set(false);
    }

    fn replace(&self, step: &'static str, link: &Rc<Connection>, replacement: Rc<Connection>) {
        tracing::info!(peer = %link.address, step,
            silent_ms = link.last_answer.get().elapsed().as_millis(),
            "connection stopped answering but a new one works; its calls fail and may be repeated");
        self.silent.inc();
        self.forget(link);
        self.open
            .borrow_mut()
            .entry(link.address)
            .or_insert(replacement);
        link.silent.cancel();
    }

    async fn connect(
        &self,
        step: &'static str,
        address: SocketAddr,
    ) -> Result<Rc<Connection>, Failure> {
        if let Some(link) = self.open.borrow().get(&address) {
            return Ok(link.clone());
        }
        let link = self.open(step, address).await?;
        self.open.borrow_mut().insert(address, link.clone());
        Ok(link)
    }

    async fn open(
        &self,
        step: &'static str,
        address: SocketAddr,
    ) -> Result<Rc<Connection>, Failure> {
        let stream = time::timeout(CONNECT_TIMEOUT, self.dial.dial(address))
            .await
            .map_err(|_| Failure::no_effect(step, address, "no connection in time"))?
            .map_err(|error| Failure::no_effect(step, address, error))?;
        let (reader, writer) = io::split(stream);
        let network = peer_calls::network_over(reader, writer, Side::Client, &self.bytes);
        let mut system = RpcSystem::new(Box::new(network), None);
        let client: entry::Client = system.bootstrap(Side::Server);
        Ok(Rc::new(Connection {
            client,
            address,
            last_answer: Cell::new(Instant::now()),
            checking: Cell::new(false),
            silent: CancellationToken::new(),
            driver: task::spawn_local(system).abort_handle(),
        }))
    }

    fn forget(&self, link: &Rc<Connection>) {
        let mut open = self.open.borrow_mut();
        if open
            .get(&link.address)
            .is_some_and(|known| Rc::ptr_eq(known, link))
        {
            open.remove(&link.address);
        }
    }
}
