//! The port where operators connect: metrics, health, dump and role commands.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use prometheus::{Encoder, Registry, TextEncoder};
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, JoinSet};

use crate::failure::Failure;

/// Answer to the balancer's and the operators' question for health.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Health {
    /// Whether the process can do its work.
    pub ready: bool,
    /// Whether a planned stop has begun.
    pub leaving: bool,
}

/// A command of an operator.
#[derive(Clone, Debug)]
pub struct Command {
    /// Method.
    pub method: Method,
    /// Path, split at its slashes.
    pub path: Vec<Arc<str>>,
    /// Query.
    pub query: Arc<str>,
}

impl Command {
    /// The value of a query parameter.
    #[must_use]
    pub fn param(&self, name: &str) -> Option<&str> {
        let pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        pairs
            .into_iter()
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }
}

/// Status and JSON body of an answer to an operator.
pub type CommandReply = (StatusCode, String);

/// A role as operators see it.
pub trait OperatorApi: Send + Sync {
    /// Health.
    fn health(&self) -> Health;
    /// Metrics.
    fn registry(&self) -> &Registry;
    /// The whole state, bounded in size.
    fn dump(&self) -> BoxFuture<'_, String>;
    /// A command of the role; `None` when there is no such command.
    fn command(&self, command: Command) -> BoxFuture<'_, Option<CommandReply>>;
}

/// A running operators' port.
pub struct OperatorServer {
    address: SocketAddr,
    listener: JoinHandle<()>,
}

impl OperatorServer {
    /// The address that the kernel gave.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for OperatorServer {
    fn drop(&mut self) {
        self.listener.abort();
    }
}

/// Listens for operators.
///
/// # Errors
/// The port cannot be bound.
pub async fn bind(
    address: SocketAddr,
    role: Arc<dyn OperatorApi>,
) -> Result<OperatorServer, Failure> {
    let failed = |error| Failure::no_effect("bind operators' port", address, error);
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?;
    let listener = tokio::spawn(accept(listener, role));
    Ok(OperatorServer { address, listener })
}

async fn accept(listener: TcpListener, role: Arc<dyn OperatorApi>) {
    // Held here so that the end of this task ends every connection.
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let role = role.clone();
        let service = service::service_fn(move |request| answer(role.clone(), request));
        connections.spawn(async move {
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

async fn answer(
    role: Arc<dyn OperatorApi>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let json = "application/json";
    Ok(match (request.method(), request.uri().path()) {
        (&Method::GET, "/metrics") => {
            text(StatusCode::OK, "text/plain; version=0.0.4", metrics(&*role))
        }
        (&Method::GET, "/health") => {
            let health = role.health();
            let good = health.ready && !health.leaving;
            let status = if good {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            };
            text(
                status,
                json,
                serde_json::to_string(&health).unwrap_or_default(),
            )
        }
        (&Method::GET, "/dump") => text(StatusCode::OK, json, role.dump().await),
        _ => match role.command(command_of(&request)).await {
            Some((status, body)) => text(status, json, body),
            None => text(
                StatusCode::NOT_FOUND,
                json,
                r#"{"error":"no such command"}"#.to_owned(),
            ),
        },
    })
}

fn command_of(request: &Request<Incoming>) -> Command {
    Command {
        method: request.method().clone(),
        path: request
            .uri()
            .path()
            .split('/')
            .skip(1)
            .map(Arc::from)
            .collect(),
        query: request.uri().query().unwrap_or_default().into(),
    }
}

fn metrics(role: &dyn OperatorApi) -> String {
    let mut buffer = Vec::new();
    match TextEncoder::new().encode(&role.registry().gather(), &mut buffer) {
        Ok(()) => String::from_utf8_lossy(&buffer).into_owned(),
        Err(error) => format!("# {error}\n"),
    }
}

fn text(status: StatusCode, kind: &'static str, body: String) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(Bytes::from(body)));
    *answer.status_mut() = status;
    answer
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    answer
}
