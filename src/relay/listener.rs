//! HTTP listeners for callers, peers, readiness checks and metrics.

use std::convert::Infallible;
use std::future::pending;
use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderValue;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::Socket;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use super::accepted_stream::AcceptedStream;
use super::active_request_guard::ActiveRequestGuard;
use super::audience::Audience;
use super::buffers::Buffer;
use super::buffers::OutOfRoom;
use super::connection_activity::ConnectionActivity;
use super::connection_end::ConnectionEnd;
use super::exchange;
use super::forward;
use super::listen_sockets::BACKLOG;
use super::log_event::LogEvent;
use super::log_event::record;
use super::node::Node;
use super::passed_on;
use super::process_event::ProcessEvent;
use super::response::ResponseBody;
use super::tracked_body::TrackedBody;
use crate::daemon::Clock;
use crate::decide::buffers::BufferKind;
use crate::decide::transfer::ProgressLimit;
use crate::edge::FairStream;
use crate::edge::MeteredBody;
use crate::error::ErrorKind;
use crate::wire::frame::MAX_FRAME_BYTES;
use crate::wire::frame::decode;
use crate::wire::pass_on::PASS_ON_PATH;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Idle timeout of callers' connections while no configuration is known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Idle timeout of callers' connections during a shutdown.
const DRAIN_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which the head of a caller's request may arrive longer than the configuration allows.
const HEAD_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);
const METRICS_PATH: &str = "/metrics";
const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
const JSON_CONTENT_TYPE: &str = "application/json";
/// Number of idle times for which a caller may take nothing of a response. The system keeps much for a
/// slow caller, so that it is long before its progress shows.
const UNREAD_FACTOR: u32 = 4;
/// Interval at which a connection's idle time is checked.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time after that check in which a request that has arrived already is read.
const LAST_READ_TIME: Duration = Duration::from_millis(10);

