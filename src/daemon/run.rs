//! The life of one entry instance: listeners, tasks, signals, shutdown.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;

use tokio::runtime::Builder;
use tokio::runtime::Handle;
use tokio::runtime::Runtime;

use super::Node;
use super::Surface;
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

/// Server threads of the listener for callers.
const CALLER_THREADS: usize = 2;
/// Server threads of the listener for peers.
const PEER_THREADS: usize = 2;
/// Server threads of the listener for operators.
const OPERATOR_THREADS: usize = 1;

/// Runs one entry instance until it has shut down.
///
/// # Errors
///
/// `Internal` if a listener or the runtime can't be started.
pub fn run(mut settings: Settings) -> Result<DrainEnd> {
    let runtime = runtime().map_err(|e| internal("runtime", &e))?;
    let listen = &mut settings.listen;
    let caller = bind("callers", &mut listen.caller)?;
    let peer = bind("peers", &mut listen.peer)?;
    let operator = listen.operator.as_mut().map(|addr| bind("operators", addr)).transpose()?;
    let node = Node::new(settings, runtime.handle())?;
    let handle = runtime.handle();
    let start = |surface, listener, threads| {
        server(&node, surface, handle, threads).start(listener).map_err(|e| internal("server", &e))
    };
    let mut servers = vec![
        start(Surface::Caller, caller, CALLER_THREADS)?,
        start(Surface::Peer, peer, PEER_THREADS)?,
    ];
    if let Some(listener) = operator {
        servers.push(start(Surface::Operator, listener, OPERATOR_THREADS)?);
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

fn server(node: &Arc<Node>, surface: Surface, runtime: &Handle, threads: usize) -> HttpServer {
    let limits = &node.settings.limits;
    let body_bytes = match surface {
        Surface::Caller | Surface::Operator => limits.body_bytes,
        Surface::Peer => MAX_FRAME_BYTES,
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
        Box::pin(node.serve(surface, req))
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

/// Binds a listener; `addr` becomes the address it got, as port 0 lets the system choose.
fn bind(whom: &str, addr: &mut SocketAddr) -> Result<TcpListener> {
    let failed = |e| internal(&format!("listener for {whom} at {addr}"), &e);
    let listener = TcpListener::bind(*addr).map_err(failed)?;
    *addr = listener.local_addr().map_err(failed)?;
    log::info!("listening for {whom} at {addr}");
    Ok(listener)
}

fn internal(what: &str, error: &io::Error) -> Error {
    Error::new(ErrorKind::Internal, format!("{what}: {error}"))
}
