//! Start and end of an entry instance: listeners, background tasks, graceful shutdown.
//!
//! All listeners are bound before any request is served, so a port in use fails
//! the start.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;

use tokio::runtime::Builder;
use tokio::runtime::Handle;
use tokio::runtime::Runtime;

use super::ListenerKind;
use super::Node;
use super::control;
use super::drain;
use super::owner_calls;
use super::report;
use crate::decide::drain::DrainEnd;
use crate::edge::HttpHandler;
use crate::edge::HttpLimits;
use crate::edge::HttpServer;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;
use crate::settings::Settings;
use crate::wire::frame::MAX_FRAME_BYTES;

/// Threads that serve the caller listener.
const CALLER_THREADS: usize = 2;
/// Threads that serve the peer listener.
const PEER_THREADS: usize = 2;
/// Threads that serve the operator listener.
const OPERATOR_THREADS: usize = 1;

/// Runs one entry instance until it has shut down.
///
/// # Errors
///
/// `Internal` if a listener, the runtime, telemetry or a signal handler can't be started.
pub fn run(mut settings: Settings) -> Result<DrainEnd> {
    let runtime = runtime().map_err(|e| internal_error("runtime", &e))?;
    let listen = &mut settings.listen;
    let caller = bind("callers", &mut listen.caller)?;
    let peer = bind("peers", &mut listen.peer)?;
    let operator = listen.operator.as_mut().map(|addr| bind("operators", addr)).transpose()?;
    let node = Node::new(settings, runtime.handle())?;
    let handle = runtime.handle();
    let start = |listener_kind, listener, threads| {
        http_server(&node, listener_kind, handle, threads)
            .start(listener)
            .map_err(|e| internal_error("server", &e))
    };
    let mut servers = vec![
        start(ListenerKind::Caller, caller, CALLER_THREADS)?,
        start(ListenerKind::Peer, peer, PEER_THREADS)?,
    ];
    if let Some(listener) = operator {
        servers.push(start(ListenerKind::Operator, listener, OPERATOR_THREADS)?);
    }
    spawn_tasks(&runtime, &node);
    log::info!("instance {} started, incarnation {}", node.settings.instance, node.incarnation);
    let end = runtime.block_on(drain::wait_for_end(&node))?;
    for stop in servers {
        stop();
    }
    node.tracer.shutdown();
    Ok(end)
}

fn http_server(
    node: &Arc<Node>,
    listener_kind: ListenerKind,
    runtime: &Handle,
    threads: usize,
) -> HttpServer {
    let limits = &node.settings.limits;
    let body_bytes = match listener_kind {
        ListenerKind::Caller | ListenerKind::Operator => limits.body_bytes,
        ListenerKind::Peer => MAX_FRAME_BYTES,
    };
    let limits = HttpLimits {
        body_bytes,
        header_count: limits.header_count,
        concurrent_requests: limits.concurrent_requests,
        head_timeout: limits.head_timeout,
        body_timeout: limits.body_timeout,
    };
    let node = Arc::clone(node);
    let handler: HttpHandler = Arc::new(move |req| {
        let node = Arc::clone(&node);
        Box::pin(node.serve(listener_kind, req))
    });
    HttpServer { handler, runtime: runtime.clone(), limits, threads }
}

fn runtime() -> io::Result<Runtime> {
    Builder::new_multi_thread().enable_all().thread_name("tamaracklead").build()
}

fn spawn_tasks(runtime: &Runtime, node: &Arc<Node>) {
    runtime.spawn(control::run(Arc::clone(node)));
    runtime.spawn(owner_calls::watch(Arc::clone(node)));
    runtime.spawn(report::metrics(Arc::clone(node)));
}

/// Binds a listener; `addr` becomes the bound address, since with port 0 the system chooses one.
fn bind(whom: &str, addr: &mut SocketAddr) -> Result<TcpListener> {
    let failed = |e| internal_error(&format!("listener for {whom} at {addr}"), &e);
    let listener = TcpListener::bind(*addr).map_err(failed)?;
    *addr = listener.local_addr().map_err(failed)?;
    log::info!("listening for {whom} at {addr}");
    Ok(listener)
}

fn internal_error(what: &str, error: &io::Error) -> Error {
    Error::new(ErrorKind::Internal, format!("{what} can't be started: {error}"))
}
