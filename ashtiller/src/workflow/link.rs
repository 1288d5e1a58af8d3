//! Calls between entry instances over `capnp-rpc`.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use futures_util::future::LocalBoxFuture;
use socket2::SockRef;
use tokio::io::{self, AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::task;
use tokio::time;

use crate::calls;
use crate::failure::Failure;
use crate::meter;
use crate::schema::entry_capnp::entry;
use crate::workflow::message::{Ask, Reply};

/// Time for connecting to another instance: a few times the way to another zone.
const CONNECT: Duration = Duration::from_millis(400);
/// Time after which unacknowledged bytes break a connection.
const USER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A stream of bytes to another instance and back.
pub trait Stream: AsyncRead + AsyncWrite + Unpin {}

impl<S: AsyncRead + AsyncWrite + Unpin> Stream for S {}

/// Opens connections.
pub trait Dial {
    /// Connects to the instance at `address`.
    fn dial(&self, address: SocketAddr) -> LocalBoxFuture<'_, io::Result<Box<dyn Stream>>>;
}

/// Connections over TCP.
struct Tcp;

impl Dial for Tcp {
    fn dial(&self, address: SocketAddr) -> LocalBoxFuture<'_, io::Result<Box<dyn Stream>>> {
        Box::pin(async move {
            let stream = TcpStream::connect(address).await?;
            prepare(&stream);
            Ok(Box::new(stream) as Box<dyn Stream>)
        })
    }
}

/// Answers questions of other instances.
pub trait Answers {
    /// Answers one question.
    fn answer(self: Rc<Self>, ask: Ask) -> LocalBoxFuture<'static, Reply>;
}

struct Hosted<A> {
    answers: Rc<A>,
}

impl<A: Answers + 'static> entry::Server for Hosted<A> {
    async fn ask(
        self: Rc<Self>,
        params: entry::AskParams,
        mut results: entry::AskResults,
    ) -> Result<(), capnp::Error> {
        let request = params.get()?.get_request()?;
        let ask: Ask = postcard::from_bytes(request)
            .map_err(|error| capnp::Error::failed(format!("decode question: {error}")))?;
        let reply = self.answers.clone().answer(ask).await;
        let bytes = postcard::to_stdvec(&reply)
            .map_err(|error| capnp::Error::failed(format!("encode answer: {error}")))?;
        results.get().set_reply(&bytes);
        Ok(())
    }
}

/// Answers other instances on `listener` until the task is dropped.
pub async fn serve<A: Answers + 'static>(listener: TcpListener, answers: Rc<A>) {
    let bytes = Arc::new(meter::Bytes::default());
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Out of descriptors, most likely; those in use will be given back.
            time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        prepare(&stream);
        host(stream, answers.clone(), &bytes);
    }
}

/// Answers another instance on one connection.
pub fn host<A: Answers + 'static>(
    stream: impl Stream + 'static,
    answers: Rc<A>,
    bytes: &Arc<meter::Bytes>,
) {
    let client: entry::Client = capnp_rpc::new_client(Hosted { answers });
    let (reader, writer) = io::split(stream);
    let network = calls::network_over(reader, writer, Side::Server, bytes);
    task::spawn_local(RpcSystem::new(Box::new(network), Some(client.client)));
}

fn prepare(stream: &TcpStream) {
    // A delayed small message would cost more than the saved packet.
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "small messages may be delayed");
    }
    if let Err(error) = SockRef::from(stream).set_tcp_user_timeout(Some(USER_TIMEOUT)) {
        tracing::debug!(%error, "no limit on unacknowledged bytes");
    }
}

/// One connection to another instance.
#[derive(Clone)]
struct Link {
    client: entry::Client,
    number: u64,
}

/// Connections to other instances.
pub struct Links {
    dial: Rc<dyn Dial>,
    open: RefCell<HashMap<SocketAddr, Link>>,
    next: Cell<u64>,
    bytes: Arc<meter::Bytes>,
}

impl Default for Links {
    fn default() -> Self {
        Self::over(Rc::new(Tcp))
    }
}

impl Links {
    /// No connections yet; `dial` opens them.
    #[must_use]
    pub fn over(dial: Rc<dyn Dial>) -> Self {
        Self {
            dial,
            open: RefCell::default(),
            next: Cell::default(),
            bytes: Arc::default(),
        }
    }

    /// Asks the instance at `address`, which may take `limit` to answer.
    ///
    /// # Errors
    /// No connection (no effect), or no answer in time (unknown effect).
    pub async fn ask(
        &self,
        step: &'static str,
        address: SocketAddr,
        ask: &Ask,
        limit: Duration,
    ) -> Result<Reply, Failure> {
        let link = self.connect(step, address).await?;
        let bytes =
            postcard::to_stdvec(ask).map_err(|error| Failure::none(step, address, error))?;
        let mut request = link.client.ask_request();
        request.get().set_request(&bytes);
        let failure = match time::timeout(limit, request.send().promise).await {
            Ok(Ok(response)) => match read_reply(&response) {
                Ok(reply) => return Ok(reply),
                Err(error) => Failure::unknown(step, address, error),
            },
            Ok(Err(error)) => Failure::unknown(step, address, error),
            Err(_) => Failure::unknown(step, address, "no answer in time"),
        };
        self.forget(address, link.number);
        Err(failure)
    }

    async fn connect(&self, step: &'static str, address: SocketAddr) -> Result<Link, Failure> {
        if let Some(link) = self.open.borrow().get(&address) {
            return Ok(link.clone());
        }
        let stream = time::timeout(CONNECT, self.dial.dial(address))
            .await
            .map_err(|_| Failure::none(step, address, "no connection in time"))?
            .map_err(|error| Failure::none(step, address, error))?;
        let (reader, writer) = io::split(stream);
        let network = calls::network_over(reader, writer, Side::Client, &self.bytes);
        let mut system = RpcSystem::new(Box::new(network), None);
        let client: entry::Client = system.bootstrap(Side::Server);
        task::spawn_local(system);
        self.next.set(self.next.get() + 1);
        let link = Link {
            client,
            number: self.next.get(),
        };
        self.open.borrow_mut().insert(address, link.clone());
        Ok(link)
    }

    fn forget(&self, address: SocketAddr, number: u64) {
        let mut open = self.open.borrow_mut();
        if open.get(&address).is_some_and(|link| link.number == number) {
            open.remove(&address);
        }
    }
}

fn read_reply(
    response: &capnp::capability::Response<entry::ask_results::Owned>,
) -> Result<Reply, capnp::Error> {
    let bytes = response.get()?.get_reply()?;
    postcard::from_bytes(bytes)
        .map_err(|error| capnp::Error::failed(format!("decode answer: {error}")))
}
