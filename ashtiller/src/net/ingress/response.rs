//! A response that ends its request when it is dropped.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use hyper::body::{Body, Frame, SizeHint};

use super::state::Shared;

/// Body of a response; its request holds its part of the budget until this is dropped.
pub struct GuardedResponse<B> {
    body: B,
    shared: Arc<Shared>,
}

impl<B> GuardedResponse<B> {
    pub(super) fn new(body: B, shared: Arc<Shared>) -> Self {
        Self { body, shared }
    }
}

impl<B> Drop for GuardedResponse<B> {
    fn drop(&mut self) {
        self.shared.end_request();
    }
}

impl<B: Body + Unpin> Body for GuardedResponse<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
