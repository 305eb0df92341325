//! Questions of operators that one instance passes on to all others.

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

/// Time within which an instance must answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// What one listed instance answered.
struct Answer<A> {
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
    let peers: Vec<Answer<Status>> = ask_all(node, PeerPath::Status, StatusRequest {}).await;
    let others = peers.into_iter().map(|answer| {
        let (status, error) = match answer.message {
            Ok(status) => (Some(status), None),
            Err(cause) => (None, Some(cause)),
        };
        FleetMember { instance: answer.peer.name, leaving: answer.leaving, status, error }
    });
    FleetStatus { members: std::iter::once(own).chain(others).collect() }
}

/// Every decision about a request at any instance that answers; the entry instance's come first.
pub async fn explain(node: &Arc<Node>, request_id: RequestId) -> Explanation {
    let mut parts: Vec<Explanation> = node.explain().explain(request_id).into_iter().collect();
    let question = ExplainRequest { request_id };
    let answers: Vec<Answer<Explanation>> = ask_all(node, PeerPath::Explain, question).await;
    parts.extend(answers.into_iter().filter_map(|answer| answer.message.ok()));
    parts.sort_by_key(|part| !part.from_entry);
    let from_entry = parts.first().is_some_and(|part| part.from_entry);
    let steps = parts.into_iter().flat_map(|part| part.steps).collect();
    Explanation { request_id, from_entry, steps }
}

async fn ask_all<Q, A>(node: &Arc<Node>, path: PeerPath, question: Q) -> Vec<Answer<A>>
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
        let question = question.clone();
        calls.spawn(async move {
            let message = match client.call(&peer, path, &question, ANSWER_TIMEOUT).await {
                Ok(answer) => answer.map_err(|error| error.to_string()),
                Err(failure) => Err(failure.detail),
            };
            Answer { peer, leaving, message }
        });
    }
    let mut answers = calls.join_all().await;
    answers.sort_by(|one, other| one.peer.name.cmp(&other.peer.name));
    answers
}
