//! Body of a message, which counts the content that is taken from it.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use hyper::Error;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;

use super::ContentMeter;

/// Body that arrives on a connection with a meter.
#[derive(Debug)]
pub struct MeteredBody {
    body: Incoming,
    meter: ContentMeter,
}

impl MeteredBody {
    /// The body of a message whose head is complete.
    pub fn new(body: Incoming, meter: ContentMeter) -> Self {
        meter.on_head();
        Self { body, meter }
    }
}

impl Body for MeteredBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if let Some(Ok(frame)) = &frame
            && let Some(data) = frame.data_ref()
        {
            self.meter.on_content(data.len());
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
