//! HTTP server that reads each request completely, within limits, before handling it.
//!
//! Reading and writing happen on the server's own threads; the handler runs on the
//! given runtime, so that slow senders don't delay decisions.

use std::collections::HashMap;
use std::future::poll_fn;
use std::io;
use std::net::TcpListener;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use futures_util::stream;
use socket2::SockRef;
use tokio::runtime::Handle;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::time::timeout;
use xitca_web::App;
use xitca_web::WebContext;
use xitca_web::body::Body;
use xitca_web::body::Frame;
use xitca_web::body::RequestBody;
use xitca_web::body::ResponseBody;
use xitca_web::body::StreamBody;
use xitca_web::error::Error as WebError;
use xitca_web::http::HeaderMap;
use xitca_web::http::HeaderValue;
use xitca_web::http::StatusCode;
use xitca_web::http::WebResponse;
use xitca_web::http::header::CONTENT_LENGTH;
use xitca_web::http::header::CONTENT_TYPE;
use xitca_web::http::header::TRANSFER_ENCODING;
use xitca_web::service::fn_service;

use super::Reply;
use super::ReplyBody;
use super::Request;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;
use crate::wire::caller::TICKET_HEADER;

/// Time after which an idle connection is closed; longer than this system's clients
/// keep theirs, so that none sends on a connection that is being closed.
const KEEP_ALIVE: Duration = Duration::from_secs(30);
/// Largest request head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Maximum number of headers; the settings may allow fewer.
const MAX_HEADERS: usize = 128;

/// Limits on what a listener reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpLimits {
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Maximum number of headers of a request.
    pub header_count: usize,
    /// Maximum number of requests in progress at once.
    pub concurrent_requests: usize,
    /// Time within which a request's head must arrive.
    pub head_timeout: Duration,
    /// Time within which a request's body must arrive.
    pub body_timeout: Duration,
}

/// Future of a response.
pub type ReplyFuture = Pin<Box<dyn Future<Output = Reply> + Send>>;
/// Handles each complete request.
pub type HttpHandler = Arc<dyn Fn(Request) -> ReplyFuture + Send + Sync>;
/// Stops a running server gracefully: once no request is in progress.
pub type StopServer = Box<dyn FnOnce() + Send>;

/// Configuration of a server for one listener.
#[derive(Clone)]
pub struct HttpServer {
    /// Handles each complete request.
    pub handler: HttpHandler,
    /// Runtime that the handler runs on.
    pub runtime: Handle,
    /// Limits on what the listener reads.
    pub limits: HttpLimits,
    /// Number of threads that read and write.
    pub threads: usize,
}

impl HttpServer {
    /// Starts serving on threads of the server's own.
    ///
    /// # Errors
    ///
    /// The system's error if the server can't be started.
    pub fn start(self, listener: TcpListener) -> io::Result<StopServer> {
        listener.set_nonblocking(true)?;
        // Accepted connections inherit TCP_NODELAY; without it each small piece of a
        // stream waits for the acknowledgement of the previous one.
        SockRef::from(&listener).set_tcp_nodelay(true)?;
        let addr = listener.local_addr()?;
        let limits = self.limits;
        let threads = self.threads;
        let permits = Arc::new(Semaphore::new(limits.concurrent_requests));
        let mut server = App::new()
            .with_state(ServerState { server: self, permits })
            .at("/{*}", fn_service(handle_request))
            .serve()
            .disable_signal()
            .worker_threads(threads)
            .keep_alive_timeout(KEEP_ALIVE)
            .request_head_timeout(limits.head_timeout)
            .max_read_buf_size::<MAX_HEAD_BYTES>()
            .max_request_headers::<MAX_HEADERS>()
            .listen(listener)?
            .run();
        let handle = server.handle()?;
        std::thread::spawn(move || {
            if let Err(e) = server.wait() {
                log::error!("HTTP server at {addr} failed and no longer accepts requests: {e}");
            }
        });
        Ok(Box::new(move || handle.stop(true)))
    }
}

/// State of a running server, with a permit for each further request.
#[derive(Clone)]
struct ServerState {
    server: HttpServer,
    permits: Arc<Semaphore>,
}

