//! Fault-injecting TCP proxy on loopback, in front of a stand-in or an entry.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{self, AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time;

/// Size of a read buffer in bytes.
const CHUNK: usize = 16 << 10;

/// How the proxy treats the bytes of its connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Path {
    /// Forwards them.
    #[default]
    Open,
    /// Forwards each chunk after this delay.
    Delay(Duration),
    /// Forwards requests and withholds responses.
    OneWay,
    /// Closes connections.
    Reset,
}

#[derive(Clone, Copy, Default)]
struct State {
    path: Path,
    /// Number of times the open connections were silenced.
    silences: u64,
}

/// A running proxy; once it is dropped, its connections close.
pub struct Proxy {
    /// Address on which the proxy listens.
    pub address: SocketAddr,
    state: watch::Sender<State>,
}

impl Proxy {
    /// Listens on a port chosen by the kernel and forwards connections to `target`.
    ///
    /// # Errors
    /// Fails when no port can be bound.
    pub async fn spawn(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (state, states) = watch::channel(State::default());
        tokio::spawn(serve(listener, target, states));
        Ok(Self { address, state })
    }

    /// Sets how bytes are treated, on open and new connections alike.
    pub fn set_path(&self, path: Path) {
        self.state.send_modify(|state| state.path = path);
    }

    /// Silences the open connections permanently: bytes from either end are read and
    /// discarded, and neither end sees the other close. New connections work.
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
    // The predicate never holds, so only the drop of the sender ends the wait.
    let _ = states.wait_for(|_| false).await;
}

/// Serves one connection; `silences` is the state's count when it was accepted.
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
        tokio::join!(discard(near, states.clone()), discard(far, states));
    }
}

/// Forwards bytes until an end or the proxy closes; true if the connection was silenced.
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

/// Reads and discards bytes until this end or the proxy closes.
async fn discard(mut end: TcpStream, mut states: watch::Receiver<State>) {
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
                // The sender does not notice that its bytes are withheld.
                let _ = states.wait_for(|state| state.path != Path::OneWay).await;
            }
            _ => {}
        }
        to.write_all(&buffer[..length]).await?;
    }
}