/// Accepts connections until the process ends, or until callers' ones are no longer accepted.
pub async fn run(node: Arc<Node>, listener: &TcpListener, audience: Audience) {
    let is_closing = async {
        match audience {
            Audience::Callers => node.until_callers_are_not_accepted().await,
            Audience::Peers | Audience::Ready | Audience::Metrics => pending().await,
        }
    };
    let mut is_closing = pin!(is_closing);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut is_closing => return accept_waiting(&node, listener, audience),
        };
        match accepted {
            Ok((stream, _)) => on_accepted(&node, stream, audience),
            Err(e) => {
                node.pressure.on_accept_failed(&e);
                if audience == Audience::Callers {
                    node.on_caller_accept_failed();
                }
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Accepts the connections that wait to be accepted, which the end of the listener would reset, and ends
/// the listener.
///
/// No more are accepted than can wait, however fast others come. They are accepted from the system itself,
/// as the runtime may not know of the last ones yet.
fn accept_waiting(node: &Arc<Node>, listener: &TcpListener, audience: Audience) {
    let on_failure = |e: &io::Error| node.pressure.on_accept_failed(e);
    let listener = SockRef::from(listener);
    let to_tokio = |socket: Socket| {
        socket.set_nonblocking(true)?;
        TcpStream::from_std(socket.into())
    };
    // The queue holds one connection more than its length says; later ones come after the end.
    for _ in 0..=BACKLOG {
        match listener.accept().and_then(|(socket, _)| to_tokio(socket)) {
            Ok(stream) => on_accepted(node, stream, audience),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
            // One connection has failed; others may wait behind it.
            Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => on_failure(&e),
            Err(e) => {
                on_failure(&e);
                break;
            }
        }
    }
    // The socket is closed only when its task has ended; connections made until then would be reset.
    if let Err(e) = listener.shutdown(Shutdown::Both) {
        on_failure(&e);
    }
}

fn on_accepted(node: &Arc<Node>, stream: TcpStream, audience: Audience) {
    let is_caller = audience == Audience::Callers;
    if is_caller {
        node.on_caller_accepted();
    }
    let Some(place) = node.pressure.connections_of(audience).enter() else {
        node.pressure.on_connection_closed(ConnectionEnd::NoPlace);
        return;
    };
    let activity = Arc::new(ConnectionActivity::new(node, place, is_caller));
    tokio::spawn(serve_connection(Arc::clone(node), stream, audience, activity));
}

async fn serve_connection(
    node: Arc<Node>,
    stream: TcpStream,
    audience: Audience,
    activity: Arc<ConnectionActivity>,
) {
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!(
            "connection of {audience:?}: TCP_NODELAY can't be set, going on without it: {e}"
        );
    }
    let stream = FairStream::new(stream);
    let service = {
        let (node, activity) = (Arc::clone(&node), Arc::clone(&activity));
        let meter = stream.meter().clone();
        service_fn(move |req: Request<Incoming>| {
            let (node, activity) = (Arc::clone(&node), Arc::clone(&activity));
            let mut req = req.map(|body| MeteredBody::new(body, meter.clone()));
            async move {
                activity.on_request(req.version(), !req.body().is_end_stream());
                req.extensions_mut().insert(Arc::clone(&activity));
                let unfinished = has_response_to_finish(audience, &req)
                    .then(|| node.unfinished_responses.enter());
                let guard = ActiveRequestGuard::new(&activity, unfinished);
                let response = serve(&node, req, audience).await;
                Ok::<_, Infallible>(response.map(|body| TrackedBody::new(body, guard)))
            }
        })
    };
    let io = TokioIo::new(AcceptedStream::new(stream, Arc::clone(&activity)));
    let mut connection = audience.connection_builder().serve_connection(io, service);
    let mut is_found_idle = false;
    loop {
        // Only callers' connections are closed as idle; the others need no timer.
        let interval = if is_found_idle { LAST_READ_TIME } else { IDLE_CHECK_INTERVAL };
        let idle_check = async {
            match audience {
                Audience::Callers => sleep(interval).await,
                Audience::Peers | Audience::Ready | Audience::Metrics => pending().await,
            }
        };
        let end = tokio::select! {
            // A request that has arrived is read before the connection may count as idle.
            biased;
            end = &mut connection => Some(end),
            () = activity.until_evicted() => {
                node.pressure.on_connection_closed(ConnectionEnd::Evicted);
                return;
            }
            () = idle_check => None,
        };
        match end {
            None if activity.is_unread_for(configured_idle_limit(&node) * UNREAD_FACTOR) => {
                node.pressure.on_connection_closed(ConnectionEnd::Unread);
                connection.into_parts().io.into_inner().reset();
                return;
            }
            None if !is_idle_expired(&node, &activity) => is_found_idle = false,
            None if !is_found_idle => is_found_idle = true,
            None if is_head_late(&node, &activity) => {
                node.pressure.on_connection_closed(ConnectionEnd::LateHead);
                break;
            }
            None => Pin::new(&mut connection).graceful_shutdown(),
            Some(Ok(())) => break,
            Some(Err(e)) => {
                log::debug!("connection of {audience:?} ended: {e}");
                // Its client would take the connection's end as that of the body.
                if activity.lacks_chunks() {
                    connection.into_parts().io.into_inner().reset();
                    return;
                }
                break;
            }
        }
    }
    let stream = connection.into_parts().io.into_inner();
    tokio::select! {
        () = stream.close() => {}
        () = activity.until_evicted() => node.pressure.on_connection_closed(ConnectionEnd::Evicted),
    }
}

/// Whether a shutdown waits for the response: to a caller, or to an instance that passes a caller's
/// request on.
fn has_response_to_finish(audience: Audience, req: &Request<MeteredBody>) -> bool {
    match audience {
        Audience::Callers => true,
        Audience::Peers => req.uri().path() == PASS_ON_PATH,
        Audience::Ready | Audience::Metrics => false,
    }
}

/// Whether a caller's connection is to be closed as idle, or for a head that doesn't end.
fn is_idle_expired(node: &Node, activity: &ConnectionActivity) -> bool {
    activity.is_idle_for(idle_limit(node)) || is_head_late(node, activity)
}

/// Time for which a caller's connection may be idle.
fn idle_limit(node: &Node) -> Duration {
    if node.is_draining() { DRAIN_IDLE_TIMEOUT } else { configured_idle_limit(node) }
}

fn configured_idle_limit(node: &Node) -> Duration {
    node.current_config().map_or(DEFAULT_IDLE_TIMEOUT, |config| config.idle_timeout)
}

/// Whether the head of a caller's request has been arriving for too long.
fn is_head_late(node: &Node, activity: &ConnectionActivity) -> bool {
    let limit = node.current_config().and_then(|config| config.head_timeout);
    let limit = limit.map_or_else(|| idle_limit(node), |limit| limit + HEAD_TIMEOUT_MARGIN);
    activity.is_head_late(limit)
}

async fn serve(
    node: &Arc<Node>,
    req: Request<MeteredBody>,
    audience: Audience,
) -> Response<ResponseBody> {
    let mut response = match audience {
        Audience::Callers => forward::serve(Arc::clone(node), req).await,
        Audience::Peers => serve_peer(node, req).await,
        Audience::Ready => serve_ready(node, &req),
        Audience::Metrics => serve_metrics(node, &req),
    };
    if node.is_draining() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn serve_ready(node: &Node, req: &Request<MeteredBody>) -> Response<ResponseBody> {
    if !node.protocol.is_ready_path(req.uri().path()) {
        return response(StatusCode::NOT_FOUND, Bytes::new());
    }
    let report = node.readiness_report();
    let status = if report.ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    if report.is_plain() {
        return response(status, Bytes::new());
    }
    let body = serde_json::to_vec(&report).unwrap_or_default();
    let mut response = response(status, Bytes::from(body));
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(JSON_CONTENT_TYPE));
    response
}

fn serve_metrics(node: &Node, req: &Request<MeteredBody>) -> Response<ResponseBody> {
    if req.uri().path() != METRICS_PATH {
        return response(StatusCode::NOT_FOUND, Bytes::new());
    }
    let in_flight = node.in_flight.load(Ordering::Relaxed);
    let text = match node.metrics.openmetrics_text(node, in_flight) {
        Ok(text) => text,
        Err(e) => {
            record(&ProcessEvent::MetricsOff { detail: &e.to_string() });
            return response(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new());
        }
    };
    let mut response = response(StatusCode::OK, Bytes::from(text));
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(METRICS_CONTENT_TYPE));
    response
}

