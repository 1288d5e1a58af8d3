//! A loopback proxy in front of a stand-in or an entry.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{self, AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time;

/// Bytes that are read at once.
const CHUNK: usize = 16 << 10;

/// What the proxy does with bytes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Path {
    /// It passes them on.
    #[default]
    Open,
    /// It passes them on after a while.
    Delay(Duration),
    /// It holds what comes back.
    OneWay,
    /// It closes connections.
    Reset,
}

#[derive(Clone, Copy, Default)]
struct State {
    path: Path,
    /// How often the open connections were silenced.
    silences: u64,
}

/// A running proxy; once it is dropped, its connections close.
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    state: watch::Sender<State>,
}

impl Proxy {
    /// Listens on a port of the kernel's and passes on to `target`.
    ///
    /// # Errors
    /// No port can be bound.
    pub async fn spawn(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (state, states) = watch::channel(State::default());
        tokio::spawn(serve(listener, target, states));
        Ok(Self { address, state })
    }

    /// Changes what it does.
    pub fn set_path(&self, path: Path) {
        self.state.send_modify(|state| state.path = path);
    }

    /// Silences the connections that are open, for good: what their ends send is read
    /// and dropped, and neither end learns when the other closes. New ones work.
    pub fn silence(&self) {
        self.state.send_modify(|state| state.silences += 1);
    }
}

async fn serve(listener: TcpListener, target: SocketAddr, mut states: watch::Receiver<State>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_for_drop(&mut states) => return,
        };
        let Ok((near, _)) = accepted else { return };
        let silences = states.borrow().silences;
        tokio::spawn(pass(near, target, states.clone(), silences));
    }
}

async fn wait_for_drop(states: &mut watch::Receiver<State>) {
    // Nothing but the sender's end ends this wait.
    let _ = states.wait_for(|_| false).await;
}

/// Passes bytes on; the connection came when there had been so many `silences`.
async fn pass(
    mut near: TcpStream,
    target: SocketAddr,
    mut states: watch::Receiver<State>,
    silences: u64,
) {
    let Ok(mut far) = TcpStream::connect(target).await else {
        return;
    };
    if relay(&mut near, &mut far, &mut states, silences).await {
        tokio::join!(swallow(near, states.clone()), swallow(far, states));
    }
}

/// Passes bytes on until an end closes or the proxy does; true once it is silenced.
async fn relay(
    near: &mut TcpStream,
    far: &mut TcpStream,
    states: &mut watch::Receiver<State>,
    silences: u64,
) -> bool {
    let (near_in, near_out) = near.split();
    let (far_in, far_out) = far.split();
    let there = copy(near_in, far_out, states.clone(), false);
    let back = copy(far_in, near_out, states.clone(), true);
    tokio::select! {
        biased;
        state = states.wait_for(|state| {
            state.silences > silences || state.path == Path::Reset
        }) => state.is_ok_and(|state| state.silences > silences),
        _ = there => false,
        _ = back => false,
    }
}

/// Reads and drops what comes until this end closes.
async fn swallow(mut end: TcpStream, mut states: watch::Receiver<State>) {
    let mut buffer = vec![0; CHUNK];
    let read = async { while end.read(&mut buffer).await.is_ok_and(|length| length > 0) {} };
    tokio::select! {
        () = read => {}
        () = wait_for_drop(&mut states) => {}
    }
}

async fn copy(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    mut states: watch::Receiver<State>,
    back: bool,
) -> io::Result<()> {
    let mut buffer = vec![0; CHUNK];
    loop {
        let length = from.read(&mut buffer).await?;
        if length == 0 {
            return Ok(());
        }
        let path = states.borrow().path;
        match path {
            Path::Delay(delay) => time::sleep(delay).await,
            Path::OneWay if back => {
                // The sender of the bytes does not learn that they wait.
                let _ = states.wait_for(|state| state.path != Path::OneWay).await;
            }
            _ => {}
        }
        to.write_all(&buffer[..length]).await?;
    }
}
