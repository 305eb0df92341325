//! Calls to replicas for reports and orders.

use std::net::SocketAddr;
use std::time::Duration;

use super::ReplicaCall;
use super::log_event::LogEvent;
use super::log_event::record;
use super::node::Node;
use super::replica_signals;
use crate::decide::traffic::Replica;
use crate::edge::HttpCall;
use crate::edge::HttpReply;
use crate::names::BackendName;

/// Timeout of a call to a replica for a report or order.
pub const REPLICA_CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Calls a replica and takes note of what the head of its response signals; `None` if it has none
/// in time.
pub async fn call_replica(
    node: &Node,
    replica: &BackendName,
    call: ReplicaCall,
) -> Option<HttpReply> {
    let (addr, started_ms) = node
        .replicas()
        .get(replica)
        .map(|known: &Replica| (known.entry.addr, known.entry.started_ms))?;
    call_replica_at(node, replica, addr, started_ms, call).await
}

/// The same for a replica that may be listed no more, in the start `started_ms`, at its address.
pub async fn call_replica_at(
    node: &Node,
    replica: &BackendName,
    addr: SocketAddr,
    started_ms: u64,
    call: ReplicaCall,
) -> Option<HttpReply> {
    let http_call = HttpCall {
        method: call.method,
        addr,
        path: call.path,
        headers: call.headers,
        body: call.body,
    };
    let sent_at = node.now();
    match node.http.send(http_call, REPLICA_CALL_TIMEOUT).await {
        Ok(reply) => {
            let head = node.protocol.decode_response_head(reply.status, reply.headers());
            replica_signals::on_response(node, replica, started_ms, sent_at, &head);
            Some(reply)
        }
        Err(failure) => {
            let replica = replica.as_str();
            record(&LogEvent::ReplicaCallFailed { replica, detail: &failure.detail });
            None
        }
    }
}
