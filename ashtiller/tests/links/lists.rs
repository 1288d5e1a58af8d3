//! Connections to the store that go silent while idle or that are slow.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time;

use crate::store;

/// Response with an empty page of a list.
const EMPTY_PAGE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 34\r\n\r\n\
     {\"items\":[],\"more\":false,\"at\":1}  ";

/// Answers up to `limit` requests with an empty page, then goes silent.
async fn answer(mut stream: TcpStream, limit: usize) {
    let mut read = Vec::new();
    let mut answered = 0;
    while let Ok(byte) = stream.read_u8().await {
        read.push(byte);
        if read.ends_with(b"\r\n\r\n") && answered < limit {
            answered += 1;
            read.clear();
            if stream.write_all(EMPTY_PAGE.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

/// Guards against lists that fail on a silent idle connection. A list that replaces an overdue
/// watch or list reused a kept connection, which had gone silent together with the overdue
/// call's; it got no answer within its limit of 1.2 s, though new connections worked. Here each
/// connection answers once: without the fix the second list fails.
#[tokio::test]
async fn lists_do_not_reuse_idle_connections() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port should be free");
    let address = listener
        .local_addr()
        .expect("the listener should have an address");
    let opened = Arc::new(AtomicUsize::new(0));
    let open_count = opened.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            open_count.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(answer(stream, 1));
        }
    });
    let store = store::open(address);
    for number in 1..=3 {
        let page = store.scan("workers/", None).await;
        assert_eq!(page.expect("the list should be answered").at, 1);
        assert_eq!(opened.load(Ordering::Relaxed), number);
    }
}

/// Guards against a replay that never ends on a slow link. The store refused the owner, and the
/// log was handed to an instance with a link of 10 Mbit/s. A page of the log holds most of a
/// megabyte, but had the time limit of a single read, 1.2 s: the log was read again and again
/// for 14 s, and nothing ran. Here a page takes 2 s.
#[tokio::test]
async fn a_page_of_the_log_is_read_over_a_slow_link() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port should be free");
    let address = listener
        .local_addr()
        .expect("the listener should have an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (head, rest) = EMPTY_PAGE.split_at(EMPTY_PAGE.len() / 2);
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
    assert_eq!(page.expect("the page should be read").at, 1);
}
