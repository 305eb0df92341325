//! HTTP server that every stand-in shares.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use tamaracklead::edge::HttpHandler;
use tamaracklead::edge::HttpLimits;
use tamaracklead::edge::HttpServer;
use tamaracklead::edge::Reply;
use tamaracklead::edge::Request;
use tamaracklead::error::Error;
use tamaracklead::error::ErrorKind;

/// HTTP limits; wide enough for everything that tests send.
const LIMITS: HttpLimits = HttpLimits {
    header_count: 128,
    concurrent_requests: 4096,
    body_bytes: 16 * 1024 * 1024,
    head_timeout: Duration::from_secs(10),
    body_timeout: Duration::from_secs(10),
};

/// Request handler of a stand-in.
pub trait StandIn: Send + Sync + 'static {
    /// Handles one request.
    fn handle(self: Arc<Self>, req: Request) -> impl Future<Output = Reply> + Send;
}

/// Serves a stand-in at `addr` until the process is killed.
///
/// # Errors
///
/// Why it can't start.
pub fn run<S: StandIn>(addr: SocketAddr, stand_in: S) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .map_err(|e| e.to_string())?;
    let listener = TcpListener::bind(addr).map_err(|e| format!("{addr}: {e}"))?;
    let stand_in = Arc::new(stand_in);
    let handler: HttpHandler = Arc::new(move |req| Box::pin(Arc::clone(&stand_in).handle(req)));
    let server =
        HttpServer { handler, runtime: runtime.handle().clone(), limits: LIMITS, threads: 1 };
    let _stop = server.start(listener).map_err(|e| e.to_string())?;
    runtime.block_on(std::future::pending::<()>());
    Ok(())
}

/// Response to a method and path that the stand-in doesn't serve.
pub fn no_such_path(req: &Request) -> Reply {
    let detail = format!("this stand-in doesn't serve {} {}", req.method, req.path);
    Reply::error(&Error::new(ErrorKind::NotFound, detail))
}

/// Response to a body that can't be decoded.
pub fn malformed(error: &serde_json::Error) -> Reply {
    Reply::error(&Error::new(ErrorKind::Malformed, error.to_string()))
}
