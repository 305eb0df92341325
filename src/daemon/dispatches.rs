//! Completions at the owner of their engine: admission, queueing, and relaying of the answer.
//!
//! A dispatch comes from the entry instance, which may be this one. It waits for
//! the quarantine's admission and for the engine's scheduler, is sent with the
//! fencing number that the scheduler returns, and its events go back to the
//! entry instance. If it may still be running or arriving at the end, that is
//! reported as an [`UnresolvedMessage`], and the engine is asked what it runs.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::Node;
use super::engine_shard::EngineShard;
use super::owner_calls;
use super::quarantine;
use super::quarantine::RunOutcome;
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

/// Bound on the events of one answer that wait for a slow reader.
const MAX_QUEUED_EVENTS: usize = 64;

/// Answers `POST /peer/v1/dispatch`.
///
/// # Errors
///
/// `Draining` while the instance is shutting down, `Malformed` if the body isn't a dispatch.
pub fn serve(node: &Arc<Node>, req: &Request) -> Result<Reply> {
    node.check_accepts(WorkKind::Dispatch)?;
    let message: Dispatch = frame::decode(&req.body)?;
    let mut events = dispatch(node, message);
    let (tx, rx) = mpsc::channel::<Bytes>(MAX_QUEUED_EVENTS);
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

/// Starts a completion on an engine that this instance owns; the events of its answer follow.
///
/// A failure comes as the last event.
pub fn dispatch(node: &Arc<Node>, message: Dispatch) -> mpsc::Receiver<DispatchEvent> {
    let (tx, rx) = mpsc::channel(MAX_QUEUED_EVENTS);
    let node = Arc::clone(node);
    tokio::spawn(async move {
        let _guard = node.in_flight.begin();
        let span = node.tracer.start_span(Hop::OwnerCompletion, message.traceparent.as_deref());
        span.set_attribute("engine", message.engine.as_str());
        if let Err(error) = run(&node, &message, &span, &tx).await {
            span.set_error(&error);
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
    let result =
        run_admitted(node, &shard, message, admission.must_run_alone, &mut ran_on, span, tx).await;
    let outcome = match &result {
        Ok(DispatchStatus::NotRunning) => RunOutcome::Complete,
        Err(error) if error.kind == ErrorKind::BackendFailed => {
            owner_calls::incarnation_ended(node, &shard, ran_on)
                .await
                .map_or(RunOutcome::Other, RunOutcome::Crashed)
        }
        Ok(_) | Err(_) => RunOutcome::Other,
    };
    quarantine::finish(node, &shard.name, admission, outcome).await;
    result.map(|_| ())
}

async fn run_admitted(
    node: &Arc<Node>,
    shard: &Arc<EngineShard>,
    message: &Dispatch,
    must_run_alone: bool,
    ran_on: &mut Option<Incarnation>,
    span: &Span,
    tx: &mpsc::Sender<DispatchEvent>,
) -> Result<DispatchStatus> {
    let (permission_tx, permission_rx) = oneshot::channel();
    let id = message.request_id;
    let now = node.now();
    shard.register(id, permission_tx);
    let waiting = QueuedRequest {
        request_id: id,
        adapter: message.adapter.clone(),
        priority: message.priority,
        arrived: now,
        deadline: now + Duration::from_millis(message.deadline_ms),
    };
    let stalled = !shard.is_loaded(&message.adapter);
    if must_run_alone {
        owner_calls::apply_input(node, shard, EngineInput::Safety(SafetyInput::Alone(id)));
    }
    owner_calls::apply_input(node, shard, EngineInput::Arrived(waiting));
    let permission = tokio::select! {
        permission = permission_rx => permission,
        () = tx.closed() => {
            owner_calls::apply_input(node, shard, EngineInput::Withdrawn(id));
            return Ok(DispatchStatus::Begun);
        }
    };
    let fencing = permission.map_err(|_| {
        Error::new(ErrorKind::Internal, "the engine's queue dropped the request without a decision")
    })??;
    *ran_on = shard.incarnation();
    let waited = node.now().since(now);
    count_wait(node, stalled, waited);
    let load = if stalled { ", its adapter was loaded first" } else { "" };
    node.note(id, format!("dispatched to engine {} after {waited:.0?}{load}", shard.name));
    let call = node.tracer.start_span(Hop::EngineCall, span.traceparent().as_deref());
    call.set_attribute("engine", shard.name.as_str());
    call.set_attribute("adapter", message.adapter.to_string());
    let (result, end) = generate(node, shard, message, fencing, tx).await;
    on_end(node, shard, message, end);
    result.inspect_err(|error| call.set_error(error)).map(|()| end)
}

fn count_wait(node: &Node, stalled: bool, waited: Duration) {
    node.metrics.record_duration(Timing::QueueWait, waited);
    if stalled {
        node.metrics.count(Counter::LoadStalled);
        node.metrics.record_duration(Timing::LoadStall, waited);
    }
}

/// What the owner knows about the engine's side of a dispatch that has ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DispatchStatus {
    /// It isn't running: it has ended, was refused, or provably never started.
    NotRunning,
    /// It was refused because the adapter isn't loaded.
    NotLoaded,
    /// It may or may not have reached the engine, and may still arrive.
    Unconfirmed,
    /// Its answer has begun or its request was withdrawn; it may still be running.
    Begun,
}

fn on_end(node: &Arc<Node>, shard: &Arc<EngineShard>, message: &Dispatch, end: DispatchStatus) {
    let request_id = message.request_id;
    let adapter = message.adapter.clone();
    match end {
        DispatchStatus::NotRunning => {
            owner_calls::apply_input(node, shard, EngineInput::Ended(request_id))
        }
        DispatchStatus::NotLoaded => {
            let gone = EngineInput::Safety(SafetyInput::NotLoaded(adapter));
            owner_calls::apply_input(node, shard, gone);
            owner_calls::apply_input(node, shard, EngineInput::Ended(request_id));
        }
        DispatchStatus::Unconfirmed => {
            let unresolved = UnresolvedMessage::Dispatch(request_id);
            owner_calls::apply(node, shard, |owned, now| owned.on_outcome_unknown(now, unresolved));
        }
        DispatchStatus::Begun => {
            let unresolved = UnresolvedMessage::Begun { request_id, adapter };
            owner_calls::apply(node, shard, |owned, now| owned.on_outcome_unknown(now, unresolved));
        }
    }
}

async fn generate(
    node: &Arc<Node>,
    shard: &Arc<EngineShard>,
    message: &Dispatch,
    fencing: FencingNumber,
    tx: &mpsc::Sender<DispatchEvent>,
) -> (Result<()>, DispatchStatus) {
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
        return (Err(error), DispatchStatus::NotRunning);
    }
    match node.clients.engine.generate(shard.addr, &req, wait).await {
        Ok(mut stream) => match relay(node, shard, message, &mut stream, tx).await {
            Ok(end) => (Ok(()), end),
            Err(error) => (Err(error), DispatchStatus::Begun),
        },
        Err(failure) => {
            owner_calls::on_engine_refusal(node, shard, &failure);
            let end = match failure.refusal() {
                Some(EngineRefusal::NotLoaded) => DispatchStatus::NotLoaded,
                Some(_) => DispatchStatus::NotRunning,
                None if failure.end().proves_not_run() => DispatchStatus::NotRunning,
                None => DispatchStatus::Unconfirmed,
            };
            (Err(engine_error(shard, &failure)), end)
        }
    }
}

/// Forwards the engine's events as long as they echo the request's identifier and adapter.
async fn relay(
    node: &Arc<Node>,
    shard: &Arc<EngineShard>,
    message: &Dispatch,
    stream: &mut EngineStream,
    tx: &mpsc::Sender<DispatchEvent>,
) -> Result<DispatchStatus> {
    let mut echo = EchoCheck::new(message.request_id, message.adapter.clone());
    loop {
        let event = tokio::select! {
            event = stream.next_event() => event,
            () = tx.closed() => return Ok(DispatchStatus::Begun),
        };
        let event = event.map_err(|failure| {
            let kind = failure.end.completion_kind();
            failure.into_error(kind)
        })?;
        let Some(event) = event else {
            let detail = format!("engine {:?} ended its answer early", shard.name.as_str());
            return Err(Error::new(ErrorKind::BackendFailed, detail));
        };
        echo.on_event(&event)?;
        if let EngineEvent::Started { incarnation, .. } = &event {
            let seen = *incarnation;
            owner_calls::apply(node, shard, |owned, now| owned.on_incarnation(now, seen));
        }
        let sent = tx.send(dispatch_event(event)).await;
        if echo.is_complete() {
            return Ok(DispatchStatus::NotRunning);
        }
        if sent.is_err() {
            return Ok(DispatchStatus::Begun);
        }
    }
}

fn dispatch_event(event: EngineEvent) -> DispatchEvent {
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
