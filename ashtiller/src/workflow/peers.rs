//! Questions to other entry instances. A connection may go silent for good while new
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

use crate::calls;
use crate::failure::Failure;
use crate::meter;
use crate::schema::entry_capnp::entry;
use crate::workflow::link::Dial;
use crate::workflow::message::{PeerRequest, Reply};
use crate::workflow::traffic::{self, Way};

/// Time for connecting to another instance: a few times the way to another zone.
const CONNECT: Duration = Duration::from_millis(400);
/// Silence after which a connection with a call under way is compared with a new one:
/// above the slowest way to another zone and back, so that calls seldom pay for it.
const DOUBT: Duration = Duration::from_millis(250);
/// Time for a new connection and an answer on it: with [`DOUBT`] it is over before a
/// heartbeat is, whose limit is 700 ms.
const CHECK: Duration = Duration::from_millis(430);

/// One connection to another instance.
struct Link {
    client: entry::Client,
    address: SocketAddr,
    heard: Cell<Instant>,
    checked: Cell<bool>,
    silent: CancellationToken,
    driver: AbortHandle,
}

impl Drop for Link {
    fn drop(&mut self) {
        // A silent peer never ends it.
        self.driver.abort();
    }
}

impl Link {
    async fn ask(&self, ask: &PeerRequest) -> Result<Reply, capnp::Error> {
        let bytes = postcard::to_stdvec(ask)
            .map_err(|error| capnp::Error::failed(format!("encode question: {error}")))?;
        let mut request = self.client.ask_request();
        request.get().set_request(&bytes);
        traffic::note(ask.kind(), Way::Sent, bytes.len());
        let response = request.send().promise.await?;
        self.heard.set(Instant::now());
        let bytes = response.get()?.get_reply()?;
        traffic::note(ask.kind(), Way::Received, bytes.len());
        postcard::from_bytes(bytes)
            .map_err(|error| capnp::Error::failed(format!("decode answer: {error}")))
    }

    /// Since when a call that was sent then has heard nothing on it.
    fn quiet_since(&self, sent: Instant) -> Instant {
        sent.max(self.heard.get())
    }
}

/// Connections to other instances.
pub struct PeerConnections {
    dial: Rc<dyn Dial>,
    open: RefCell<HashMap<SocketAddr, Rc<Link>>>,
    bytes: Arc<meter::Bytes>,
    silent: IntCounter,
}

impl PeerConnections {
    /// No connections yet; `dial` opens them, `silent` counts those that went silent.
    #[must_use]
    pub fn over(dial: Rc<dyn Dial>, silent: IntCounter) -> Rc<Self> {
        Rc::new(Self {
            dial,
            open: RefCell::default(),
            bytes: Arc::default(),
            silent,
        })
    }

    /// Milliseconds since the last answer of each peer on its connection.
    #[must_use]
    pub fn ages(&self) -> BTreeMap<String, u64> {
        let open = self.open.borrow();
        let ages = open.iter().map(|(address, link)| {
            let age = link.heard.get().elapsed().as_millis();
            (address.to_string(), u64::try_from(age).unwrap_or(u64::MAX))
        });
        ages.collect()
    }

    /// Asks the instance at `address`, which may take `limit` to answer.
    ///
    /// # Errors
    /// No connection (no effect), or no answer in time or on a connection that went
    /// silent (unknown effect).
    pub async fn ask(
        self: &Rc<Self>,
        step: &'static str,
        address: SocketAddr,
        ask: &PeerRequest,
        limit: Duration,
    ) -> Result<Reply, Failure> {
        let link = self.connect(step, address).await?;
        let sent = Instant::now();
        let cause = tokio::select! {
            biased;
            answer = time::timeout(limit, link.ask(ask)) => match answer {
                Ok(Ok(reply)) => return Ok(reply),
                Ok(Err(error)) => error.to_string(),
                // What else was heard since says that the connection lives.
                Err(_) if link.heard.get() >= sent => {
                    return Err(Failure::unknown_effect(step, address, "no answer in time"));
                }
                Err(_) => "no answer in time".to_owned(),
            },
            () = link.silent.cancelled() => "the connection is silent".to_owned(),
            never = self.doubt(step, &link, sent) => match never {},
        };
        self.forget(&link);
        Err(Failure::unknown_effect(step, address, cause))
    }

    /// Has the connection checked whenever it is silent for long.
    async fn doubt(
        self: &Rc<Self>,
        step: &'static str,
        link: &Rc<Link>,
        sent: Instant,
    ) -> Infallible {
        loop {
            let since = link.quiet_since(sent);
            time::sleep_until(since + DOUBT).await;
            if link.quiet_since(sent) > since {
                continue;
            }
            if !link.checked.replace(true) {
                task::spawn_local(self.clone().check(step, link.clone()));
            }
            time::sleep(DOUBT).await;
        }
    }

    /// Asks the same on the connection and, a little later, on a new one. Who answers on
    /// the new one only is not silent, the connection is: all its calls end.
    async fn check(self: Rc<Self>, step: &'static str, link: Rc<Link>) {
        let fresh = async {
            let fresh = self.open(step, link.address).await.ok()?;
            fresh.ask(&PeerRequest::Lead).await.ok()?;
            Some(fresh)
        };
        tokio::select! {
            biased;
            // It lives, or is broken, which its calls hear without us.
            _ = link.ask(&PeerRequest::Lead) => {}
            answered = time::timeout(CHECK, fresh) => {
                if let Ok(Some(fresh)) = answered {
                    self.replace(step, &link, fresh);
                }
            }
        }
        link.checked.set(false);
    }

    fn replace(&self, step: &'static str, link: &Rc<Link>, fresh: Rc<Link>) {
        tracing::info!(peer = %link.address, step,
            silent_ms = link.heard.get().elapsed().as_millis(),
            "connection is silent, a new one is not; its calls are asked again");
        self.silent.inc();
        self.forget(link);
        self.open.borrow_mut().entry(link.address).or_insert(fresh);
        link.silent.cancel();
    }

    async fn connect(&self, step: &'static str, address: SocketAddr) -> Result<Rc<Link>, Failure> {
        if let Some(link) = self.open.borrow().get(&address) {
            return Ok(link.clone());
        }
        let link = self.open(step, address).await?;
        self.open.borrow_mut().insert(address, link.clone());
        Ok(link)
    }

    async fn open(&self, step: &'static str, address: SocketAddr) -> Result<Rc<Link>, Failure> {
        let stream = time::timeout(CONNECT, self.dial.dial(address))
            .await
            .map_err(|_| Failure::no_effect(step, address, "no connection in time"))?
            .map_err(|error| Failure::no_effect(step, address, error))?;
        let (reader, writer) = io::split(stream);
        let network = calls::network_over(reader, writer, Side::Client, &self.bytes);
        let mut system = RpcSystem::new(Box::new(network), None);
        let client: entry::Client = system.bootstrap(Side::Server);
        Ok(Rc::new(Link {
            client,
            address,
            heard: Cell::new(Instant::now()),
            checked: Cell::new(false),
            silent: CancellationToken::new(),
            driver: task::spawn_local(system).abort_handle(),
        }))
    }

    fn forget(&self, link: &Rc<Link>) {
        let mut open = self.open.borrow_mut();
        if open
            .get(&link.address)
            .is_some_and(|known| Rc::ptr_eq(known, link))
        {
            open.remove(&link.address);
        }
    }
}
