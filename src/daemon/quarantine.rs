//! Quarantine of requests that crash engines: admission, run permits, and strikes.
//!
//! The owner of an engine admits each request before it queues it. A request
//! without strikes runs on the first engine of its adapter at once; any other
//! needs a run permit from its fingerprint's home instance, which gives one at a
//! time. A request that was running when its engine crashed gets a strike, which
//! is broadcast to all instances. [`crate::decide::quarantine`] decides.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::task::JoinSet;

use super::Node;
use crate::decide::quarantine;
use crate::decide::quarantine::Fingerprint;
use crate::decide::quarantine::FirstEngineCheck;
use crate::decide::quarantine::PermitReply;
use crate::decide::quarantine::QuarantineDecision;
use crate::decide::quarantine::QuarantineMessage;
use crate::decide::quarantine::QuarantineReply;
use crate::decide::quarantine::RunPermits;
use crate::decide::quarantine::Strike;
use crate::decide::quarantine::StrikeTable;
use crate::edge::PeerPath;
use crate::edge::PeerTarget;
use crate::edge::Reply;
use crate::edge::Request;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;
use crate::names::BackendName;
use crate::names::Incarnation;
use crate::names::InstanceName;
use crate::names::RequestId;
use crate::wire::frame;
use crate::wire::listing::BackendRole;
use crate::wire::peer::Dispatch;

/// Timeout of one message to a peer; also the retry delay if the home instance doesn't reply.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Debug, Default)]
struct State {
    strike_table: StrikeTable,
    permits: RunPermits,
    /// Requests that were admitted here and haven't ended.
    admitted: BTreeMap<RequestId, Fingerprint>,
}

/// This instance's strikes, the run permits that it gave as home, and its admitted requests.
#[derive(Debug, Default)]
pub struct Quarantine {
    state: Mutex<State>,
}

impl Quarantine {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Permission to run one request; passed to [`finish`] at its end.
#[derive(Clone, Copy, Debug)]
pub struct Admission {
    /// Whether no other request may run on the engine meanwhile.
    pub must_run_alone: bool,
    fingerprint: Fingerprint,
    request: RequestId,
    has_permit: bool,
}

/// How an admitted request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The whole answer arrived.
    Complete,
    /// It ended in another way, and the engine isn't known to have crashed.
    Other,
    /// This incarnation of its engine ended while it was running.
    Crashed(Incarnation),
}

/// Admits a request to an engine that this instance owns.
///
/// # Errors
///
/// `Quarantined` if it crashed two engines, `Overloaded` while another copy may be running.
pub async fn admit(node: &Node, message: &Dispatch) -> Result<Admission> {
    let fingerprint = Fingerprint::of(&message.adapter, &message.prompt, message.max_tokens);
    let request = message.request_id;
    let first = first_engine(node, message);
    let strikes = {
        let mut state = node.quarantine.lock();
        let decision = state.strike_table.decision(node.now(), fingerprint);
        if let QuarantineDecision::Refuse { retry_after } = decision {
            return Err(quarantined_error(retry_after));
        }
        if decision == QuarantineDecision::Run && first == message.engine {
            state.admitted.insert(request, fingerprint);
            return Ok(Admission {
                must_run_alone: false,
                fingerprint,
                request,
                has_permit: false,
            });
        }
        state.strike_table.strikes(fingerprint)
    };
    let has_strikes = !strikes.is_empty();
    let ask = QuarantineMessage::Ask { fingerprint, request, first, strikes };
    let alone = match send_to(node, home_of(node, fingerprint), &ask).await {
        Some(QuarantineReply::Permit(PermitReply::Granted { alone })) => alone,
        Some(QuarantineReply::Permit(PermitReply::Refused { retry_after })) => {
            return Err(quarantined_error(retry_after));
        }
        Some(QuarantineReply::Permit(PermitReply::Busy { retry_after })) => {
            return Err(busy_error(retry_after));
        }
        // An unreachable home instance must not block requests without strikes.
        _ if !has_strikes => false,
        _ => return Err(busy_error(PEER_TIMEOUT)),
    };
    if let QuarantineDecision::Refuse { retry_after } = register(node, fingerprint, request) {
        return_permit(node, fingerprint, request, Vec::new()).await;
        return Err(quarantined_error(retry_after));
    }
    Ok(Admission { must_run_alone: alone || has_strikes, fingerprint, request, has_permit: true })
}

