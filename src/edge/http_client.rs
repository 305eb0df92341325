//! HTTP client that bounds the size of responses and classifies how calls fail.
//!
//! A failure says how far the call got, from which the decision code infers whether
//! the request may have run.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;
use tokio::time::Instant;
use tokio::time::timeout;

use super::ContentMeter;
use super::MeteredBody;
use super::fair_connector::FairConnector;
use crate::decide::dispatch_failure::DispatchFailure;
use crate::decide::transfer::ProgressLimit;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::WithCauses;
use crate::names::Timestamp;

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which an idle pooled connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Bytes that are read at a time, and the longest head of a response.
const MAX_BUF_BYTES: usize = 128 * 1024;
/// Largest response body that is collected in memory, in bytes.
const MAX_REPLY_BYTES: usize = 8 * 1024 * 1024;
/// Largest one whose time is limited as a whole, in bytes: reports, cache listings, single items.
const MAX_SHORT_REPLY_BYTES: usize = 2 * 1024 * 1024;

/// A call that failed: how it ended, and what was observed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallFailure {
    /// How the call ended.
    pub end: DispatchFailure,
    /// What was observed, for logs and error messages.
    pub detail: String,
}

impl CallFailure {
    /// Converts the failure into an error of this kind.
    pub fn into_error(self, kind: ErrorKind) -> Error {
        Error::new(kind, self.detail)
    }
}

/// Response whose body hasn't been read yet.
#[derive(Debug)]
pub struct HttpReply {
    /// HTTP status code.
    pub status: StatusCode,
    headers: HeaderMap,
    body: MeteredBody,
}

impl HttpReply {
    /// All headers.
    pub fn headers(&self) -> &HeaderMap {
        &self.headers
    }

    /// Value of a header; `None` if it is absent or isn't text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Reads the next piece of the body; `None` at its end.
    ///
    /// # Errors
    ///
    /// `ResetAfterSend` if the connection broke.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, CallFailure> {
        loop {
            let Some(frame) = self.body.frame().await else { return Ok(None) };
            let frame = frame.map_err(|e| CallFailure {
                end: DispatchFailure::ResetAfterSend,
                detail: format!("response broke off: {}", WithCauses(&e)),
            })?;
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
    }

    /// Reads the whole body into memory, which must take no longer than `wait`.
    ///
    /// # Errors
    ///
    /// `TimedOut` if it does, `Failed` if it has more than 2 MiB, and as for [`Self::read_body`].
    pub async fn read_body_within(self, wait: Duration) -> Result<Bytes, CallFailure> {
        timeout(wait, self.read_body_up_to(MAX_SHORT_REPLY_BYTES)).await.unwrap_or_else(|_| {
            let detail = format!("response isn't complete in {} ms", wait.as_millis());
            Err(CallFailure { end: DispatchFailure::TimedOut, detail })
        })
    }

    /// Reads the whole body into memory, however long it takes as long as it goes on coming.
    ///
    /// # Errors
    ///
    /// `TimedOut` if it stalls, and as for [`Self::read_body`].
    pub async fn read_body_in_progress(mut self) -> Result<Bytes, CallFailure> {
        let began = Instant::now();
        let now = || Timestamp::ZERO + began.elapsed();
        let mut limit = ProgressLimit::new(now());
        let mut buf = BytesMut::new();
        loop {
            // A body of parts that are always there would never be timed out.
            let time_left = limit.time_left(now());
            let read = timeout(time_left, self.chunk()).await;
            let read = read.ok().filter(|_| !time_left.is_zero());
            let stalled = || CallFailure {
                end: DispatchFailure::TimedOut,
                detail: format!("response stalls after {} bytes", buf.len()),
            };
            let Some(data) = read.unwrap_or_else(|| Err(stalled()))? else {
                return Ok(buf.freeze());
            };
            limit.on_bytes(now(), data.len());
            append(&mut buf, &data, MAX_REPLY_BYTES)?;
        }
    }

    /// Reads the whole body into memory.
    ///
    /// # Errors
    ///
    /// `ResetAfterSend` if the connection broke, `Failed` if the body is too large.
    pub async fn read_body(self) -> Result<Bytes, CallFailure> {
        self.read_body_up_to(MAX_REPLY_BYTES).await
    }

    async fn read_body_up_to(mut self, max: usize) -> Result<Bytes, CallFailure> {
        let mut buf = BytesMut::new();
        while let Some(data) = self.chunk().await? {
            append(&mut buf, &data, max)?;
        }
        Ok(buf.freeze())
    }
}

