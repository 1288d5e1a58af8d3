//! Outgoing RPC calls to other processes, run on the RPC thread.

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

/// Sender through which the result of a call is returned.
pub type ReplySender<T> = oneshot::Sender<Result<T, Failure>>;

/// A call queued for the RPC thread.
pub enum Call {
    /// Exchange of heartbeats.
    Heartbeat(Heartbeat, ReplySender<Heartbeat>),
    /// Request to borrow slots.
    Lend(LoanRequest, ReplySender<Vec<(u64, u32)>>),
    /// Submission of a job to the named cell.
    Submit(Arc<str>, Box<Submission>, ReplySender<JobReply>),
    /// Cancellation of a job, named by cell, account and job.
    Cancel([Arc<str>; 3], ReplySender<JobReply>),
    /// State of a cell, an account or a job; empty names select all.
    Show([Arc<str>; 3], ReplySender<String>),
}

/// A connection as `capnp-rpc` uses it.
pub type Network<R = OwnedReadHalf> = twoparty::VatNetwork<Compat<CountedStream<R>>>;

/// Prepares a TCP connection for RPC: counts its bytes and turns off Nagle's algorithm.
pub fn tcp_network(stream: TcpStream, side: Side, bytes: &Arc<meter::ByteCounts>) -> Network {
    // Delaying a small message costs more than the packet it saves.
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    network_over(reader, writer, side, bytes)
}

/// Prepares any pair of streams for RPC and counts their bytes.
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

/// Runs queued calls concurrently until the queue is closed; each fails after `timeout`.
pub async fn run(
    mut received: mpsc::Receiver<(SocketAddr, Call)>,
    timeout: Duration,
    bytes: Arc<meter::ByteCounts>,
) {
    let connections = Rc::new(Connections {
        open: RefCell::default(),
        bytes,
    });
    while let Some((address, call)) = received.recv().await {
        task::spawn_local(run_call(connections.clone(), address, call, timeout));
    }
}

/// Open connections to other processes, by address.
struct Connections {
    open: RefCell<HashMap<SocketAddr, Rc<Connection>>>,
    bytes: Arc<meter::ByteCounts>,
}

/// One connection to another process; dropping it closes it.
struct Connection {
    client: peer::Client,
    driver: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        // While the peer is silent, the driver does not end by itself.
        self.driver.abort();
    }
}

impl Connections {
    async fn connect(
        &self,
        step: &'static str,
        address: SocketAddr,
    ) -> Result<Rc<Connection>, Failure> {
        if let Some(connection) = self.open.borrow().get(&address) {
            return Ok(connection.clone());
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
        let connection = Rc::new(Connection { client, driver });
        self.open.borrow_mut().insert(address, connection.clone());
        Ok(connection)
    }

    /// Removes a connection, unless a newer one has replaced it already.
    fn remove(&self, address: SocketAddr, connection: &Rc<Connection>) {
        let mut open = self.open.borrow_mut();
        if open
            .get(&address)
            .is_some_and(|current| Rc::ptr_eq(current, connection))
        {
            open.remove(&address);
        }
    }
}

async fn run_call(
    connections: Rc<Connections>,
    address: SocketAddr,
    queued: Call,
    timeout: Duration,
) {
    match queued {
        Call::Heartbeat(mine, reply) => {
            let result = call_with_timeout(&connections, "greet", address, timeout, |client| {
                exchange_heartbeat(client, mine)
            });
            let _ = reply.send(result.await);
        }
        Call::Lend(wanted, reply) => {
            let result = call_with_timeout(&connections, "lend", address, timeout, |client| {
                lend(client, wanted)
            });
            let _ = reply.send(result.await);
        }
        Call::Submit(cell, job, reply) => {
            let result = call_with_timeout(&connections, "submit", address, timeout, |client| {
                submit(client, cell, job)
            });
            let _ = reply.send(result.await);
        }
        Call::Cancel(names, reply) => {
            let result = call_with_timeout(&connections, "cancel", address, timeout, |client| {
                cancel(client, names)
            });
            let _ = reply.send(result.await);
        }
        Call::Show(names, reply) => {
            let result = call_with_timeout(&connections, "show", address, timeout, |client| {
                show(client, names)
            });
            let _ = reply.send(result.await);
        }
    }
}

/// Makes one call over the connection to `address`. A connection on which a call failed is
/// not used again.
async fn call_with_timeout<T, F>(
    connections: &Connections,
    step: &'static str,
    address: SocketAddr,
    timeout: Duration,
    call: impl FnOnce(peer::Client) -> F,
) -> Result<T, Failure>
where
    F: Future<Output = Result<T, capnp::Error>>,
{
    let started = time::Instant::now();
    let timed_out = |_| Failure::no_effect(step, address, "no connection in time");
    let connection = time::timeout(timeout, connections.connect(step, address))
        .await
        .map_err(timed_out)??;
    let remaining = timeout.saturating_sub(started.elapsed());
    let failure = match time::timeout(remaining, call(connection.client.clone())).await {
        Ok(Ok(value)) => return Ok(value),
        Ok(Err(error)) => Failure::unknown_effect(step, address, error),
        Err(_) => Failure::unknown_effect(step, address, "no answer in time"),
    };
    connections.remove(address, &connection);
    Err(failure)
}

async fn exchange_heartbeat(
    client: peer::Client,
    mine: Heartbeat,
) -> Result<Heartbeat, capnp::Error> {
    let mut request = client.greet_request();
    codec::write_heartbeat(request.get().init_mine(), &mine);
    let response = request.send().promise.await?;
    codec::read_heartbeat(response.get()?.get_yours()?)
}

async fn lend(client: peer::Client, wanted: LoanRequest) -> Result<Vec<(u64, u32)>, capnp::Error> {
    let mut request = client.lend_request();
    codec::write_loan_request(request.get().init_ask(), &wanted);
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
    codec::read_job_reply(response.get()?.get_verdict()?)
}

async fn cancel(client: peer::Client, names: [Arc<str>; 3]) -> Result<JobReply, capnp::Error> {
    let mut request = client.cancel_request();
    request.get().set_cell(&*names[0]);
    request.get().set_account(&*names[1]);
    request.get().set_job(&*names[2]);
    let response = request.send().promise.await?;
    codec::read_job_reply(response.get()?.get_verdict()?)
}

async fn show(client: peer::Client, names: [Arc<str>; 3]) -> Result<String, capnp::Error> {
    let mut request = client.show_request();
    request.get().set_cell(&*names[0]);
    request.get().set_account(&*names[1]);
    request.get().set_job(&*names[2]);
    let response = request.send().promise.await?;
    Ok(response.get()?.get_json()?.to_string()?)
}
