//! Guards against a client that reuses a connection on which no bytes arrive any more: the
//! call on it must time out, and the next call must open a new connection.

use hyper::{Method, StatusCode};
use serde_json::Value;
use soak::client::Client;
use soak::proxy::Proxy;
use soak::standin;
use tokio::net::TcpListener;

#[tokio::test]
async fn a_call_on_a_kept_connection_that_fell_silent_is_given_up_and_the_next_works() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let target = listener.local_addr().expect("address");
    let _served = standin::serve(listener, |_| async { Some((StatusCode::OK, Value::Null)) });
    let proxy = Proxy::spawn(target).await.expect("proxy");
    let client = Client::default();
    let call = || client.call(proxy.address, Method::GET, "/", String::new());
    call().await.expect("an answer");
    proxy.silence();
    call().await.expect_err("its connection is silent");
    call().await.expect("an answer on a new connection");
}