/// Decides again with the strikes that arrived meanwhile; records the request unless refused.
fn register(node: &Node, fingerprint: Fingerprint, request: RequestId) -> QuarantineDecision {
    let mut state = node.quarantine.lock();
    let decision = state.strike_table.decision(node.now(), fingerprint);
    if !matches!(decision, QuarantineDecision::Refuse { .. }) {
        state.admitted.insert(request, fingerprint);
    }
    decision
}

/// Records how an admitted request ended, returns its permit, and broadcasts its strike or
/// clearance.
pub async fn finish(node: &Arc<Node>, engine: &BackendName, admission: Admission, end: RunOutcome) {
    let Admission { must_run_alone, fingerprint, request, has_permit } = admission;
    let now = node.now();
    let mut strikes = Vec::new();
    let mut update = None;
    {
        let mut state = node.quarantine.lock();
        state.admitted.remove(&request);
        match end {
            RunOutcome::Crashed(incarnation) => {
                let strike = Strike { fingerprint, engine: engine.clone(), incarnation };
                state.strike_table.on_strike(now, strike.clone());
                strikes.push(strike);
                update = Some(QuarantineMessage::Struck(strikes.clone()));
            }
            RunOutcome::Complete if must_run_alone => {
                update = state.strike_table.clear(now, fingerprint).map(QuarantineMessage::Cleared);
            }
            RunOutcome::Complete | RunOutcome::Other => {}
        }
    }
    if has_permit {
        return_permit(node, fingerprint, request, strikes).await;
    }
    if let Some(update) = update {
        log::warn!("request {request} on engine {engine}: {update:?}; sending to all instances");
        broadcast(node, update).await;
    }
}

/// Answers `POST /peer/v1/quarantine`.
///
/// # Errors
///
/// `Malformed` if the body isn't a [`QuarantineMessage`].
pub async fn serve(node: &Node, req: &Request) -> Result<Reply> {
    let message: QuarantineMessage = frame::decode(&req.body)?;
    Ok(Reply::msgpack(&handle_message(node, &message).await))
}

async fn handle_message(node: &Node, message: &QuarantineMessage) -> QuarantineReply {
    let now = node.now();
    match message {
        QuarantineMessage::Struck(strikes) => {
            record_strikes(node, strikes);
            QuarantineReply::Noted
        }
        QuarantineMessage::Cleared(clearance) => {
            node.quarantine.lock().strike_table.on_clearance(now, clearance);
            QuarantineReply::Noted
        }
        QuarantineMessage::Ask { fingerprint, request, first, strikes } => {
            record_strikes(node, strikes);
            QuarantineReply::Permit(decide_permit(node, *fingerprint, *request, first).await)
        }
        QuarantineMessage::Finished { fingerprint, request, strikes } => {
            record_strikes(node, strikes);
            node.quarantine.lock().permits.finish(*fingerprint, *request);
            QuarantineReply::Noted
        }
        QuarantineMessage::Confirm { fingerprint, strikes } => {
            confirm_first(node, *fingerprint, strikes)
        }
    }
}

fn record_strikes(node: &Node, strikes: &[Strike]) {
    let now = node.now();
    let mut state = node.quarantine.lock();
    for strike in strikes {
        state.strike_table.on_strike(now, strike.clone());
    }
}

fn confirm_first(node: &Node, fingerprint: Fingerprint, strikes: &[Strike]) -> QuarantineReply {
    record_strikes(node, strikes);
    let state = node.quarantine.lock();
    let occupied = state.admitted.values().any(|admitted| *admitted == fingerprint);
    QuarantineReply::First { occupied, strikes: state.strike_table.strikes(fingerprint) }
}

