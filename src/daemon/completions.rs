//! Completions at their entry instance: resolve the adapter, rank its engines, dispatch, answer.
//!
//! The version is resolved by the configuration in effect, and the engines of
//! the adapter's base model are ranked by rendezvous hashing. The owner of each
//! engine is asked in turn until one engine has begun; another engine is tried
//! only after an error that allows it. An answer from another adapter or version
//! is withheld.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;

use super::Node;
use super::completion_answer::CompletionAnswer;
use super::completion_answer::wrong_answer;
use super::dispatches;
use super::in_flight::InFlightGuard;
use crate::decide::dispatch_failure::may_try_another_engine;
use crate::decide::drain::WorkKind;
use crate::decide::routing;
use crate::edge::PeerTarget;
use crate::edge::Reply;
use crate::edge::Request;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;
use crate::names::AdapterRef;
use crate::names::InstanceName;
use crate::names::RequestId;
use crate::names::Timestamp;
use crate::telemetry::Counter;
use crate::telemetry::Hop;
use crate::telemetry::Span;
use crate::wire::caller::CompletionRequest;
use crate::wire::listing::ListedBackend;
use crate::wire::peer::Dispatch;
use crate::wire::peer::DispatchEvent;

/// Bound on the engines that one request is sent to, one after the other.
const MAX_ENGINES_TRIED: usize = 3;
/// Priority when neither the caller nor the preset sets one.
const DEFAULT_PRIORITY: u8 = 5;

struct PreparedCompletion {
    id: RequestId,
    adapter: AdapterRef,
    deadline: Timestamp,
    message: Dispatch,
    ranked_engines: Vec<ListedBackend>,
}

/// Answers `POST /v1/completions`.
///
/// # Errors
///
/// Each error kind that a completion can end with before the first byte of its answer.
pub async fn complete(node: Arc<Node>, req: Request) -> Result<Reply> {
    node.check_accepts(WorkKind::Completion)?;
    let guard = node.in_flight.begin();
    let request: CompletionRequest = serde_json::from_slice(&req.body)
        .map_err(|e| Error::new(ErrorKind::Malformed, format!("body: {e}")))?;
    request.check()?;
    let id = node.new_request_id()?;
    node.explain().begin(node.now(), id);
    node.metrics.count(Counter::CompletionArrived);
    let span = node.tracer.start_span(Hop::EntryCompletion, req.header("traceparent"));
    span.set_attribute("request_id", id.to_string());
    let reply = match run_completion(&node, id, request, span, guard).await {
        Ok(reply) => reply,
        Err(error) => {
            node.metrics.count_error(error.kind);
            Reply::error(&error)
        }
    };
    Ok(reply.header("x-request-id", id.to_string()))
}

async fn run_completion(
    node: &Arc<Node>,
    id: RequestId,
    request: CompletionRequest,
    span: Span,
    guard: InFlightGuard,
) -> Result<Reply> {
    let arrived = node.now();
    let stream = request.stream;
    let prepared = prepare(node, id, request, span.traceparent());
    let prepared = prepared.inspect_err(|error| span.set_error(error))?;
    let adapter = prepared.adapter.clone();
    let rx = try_engines(node, prepared).await.inspect_err(|error| span.set_error(error))?;
    let answer = CompletionAnswer { id, adapter, arrived, rx, has_token: false, span };
    if stream { Ok(answer.stream(node, guard)) } else { answer.read_whole(node).await }
}

