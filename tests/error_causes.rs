//! What the text of a failed call says of its cause.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use tamaracklead::edge::HttpCall;
use tamaracklead::edge::HttpClient;
use tokio::runtime::Runtime;

const CALL_LIMIT: Duration = Duration::from_secs(5);

/// A server that answers each call with these bytes and closes the connection.
fn start_server(answer: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let _ = stream.read(&mut [0; 4096]);
            let _ = stream.write_all(answer);
        }
    });
    addr
}

fn failure_of_call(addr: SocketAddr) -> String {
    let client = HttpClient::new();
    let call = HttpCall::get(addr, "/x");
    let reply = Runtime::new().unwrap().block_on(client.send(call, CALL_LIMIT));
    reply.unwrap_err().detail
}

// Guards against logs in which a connection that was closed, a response that can't be parsed and an
// address where nothing listens read the same.
#[test]
fn a_failed_call_names_what_broke_its_connection() {
    let closed = failure_of_call(start_server(b""));
    let garbled = failure_of_call(start_server(b"garbled\r\n\r\n"));
    let unused = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let refused = failure_of_call(unused);
    assert!(closed.contains("connection closed before message completed"), "{closed}");
    assert!(garbled.contains("invalid HTTP version"), "{garbled}");
    assert!(refused.contains("Connection refused"), "{refused}");
}
