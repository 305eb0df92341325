//! Requests that crash engines: admission, permits, strikes and their spread.

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

/// Time within which a peer must answer.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Debug, Default)]
struct State {
    strike_table: StrikeTable,
    permits: RunPermits,
    /// Requests admitted here and not ended yet.
    admitted: BTreeMap<RequestId, Fingerprint>,
}

/// What one instance knows of requests that crash engines.
#[derive(Debug, Default)]
pub struct Quarantine {
    state: Mutex<State>,
}

impl Quarantine {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request that may run.
#[derive(Clone, Copy, Debug)]
pub struct Admission {
    /// Whether it must share the engine with no other.
    pub alone: bool,
    fingerprint: Fingerprint,
    request: RequestId,
    permitted: bool,
}

/// How an admitted request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Its whole answer came.
    Complete,
    /// It ended otherwise while the engine went on.
    Other,
    /// The incarnation of the engine on which it ran ended.
    Crashed(Incarnation),
}

/// Admits a request to an engine that this instance owns.
///
/// # Errors
///
/// `Quarantined` if it crashed engines, `Overloaded` while another copy may run elsewhere.
pub async fn admit(node: &Node, message: &Dispatch) -> Result<Admission> {
    let fingerprint = Fingerprint::of(&message.adapter, &message.prompt, message.max_tokens);
    let request = message.request_id;
    let first = first_engine(node, message);
    let strikes = {
        let mut state = node.quarantine.lock();
        let decision = state.strike_table.decision(node.now(), fingerprint);
        if let QuarantineDecision::Refuse { retry_after } = decision {
            return Err(refused(retry_after));
        }
        if decision == QuarantineDecision::Run && first == message.engine {
            state.admitted.insert(request, fingerprint);
            return Ok(Admission { alone: false, fingerprint, request, permitted: false });
        }
        state.strike_table.strikes(fingerprint)
    };
    let struck = !strikes.is_empty();
    let ask = QuarantineMessage::Ask { fingerprint, request, first, strikes };
    let alone = match tell(node, home_of(node, fingerprint), &ask).await {
        Some(QuarantineReply::Permit(PermitReply::Granted { alone })) => alone,
        Some(QuarantineReply::Permit(PermitReply::Refused { retry_after })) => {
            return Err(refused(retry_after));
        }
        Some(QuarantineReply::Permit(PermitReply::Busy { retry_after })) => {
            return Err(busy(retry_after));
        }
        // Without its home a request that nothing speaks against runs all the same.
        _ if !struck => false,
        _ => return Err(busy(PEER_TIMEOUT)),
    };
    if let QuarantineDecision::Refuse { retry_after } = register(node, fingerprint, request) {
        give_back(node, fingerprint, request, Vec::new()).await;
        return Err(refused(retry_after));
    }
    Ok(Admission { alone: alone || struck, fingerprint, request, permitted: true })
}

/// Looks at the strikes again, and notes the request as admitted if it may run.
fn register(node: &Node, fingerprint: Fingerprint, request: RequestId) -> QuarantineDecision {
    let mut state = node.quarantine.lock();
    let decision = state.strike_table.decision(node.now(), fingerprint);
    if !matches!(decision, QuarantineDecision::Refuse { .. }) {
        state.admitted.insert(request, fingerprint);
    }
    decision
}

/// Takes the end of an admitted request; spreads its strike or its clearance.
pub async fn finish(node: &Arc<Node>, engine: &BackendName, admission: Admission, end: Ending) {
    let Admission { alone, fingerprint, request, permitted } = admission;
    let now = node.now();
    let mut strikes = Vec::new();
    let mut news = None;
    {
        let mut state = node.quarantine.lock();
        state.admitted.remove(&request);
        match end {
            Ending::Crashed(incarnation) => {
                let strike = Strike { fingerprint, engine: engine.clone(), incarnation };
                state.strike_table.on_strike(now, strike.clone());
                strikes.push(strike);
                news = Some(QuarantineMessage::Struck(strikes.clone()));
            }
            Ending::Complete if alone => {
                news = state.strike_table.clear(now, fingerprint).map(QuarantineMessage::Cleared);
            }
            Ending::Complete | Ending::Other => {}
        }
    }
    if permitted {
        give_back(node, fingerprint, request, strikes).await;
    }
    if let Some(news) = news {
        log::warn!("request {request} on engine {engine}: {news:?}");
        spread(node, news).await;
    }
}

/// Answers `POST /peer/v1/quarantine`.
///
/// # Errors
///
/// `Malformed` if the body isn't a message of the quarantine.
pub async fn serve(node: &Node, req: &Request) -> Result<Reply> {
    let message: QuarantineMessage = frame::decode(&req.body)?;
    Ok(Reply::msgpack(&take(node, &message).await))
}

