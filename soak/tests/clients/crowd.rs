//! A crowd of clients that all send the same.

use std::borrow::Cow;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{self, Instant};

use crate::process::WAIT_LIMIT;

/// A write that takes longer has met a process that reads no more.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Times that a client whose connection is closed returns.
const RETURNS_MAX: usize = 40;
/// Where the id of a job begins in a submission, and its length.
const ID_AT: usize = "POST /q/".len();
const ID_DIGITS: usize = 16;
/// Receive buffer of a client that reads no answers.
const SMALL_BUFFER: u32 = 4096;

/// What each client of a crowd sends.
#[derive(Clone, Default)]
pub struct Script {
    /// Sent once.
    pub opening: Vec<u8>,
    /// Sent repeatedly afterwards.
    pub piece: Vec<u8>,
    /// Number of times that the piece is sent.
    pub pieces: usize,
    /// Whether answers are left unread.
    pub deaf: bool,
    /// Whether a client whose connection is closed connects again at once.
    pub returns: bool,
    /// Whether each piece is a submission that gets an id of its own.
    pub numbered: bool,
}

/// Connected clients; dropping it closes their connections.
pub struct Crowd {
    clients: JoinSet<()>,
    sending: watch::Receiver<usize>,
    open: Arc<AtomicUsize>,
}

impl Crowd {
    /// Connects `count` clients that follow a script and then keep their connections open.
    pub fn spawn(address: SocketAddr, script: &Script, count: usize) -> Self {
        let script = Arc::new(script.clone());
        let (sending, changes) = watch::channel(count);
        let sending = Arc::new(sending);
        let open = Arc::new(AtomicUsize::new(count));
        let mut clients = JoinSet::new();
        for _ in 0..count {
            let (script, sending, open) = (script.clone(), sending.clone(), open.clone());
            clients.spawn(async move {
                let mut returns = if script.returns { RETURNS_MAX } else { 0 };
                let kept = loop {
                    let kept = send(address, &script).await;
                    if kept.is_some() || returns == 0 {
                        break kept;
                    }
                    returns -= 1;
                };
                sending.send_modify(|left| *left -= 1);
                if let Some(stream) = kept {
                    hold(stream, script.deaf).await;
                }
                open.fetch_sub(1, Ordering::Relaxed);
            });
        }
        Self {
            clients,
            sending: changes,
            open,
        }
    }

    /// Waits until each client has sent everything, or the process reads no more of it.
    pub async fn sent(&mut self) {
        let all = self.sending.wait_for(|left| *left == 0).await;
        all.expect("clients that send");
    }

    /// Waits until the process has closed all connections.
    pub async fn assert_closed(&self) {
        let limit = Instant::now() + WAIT_LIMIT;
        while self.open.load(Ordering::Relaxed) > 0 {
            let open = self.open.load(Ordering::Relaxed);
            assert!(Instant::now() < limit, "{open} connections are open");
            time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Closes all connections.
    pub async fn leave(mut self) {
        self.clients.shutdown().await;
    }
}

async fn connect(address: SocketAddr, deaf: bool) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    if deaf {
        socket.set_recv_buffer_size(SMALL_BUFFER)?;
    }
    let stream = socket.connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Follows the script on a new connection; returns it unless it was closed meanwhile.
async fn send(address: SocketAddr, script: &Script) -> Option<TcpStream> {
    let mut stream = connect(address, script.deaf).await.ok()?;
    let pieces = std::iter::repeat_n(&script.piece, script.pieces);
    for bytes in std::iter::once(&script.opening).chain(pieces) {
        let bytes = if script.numbered {
            number(bytes)
        } else {
            Cow::Borrowed(&**bytes)
        };
        match time::timeout(WRITE_TIMEOUT, stream.write_all(&bytes)).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return None,
            Err(_) => break,
        }
        if !script.deaf && discard_answers(&stream) {
            return None;
        }
    }
    Some(stream)
}

/// Returns a submission with an id that no other one has.
fn number(submission: &[u8]) -> Cow<'_, [u8]> {
    static NUMBER: AtomicUsize = AtomicUsize::new(1);
    let mut bytes = submission.to_vec();
    if let Some(id) = bytes.get_mut(ID_AT..ID_AT + ID_DIGITS) {
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        id.copy_from_slice(format!("{number:0ID_DIGITS$x}").as_bytes());
    }
    Cow::Owned(bytes)
}

/// Reads the answers that have arrived; returns whether the connection is closed.
fn discard_answers(stream: &TcpStream) -> bool {
    let mut answers = [0; 4096];
    loop {
        match stream.try_read(&mut answers) {
            Ok(0) => return true,
            Ok(_) => {}
            Err(error) => return error.kind() != std::io::ErrorKind::WouldBlock,
        }
    }
}

/// Keeps a connection open until the process closes it.
async fn hold(mut stream: TcpStream, deaf: bool) {
    if deaf {
        // A connection that is closed or reset turns ready with an error.
        while stream.peer_addr().is_ok() && stream.write_u8(b'\n').await.is_ok() {
            time::sleep(Duration::from_millis(100)).await;
        }
        return;
    }
    let mut answers = [0; 4096];
    while stream.read(&mut answers).await.is_ok_and(|count| count > 0) {}
}
