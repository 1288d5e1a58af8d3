//! The body of an answer on its way to the caller.

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

/// A slot and a connection in use by one request.
pub struct Flight {
    /// Slot at the endpoint.
    pub slot: SlotGuard,
    /// Connection that carries it.
    pub link: Connection,
    /// Whether the endpoint will close the connection.
    pub closes: bool,
    /// Whether the answer is an error of the endpoint.
    pub failed: bool,
    /// Counters.
    pub tally: Arc<GatewayMetrics>,
}

impl Flight {
    /// The whole answer was read.
    fn complete(mut self) {
        let pool = &self.slot.desk().pool;
        let sample = if self.failed {
            RequestResult::Failure
        } else {
            pool.note_answer(&self.link);
            RequestResult::Success(self.slot.elapsed())
        };
        if !self.closes {
            pool.give_back(self.link);
        }
        self.slot.set_result(sample);
    }

    /// The answer was cut by the endpoint.
    fn cut(mut self) {
        self.tally.cut.inc();
        self.slot.set_result(RequestResult::Failure);
    }
}

/// The body of an answer: the gateway's own, or an endpoint's.
pub enum ResponseBody {
    /// The gateway's own answer.
    Own(Full<Bytes>),
    /// An endpoint's answer.
    Stream(Box<Stream>),
}

/// A body that streams from an endpoint.
pub struct Stream {
    body: Incoming,
    flight: Option<Flight>,
    stall: Pin<Box<Sleep>>,
    limit: Duration,
}

/// Why an answer ended early; the caller's connection is closed.
#[derive(Debug)]
pub enum Cut {
    /// The endpoint's connection failed.
    Endpoint(hyper::Error),
    /// The endpoint sent nothing for too long.
    Stalled,
}

impl fmt::Display for Cut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Endpoint(error) => write!(f, "reading the endpoint's answer: {error}"),
            Self::Stalled => write!(f, "reading the endpoint's answer: nothing came"),
        }
    }
}

impl std::error::Error for Cut {}

impl ResponseBody {
    /// Streams `body`; nothing for `limit` cuts it.
    #[must_use]
    pub fn stream(body: Incoming, flight: Flight, limit: Duration) -> Self {
        if body.is_end_stream() {
            flight.complete();
            return Self::Own(Full::default());
        }
        let stall = Box::pin(time::sleep(limit));
        Self::Stream(Box::new(Stream {
            body,
            flight: Some(flight),
            stall,
            limit,
        }))
    }
}

impl Stream {
    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match Pin::new(&mut self.body).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => {
                self.stall.as_mut().reset(time::Instant::now() + self.limit);
                if self.body.is_end_stream() {
                    self.finish();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(None) => {
                self.finish();
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(error))) => self.fail(Cut::Endpoint(error)),
            Poll::Pending if self.stall.as_mut().poll(context).is_ready() => {
                self.fail(Cut::Stalled)
            }
            Poll::Pending => Poll::Pending,
        }
    }

    fn finish(&mut self) {
        if let Some(flight) = self.flight.take() {
            flight.complete();
        }
    }

    fn fail(&mut self, cut: Cut) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        if let Some(flight) = self.flight.take() {
            flight.cut();
        }
        Poll::Ready(Some(Err(cut)))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match &mut *self {
            Self::Own(body) => Pin::new(body)
                .poll_frame(context)
                .map_err(|never| match never {}),
            Self::Stream(stream) => stream.poll(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Own(body) => body.is_end_stream(),
            Self::Stream(stream) => stream.body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Own(body) => body.size_hint(),
            Self::Stream(stream) => stream.body.size_hint(),
        }
    }
}
