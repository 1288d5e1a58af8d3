//! A simulated network in virtual time, whose connections can go silent without a reset.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ashtiller::meter;
use ashtiller::workflow::link::{self, Dial, RequestHandler, Stream};
use ashtiller::workflow::peers::PeerConnections;
use futures_util::future::LocalBoxFuture;
use prometheus::IntCounter;
use tokio::io::{self, AsyncReadExt, AsyncWriteExt, DuplexStream, ReadHalf, WriteHalf};
use tokio::task;
use tokio::time;

/// One-way latency between two instances.
const LATENCY: Duration = Duration::from_millis(2);
/// Capacity of a connection's buffers.
const BUFFER_BYTES: usize = 64 << 10;

type Accept = Rc<dyn Fn(DuplexStream)>;

/// Hosts and connections of a test.
#[derive(Default)]
pub struct Net {
    hosts: RefCell<HashMap<SocketAddr, Accept>>,
    /// Whether each connection is silent, in the order in which they were opened.
    silent: RefCell<Vec<Rc<Cell<bool>>>>,
}

impl Net {
    /// Lets `handler` answer requests at `address`.
    pub fn host<A: RequestHandler + 'static>(&self, address: SocketAddr, handler: Rc<A>) {
        let bytes = Arc::new(meter::ByteCounts::default());
        let accept = move |stream| link::host(stream, handler.clone(), &bytes);
        self.hosts.borrow_mut().insert(address, Rc::new(accept));
    }

    /// Makes all open connections silent; new ones work.
    pub fn silence_all(&self) {
        for silent in self.silent.borrow().iter() {
            silent.set(true);
        }
    }

    /// Returns an instance's connections in this network.
    pub fn links(self: &Rc<Self>) -> Rc<PeerConnections> {
        let silent =
            IntCounter::new("silent_links", "silent links").expect("the counter should be valid");
        PeerConnections::over(self.clone(), silent)
    }

    /// Returns the number of connections opened so far.
    pub fn opened(&self) -> usize {
        self.silent.borrow().len()
    }
}

impl Dial for Net {
    fn dial(&self, address: SocketAddr) -> LocalBoxFuture<'_, io::Result<Box<dyn Stream>>> {
        Box::pin(async move {
            time::sleep(LATENCY * 2).await;
            let accept = self.hosts.borrow().get(&address).cloned();
            let accept = accept.ok_or(ErrorKind::ConnectionRefused)?;
            let silent = Rc::new(Cell::new(false));
            self.silent.borrow_mut().push(silent.clone());
            let (client_end, client_side) = io::duplex(BUFFER_BYTES);
            let (server_side, server_end) = io::duplex(BUFFER_BYTES);
            let (from_client, to_client) = io::split(client_side);
            let (from_server, to_server) = io::split(server_side);
            task::spawn_local(forward(from_client, to_server, silent.clone()));
            task::spawn_local(forward(from_server, to_client, silent));
            accept(server_end);
            Ok(Box::new(client_end) as Box<dyn Stream>)
        })
    }
}

/// Forwards bytes in one direction. A silent connection accepts all bytes, but forwards neither
/// them nor its end.
async fn forward(
    mut from: ReadHalf<DuplexStream>,
    mut to: WriteHalf<DuplexStream>,
    silent: Rc<Cell<bool>>,
) {
    let mut bytes = vec![0; BUFFER_BYTES];
    loop {
        let read = from.read(&mut bytes).await.unwrap_or(0);
        if read == 0 && !silent.get() {
            return;
        }
        if read == 0 {
            return std::future::pending().await;
        }
        time::sleep(LATENCY).await;
        if !silent.get() && to.write_all(&bytes[..read]).await.is_err() {
            return;
        }
    }
}
