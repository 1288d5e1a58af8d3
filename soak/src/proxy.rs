//! A loopback proxy between one entry and the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{self, AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time;

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

/// A running proxy.
#[derive(Clone)]
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    path: Arc<watch::Sender<Path>>,
}

impl Proxy {
    /// Listens on a port of the kernel's and passes on to `target`.
    ///
    /// # Errors
    /// No port can be bound.
    pub async fn spawn(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let path = Arc::new(watch::Sender::new(Path::Open));
        let paths = path.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(pass(stream, target, paths.subscribe()));
            }
        });
        Ok(Self { address, path })
    }

    /// Changes what it does.
    pub fn set_path(&self, path: Path) {
        self.path.send_replace(path);
    }
}

async fn pass(near: TcpStream, target: SocketAddr, mut paths: watch::Receiver<Path>) {
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    let there = copy(near_in, far_out, paths.clone(), false);
    let back = copy(far_in, near_out, paths.clone(), true);
    tokio::select! {
        _ = there => {}
        _ = back => {}
        _ = paths.wait_for(|path| *path == Path::Reset) => {}
    }
}

async fn copy(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    mut paths: watch::Receiver<Path>,
    back: bool,
) -> io::Result<()> {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let length = from.read(&mut buffer).await?;
        if length == 0 {
            return Ok(());
        }
        let path = *paths.borrow();
        match path {
            Path::Delay(delay) => time::sleep(delay).await,
            Path::OneWay if back => {
                // The sender of the bytes does not learn that they wait.
                let _ = paths.wait_for(|path| *path != Path::OneWay).await;
            }
            _ => {}
        }
        to.write_all(&buffer[..length]).await?;
    }
}
