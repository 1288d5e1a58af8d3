//! Guards against port clashes between soaks that run at the same time with the same number.

use soak::network::{Network, PORT};
use tokio::net::TcpListener;

#[tokio::test]
async fn soaks_side_by_side_share_no_port() {
    let one = Network::take(7).await.expect("a network");
    let other = Network::take(7).await.expect("another network");
    let _taken = TcpListener::bind(one.entry(0, 4)).await.expect("a port");
    let port = TcpListener::bind(other.entry(0, 4)).await;
    assert!(port.is_ok(), "{port:?}");
    assert_eq!(other.entry(0, 4).port(), PORT + 4);
}

#[tokio::test]
async fn a_network_is_free_again_once_it_is_dropped() {
    let address = Network::take(9_000).await.expect("a network").entry(0, 0);
    let again = Network::take(9_000).await.expect("the same network");
    assert_eq!(again.entry(0, 0), address);
}
