//! The body of a request on its way to an endpoint.

use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Buf, Bytes};
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};

/// A body that was kept for a retry, or one that streams through.
#[derive(Debug)]
pub enum RequestBody {
    /// Kept whole.
    Kept(Full<Bytes>),
    /// Streams; `left` more bytes are allowed.
    Stream {
        /// The caller's body.
        body: Incoming,
        /// Bytes still allowed.
        left: u64,
    },
}

/// Why a body could not be sent on.
#[derive(Debug)]
pub enum Broken {
    /// The caller's connection failed.
    Caller(hyper::Error),
    /// The body is larger than the limit.
    TooLarge,
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Caller(error) => write!(f, "reading the caller's body: {error}"),
            Self::TooLarge => write!(f, "the body is larger than the limit"),
        }
    }
}

impl std::error::Error for Broken {}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        match &mut *self {
            Self::Kept(body) => Pin::new(body)
                .poll_frame(context)
                .map_err(|never| match never {}),
            Self::Stream { body, left } => {
                let polled = Pin::new(body).poll_frame(context).map_err(Broken::Caller);
                let Poll::Ready(Some(Ok(frame))) = polled else {
                    return polled;
                };
                let size = frame.data_ref().map_or(0, Buf::remaining) as u64;
                if size > *left {
                    return Poll::Ready(Some(Err(Broken::TooLarge)));
                }
                *left -= size;
                Poll::Ready(Some(Ok(frame)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Kept(body) => body.is_end_stream(),
            Self::Stream { body, .. } => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Kept(body) => body.size_hint(),
            Self::Stream { body, .. } => body.size_hint(),
        }
    }
}
