//! The body of a response to the caller.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::{self, Sleep};

use crate::gateway_metrics::GatewayMetrics;
use crate::health::RequestResult;
use crate::pool::Connection;
use crate::service_dispatcher::SlotGuard;

/// A request in progress, with its slot and its connection.
pub struct Exchange {
    /// Slot at the endpoint.
    pub slot: SlotGuard,
    /// Connection that carries the request.
    pub connection: Connection,
    /// Whether the endpoint closes the connection after this response.
    pub closes: bool,
    /// Whether the response has a status of 500 or above.
    pub failed: bool,
    /// Metrics of the gateway.
    pub metrics: Arc<GatewayMetrics>,
}

impl Exchange {
    /// Records a response that was read completely and reuses the connection.
    fn complete(mut self) {
        let pool = &self.slot.service().pool;
        let result = if self.failed {
            RequestResult::Failure
        } else {
            pool.record_response(&self.connection);
            RequestResult::Success(self.slot.elapsed())
        };
        if !self.closes {
            pool.release(self.connection);
        }
        self.slot.set_result(result);
    }

    /// Records a response that the endpoint did not complete.
    fn truncate(mut self) {
        self.metrics.truncated.inc();
        self.slot.set_result(RequestResult::Failure);
    }
}

/// The body of a response, from the gateway itself or from an endpoint.
pub enum ResponseBody {
    /// Body of a response that the gateway generated.
    Local(Full<Bytes>),
    /// Body of an endpoint's response.
    Stream(Box<Stream>),
}

/// A body streamed from an endpoint.
pub struct Stream {
    body: Incoming,
    exchange: Option<Exchange>,
    stall_timer: Pin<Box<Sleep>>,
    limit: Duration,
}

/// Error that ends a response early; the caller's connection is then closed.
#[derive(Debug)]
pub enum ResponseBodyError {
    /// The endpoint's connection failed.
    Endpoint(hyper::Error),
    /// The endpoint sent no data within the time limit.
    Stalled,
}

impl fmt::Display for ResponseBodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Endpoint(error) => write!(f, "reading the endpoint's response: {error}"),
            Self::Stalled => write!(
                f,
                "reading the endpoint's response: no data within the time limit"
            ),
        }
    }
}

impl std::error::Error for ResponseBodyError {}

impl ResponseBody {
    /// Streams `body`, and ends it with an error after `limit` without data.
    #[must_use]
    pub fn stream(body: Incoming, exchange: Exchange, limit: Duration) -> Self {
        if body.is_end_stream() {
            exchange.complete();
            return Self::Local(Full::default());
        }
        let stall_timer = Box::pin(time::sleep(limit));
        Self::Stream(Box::new(Stream {
            body,
            exchange: Some(exchange),
            stall_timer,
            limit,
        }))
    }
}

impl Stream {
    fn poll(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseBodyError>>> {
        match Pin::new(&mut self.body).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => {
                self.stall_timer
                    .as_mut()
                    .reset(time::Instant::now() + self.limit);
                if self.body.is_end_stream() {
                    self.finish();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(None) => {
                self.finish();
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(error))) => self.fail(ResponseBodyError::Endpoint(error)),
            Poll::Pending if self.stall_timer.as_mut().poll(context).is_ready() => {
                self.fail(ResponseBodyError::Stalled)
            }
            Poll::Pending => Poll::Pending,
        }
    }

    fn finish(&mut self) {
        if let Some(exchange) = self.exchange.take() {
            exchange.complete();
        }
    }

    fn fail(
        &mut self,
        error: ResponseBodyError,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseBodyError>>> {
        if let Some(exchange) = self.exchange.take() {
            exchange.truncate();
        }
        Poll::Ready(Some(Err(error)))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = ResponseBodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseBodyError>>> {
        match &mut *self {
            Self::Local(body) => Pin::new(body)
                .poll_frame(context)
                .map_err(|never| match never {}),
            Self::Stream(stream) => stream.poll(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Local(body) => body.is_end_stream(),
            Self::Stream(stream) => stream.body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Local(body) => body.size_hint(),
            Self::Stream(stream) => stream.body.size_hint(),
        }
    }
}