async fn take(node: &Node, message: &QuarantineMessage) -> QuarantineReply {
    let now = node.now();
    match message {
        QuarantineMessage::Struck(strikes) => {
            take_strikes(node, strikes);
            QuarantineReply::Noted
        }
        QuarantineMessage::Cleared(clearance) => {
            node.quarantine.lock().strike_table.on_clearance(now, clearance);
            QuarantineReply::Noted
        }
        QuarantineMessage::Ask { fingerprint, request, first, strikes } => {
            take_strikes(node, strikes);
            QuarantineReply::Permit(give_permit(node, *fingerprint, *request, first).await)
        }
        QuarantineMessage::Finished { fingerprint, request, strikes } => {
            take_strikes(node, strikes);
            node.quarantine.lock().permits.finish(*fingerprint, *request);
            QuarantineReply::Noted
        }
        QuarantineMessage::Confirm { fingerprint, strikes } => confirm(node, *fingerprint, strikes),
    }
}

fn take_strikes(node: &Node, strikes: &[Strike]) {
    let now = node.now();
    let mut state = node.quarantine.lock();
    for strike in strikes {
        state.strike_table.on_strike(now, strike.clone());
    }
}

fn confirm(node: &Node, fingerprint: Fingerprint, strikes: &[Strike]) -> QuarantineReply {
    take_strikes(node, strikes);
    let state = node.quarantine.lock();
    let occupied = state.admitted.values().any(|admitted| *admitted == fingerprint);
    QuarantineReply::First { occupied, strikes: state.strike_table.strikes(fingerprint) }
}

async fn give_permit(
    node: &Node,
    fingerprint: Fingerprint,
    request: RequestId,
    first: &BackendName,
) -> PermitReply {
    let decide = |first| {
        let now = node.now();
        let mut state = node.quarantine.lock();
        let decision = state.strike_table.decision(now, fingerprint);
        state.permits.ask(now, fingerprint, request, decision, first)
    };
    let reply = decide(FirstEngineCheck::NotAsked);
    if reply != PermitReply::AskFirst {
        return reply;
    }
    let strikes = node.quarantine.lock().strike_table.strikes(fingerprint);
    let confirm = QuarantineMessage::Confirm { fingerprint, strikes };
    let engine = node.backends(|known| known.get(first).cloned());
    let owner = engine.and_then(|engine| node.owner_of(&engine));
    match tell(node, owner, &confirm).await {
        Some(QuarantineReply::First { occupied, strikes }) => {
            take_strikes(node, &strikes);
            decide(if occupied { FirstEngineCheck::Occupied } else { FirstEngineCheck::Confirmed })
        }
        _ => decide(FirstEngineCheck::Occupied),
    }
}

async fn give_back(
    node: &Node,
    fingerprint: Fingerprint,
    request: RequestId,
    strikes: Vec<Strike>,
) {
    let message = QuarantineMessage::Finished { fingerprint, request, strikes };
    tell(node, home_of(node, fingerprint), &message).await;
}

/// Tells one instance, which may be this one.
async fn tell(
    node: &Node,
    to: Option<InstanceName>,
    message: &QuarantineMessage,
) -> Option<QuarantineReply> {
    let to = to?;
    if to == node.settings.instance {
        return Some(Box::pin(take(node, message)).await);
    }
    let peer = node.membership(|members| members.get(&to).map(PeerTarget::from))?;
    let client = &node.clients.peer;
    client.call(&peer, PeerPath::Quarantine, message, PEER_TIMEOUT).await.ok()?.ok()
}

/// Tells every instance; returns when each has answered or had its time.
async fn spread(node: &Arc<Node>, news: QuarantineMessage) {
    let peers: Vec<PeerTarget> =
        node.membership(|members| members.all().map(PeerTarget::from).collect());
    let news = Arc::new(news);
    let mut calls = JoinSet::new();
    for peer in peers {
        let node = Arc::clone(node);
        let news = Arc::clone(&news);
        calls.spawn(async move {
            let client = &node.clients.peer;
            let call = client.call::<_, QuarantineReply>(
                &peer,
                PeerPath::Quarantine,
                &*news,
                PEER_TIMEOUT,
            );
            // A peer that can't be told is told by the asker or the home of a permit.
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

fn refused(retry_after: Duration) -> Error {
    Error::new(ErrorKind::Quarantined, "the request was running when two engines crashed")
        .retry_after(retry_after)
}

fn busy(retry_after: Duration) -> Error {
    Error::new(ErrorKind::Overloaded, "another copy of the request may be running")
        .retry_after(retry_after)
}
