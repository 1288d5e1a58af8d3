//! Connections to the store that go silent while they are kept idle.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::store;

/// An empty list.
const LIST: &str = "HTTP/1.1 200 OK\r\ncontent-length: 34\r\n\r\n\
     {\"items\":[],\"more\":false,\"at\":1}  ";

/// Answers each question with an empty list, `most` times.
async fn answer(mut stream: TcpStream, most: usize) {
    let mut read = Vec::new();
    let mut answered = 0;
    while let Ok(byte) = stream.read_u8().await {
        read.push(byte);
        if read.ends_with(b"\r\n\r\n") && answered < most {
            answered += 1;
            read.clear();
            if stream.write_all(LIST.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

/// Symptom: a list that was asked for since a watch or another list was overdue got no
/// answer within its limit of 1.2 s, though new connections to the store worked.
///
/// Sequence: a list is read; its connection is kept, and goes silent; a list is asked for.
///
/// Cause: lists took kept connections, which go silent together with that of the call for
/// which they stand in.
///
/// Figure: each connection answers once; the second list failed, now each is answered.
#[tokio::test]
async fn lists_do_not_wait_on_connections_that_were_kept() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("port");
    let address = listener.local_addr().expect("address");
    let opened = Arc::new(AtomicUsize::new(0));
    let count = opened.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            count.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(answer(stream, 1));
        }
    });
    let store = store::open(address);
    for number in 1..=3 {
        let page = store.scan("servers/", None).await;
        assert_eq!(page.expect("a list").at, 1);
        assert_eq!(opened.load(Ordering::Relaxed), number);
    }
}