/// Appends a piece of a body, unless it becomes too large.
fn append(buf: &mut BytesMut, data: &[u8], max: usize) -> Result<(), CallFailure> {
    if buf.len() + data.len() > max {
        let detail = format!("response exceeds {max} bytes");
        return Err(CallFailure { end: DispatchFailure::Failed, detail });
    }
    buf.extend_from_slice(data);
    Ok(())
}

/// One request to one address.
#[derive(Clone, Debug)]
pub struct HttpCall {
    /// Method.
    pub method: Method,
    /// Address of the server.
    pub addr: SocketAddr,
    /// Path and query.
    pub path: String,
    /// Headers besides those that the client sets.
    pub headers: Vec<(&'static str, String)>,
    /// Body, possibly empty.
    pub body: Bytes,
}

impl HttpCall {
    /// A `GET` request.
    pub fn get(addr: SocketAddr, path: impl Into<String>) -> Self {
        Self::new(Method::GET, addr, path.into(), Bytes::new())
    }

    /// A `POST` request.
    pub fn post(addr: SocketAddr, path: impl Into<String>, body: Bytes) -> Self {
        Self::new(Method::POST, addr, path.into(), body)
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    fn new(method: Method, addr: SocketAddr, path: String, body: Bytes) -> Self {
        Self { method, addr, path, headers: Vec::new(), body }
    }
}

/// HTTP client with a connection pool that its clones share.
#[derive(Clone, Debug)]
pub struct HttpClient {
    pooled: Client<FairConnector, Full<Bytes>>,
    unpooled: Client<FairConnector, Full<Bytes>>,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

impl HttpClient {
    /// Creates a client with an empty pool.
    pub fn new() -> Self {
        Self::with_idle_timeout(IDLE_TIMEOUT)
    }

    /// Creates a client that closes pooled connections which are idle for `idle_timeout`.
    pub fn with_idle_timeout(idle_timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        // As for an outgoing socket: a listener may still bind the port that the system chooses.
        connector.set_reuse_address(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let connector = FairConnector::new(connector);
        let pooled = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(idle_timeout)
            .pool_timer(TokioTimer::new())
            .http1_max_buf_size(MAX_BUF_BYTES)
            .build(connector.clone());
        // A call that must not be repeated gets a connection of its own, so that the
        // client doesn't resend it when a pooled connection turns out to be closed.
        let unpooled = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .retry_canceled_requests(false)
            .http1_max_buf_size(MAX_BUF_BYTES)
            .build(connector);
        Self { pooled, unpooled }
    }

    /// Sends a call that may be repeated; `wait` bounds the time to the response's head.
    ///
    /// # Errors
    ///
    /// How the call ended, if it got no response head.
    pub async fn send(&self, call: HttpCall, wait: Duration) -> Result<HttpReply, CallFailure> {
        Self::run(&self.pooled, call, wait).await
    }

    /// Sends a call at most once; `wait` bounds the time to the response's head.
    ///
    /// # Errors
    ///
    /// How the call ended, if it got no response head.
    pub async fn send_once(
        &self,
        call: HttpCall,
        wait: Duration,
    ) -> Result<HttpReply, CallFailure> {
        Self::run(&self.unpooled, call, wait).await
    }

    async fn run(
        client: &Client<FairConnector, Full<Bytes>>,
        call: HttpCall,
        wait: Duration,
    ) -> Result<HttpReply, CallFailure> {
        let target = format!("http://{}{}", call.addr, call.path);
        let mut builder = Request::builder().method(call.method).uri(&target);
        for (name, value) in call.headers {
            builder = builder.header(name, value);
        }
        let req = builder.body(Full::new(call.body)).map_err(|e| CallFailure {
            end: DispatchFailure::ResetBeforeSend,
            detail: format!("request to {target} can't be made: {e}"),
        })?;
        match timeout(wait, client.request(req)).await {
            Ok(Ok(response)) => {
                let (mut parts, body) = response.into_parts();
                let meter = parts.extensions.remove::<ContentMeter>().unwrap_or_default();
                let body = MeteredBody::new(body, meter);
                Ok(HttpReply { status: parts.status, headers: parts.headers, body })
            }
            Ok(Err(e)) if e.is_connect() => Err(CallFailure {
                end: DispatchFailure::ConnectRefused,
                detail: format!("no connection to {}: {}", call.addr, WithCauses(&e)),
            }),
            Ok(Err(e)) => Err(CallFailure {
                end: DispatchFailure::ResetAfterSend,
                detail: format!("connection to {} broke: {}", call.addr, WithCauses(&e)),
            }),
            Err(_) => Err(CallFailure {
                end: DispatchFailure::TimedOut,
                detail: format!("no response from {} in {} ms", call.addr, wait.as_millis()),
            }),
        }
    }
}
