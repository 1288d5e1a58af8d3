//! The body of a request to an endpoint.

use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Buf, Bytes};
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};

use crate::ingress;

/// A request body, buffered for retries or streamed.
#[derive(Debug)]
pub enum RequestBody {
    /// Buffered completely.
    Buffered(Full<Bytes>),
    /// Streamed from the caller, with a limit on its size.
    Stream {
        /// The caller's body.
        body: ingress::Body,
        /// Remaining bytes allowed.
        left: u64,
    },
}

/// Error that ends the forwarding of a body.
#[derive(Debug)]
pub enum RequestBodyError {
    /// The caller's connection failed.
    Caller(ingress::BodyError),
    /// The body exceeds the limit.
    TooLarge,
}

impl fmt::Display for RequestBodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Caller(error) => error.fmt(f),
            Self::TooLarge => write!(f, "the body is larger than the limit"),
        }
    }
}

impl std::error::Error for RequestBodyError {}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = RequestBodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RequestBodyError>>> {
        match &mut *self {
            Self::Buffered(body) => Pin::new(body)
                .poll_frame(context)
                .map_err(|never| match never {}),
            Self::Stream { body, left } => {
                let polled = Pin::new(body)
                    .poll_frame(context)
                    .map_err(RequestBodyError::Caller);
                let Poll::Ready(Some(Ok(frame))) = polled else {
                    return polled;
                };
                let size = frame.data_ref().map_or(0, Buf::remaining) as u64;
                if size > *left {
                    return Poll::Ready(Some(Err(RequestBodyError::TooLarge)));
                }
                *left -= size;
                Poll::Ready(Some(Ok(frame)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(body) => body.is_end_stream(),
            Self::Stream { body, .. } => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => body.size_hint(),
            Self::Stream { body, .. } => body.size_hint(),
        }
    }
}
