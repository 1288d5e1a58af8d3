//! The operators' HTTP port: metrics, health, state dump and commands of the role.

use std::future;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use prometheus::{Encoder, Registry, TextEncoder};
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, JoinSet};

use crate::failure::Failure;
use crate::ingress::{self, Capacity, Ingress, ProcessResources, Refusal, RequestLimits};
use crate::outcome::LocalResponse;

/// Response to a health check of the load balancer or an operator.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Health {
    /// Whether the process is ready to work.
    pub ready: bool,
    /// Whether a planned shutdown has begun.
    pub leaving: bool,
}

/// An operator's command: a request for any path but `/metrics`, `/health` and `/dump`.
#[derive(Clone, Debug)]
pub struct Command {
    /// HTTP method.
    pub method: Method,
    /// Segments of the path.
    pub path: Vec<Arc<str>>,
    /// Query string; empty if there is none.
    pub query: Arc<str>,
}

impl Command {
    /// Returns the value of a query parameter, not percent-decoded.
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

/// Status and JSON body of the response to a command.
pub type CommandReply = (StatusCode, String);

/// What a role provides on the operators' port.
pub trait OperatorApi: Send + Sync {
    /// Returns the result of a health check.
    fn health(&self) -> Health;
    /// Returns the registry of the role's metrics.
    fn registry(&self) -> &Registry;
    /// Returns the role's state as JSON, bounded in size.
    fn dump(&self) -> BoxFuture<'_, String>;
    /// Runs a command; returns `None` when the role has no such command.
    fn command(&self, command: Command) -> BoxFuture<'_, Option<CommandReply>>;
}

/// A running operators' port; dropping it closes the port and its connections.
pub struct OperatorServer {
    address: SocketAddr,
    listener: JoinHandle<()>,
}

impl OperatorServer {
    /// Returns the bound address, with the port that the kernel chose for port 0.
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

/// Binds the operators' port and serves `role` on it.
///
/// # Errors
/// The port cannot be bound.
pub async fn bind(
    address: SocketAddr,
    role: Arc<dyn OperatorApi>,
) -> Result<OperatorServer, Failure> {
    let bind_error = |error| Failure::no_effect("bind operators' port", address, error);
    let listener = TcpListener::bind(address).await.map_err(bind_error)?;
    let address = listener.local_addr().map_err(bind_error)?;
    Ingress::prepare(&listener);
    let capacity = Capacity::side(&ProcessResources::detect(None, None));
    let ingress = Ingress::open(
        capacity,
        RequestLimits::default(),
        role.registry(),
        "operators",
    );
    let ingress =
        ingress.map_err(|error| Failure::no_effect("open operators' port", address, error))?;
    let listener = tokio::spawn(accept(listener, role, ingress));
    Ok(OperatorServer { address, listener })
}

async fn accept(listener: TcpListener, role: Arc<dyn OperatorApi>, ingress: Arc<Ingress>) {
    // Owned by this task, so that aborting it closes every connection.
    let mut connections = JoinSet::new();
    connections.spawn(Ingress::enforce(vec![ingress.clone()]));
    loop {
        while connections.try_join_next().is_some() {}
        let connection = ingress.accept(&listener).await;
        let role = role.clone();
        connections.spawn(async move {
            let handler = |request| respond(role.clone(), request);
            if let Err(error) = connection.serve(handler, future::pending()).await {
                tracing::trace!(%error, "operator connection failed");
            }
        });
    }
}

async fn respond(
    role: Arc<dyn OperatorApi>,
    request: Result<Request<ingress::Body>, Refusal>,
) -> Response<Full<Bytes>> {
    let request = match request {
        Ok(request) => request,
        Err(refusal) => return LocalResponse::from_ingress(refusal).to_response(0.0),
    };
    let json = "application/json";
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/metrics") => response_of(
            StatusCode::OK,
            "text/plain; version=0.0.4",
            encode_metrics(&*role),
        ),
        (&Method::GET, "/health") => {
            let health = role.health();
            let healthy = health.ready && !health.leaving;
            let status = if healthy {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            };
            response_of(
                status,
                json,
                serde_json::to_string(&health).unwrap_or_default(),
            )
        }
        (&Method::GET, "/dump") => response_of(StatusCode::OK, json, role.dump().await),
        _ => match role.command(parse_command(&request)).await {
            Some((status, body)) => response_of(status, json, body),
            None => response_of(
                StatusCode::NOT_FOUND,
                json,
                r#"{"error":"no such command"}"#.to_owned(),
            ),
        },
    }
}

fn parse_command(request: &Request<ingress::Body>) -> Command {
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

fn encode_metrics(role: &dyn OperatorApi) -> String {
    let mut buffer = Vec::new();
    match TextEncoder::new().encode(&role.registry().gather(), &mut buffer) {
        Ok(()) => String::from_utf8_lossy(&buffer).into_owned(),
        Err(error) => format!("# {error}\n"),
    }
}

fn response_of(
    status: StatusCode,
    content_type: &'static str,
    body: String,
) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
