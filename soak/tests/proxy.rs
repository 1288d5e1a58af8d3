//! Connections that fall silent for good.

use std::time::Duration;

use soak::proxy::{Path, Proxy};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time;

/// Time in which a byte that may not come would have come.
const QUIET: Duration = Duration::from_millis(100);

/// Both ends of a connection through the proxy that has passed a byte each way.
async fn connect(proxy: &Proxy, listener: &TcpListener) -> (TcpStream, TcpStream) {
    let mut near = TcpStream::connect(proxy.address).await.expect("connect");
    let (mut far, _) = listener.accept().await.expect("accept");
    near.write_all(b"a").await.expect("write");
    assert_eq!(far.read_u8().await.expect("a byte"), b'a');
    far.write_all(b"b").await.expect("write");
    assert_eq!(near.read_u8().await.expect("a byte"), b'b');
    (near, far)
}

async fn hears_nothing(end: &mut TcpStream) -> bool {
    time::timeout(QUIET, end.read_u8()).await.is_err()
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
    assert!(hears_nothing(&mut near).await);
    assert!(hears_nothing(&mut far).await);
    connect(&proxy, &listener).await;
    // Neither what the proxy does to others nor the other end's close is heard.
    proxy.set_path(Path::Reset);
    proxy.set_path(Path::Open);
    drop(far);
    assert!(hears_nothing(&mut near).await);
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
