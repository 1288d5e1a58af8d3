//! Lists of machines as the platform's adapter reads them.

use ashtiller::workflow::machines::{Machine, MachineList, Process};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use crate::machine_interface;

/// Serves these pages in turn on one connection, and returns the list read from them.
async fn read(pages: &[&str]) -> Option<MachineList> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let machines = machine_interface::open(listener.local_addr().unwrap());
    let server = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        for body in pages {
            let mut request = [0; 4096];
            assert!(stream.read(&mut request).await.unwrap() > 0);
            let length = body.len();
            let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
            stream.write_all(answer.as_bytes()).await.unwrap();
        }
        stream
    };
    let (_stream, list) = tokio::join!(server, machines.list());
    list.ok()
}

fn machine(name: &str, process: Process) -> Machine {
    Machine {
        name: name.into(),
        process,
    }
}

#[tokio::test]
async fn only_a_machine_that_is_down_without_a_worker_tells_its_end() {
    let page = r#"{"machines":[
        {"machine":"m0","pool":"p","state":"up","id":"w0"},
        {"machine":"m1","pool":"p","state":"down"},
        {"machine":"m2","pool":"p","state":"down","id":""},
        {"machine":"m3","pool":"p","state":"moving"},
        {"machine":"m4","pool":"p","state":"upkeep","id":"w4"},
        {"machine":"m5","pool":"p","state":"up"},
        {"machine":"m6"}],"next_token":null}"#;
    let list = read(&[page]).await.expect("a list");
    let running = |id: &str| Process::Running(id.into());
    let expected = [
        machine("m0", running("w0")),
        machine("m1", Process::Ended),
        machine("m2", Process::Ended),
        machine("m3", Process::Unknown),
        machine("m4", running("w4")),
        machine("m5", Process::Unknown),
        machine("m6", Process::Unknown),
    ];
    assert_eq!(list.machines, expected);
    assert!(!list.paged);
}

#[tokio::test]
async fn the_pages_of_a_list_are_read_to_the_end() {
    let pages = [
        r#"{"machines":[{"machine":"m0","state":"up","id":"w0"}],"next_token":"1"}"#,
        r#"{"machines":[{"machine":"m1","state":"up","id":"w1"}]}"#,
    ];
    let list = read(&pages).await.expect("a list");
    assert_eq!(list.machines.len(), 2);
    assert!(list.paged);
}

/// A part of the list must not be taken for all of it.
#[tokio::test]
async fn a_list_with_a_page_that_cannot_be_read_is_none() {
    let front = r#"{"machines":[{"machine":"m0","state":"up","id":"w0"}],"next_token":"1"}"#;
    assert_eq!(
        read(&[front, r#"{"machines":[{"machine":7}]}"#]).await,
        None
    );
}
