//! Body of a response that keeps a guard until it has been sent.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use super::response::AbortedBody;
use super::response::ResponseBody;

/// A body with a guard, which is dropped with it.
pub struct TrackedBody<G> {
    body: ResponseBody,
    _guard: G,
}

impl<G> TrackedBody<G> {
    /// Attaches `guard` to `body`.
    pub fn new(body: ResponseBody, guard: G) -> Self {
        Self { body, _guard: guard }
    }
}

impl<G: Unpin> Body for TrackedBody<G> {
    type Data = Bytes;
    type Error = AbortedBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AbortedBody>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
