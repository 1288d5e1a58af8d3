//! Guards against a silenced connection that still passes bytes or a close to either end, and
//! against connections that outlive their proxy.

use std::time::Duration;

use soak::proxy::{Path, Proxy};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time;

/// Time to wait before concluding that no byte arrives.
const SILENCE_WAIT: Duration = Duration::from_millis(100);

/// Opens a connection through the proxy, passes a byte each way and returns both ends.
async fn connect(proxy: &Proxy, listener: &TcpListener) -> (TcpStream, TcpStream) {
    let mut near = TcpStream::connect(proxy.address).await.expect("connect");
    let (mut far, _) = listener.accept().await.expect("accept");
    near.write_all(b"a").await.expect("write");
    assert_eq!(far.read_u8().await.expect("a byte"), b'a');
    far.write_all(b"b").await.expect("write");
    assert_eq!(near.read_u8().await.expect("a byte"), b'b');
    (near, far)
}

async fn receives_nothing(end: &mut TcpStream) -> bool {
    time::timeout(SILENCE_WAIT, end.read_u8()).await.is_err()
}

#[tokio::test]
async fn silenced_connections_pass_nothing_and_stay_open_while_new_ones_work() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let target = listener.local_addr().expect("address");
    let proxy = Proxy::spawn(target).await.expect("proxy");
    let (mut near, mut far) = connect(&proxy, &listener).await;
    proxy.silence();
    near.write_all(b"c").await.expect("taken and dropped");
    far.write_all(b"d").await.expect("taken and dropped");
    assert!(receives_nothing(&mut near).await);
    assert!(receives_nothing(&mut far).await);
    connect(&proxy, &listener).await;
    // A silenced connection sees neither a reset of the proxy nor the close of the other end.
    proxy.set_path(Path::Reset);
    proxy.set_path(Path::Open);
    drop(far);
    assert!(receives_nothing(&mut near).await);
    near.write_all(b"e").await.expect("taken and dropped");
}

#[tokio::test]
async fn connections_close_with_their_proxy() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let target = listener.local_addr().expect("address");
    let proxy = Proxy::spawn(target).await.expect("proxy");
    let (mut near, _far) = connect(&proxy, &listener).await;
    let (mut silent, _other) = connect(&proxy, &listener).await;
    proxy.silence();
    drop(proxy);
    near.read_u8().await.expect_err("closed");
    silent.read_u8().await.expect_err("closed");
}
