//! Connections in virtual time that can go silent for good, without a reset.

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

/// Way from one instance to another.
const WAY: Duration = Duration::from_millis(2);
/// Bytes that a connection holds.
const HELD: usize = 64 << 10;

type Accept = Rc<dyn Fn(DuplexStream)>;

/// Every connection of a test.
#[derive(Default)]
pub struct Net {
    hosts: RefCell<HashMap<SocketAddr, Accept>>,
    silent: RefCell<Vec<Rc<Cell<bool>>>>,
}

impl Net {
    /// Lets `answers` listen at `address`.
    pub fn host<A: RequestHandler + 'static>(&self, address: SocketAddr, answers: Rc<A>) {
        let bytes = Arc::new(meter::ByteCounts::default());
        let accept = move |stream| link::host(stream, answers.clone(), &bytes);
        self.hosts.borrow_mut().insert(address, Rc::new(accept));
    }

    /// All open connections go silent; new ones work.
    pub fn strike(&self) {
        for silent in self.silent.borrow().iter() {
            silent.set(true);
        }
    }

    /// An instance's connections in this net.
    pub fn links(self: &Rc<Self>) -> Rc<PeerConnections> {
        let silent = IntCounter::new("silent_links", "silent links").expect("a counter");
        PeerConnections::over(self.clone(), silent)
    }

    /// Connections that were opened so far.
    pub fn opened(&self) -> usize {
        self.silent.borrow().len()
    }
}

impl Dial for Net {
    fn dial(&self, address: SocketAddr) -> LocalBoxFuture<'_, io::Result<Box<dyn Stream>>> {
        Box::pin(async move {
            time::sleep(WAY * 2).await;
            let accept = self.hosts.borrow().get(&address).cloned();
            let accept = accept.ok_or(ErrorKind::ConnectionRefused)?;
            let silent = Rc::new(Cell::new(false));
            self.silent.borrow_mut().push(silent.clone());
            let (near, one) = io::duplex(HELD);
            let (other, far) = io::duplex(HELD);
            let (from_near, to_near) = io::split(one);
            let (from_far, to_far) = io::split(other);
            task::spawn_local(carry(from_near, to_far, silent.clone()));
            task::spawn_local(carry(from_far, to_near, silent));
            accept(far);
            Ok(Box::new(near) as Box<dyn Stream>)
        })
    }
}

/// Carries bytes one way. A silent connection takes them all and passes none on, nor
/// its end.
async fn carry(
    mut from: ReadHalf<DuplexStream>,
    mut to: WriteHalf<DuplexStream>,
    silent: Rc<Cell<bool>>,
) {
    let mut bytes = vec![0; HELD];
    loop {
        let read = from.read(&mut bytes).await.unwrap_or(0);
        if read == 0 && !silent.get() {
            return;
        }
        if read == 0 {
            return std::future::pending().await;
        }
        time::sleep(WAY).await;
        if !silent.get() && to.write_all(&bytes[..read]).await.is_err() {
            return;
        }
    }
}
