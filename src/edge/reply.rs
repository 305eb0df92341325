//! HTTP response, independent of the server library.

use bytes::Bytes;
use serde::Serialize;
use tokio::sync::mpsc;

use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Problem;
use crate::wire::frame;

/// Media type of JSON responses.
const JSON: &str = "application/json";
/// Media type of error responses.
const PROBLEM_JSON: &str = "application/problem+json";
/// Media type of streams to callers.
const EVENT_STREAM: &str = "text/event-stream";
/// Media type of responses to peers.
const MESSAGE_PACK: &str = "application/msgpack";

/// Body of a response.
#[derive(Debug)]
pub enum ReplyBody {
    /// The complete body.
    Whole(Bytes),
    /// Pieces as they arrive; the body ends when the channel's sender is dropped.
    Stream(mpsc::Receiver<Bytes>),
}

/// HTTP response.
#[derive(Debug)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Media type of the body.
    pub content_type: &'static str,
    /// Headers besides the media type.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: ReplyBody,
}

impl Reply {
    /// A JSON response.
    pub fn json<T: Serialize>(status: u16, message: &T) -> Self {
        match serde_json::to_vec(message) {
            Ok(body) => Self::whole(status, JSON, Bytes::from(body)),
            Err(e) => Self::whole(500, "text/plain", Bytes::from(e.to_string())),
        }
    }

    /// A MessagePack response to a peer, with status 200.
    pub fn msgpack<T: Serialize>(message: &T) -> Self {
        match frame::encode(message) {
            Ok(body) => Self::whole(200, MESSAGE_PACK, body),
            Err(e) => Self::error(&e),
        }
    }

    /// A problem document with the status and headers of the error's response.
    pub fn error(error: &Error) -> Self {
        let problem = Problem::from(error);
        let body = serde_json::to_vec(&problem).unwrap_or_default();
        let mut reply = Self::whole(problem.status, PROBLEM_JSON, Bytes::from(body));
        if error.kind == ErrorKind::Unauthenticated {
            reply.headers.push(("www-authenticate", "Bearer".to_owned()));
        }
        if let Some(seconds) = problem.retry_after_s {
            reply.headers.push(("retry-after", seconds.to_string()));
        }
        reply
    }

    /// A response with status 200 of bytes that are already JSON.
    pub fn json_bytes(body: Bytes) -> Self {
        Self::whole(200, JSON, body)
    }

    /// A stream of server-sent events.
    pub fn event_stream(rx: mpsc::Receiver<Bytes>) -> Self {
        Self::stream(EVENT_STREAM, rx)
    }

    /// A stream of MessagePack frames to a peer.
    pub fn frame_stream(rx: mpsc::Receiver<Bytes>) -> Self {
        Self::stream(MESSAGE_PACK, rx)
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    fn whole(status: u16, content_type: &'static str, body: Bytes) -> Self {
        Self { status, content_type, headers: Vec::new(), body: ReplyBody::Whole(body) }
    }

    fn stream(content_type: &'static str, rx: mpsc::Receiver<Bytes>) -> Self {
        Self { status: 200, content_type, headers: Vec::new(), body: ReplyBody::Stream(rx) }
    }
}

impl From<Error> for Reply {
    fn from(error: Error) -> Self {
        Self::error(&error)
    }
}
