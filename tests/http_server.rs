//! Socket options of the HTTP server.

use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use socket2::SockRef;
use tamaracklead::edge::HttpHandler;
use tamaracklead::edge::HttpLimits;
use tamaracklead::edge::HttpServer;
use tamaracklead::edge::Reply;

#[test]
fn connections_have_tcp_nodelay_so_that_streamed_tokens_are_not_delayed() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let same_socket = listener.try_clone().unwrap();
    let handler: HttpHandler = Arc::new(|_| Box::pin(async { Reply::json(200, &()) }));
    let limits = HttpLimits {
        body_bytes: 1024,
        header_count: 16,
        concurrent_requests: 16,
        head_timeout: Duration::from_secs(1),
        body_timeout: Duration::from_secs(1),
    };
    let server = HttpServer { handler, runtime: runtime.handle().clone(), limits, threads: 1 };
    let stop = server.start(listener).unwrap();
    // Accepted connections inherit the option from the listening socket.
    assert!(SockRef::from(&same_socket).tcp_nodelay().unwrap());
    stop();
}
