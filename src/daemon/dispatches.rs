//! The owner's part of a completion: queue, slot, dispatch, and the engine's answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::Node;
use super::engine_shard::EngineShard;
use super::owner_calls;
use super::quarantine;
use super::quarantine::Ending;
use crate::decide::drain::WorkKind;
use crate::decide::echo::EchoCheck;
use crate::decide::engine::EngineInput;
use crate::decide::engine::QueuedRequest;
use crate::decide::engine::SafetyInput;
use crate::decide::takeover::UnresolvedMessage;
use crate::edge::EngineFailure;
use crate::edge::EngineStream;
use crate::edge::Reply;
use crate::edge::Request;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;
use crate::names::FencingNumber;
use crate::names::Incarnation;
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
    node.check_takes(WorkKind::Dispatch)?;
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
    Ok(Reply::frame_stream(rx))
}

/// Runs a completion on an engine that this instance owns and returns the events of its answer.
pub fn dispatch(node: &Arc<Node>, message: Dispatch) -> mpsc::Receiver<DispatchEvent> {
    let (tx, rx) = mpsc::channel(EVENT_QUEUE);
    let node = Arc::clone(node);
    tokio::spawn(async move {
        let _guard = node.in_flight.begin();
        let span = node.tracer.span(Hop::OwnerCompletion, message.traceparent.as_deref());
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
    let admission = quarantine::admit(node, message).await?;
    let mut ran_on = None;
    let result = run_admitted(node, &shard, message, admission.alone, &mut ran_on, span, tx).await;
    let ending = match &result {
        Ok(RunEnd::Over) => Ending::Complete,
        Err(error) if error.kind == ErrorKind::BackendFailed => {
            owner_calls::incarnation_ended(node, &shard, ran_on)
                .await
                .map_or(Ending::Other, Ending::Crashed)
        }
        Ok(_) | Err(_) => Ending::Other,
    };
    quarantine::finish(node, &shard.name, admission, ending).await;
    result.map(|_| ())
}

async fn run_admitted(
    node: &Arc<Node>,
    shard: &Arc<EngineShard>,
    message: &Dispatch,
    alone: bool,
    ran_on: &mut Option<Incarnation>,
    span: &Span,
    tx: &mpsc::Sender<DispatchEvent>,
) -> Result<RunEnd> {
    let (verdict_tx, verdict_rx) = oneshot::channel();
    let id = message.request_id;
    let now = node.now();
    shard.register(id, verdict_tx);
    let waiting = QueuedRequest {
        request_id: id,
        adapter: message.adapter.clone(),
        priority: message.priority,
        arrived: now,
        deadline: now + Duration::from_millis(message.deadline_ms),
    };
    let stalled = !shard.is_loaded(&message.adapter);
    if alone {
        owner_calls::apply_input(node, shard, EngineInput::Safety(SafetyInput::Alone(id)));
    }
    owner_calls::apply_input(node, shard, EngineInput::Arrived(waiting));
    let verdict = tokio::select! {
        verdict = verdict_rx => verdict,
        () = tx.closed() => {
            owner_calls::apply_input(node, shard, EngineInput::Withdrawn(id));
            return Ok(RunEnd::Begun);
        }
    };
    let fencing =
        verdict.map_err(|_| Error::new(ErrorKind::Internal, "the queue lost the request"))??;
    *ran_on = shard.incarnation();
    let waited = node.now().since(now);
    count_wait(node, stalled, waited);
    let load = if stalled { ", its adapter was loaded first" } else { "" };
    node.note(id, format!("dispatched to engine {} after {waited:.0?}{load}", shard.name));
    let call = node.tracer.span(Hop::EngineCall, span.traceparent().as_deref());
    call.set("engine", shard.name.as_str());
    call.set("adapter", message.adapter.to_string());
    let (result, end) = generate(node, shard, message, fencing, tx).await;
    on_end(node, shard, message, end);
    result.inspect_err(|error| call.fail(error)).map(|()| end)
}

fn count_wait(node: &Node, stalled: bool, waited: Duration) {
    node.metrics.time(Timing::QueueWait, waited);
    if stalled {
        node.metrics.count(Counter::LoadStalled);
        node.metrics.time(Timing::LoadStall, waited);
    }
}

/// What the owner knows of a dispatch that is over for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunEnd {
    /// It doesn't run on the engine.
    Over,
    /// The engine doesn't have the adapter.
    NotLoaded,
    /// It may still reach the engine.
    Unconfirmed,
    /// It may still run on the engine.
    Begun,
}

fn on_end(node: &Arc<Node>, shard: &Arc<EngineShard>, message: &Dispatch, end: RunEnd) {
    let request_id = message.request_id;
    let adapter = message.adapter.clone();
    match end {
        RunEnd::Over => owner_calls::apply_input(node, shard, EngineInput::Ended(request_id)),
        RunEnd::NotLoaded => {
            let gone = EngineInput::Safety(SafetyInput::NotLoaded(adapter));
            owner_calls::apply_input(node, shard, gone);
            owner_calls::apply_input(node, shard, EngineInput::Ended(request_id));
        }
        RunEnd::Unconfirmed => {
            let sent = UnresolvedMessage::Dispatch(request_id);
            owner_calls::apply(node, shard, |owned, now| owned.on_outcome_unknown(now, sent));
        }
        RunEnd::Begun => {
            let sent = UnresolvedMessage::Begun { request_id, adapter };
            owner_calls::apply(node, shard, |owned, now| owned.on_outcome_unknown(now, sent));
        }
    }
}

async fn generate(
    node: &Arc<Node>,
    shard: &Arc<EngineShard>,
    message: &Dispatch,
    fencing: FencingNumber,
    tx: &mpsc::Sender<DispatchEvent>,
) -> (Result<()>, RunEnd) {
    let req = GenerateRequest {
        request_id: message.request_id,
        adapter: message.adapter.clone(),
        prompt: message.prompt.clone(),
        max_tokens: message.max_tokens,
        priority: message.priority,
        fencing,
    };
    let wait = Duration::from_millis(message.deadline_ms);
    let may_act = node.leases.may_act(node.now(), &shard.group);
    if let Err(error) = may_act.and_then(|()| node.check_dispatch(&shard.name)) {
        return (Err(error), RunEnd::Over);
    }
    match node.clients.engine.generate(shard.addr, &req, wait).await {
        Ok(mut stream) => match relay(node, shard, message, &mut stream, tx).await {
            Ok(end) => (Ok(()), end),
            Err(error) => (Err(error), RunEnd::Begun),
        },
        Err(failure) => {
            owner_calls::on_refused(node, shard, &failure);
            let end = match failure.refusal() {
                Some(EngineRefusal::NotLoaded) => RunEnd::NotLoaded,
                Some(_) => RunEnd::Over,
                None if failure.end().proves_not_run() => RunEnd::Over,
                None => RunEnd::Unconfirmed,
            };
            (Err(engine_error(shard, &failure)), end)
        }
    }
}

/// Passes the engine's events on while they fit the request.
async fn relay(
    node: &Arc<Node>,
    shard: &Arc<EngineShard>,
    message: &Dispatch,
    stream: &mut EngineStream,
    tx: &mpsc::Sender<DispatchEvent>,
) -> Result<RunEnd> {
    let mut echo = EchoCheck::new(message.request_id, message.adapter.clone());
    loop {
        let event = tokio::select! {
            event = stream.next_event() => event,
            () = tx.closed() => return Ok(RunEnd::Begun),
        };
        let event = event.map_err(|failure| {
            let kind = failure.end.completion_kind();
            failure.into_error(kind)
        })?;
        let Some(event) = event else {
            let detail = format!("engine {:?} broke its answer off", shard.name.as_str());
            return Err(Error::new(ErrorKind::BackendFailed, detail));
        };
        echo.on_event(&event)?;
        if let EngineEvent::Started { incarnation, .. } = &event {
            let seen = *incarnation;
            owner_calls::apply(node, shard, |owned, now| owned.on_incarnation(now, seen));
        }
        let sent = tx.send(passed(event)).await;
        if echo.is_complete() {
            return Ok(RunEnd::Over);
        }
        if sent.is_err() {
            return Ok(RunEnd::Begun);
        }
    }
}

fn passed(event: EngineEvent) -> DispatchEvent {
    match event {
        EngineEvent::Started { adapter, .. } => DispatchEvent::Started { adapter },
        EngineEvent::Token { text, .. } => DispatchEvent::Token { text },
        EngineEvent::Done { adapter, tokens, .. } => DispatchEvent::Done { adapter, tokens },
    }
}

fn engine_error(shard: &EngineShard, failure: &EngineFailure) -> Error {
    let kind = match failure.refusal() {
        Some(EngineRefusal::OldFencing) => ErrorKind::NotOwner,
        Some(EngineRefusal::NotLoaded) => ErrorKind::NoBackend,
        Some(_) | None => failure.end().completion_kind(),
    };
    Error::new(kind, format!("engine {:?}: {}", shard.name.as_str(), failure.detail()))
}
