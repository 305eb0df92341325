//! API for operators: status of the instance and the fleet, decisions about a request.

use std::sync::Arc;

use super::Node;
use super::OperatorRoute;
use super::fleet_queries;
use super::node::no_such_path;
use crate::edge::Reply;
use crate::edge::Request;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;
use crate::names::RequestId;
use crate::wire::operator::Explanation;
use crate::wire::operator::Status;

/// Answers one request of an operator.
///
/// # Errors
///
/// `NotFound` for an unknown path or request, `Malformed` if the request's identifier is.
pub async fn serve(node: &Arc<Node>, req: &Request) -> Result<Reply> {
    let Some((route, id)) = OperatorRoute::of(&req.method, &req.path) else {
        return Err(no_such_path(req));
    };
    match route {
        OperatorRoute::Status => Ok(Reply::json(200, &status(node))),
        OperatorRoute::Fleet => Ok(Reply::json(200, &fleet_queries::status(node).await)),
        OperatorRoute::Explain => explain(node, &id).await,
    }
}

/// State of this instance.
pub fn status(node: &Node) -> Status {
    let now = node.now();
    let current = node.config(|config| config.current().cloned());
    Status {
        instance: node.settings.instance.clone(),
        data_centre: node.settings.data_centre.clone(),
        incarnation: node.incarnation,
        generation: current.as_ref().map(|snapshot| snapshot.generation()),
        preset: current.as_ref().map(|snapshot| snapshot.root().preset.clone()),
        draining: node.is_draining(),
        live_peers: node.membership(|membership| {
            membership.live(now).map(|member| member.name.clone()).collect()
        }),
        engines: node.engines.all().iter().map(|shard| shard.status()).collect(),
    }
}

/// Decisions of this instance alone about a request.
///
/// # Errors
///
/// `NotFound` if the request isn't in this instance's log.
pub fn own_explanation(node: &Node, id: RequestId) -> Result<Explanation> {
    node.explain().explain(id).ok_or_else(|| not_remembered(id))
}

async fn explain(node: &Arc<Node>, id: &str) -> Result<Reply> {
    let id: RequestId = id.parse().map_err(|e: String| Error::new(ErrorKind::Malformed, e))?;
    let explanation = fleet_queries::explain(node, id).await;
    if explanation.steps.is_empty() {
        return Err(not_remembered(id));
    }
    Ok(Reply::json(200, &explanation))
}

fn not_remembered(id: RequestId) -> Error {
    Error::new(ErrorKind::NotFound, format!("request {id} is not in the log of recent requests"))
}
