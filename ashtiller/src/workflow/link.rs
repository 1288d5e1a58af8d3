//! Connections between entry instances over `capnp-rpc`, and the server for their requests.

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

use crate::meter;
use crate::peer_calls;
use crate::schema::entry_capnp::entry;
use crate::workflow::admission::copy::OverloadCopy;
use crate::workflow::message::{PeerRequest, Reply};
use crate::workflow::traffic::{self, Way};

/// Time after which unacknowledged bytes break a connection.
const USER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A byte stream to another instance.
pub trait Stream: AsyncRead + AsyncWrite + Unpin {}

impl<S: AsyncRead + AsyncWrite + Unpin> Stream for S {}

/// Opens connections to other instances.
pub trait Dial {
    /// Connects to the instance at `address`.
    fn dial(&self, address: SocketAddr) -> LocalBoxFuture<'_, io::Result<Box<dyn Stream>>>;
}

/// Connections over TCP.
pub struct Tcp;

impl Dial for Tcp {
    fn dial(&self, address: SocketAddr) -> LocalBoxFuture<'_, io::Result<Box<dyn Stream>>> {
        Box::pin(async move {
            let stream = TcpStream::connect(address).await?;
            prepare(&stream);
            Ok(Box::new(stream) as Box<dyn Stream>)
        })
    }
}

/// Handler of requests from other instances.
pub trait RequestHandler {
    /// Handles one request.
    fn answer(self: Rc<Self>, ask: PeerRequest) -> LocalBoxFuture<'static, Reply>;

    /// Handles one request with the section that follows it, which is empty for most requests.
    fn answer_with_section(
        self: Rc<Self>,
        ask: PeerRequest,
        _section: &[u8],
    ) -> LocalBoxFuture<'static, Reply> {
        self.answer(ask)
    }

    /// Returns the section that follows a reply, if it has one. Versions that do not know it ignore
    /// the bytes after the reply.
    fn section(&self, _reply: &Reply) -> Option<OverloadCopy> {
        None
    }
}

struct EntryServer<A> {
    handler: Rc<A>,
}

impl<A: RequestHandler + 'static> entry::Server for EntryServer<A> {
    async fn ask(
        self: Rc<Self>,
        params: entry::AskParams,
        mut results: entry::AskResults,
    ) -> Result<(), capnp::Error> {
        let request = params.get()?.get_request()?;
        let (ask, section) = postcard::take_from_bytes::<PeerRequest>(request)
            .map_err(|error| capnp::Error::failed(format!("decode request: {error}")))?;
        let kind = ask.kind();
        traffic::note(kind, Way::Received, request.len());
        let reply = self.handler.clone().answer_with_section(ask, section).await;
        let failed = |error| capnp::Error::failed(format!("encode reply: {error}"));
        let mut bytes = postcard::to_stdvec(&reply).map_err(failed)?;
        if let Some(section) = self.handler.section(&reply) {
            bytes = postcard::to_extend(&section, bytes).map_err(failed)?;
        }
        traffic::note(kind, Way::Sent, bytes.len());
        results.get().set_reply(&bytes);
        Ok(())
    }
}

/// Serves requests of other instances on `listener` until the task is dropped.
pub async fn serve<A: RequestHandler + 'static>(listener: TcpListener, handler: Rc<A>) {
    let bytes = Arc::new(meter::ByteCounts::default());
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Most likely the process is out of file descriptors; some will be closed again.
            time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        prepare(&stream);
        host(stream, handler.clone(), &bytes);
    }
}

/// Serves requests of another instance on one connection.
pub fn host<A: RequestHandler + 'static>(
    stream: impl Stream + 'static,
    handler: Rc<A>,
    bytes: &Arc<meter::ByteCounts>,
) {
    let client: entry::Client = capnp_rpc::new_client(EntryServer { handler });
    let (reader, writer) = io::split(stream);
    let network = peer_calls::network_over(reader, writer, Side::Server, bytes);
    task::spawn_local(RpcSystem::new(Box::new(network), Some(client.client)));
}

fn prepare(stream: &TcpStream) {
    // Delaying small messages would cost more than the saved packets.
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "TCP_NODELAY not set; small messages may be delayed");
    }
    if let Err(error) = SockRef::from(stream).set_tcp_user_timeout(Some(USER_TIMEOUT)) {
        tracing::debug!(%error, "TCP_USER_TIMEOUT not set; no limit on unacknowledged bytes");
    }
}
