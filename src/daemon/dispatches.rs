//! The owner's part of a draft: queue, slot, dispatch, and the engine's answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::Node;
use super::engine_shard::EngineShard;
use super::owner_calls;
use crate::decide::drain::Work;
use crate::decide::engine::EngineInput;
use crate::decide::engine::Waiting;
use crate::edge::EngineFailure;
use crate::edge::EngineStream;
use crate::edge::Reply;
use crate::edge::Request;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;
use crate::telemetry::Counter;
use crate::telemetry::Hop;
use crate::telemetry::Span;
use crate::telemetry::Timing;
use crate::wire::engine::EngineEvent;
use crate::wire::engine::EngineRefusal;
use crate::wire::engine::GenerateRequest;
use crate::wire::frame;
use crate::wire::peer::Dispatch;
use crate::wire::peer::DispatchEvent;

/// Events of one answer that may be in memory at once.
const EVENT_QUEUE: usize = 64;

/// Answers `POST /peer/v1/dispatch`.
///
/// # Errors
///
/// `Malformed` if the body isn't a dispatch.
pub fn serve(node: &Arc<Node>, req: &Request) -> Result<Reply> {
    node.check_takes(Work::Dispatch)?;
    let message: Dispatch = frame::decode(&req.body)?;
    let mut events = dispatch(node, message);
    let (tx, rx) = mpsc::channel::<Bytes>(EVENT_QUEUE);
    let guard = node.in_flight.begin();
    tokio::spawn(async move {
        let _guard = guard;
        while let Some(event) = events.recv().await {
            let Ok(bytes) = frame::encode_frame(&event) else { return };
            if tx.send(bytes).await.is_err() {
                return;
            }
        }
    });
    Ok(Reply::frames(rx))
}

/// Runs a draft on an engine that this instance owns and returns the events of its answer.
pub fn dispatch(node: &Arc<Node>, message: Dispatch) -> mpsc::Receiver<DispatchEvent> {
    let (tx, rx) = mpsc::channel(EVENT_QUEUE);
    let node = Arc::clone(node);
    tokio::spawn(async move {
        let _guard = node.in_flight.begin();
        let span = node.tracer.span(Hop::OwnerDraft, message.traceparent.as_deref());
        span.set("engine", message.engine.as_str());
        if let Err(error) = run(&node, &message, &span, &tx).await {
            span.fail(&error);
            node.note(message.request_id, format!("ended: {error}"));
            let _ = tx.send(DispatchEvent::Failed { error }).await;
        }
    });
    rx
}

async fn run(
    node: &Arc<Node>,
    message: &Dispatch,
    span: &Span,
    tx: &mpsc::Sender<DispatchEvent>,
) -> Result<()> {
    let shard = owner_calls::owned_shard(node, &message.engine).await?;
    let (verdict_tx, verdict_rx) = oneshot::channel();
    let id = message.request_id;
    let now = node.now();
    shard.register(id, verdict_tx);
    let waiting = Waiting {
        request_id: id,
        adapter: message.adapter.clone(),
        priority: message.priority,
        arrived: now,
        deadline: now + Duration::from_millis(message.deadline_ms),
    };
    let stalled = !shard.is_loaded(&message.adapter);
    owner_calls::apply(node, &shard, EngineInput::Arrived(waiting));
    let verdict = tokio::select! {
        verdict = verdict_rx => verdict,
        () = tx.closed() => {
            owner_calls::apply(node, &shard, EngineInput::Withdrawn(id));
            return Ok(());
        }
    };
    verdict.map_err(|_| Error::new(ErrorKind::Internal, "the queue lost the request"))??;
    let waited = node.now().since(now);
    count_wait(node, stalled, waited);
    let load = if stalled { ", its adapter was loaded first" } else { "" };
    node.note(id, format!("dispatched to engine {} after {waited:.0?}{load}", shard.name));
    let call = node.tracer.span(Hop::EngineCall, span.traceparent().as_deref());
    call.set("engine", shard.name.as_str());
    call.set("adapter", message.adapter.to_string());
    let result = generate(node, &shard, message, tx).await.inspect_err(|error| call.fail(error));
    owner_calls::apply(node, &shard, EngineInput::Ended(id));
    result
}

fn count_wait(node: &Node, stalled: bool, waited: Duration) {
    node.metrics.time(Timing::QueueWait, waited);
    if stalled {
        node.metrics.count(Counter::LoadStalled);
        node.metrics.time(Timing::LoadStall, waited);
    }
}

async fn generate(
    node: &Arc<Node>,
    shard: &EngineShard,
    message: &Dispatch,
    tx: &mpsc::Sender<DispatchEvent>,
) -> Result<()> {
    let req = GenerateRequest {
        request_id: message.request_id,
        adapter: message.adapter.clone(),
        prompt: message.prompt.clone(),
        max_tokens: message.max_tokens,
        priority: message.priority,
        fencing: shard.fencing(),
    };
    let wait = Duration::from_millis(message.deadline_ms);
    let answer = node.clients.engine.generate(shard.addr, &req, wait).await;
    let mut stream = answer.map_err(|failure| engine_error(shard, &failure))?;
    relay(shard, message, &mut stream, tx).await
}

async fn relay(
    shard: &EngineShard,
    message: &Dispatch,
    stream: &mut EngineStream,
    tx: &mpsc::Sender<DispatchEvent>,
) -> Result<()> {
    loop {
        let event = tokio::select! {
            event = stream.next_event() => event,
            () = tx.closed() => return Ok(()),
        };
        let event = event.map_err(|failure| {
            let kind = failure.end.draft_kind();
            failure.into_error(kind)
        })?;
        let Some(event) = event else {
            let detail = format!("engine {:?} broke its answer off", shard.name.as_str());
            return Err(Error::new(ErrorKind::BackendFailed, detail));
        };
        let last = matches!(event, EngineEvent::Done { .. });
        if tx.send(checked(message, event)?).await.is_err() || last {
            return Ok(());
        }
    }
}

/// Passes an event on only if it belongs to this request and adapter.
fn checked(message: &Dispatch, event: EngineEvent) -> Result<DispatchEvent> {
    let (id, passed) = match event {
        EngineEvent::Started { request_id, adapter, .. } => {
            (request_id, DispatchEvent::Started { adapter })
        }
        EngineEvent::Token { request_id, text } => (request_id, DispatchEvent::Token { text }),
        EngineEvent::Done { request_id, adapter, tokens } => {
            (request_id, DispatchEvent::Done { adapter, tokens })
        }
    };
    let adapter_fits = match &passed {
        DispatchEvent::Started { adapter } | DispatchEvent::Done { adapter, .. } => {
            adapter == &message.adapter
        }
        DispatchEvent::Token { .. } | DispatchEvent::Failed { .. } => true,
    };
    if id == message.request_id && adapter_fits {
        return Ok(passed);
    }
    let detail =
        format!("the engine did not answer request {} as {}", message.request_id, message.adapter);
    Err(Error::new(ErrorKind::WrongAnswer, detail))
}

fn engine_error(shard: &EngineShard, failure: &EngineFailure) -> Error {
    let kind = match failure.refusal() {
        Some(EngineRefusal::OldFencing) => ErrorKind::NotOwner,
        Some(EngineRefusal::NotLoaded) => ErrorKind::NoBackend,
        Some(_) | None => failure.end().draft_kind(),
    };
    Error::new(kind, format!("engine {:?}: {}", shard.name.as_str(), failure.detail()))
}