async fn decide_permit(
    node: &Node,
    fingerprint: Fingerprint,
    request: RequestId,
    first: &BackendName,
) -> PermitReply {
    let decide = |first| {
        let now = node.now();
        let mut state = node.quarantine.lock();
        let decision = state.strike_table.decision(now, fingerprint);
        state.permits.on_permit_request(now, fingerprint, request, decision, first)
    };
    let reply = decide(FirstEngineCheck::NotAsked);
    if reply != PermitReply::AskFirst {
        return reply;
    }
    let strikes = node.quarantine.lock().strike_table.strikes(fingerprint);
    let confirm = QuarantineMessage::Confirm { fingerprint, strikes };
    let engine = node.backends(|known| known.get(first).cloned());
    let owner = engine.and_then(|engine| node.owner_of(&engine));
    match send_to(node, owner, &confirm).await {
        Some(QuarantineReply::First { occupied, strikes }) => {
            record_strikes(node, &strikes);
            decide(if occupied { FirstEngineCheck::Occupied } else { FirstEngineCheck::Confirmed })
        }
        _ => decide(FirstEngineCheck::Occupied),
    }
}

async fn return_permit(
    node: &Node,
    fingerprint: Fingerprint,
    request: RequestId,
    strikes: Vec<Strike>,
) {
    let message = QuarantineMessage::Finished { fingerprint, request, strikes };
    send_to(node, home_of(node, fingerprint), &message).await;
}

/// Sends a message to one instance, or handles it here if that is this one; `None` without a reply.
async fn send_to(
    node: &Node,
    to: Option<InstanceName>,
    message: &QuarantineMessage,
) -> Option<QuarantineReply> {
    let to = to?;
    if to == node.settings.instance {
        return Some(Box::pin(handle_message(node, message)).await);
    }
    let peer = node.membership(|members| members.get(&to).map(PeerTarget::from))?;
    let client = &node.clients.peer;
    client.call(&peer, PeerPath::Quarantine, message, PEER_TIMEOUT).await.ok()?.ok()
}

/// Sends a message to all other instances; returns when each has answered or timed out.
async fn broadcast(node: &Arc<Node>, update: QuarantineMessage) {
    let peers: Vec<PeerTarget> =
        node.membership(|members| members.all().map(PeerTarget::from).collect());
    let update = Arc::new(update);
    let mut calls = JoinSet::new();
    for peer in peers {
        let node = Arc::clone(node);
        let update = Arc::clone(&update);
        calls.spawn(async move {
            let client = &node.clients.peer;
            let call = client.call::<_, QuarantineReply>(
                &peer,
                PeerPath::Quarantine,
                &*update,
                PEER_TIMEOUT,
            );
            // A peer that misses this gets the strikes with a later `Ask` or `Confirm`.
            let _ = call.await;
        });
    }
    while calls.join_next().await.is_some() {}
}

fn home_of(node: &Node, fingerprint: Fingerprint) -> Option<InstanceName> {
    let listed = node.listed_candidates();
    quarantine::home_instance(fingerprint, listed.iter().map(|candidate| &candidate.name))
}

fn first_engine(node: &Node, message: &Dispatch) -> BackendName {
    let first = node.backends(|known| {
        let BackendRole::Engine { model, .. } = &known.get(&message.engine)?.role else {
            return None;
        };
        let engines = known.live_engines(model);
        quarantine::first_engine(
            &message.adapter.adapter,
            engines.into_iter().map(|engine| &engine.name),
        )
    });
    first.unwrap_or_else(|| message.engine.clone())
}

fn quarantined_error(retry_after: Duration) -> Error {
    Error::new(ErrorKind::Quarantined, "the request was running when two engines crashed")
        .retry_after(retry_after)
}

fn busy_error(retry_after: Duration) -> Error {
    Error::new(ErrorKind::Overloaded, "another copy of the request may be running")
        .retry_after(retry_after)
}
