//! The life of one entry instance: listeners, tasks, signals, shutdown.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use tokio::runtime::Builder;
use tokio::runtime::Handle;
use tokio::runtime::Runtime;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use super::DrainEnd;
use super::Node;
use super::Surface;
use super::drain::drain;
use super::owner_calls;
use super::refresh;
use super::report;
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
/// Longest wait for work in progress when the settings name none.
const DEFAULT_HARD_LIMIT: Duration = Duration::from_secs(24 * 3600);

/// Runs one entry instance until it has shut down.
///
/// # Errors
///
/// `Internal` if a listener or the runtime can't be started.
pub fn run(settings: Settings) -> Result<DrainEnd> {
    let runtime = runtime().map_err(|e| internal("runtime", &e))?;
    let node = Node::new(settings, runtime.handle())?;
    let listen = node.settings.listen.clone();
    let caller = bind("callers", listen.caller)?;
    let peer = bind("peers", listen.peer)?;
    let operator = listen.operator.map(|addr| bind("operators", addr)).transpose()?;
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
    let end = runtime.block_on(wait_for_end(&node))?;
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
    runtime.spawn(refresh::configuration(Arc::clone(node)));
    runtime.spawn(refresh::listing(Arc::clone(node)));
    runtime.spawn(refresh::heartbeats(Arc::clone(node)));
    runtime.spawn(owner_calls::watch(Arc::clone(node)));
    runtime.spawn(report::metrics(Arc::clone(node)));
}

fn bind(whom: &str, addr: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(addr).map_err(|e| internal(&format!("listener for {whom} at {addr}"), &e))
}

async fn wait_for_end(node: &Arc<Node>) -> Result<DrainEnd> {
    let mut terminate = listen_to(SignalKind::terminate())?;
    let mut interrupt = listen_to(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let limit = node.settings.shutdown.hard_limit.unwrap_or(DEFAULT_HARD_LIMIT);
    let end = tokio::select! {
        end = drain(node, limit) => end,
        _ = terminate.recv() => DrainEnd::CutOff(node.in_flight.count()),
        _ = interrupt.recv() => DrainEnd::CutOff(node.in_flight.count()),
    };
    match end {
        DrainEnd::Finished => log::info!("everything in progress was finished"),
        DrainEnd::CutOff(count) => log::warn!("{count} in progress cut off"),
    }
    Ok(end)
}

fn listen_to(kind: SignalKind) -> Result<Signal> {
    signal(kind).map_err(|e| internal("signal handler", &e))
}

fn internal(what: &str, error: &io::Error) -> Error {
    Error::new(ErrorKind::Internal, format!("{what}: {error}"))
}