async fn handle_request(
    mut cx: WebContext<'_, ServerState>,
) -> std::result::Result<WebResponse, WebError> {
    let ServerState { server, permits } = cx.state().clone();
    let Ok(permit) = permits.try_acquire_owned() else {
        let count = server.limits.concurrent_requests;
        let error = Error::new(ErrorKind::Overloaded, format!("{count} requests in progress"));
        let ticketed = cx.req().headers().contains_key(TICKET_HEADER);
        return Ok(to_web_response(refusal(error, ticketed), None));
    };
    let (parts, rest) = cx.take_request().into_parts();
    let from = *rest.socket_addr();
    let headers = parts
        .headers
        .iter()
        .filter_map(|(name, value)| {
            Some((name.as_str().to_owned(), value.to_str().ok()?.to_owned()))
        })
        .collect::<HashMap<_, _>>();
    let (_, body) = rest.replace_body(());
    let ticketed = headers.contains_key(TICKET_HEADER);
    let reply = match read_request(server.limits, &parts.headers, body).await {
        Ok(body) => {
            let req = Request {
                from,
                method: parts.method.as_str().to_owned(),
                path: parts.uri.path().to_owned(),
                query: parts.uri.query().unwrap_or_default().to_owned(),
                headers,
                body,
            };
            run_handler(&server, req).await
        }
        Err(error) => refusal(error, ticketed),
    };
    Ok(to_web_response(reply, Some(permit)))
}

/// Refuses a request that wasn't read; if it has a ticket, an earlier attempt may have run.
fn refusal(error: Error, ticketed: bool) -> Reply {
    let error = if ticketed { error.may_have_run() } else { error };
    Reply::error(&error).header("connection", "close")
}

async fn run_handler(server: &HttpServer, req: Request) -> Reply {
    let task = server.runtime.spawn((server.handler)(req));
    task.await.unwrap_or_else(|e| {
        Reply::error(&Error::new(ErrorKind::Internal, format!("request handler failed: {e}")))
    })
}

async fn read_request(limits: HttpLimits, headers: &HeaderMap, body: RequestBody) -> Result<Bytes> {
    if headers.len() > limits.header_count {
        let detail = format!("{} headers exceed {}", headers.len(), limits.header_count);
        return Err(Error::new(ErrorKind::TooLarge, detail));
    }
    // The server library reports no error when a sender closes early, so only a
    // Content-Length tells a complete body from a truncated one.
    if headers.contains_key(TRANSFER_ENCODING) {
        let detail = "the body needs a Content-Length in place of a Transfer-Encoding";
        return Err(Error::new(ErrorKind::Malformed, detail));
    }
    let body = read_body(limits, body).await?;
    let announced = headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok()?.parse().ok());
    if announced.is_some_and(|len: usize| len != body.len()) {
        let detail = format!("body broke off after {} bytes", body.len());
        return Err(Error::new(ErrorKind::Malformed, detail));
    }
    Ok(body)
}

async fn read_body(limits: HttpLimits, body: RequestBody) -> Result<Bytes> {
    match timeout(limits.body_timeout, collect_body(body, limits.body_bytes)).await {
        Ok(body) => body,
        Err(_) => {
            let detail = format!("body took over {} ms", limits.body_timeout.as_millis());
            Err(Error::new(ErrorKind::SlowSender, detail))
        }
    }
}

async fn collect_body(mut body: RequestBody, max_bytes: usize) -> Result<Bytes> {
    let mut buf = BytesMut::new();
    while let Some(frame) = poll_fn(|cx| Pin::new(&mut body).poll_frame(cx)).await {
        let frame =
            frame.map_err(|e| Error::new(ErrorKind::Malformed, format!("body broke off: {e}")))?;
        let Frame::Data(data) = frame else { continue };
        if buf.len() + data.len() > max_bytes {
            let detail = format!("body exceeds {max_bytes} bytes");
            return Err(Error::new(ErrorKind::TooLarge, detail));
        }
        buf.extend_from_slice(&data);
    }
    Ok(buf.freeze())
}

/// Converts a reply for the server library. `permit` is released at the end of a streamed
/// body, and at once for a complete one.
fn to_web_response(reply: Reply, permit: Option<OwnedSemaphorePermit>) -> WebResponse {
    let body = match reply.body {
        ReplyBody::Whole(bytes) => ResponseBody::bytes(bytes),
        ReplyBody::Stream(mut rx) => {
            let pieces = stream::poll_fn(move |cx| {
                let _held = &permit;
                rx.poll_recv(cx).map(|piece| piece.map(|data| Ok::<_, WebError>(Frame::Data(data))))
            });
            ResponseBody::boxed(StreamBody::new(pieces))
        }
    };
    let mut response = WebResponse::new(body);
    *response.status_mut() =
        StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(reply.content_type));
    for (name, value) in reply.headers {
        if let Ok(value) = HeaderValue::from_str(&value) {
            headers.insert(name, value);
        }
    }
    response
}