fn prepare(
    node: &Node,
    id: RequestId,
    request: CompletionRequest,
    traceparent: Option<String>,
) -> Result<PreparedCompletion> {
    let now = node.now();
    let snapshot = node.snapshot()?;
    if !snapshot.preset().accepting {
        let preset = snapshot.root().preset.as_str();
        let detail = format!("preset {preset:?} accepts no completions");
        return Err(Error::new(ErrorKind::Overloaded, detail));
    }
    let adapter = snapshot.resolve(&request.adapter, request.version)?;
    let model = snapshot.model_of(&adapter.adapter).cloned().ok_or_else(|| {
        Error::new(ErrorKind::UnknownAdapter, format!("adapter {adapter} has no base model"))
    })?;
    let ranked_engines: Vec<ListedBackend> = node.backends(|known| {
        let engines = known.live_engines(&model);
        let ranked_engines =
            routing::top_ranked_engines(&adapter.adapter, engines, MAX_ENGINES_TRIED);
        ranked_engines.into_iter().cloned().collect()
    });
    let Some(first) = ranked_engines.first() else {
        let detail = format!("no live engine runs base model {:?}", model.as_str());
        return Err(Error::new(ErrorKind::NoBackend, detail));
    };
    let default_wait = node.settings.limits.default_deadline;
    let wait = request.deadline_ms.map_or(default_wait, Duration::from_millis);
    let preset_priority = snapshot.preset().priorities.get(&adapter.adapter).copied();
    let message = Dispatch {
        request_id: id,
        engine: first.name.clone(),
        adapter: adapter.clone(),
        generation: snapshot.generation(),
        prompt: request.prompt,
        max_tokens: request.max_tokens,
        priority: request.priority.or(preset_priority).unwrap_or(DEFAULT_PRIORITY),
        deadline_ms: wait.as_millis() as u64,
        traceparent,
    };
    node.note(id, format!("resolved to {adapter} of generation {}", snapshot.generation()));
    Ok(PreparedCompletion { id, adapter, deadline: now + wait, message, ranked_engines })
}

/// Tries the engines by rank until one has begun to answer.
async fn try_engines(
    node: &Arc<Node>,
    prepared: PreparedCompletion,
) -> Result<mpsc::Receiver<DispatchEvent>> {
    let mut last_error =
        Error::new(ErrorKind::NoBackend, "the deadline passed before an engine could be tried");
    for engine in &prepared.ranked_engines {
        let now = node.now();
        if now >= prepared.deadline {
            break;
        }
        let mut message = prepared.message.clone();
        message.engine = engine.name.clone();
        message.deadline_ms = prepared.deadline.since(now).as_millis() as u64;
        match try_engine(node, engine, message).await {
            Ok(rx) => return Ok(rx),
            Err(error) if may_try_another_engine(&error) => {
                node.note(prepared.id, format!("engine {}: {error}", engine.name));
                node.metrics.count(Counter::Retried);
                last_error = error;
            }
            Err(error) => {
                node.note(prepared.id, format!("engine {}: {error}; final", engine.name));
                return Err(error);
            }
        }
    }
    Err(last_error)
}

/// Sends a completion to the owner of one engine; returns once the engine has begun to answer.
async fn try_engine(
    node: &Arc<Node>,
    engine: &ListedBackend,
    mut message: Dispatch,
) -> Result<mpsc::Receiver<DispatchEvent>> {
    let id = message.request_id;
    let expected = message.adapter.clone();
    let owner = node.owner_of(engine).ok_or_else(|| {
        let detail = format!("engine {:?} has no owner", engine.name.as_str());
        Error::new(ErrorKind::NoBackend, detail)
    })?;
    node.note(id, format!("routed to engine {} owned by {owner}", engine.name));
    let mut rx = if owner == node.settings.instance {
        dispatches::dispatch(node, message)
    } else {
        let span = node.tracer.start_span(Hop::DispatchCall, message.traceparent.as_deref());
        span.set_attribute("owner", owner.as_str());
        message.traceparent = span.traceparent();
        dispatch_to_peer(node, &owner, message).await.inspect_err(|error| span.set_error(error))?
    };
    match rx.recv().await {
        Some(DispatchEvent::Started { adapter }) if adapter == expected => Ok(rx),
        Some(DispatchEvent::Failed { error }) => Err(error),
        Some(_) => Err(wrong_answer(&expected)),
        None => Err(Error::new(ErrorKind::BackendFailed, "the answer broke off")),
    }
}

async fn dispatch_to_peer(
    node: &Node,
    owner: &InstanceName,
    message: Dispatch,
) -> Result<mpsc::Receiver<DispatchEvent>> {
    let peer = node
        .membership(|membership| membership.get(owner).map(PeerTarget::from))
        .ok_or_else(|| {
            let detail = format!("instance {:?} is not known", owner.as_str());
            Error::new(ErrorKind::PeerUnreachable, detail)
        })?;
    match node.clients.peer.dispatch(&peer, &message).await {
        Ok(answer) => answer,
        Err(failure) if failure.end.proves_not_run() => {
            Err(failure.into_error(ErrorKind::PeerUnreachable))
        }
        Err(failure) => {
            let kind = failure.end.completion_kind();
            Err(failure.into_error(kind))
        }
    }
}
