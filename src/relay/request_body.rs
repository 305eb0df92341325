//! Time limit for the body of a caller's request, which may arrive slowly.

use std::sync::Arc;
use std::time::Duration;

use hyper::http::request;
use tokio::time::sleep;

use super::RequestHead;
use super::forwarded_request::host_of;
use super::node::Node;
use crate::decide::traffic::Route;
use crate::names::Timestamp;

/// Completes when the body of a request that arrived at `arrived` must have been read: at the
/// request's time limit, which a new configuration may lengthen, or shortly before a shutdown ends
/// the process.
pub async fn until_due(
    node: &Node,
    head: &RequestHead,
    parts: &request::Parts,
    route: &Route,
    arrived: Timestamp,
) {
    tokio::select! {
        () = until_deadline(node, head, parts, route, arrived) => {}
        () = node.until_last_responses() => {}
    }
}

async fn until_deadline(
    node: &Node,
    head: &RequestHead,
    parts: &request::Parts,
    route: &Route,
    arrived: Timestamp,
) {
    let mut configs = node.config.subscribe();
    let mut timeout = Duration::ZERO;
    loop {
        let config = node.current_config();
        let current = config.as_ref().and_then(|c| c.route(host_of(parts), parts.uri.path()));
        timeout = timeout.max(route.timeout_of_accepted(current.map(Arc::as_ref)));
        let limit = head.caller_timeout.map_or(timeout, |caller| caller.min(timeout));
        let left = limit.saturating_sub(node.now().since(arrived));
        if left.is_zero() {
            return;
        }
        tokio::select! {
            () = sleep(left) => {}
            changed = configs.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
    }
}
