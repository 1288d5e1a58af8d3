//! Reports of workers as the platform's adapter reads them.

use std::fmt::Write;
use std::time::Duration;

use ashtiller::workflow::agents::{Poll, PollReply, Target};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use crate::agents;

/// Time limit of the poll; reached only if the test fails.
const LIMIT: Duration = Duration::from_secs(30);

/// Polls a worker that lists this number of ends; returns how many were read, and whether more may follow.
async fn poll_with_ends(count: usize) -> (usize, bool) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let target = Target {
        incarnation: "w0".into(),
        address: listener.local_addr().unwrap(),
        fence: 5,
        timeout: LIMIT,
        zone: "bern".into(),
    };
    let mut ends = String::new();
    for number in 1..=count {
        let comma = if number > 1 { "," } else { "" };
        write!(ends, r#"{comma}[{number},"j.0.0.{number}",1,"done",""]"#).unwrap();
    }
    let body = format!(r#"{{"clock_ms":7,"active":[],"finished":[{ends}]}}"#);
    let answer = format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let server = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 4096];
        assert!(stream.read(&mut request).await.unwrap() > 0);
        stream.write_all(answer.as_bytes()).await.unwrap();
        stream.flush().await.unwrap();
        stream
    };
    let poll = Poll {
        until: None,
        ends_recorded: 0,
        wait: Duration::ZERO,
    };
    let client = agents::open();
    let (_stream, reply) = tokio::join!(server, client.poll(&target, &poll));
    match reply {
        Ok(PollReply::Report {
            finished,
            more_ends,
            ..
        }) => (finished.len(), more_ends),
        other => panic!("not a report: {other:?}"),
    }
}

/// The platform's workers list 500 ends at once. Guards against runs that count as lost because their
/// ends are not among those.
#[tokio::test]
async fn a_full_list_of_ends_may_be_a_part() {
    assert_eq!(poll_with_ends(499).await, (499, false));
    assert_eq!(poll_with_ends(500).await, (500, true));
}
