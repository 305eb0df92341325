//! Watches for replicas that owe data and send nothing.
//!
//! Silence proves nothing: a sound replica may pause and go on. It is only a reason to try another
//! replica beside the silent one.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use super::forwarded_request::ForwardedRequest;
use crate::names::BackendName;

/// Interval at which a replica that owes data is checked for silence.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// How many times longer the head of a stream is waited for than that of another response.
const STREAM_SILENCE_FACTOR: u32 = 2;

/// Completes when a replica hasn't responded for long to a request that may be repeated.
pub fn before_response(
    request: &ForwardedRequest,
    replica: &BackendName,
) -> impl Future<Output = ()> + Send + use<> {
    let node = Arc::clone(&request.node);
    let kind = request.route.kind;
    let replica = replica.clone();
    let max_wait = request.route.objective * 2 + SILENCE_CHECK_INTERVAL;
    async move {
        if !kind.may_repeat() {
            std::future::pending::<()>().await;
        }
        if !kind.is_stream() {
            sleep(max_wait).await;
            return;
        }
        let start = node.now();
        loop {
            sleep(SILENCE_CHECK_INTERVAL).await;
            let now = node.now();
            let is_unresponsive =
                node.replicas().get(&replica).is_none_or(|known| known.is_unresponsive(now));
            if is_unresponsive || now.since(start) >= max_wait * STREAM_SILENCE_FACTOR {
                return;
            }
        }
    }
}

/// Completes when another instance, to which a request that may be repeated was passed on, hasn't sent a
/// response for so long that it must be in trouble itself.
pub fn before_passed_on_response(
    request: &ForwardedRequest,
) -> impl Future<Output = ()> + Send + use<> {
    let kind = request.route.kind;
    let factor = if kind.is_stream() { STREAM_SILENCE_FACTOR } else { 1 };
    let max_wait = (request.route.objective * 2 + SILENCE_CHECK_INTERVAL) * factor;
    async move {
        if !kind.may_repeat() {
            std::future::pending::<()>().await;
        }
        sleep(max_wait + SILENCE_CHECK_INTERVAL).await;
    }
}

/// Completes when the replica of a stream that may resume elsewhere has stopped sending at all.
pub async fn within_stream(request: &ForwardedRequest, replica: &BackendName) {
    if !request.route.kind.may_repeat() {
        std::future::pending::<()>().await;
    }
    loop {
        sleep(SILENCE_CHECK_INTERVAL).await;
        let now = request.node.now();
        let replicas = request.node.replicas();
        if replicas.get(replica).is_some_and(|known| known.has_stopped_sending(now)) {
            return;
        }
    }
}
