//! Answers to operators.

use super::Node;
use super::node::no_such_path;
use crate::edge::Reply;
use crate::edge::Request;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;
use crate::names::RequestId;
use crate::wire::operator::Status;

const REQUESTS_PREFIX: &str = "/operator/v1/requests/";

/// Answers one request of an operator.
///
/// # Errors
///
/// `NotFound` if there's no such path or request.
pub fn serve(node: &Node, req: &Request) -> Result<Reply> {
    match (req.method.as_str(), req.path.as_str()) {
        ("GET", "/operator/v1/status") => Ok(Reply::json(200, &status(node))),
        ("GET", path) => match path.strip_prefix(REQUESTS_PREFIX) {
            Some(id) => explain(node, id),
            None => Err(no_such_path(req)),
        },
        _ => Err(no_such_path(req)),
    }
}

fn status(node: &Node) -> Status {
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

fn explain(node: &Node, id: &str) -> Result<Reply> {
    let id: RequestId = id.parse().map_err(|e| Error::new(ErrorKind::Malformed, e))?;
    let explanation = node.explain().explain(id).ok_or_else(|| {
        Error::new(ErrorKind::NotFound, format!("request {id} is not remembered here"))
    })?;
    Ok(Reply::json(200, &explanation))
}
