//! Body of a client's request.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};

use super::metrics::Refusal;
use super::state::Shared;

/// First size of the buffer of a body whose size is not declared.
const BUFFER_MIN: usize = 4 << 10;

/// Why a body cannot be read.
#[derive(Debug)]
pub enum BodyError {
    /// It is larger than the limit.
    TooLarge,
    /// The client is too slow, or there is no room for the body.
    Refused(Refusal),
    /// The client broke off, or its chunks are malformed.
    Broken(hyper::Error),
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge => f.write_str("the body is larger than the limit"),
            Self::Refused(refusal) => write!(f, "the body is refused: {}", refusal.name()),
            Self::Broken(error) => write!(f, "reading the body: {error}"),
        }
    }
}

impl std::error::Error for BodyError {}

/// Body of a request as it arrives.
pub struct Body {
    incoming: Incoming,
    shared: Arc<Shared>,
}

/// Progress of a body that is passed on while it arrives.
pub struct Progress {
    shared: Arc<Shared>,
}

impl Progress {
    /// Returns for how long the rest of the body has been waited for.
    #[must_use]
    pub fn pause(&self) -> Duration {
        self.shared.body_pause()
    }
}

impl fmt::Debug for Body {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.incoming.fmt(f)
    }
}

impl Body {
    pub(super) fn new(incoming: Incoming, shared: Arc<Shared>) -> Self {
        Self { incoming, shared }
    }

    /// Reads the whole body into one buffer, which counts toward the listener's budget until the
    /// request has ended.
    ///
    /// # Errors
    /// The body is larger than `max`, there is no room for it, it comes too slowly, or it breaks off.
    pub async fn collect_within(mut self, max: usize) -> Result<Bytes, BodyError> {
        let declared = self.incoming.size_hint().exact();
        let declared = declared.map(|size| usize::try_from(size).unwrap_or(usize::MAX));
        if declared.is_some_and(|size| size > max) {
            return Err(self.too_large());
        }
        let mut bytes = Vec::new();
        self.grow(&mut bytes, declared.unwrap_or(0))?;
        while let Some(frame) = self.frame().await {
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            let size = bytes.len() + data.len();
            if size > max {
                return Err(self.too_large());
            }
            if size > bytes.capacity() {
                let capacity = size.max(bytes.capacity() * 2).max(BUFFER_MIN);
                self.grow(&mut bytes, capacity.min(max))?;
            }
            bytes.extend_from_slice(&data);
        }
        Ok(bytes.into())
    }

    /// Returns the progress of the body, also after it has been passed on.
    #[must_use]
    pub fn progress(&self) -> Progress {
        Progress {
            shared: self.shared.clone(),
        }
    }

    /// Reports a body that exceeds the limit.
    #[must_use]
    pub fn too_large(&self) -> BodyError {
        self.shared.ingress.metrics.note(Refusal::BodyTooLarge);
        BodyError::TooLarge
    }

    fn grow(&self, bytes: &mut Vec<u8>, capacity: usize) -> Result<(), BodyError> {
        if self.shared.charge_body(capacity).is_err() {
            self.shared.refuse(Refusal::Memory);
            return Err(BodyError::Refused(Refusal::Memory));
        }
        bytes.reserve_exact(capacity - bytes.len());
        Ok(())
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(refusal) = self.shared.refusal() {
            return Poll::Ready(Some(Err(BodyError::Refused(refusal))));
        }
        let polled = Pin::new(&mut self.incoming).poll_frame(context);
        if polled.is_pending() {
            self.shared.wait_for_body(context.waker());
        }
        let frame = ready!(polled);
        self.shared.note_body_part();
        if frame.is_none() || self.incoming.is_end_stream() {
            self.shared.finish_body();
        }
        Poll::Ready(frame.map(|frame| frame.map_err(BodyError::Broken)))
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
