//! Connections to the store that go silent while they are kept idle.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time;

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
        let page = store.scan("workers/", None).await;
        assert_eq!(page.expect("a list").at, 1);
        assert_eq!(opened.load(Ordering::Relaxed), number);
    }
}

/// Symptom: an owner on an instance with a link of 10 Mbit/s never began: its log was read
/// again and again for 14 s, and nothing ran.
///
/// Sequence: the store turns the owner away; the log is handed to such an instance; a page of
/// its entries holds most of a megabyte.
///
/// Cause: the time limit of a page was that of a look at the store, 1.2 s.
///
/// Figure: a page that takes 2 s is read; before, none came.
#[tokio::test]
async fn a_page_of_the_log_is_read_over_a_thin_link() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("port");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (head, rest) = LIST.split_at(LIST.len() / 2);
                let _ = stream.write_all(head.as_bytes()).await;
                time::sleep(Duration::from_secs(2)).await;
                let _ = stream.write_all(rest.as_bytes()).await;
                time::sleep(Duration::from_secs(2)).await;
            });
        }
    });
    let store = store::open(address);
    assert!(store.scan("workers/", Some("a")).await.is_err());
    let page = store.fetch("log/", Some("a")).await;
    assert_eq!(page.expect("a page").at, 1);
}
