//! Calls to other processes, carried out on the wire's thread.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{self, AbortHandle};
use tokio::time;
use tokio_util::compat::{Compat, TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use crate::codec;
use crate::failure::Failure;
use crate::meter::{self, CountedStream};
use crate::peer::{Heartbeat, JobReply, LoanRequest, Submission};
use crate::schema::peer_capnp::peer;

/// Where an answer goes.
pub type ReplySender<T> = oneshot::Sender<Result<T, Failure>>;

/// A call that waits for the wire's thread.
pub enum Call {
    /// Heartbeat.
    Heartbeat(Heartbeat, ReplySender<Heartbeat>),
    /// Question for slots.
    Lend(LoanRequest, ReplySender<Vec<(u64, u32)>>),
    /// A job for a cell.
    Submit(Arc<str>, Box<Submission>, ReplySender<JobReply>),
    /// Cancellation of cell, account, job.
    Cancel([Arc<str>; 3], ReplySender<JobReply>),
    /// State of cell, account, job.
    Show([Arc<str>; 3], ReplySender<String>),
}

/// A connection as the library sees it.
pub type Network<R = OwnedReadHalf> = twoparty::VatNetwork<Compat<CountedStream<R>>>;

/// One connection, counted and without delay.
pub fn tcp_network(stream: TcpStream, side: Side, bytes: &Arc<meter::ByteCounts>) -> Network {
    // A delayed small message would cost more than the saved packet.
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    network_over(reader, writer, side, bytes)
}

/// One connection over any pair of streams, counted.
pub fn network_over<R, W>(
    reader: R,
    writer: W,
    side: Side,
    bytes: &Arc<meter::ByteCounts>,
) -> Network<R>
where
    R: AsyncRead + Unpin + 'static,
    W: AsyncWrite + Unpin + 'static,
{
    let reader = CountedStream::new(reader, bytes.clone()).compat();
    let writer = CountedStream::new(writer, bytes.clone()).compat_write();
    twoparty::VatNetwork::new(reader, writer, side, capnp::message::ReaderOptions::new())
}

/// Carries out queued calls until the queue is closed; each may take `limit`.
pub async fn run(
    mut received: mpsc::Receiver<(SocketAddr, Call)>,
    limit: Duration,
    bytes: Arc<meter::ByteCounts>,
) {
    let links = Rc::new(Links {
        open: RefCell::default(),
        bytes,
    });
    while let Some((address, call)) = received.recv().await {
        task::spawn_local(perform(links.clone(), address, call, limit));
    }
}

struct Links {
    open: RefCell<HashMap<SocketAddr, Rc<Link>>>,
    bytes: Arc<meter::ByteCounts>,
}

/// One connection to another process; dropping it closes it.
struct Link {
    client: peer::Client,
    driver: AbortHandle,
}

impl Drop for Link {
    fn drop(&mut self) {
        // A silent peer never ends it.
        self.driver.abort();
    }
}

impl Links {
    async fn connect(&self, step: &'static str, address: SocketAddr) -> Result<Rc<Link>, Failure> {
        if let Some(link) = self.open.borrow().get(&address) {
            return Ok(link.clone());
        }
        let stream = TcpStream::connect(address)
            .await
            .map_err(|error| Failure::no_effect(step, address, error))?;
        let mut system = RpcSystem::new(
            Box::new(tcp_network(stream, Side::Client, &self.bytes)),
            None,
        );
        let client: peer::Client = system.bootstrap(Side::Server);
        let driver = task::spawn_local(system).abort_handle();
        let link = Rc::new(Link { client, driver });
        self.open.borrow_mut().insert(address, link.clone());
        Ok(link)
    }

    /// Drops a connection, unless a newer one has replaced it already.
    fn forget(&self, address: SocketAddr, link: &Rc<Link>) {
        let mut open = self.open.borrow_mut();
        if open
            .get(&address)
            .is_some_and(|known| Rc::ptr_eq(known, link))
        {
            open.remove(&address);
        }
    }
}

async fn perform(links: Rc<Links>, address: SocketAddr, asked: Call, limit: Duration) {
    match asked {
        Call::Heartbeat(mine, asked) => {
            let done = within(&links, "greet", address, limit, |client| {
                greet(client, mine)
            });
            let _ = asked.send(done.await);
        }
        Call::Lend(ask, asked) => {
            let done = within(&links, "lend", address, limit, |client| lend(client, ask));
            let _ = asked.send(done.await);
        }
        Call::Submit(cell, job, asked) => {
            let done = within(&links, "submit", address, limit, |client| {
                submit(client, cell, job)
            });
            let _ = asked.send(done.await);
        }
        Call::Cancel(names, asked) => {
            let done = within(&links, "cancel", address, limit, |client| {
                cancel(client, names)
            });
            let _ = asked.send(done.await);
        }
        Call::Show(names, asked) => {
            let done = within(&links, "show", address, limit, |client| show(client, names));
            let _ = asked.send(done.await);
        }
    }
}

async fn within<T, F>(
    links: &Links,
    step: &'static str,
    address: SocketAddr,
    limit: Duration,
    call: impl FnOnce(peer::Client) -> F,
) -> Result<T, Failure>
where
    F: Future<Output = Result<T, capnp::Error>>,
{
    let started = time::Instant::now();
    let late = |_| Failure::no_effect(step, address, "no connection in time");
    let link = time::timeout(limit, links.connect(step, address))
        .await
        .map_err(late)??;
    let left = limit.saturating_sub(started.elapsed());
    let failure = match time::timeout(left, call(link.client.clone())).await {
        Ok(Ok(value)) => return Ok(value),
        Ok(Err(error)) => Failure::unknown_effect(step, address, error),
        Err(_) => Failure::unknown_effect(step, address, "no answer in time"),
    };
    links.forget(address, &link);
    Err(failure)
}

async fn greet(client: peer::Client, mine: Heartbeat) -> Result<Heartbeat, capnp::Error> {
    let mut request = client.greet_request();
    codec::write_greeting(request.get().init_mine(), &mine);
    let response = request.send().promise.await?;
    codec::read_greeting(response.get()?.get_yours()?)
}

async fn lend(client: peer::Client, ask: LoanRequest) -> Result<Vec<(u64, u32)>, capnp::Error> {
    let mut request = client.lend_request();
    codec::write_ask(request.get().init_ask(), &ask);
    let response = request.send().promise.await?;
    Ok(codec::read_loans(response.get()?.get_loans()?))
}

async fn submit(
    client: peer::Client,
    cell: Arc<str>,
    job: Box<Submission>,
) -> Result<JobReply, capnp::Error> {
    let mut request = client.submit_request();
    request.get().set_cell(&*cell);
    codec::write_submission(request.get().init_job(), &job);
    let response = request.send().promise.await?;
    codec::read_verdict(response.get()?.get_verdict()?)
}

async fn cancel(client: peer::Client, names: [Arc<str>; 3]) -> Result<JobReply, capnp::Error> {
    let mut request = client.cancel_request();
    request.get().set_cell(&*names[0]);
    request.get().set_account(&*names[1]);
    request.get().set_job(&*names[2]);
    let response = request.send().promise.await?;
    codec::read_verdict(response.get()?.get_verdict()?)
}

async fn show(client: peer::Client, names: [Arc<str>; 3]) -> Result<String, capnp::Error> {
    let mut request = client.show_request();
    request.get().set_cell(&*names[0]);
    request.get().set_account(&*names[1]);
    request.get().set_job(&*names[2]);
    let response = request.send().promise.await?;
    Ok(response.get()?.get_json()?.to_string()?)
}
