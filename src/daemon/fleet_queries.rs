//! Operator queries that one instance sends to all listed instances (scatter-gather).
//!
//! Instances that don't reply are reported as such in a status and left out of
//! an explanation.

use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::task::JoinSet;

use super::Node;
use super::operator_api;
use crate::edge::PeerPath;
use crate::edge::PeerTarget;
use crate::names::RequestId;
use crate::wire::operator::Explanation;
use crate::wire::operator::FleetMember;
use crate::wire::operator::FleetStatus;
use crate::wire::operator::Status;
use crate::wire::peer::ExplainRequest;
use crate::wire::peer::StatusRequest;

/// Timeout of a query to one instance; all are asked at once.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// Reply of one listed instance, or why there is none.
struct PeerReply<A> {
    peer: PeerTarget,
    leaving: bool,
    message: Result<A, String>,
}

/// State of every listed instance, this one first.
pub async fn status(node: &Arc<Node>) -> FleetStatus {
    let leaving = node.is_draining();
    let own = FleetMember {
        instance: node.settings.instance.clone(),
        leaving,
        status: Some(operator_api::status(node)),
        error: None,
    };
    let peers: Vec<PeerReply<Status>> =
        query_all_peers(node, PeerPath::Status, StatusRequest {}).await;
    let others = peers.into_iter().map(|reply| {
        let (status, error) = match reply.message {
            Ok(status) => (Some(status), None),
            Err(cause) => (None, Some(cause)),
        };
        FleetMember { instance: reply.peer.name, leaving: reply.leaving, status, error }
    });
    FleetStatus { members: std::iter::once(own).chain(others).collect() }
}

/// Decisions about a request at all instances that reply; the entry instance's come first.
pub async fn explain(node: &Arc<Node>, request_id: RequestId) -> Explanation {
    let mut parts: Vec<Explanation> = node.explain().explain(request_id).into_iter().collect();
    let request = ExplainRequest { request_id };
    let replies: Vec<PeerReply<Explanation>> =
        query_all_peers(node, PeerPath::Explain, request).await;
    parts.extend(replies.into_iter().filter_map(|reply| reply.message.ok()));
    parts.sort_by_key(|part| !part.from_entry);
    let from_entry = parts.first().is_some_and(|part| part.from_entry);
    let steps = parts.into_iter().flat_map(|part| part.steps).collect();
    Explanation { request_id, from_entry, steps }
}

async fn query_all_peers<Q, A>(node: &Arc<Node>, path: PeerPath, request: Q) -> Vec<PeerReply<A>>
where
    Q: Serialize + Clone + Send + Sync + 'static,
    A: DeserializeOwned + Send + 'static,
{
    let peers: Vec<_> = node.membership(|membership| {
        membership.all().map(|member| (PeerTarget::from(member), member.leaving)).collect()
    });
    let mut calls = JoinSet::new();
    for (peer, leaving) in peers {
        let client = node.clients.peer.clone();
        let request = request.clone();
        calls.spawn(async move {
            let message = match client.call(&peer, path, &request, REPLY_TIMEOUT).await {
                Ok(reply) => reply.map_err(|error| error.to_string()),
                Err(failure) => Err(failure.detail),
            };
            PeerReply { peer, leaving, message }
        });
    }
    let mut replies = calls.join_all().await;
    replies.sort_by(|one, other| one.peer.name.cmp(&other.peer.name));
    replies
}