async fn serve_peer(node: &Arc<Node>, req: Request<MeteredBody>) -> Response<ResponseBody> {
    let path = req.uri().path().to_owned();
    let activity = req.extensions().get::<Arc<ConnectionActivity>>().map(Arc::clone);
    let body = match read_peer_body(node, req).await {
        Ok(body) => {
            if let Some(activity) = activity {
                activity.on_body_read();
            }
            body
        }
        Err(detail) => {
            record(&LogEvent::PeerRefused { path: &path, detail: &detail });
            return response(StatusCode::BAD_REQUEST, Bytes::new());
        }
    };
    if path == PASS_ON_PATH {
        return serve_passed_on(node, &body).await;
    }
    match exchange::serve(node, &path, &body).await {
        Ok(bytes) => response(StatusCode::OK, bytes),
        Err(e) if e.kind == ErrorKind::NotFound => response(StatusCode::NOT_FOUND, Bytes::new()),
        Err(e) => {
            record(&LogEvent::PeerRefused { path: &path, detail: &e.to_string() });
            response(StatusCode::BAD_REQUEST, Bytes::new())
        }
    }
}

async fn serve_passed_on(node: &Arc<Node>, body: &[u8]) -> Response<ResponseBody> {
    let served = match decode(body) {
        Ok(message) => passed_on::serve(node, message).await,
        Err(e) => Err(e),
    };
    served.unwrap_or_else(|e| {
        record(&LogEvent::PeerRefused { path: PASS_ON_PATH, detail: &e.to_string() });
        response(StatusCode::BAD_REQUEST, Bytes::new())
    })
}

async fn read_peer_body(node: &Node, req: Request<MeteredBody>) -> Result<Bytes, String> {
    let clock = Clock::start();
    let mut limit = ProgressLimit::new(clock.now());
    let mut body = Limited::new(req.into_body(), MAX_FRAME_BYTES);
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let mut buffer = Buffer::open(&node.pressure.buffers, BufferKind::Request);
    let no_room = |OutOfRoom| {
        node.pressure.on_room_refused("");
        "no room for the body".to_owned()
    };
    loop {
        // A body of parts that are always there would never be timed out.
        let time_left = limit.time_left(clock.now());
        let frame = tokio::select! {
            frame = timeout(time_left, body.frame()) => frame.ok(),
            () = buffer.until_evicted() => return Err(no_room(OutOfRoom)),
        };
        let stalled = || "the body stalls".to_owned();
        match frame.filter(|_| !time_left.is_zero()).ok_or_else(stalled)? {
            None => return buffer.into_whole().map_err(no_room),
            Some(Err(e)) => return Err(e.to_string()),
            Some(Ok(frame)) => {
                let data = frame.into_data().unwrap_or_default();
                limit.on_bytes(clock.now(), data.len());
                buffer.append(&data, MAX_FRAME_BYTES).await.map_err(no_room)?;
            }
        }
    }
}

fn response(status: StatusCode, body: Bytes) -> Response<ResponseBody> {
    let body = Full::new(body).map_err(|never| match never {}).boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}
