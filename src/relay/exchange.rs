//! Gossip exchange between instances, and the other calls that they make to each other.
//!
//! In each round an instance sends what it knows to a few peers and takes what they know from
//! their replies: live instances, fencing numbers, adapters and workloads of replicas, strikes
//! against requests suspected of crashing replicas, and how recent each view of the published
//! state is.
//! A peer with newer items is then asked for these.
//!
//! The other calls go to the owner of a replica, the instance that gives it its orders: requests
//! for loads, turns of long prompts and notices of adapter uses. A handover goes to the next
//! owner. A few instances are asked where a stream began.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::sleep;

use super::PublishedTopic;
use super::boot_clock::boot_timestamp;
use super::loads;
use super::log_event::LogEvent;
use super::log_event::record;
use super::node::Node;
use super::orders;
use super::permits;
use super::prompt_quarantine;
use super::published_exchange;
use super::quotas;
use super::stream_origins;
use super::turns;
use crate::decide::listening::FleetRole;
use crate::decide::traffic::Receiver;
use crate::decide::traffic::Replica;
use crate::decide::traffic::Strikes;
use crate::edge;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;
use crate::names::InstanceName;
use crate::names::Timestamp;
use crate::wire::frame::decode;
use crate::wire::frame::encode;
use crate::wire::quota::QUOTA_PATH;
use crate::wire::relay::EXCHANGE_PATH;
use crate::wire::relay::Exchange;
use crate::wire::relay::FAILURE_PATH;
use crate::wire::relay::FailureNotice;
use crate::wire::relay::HANDOVER_PATH;
use crate::wire::relay::Handover;
use crate::wire::relay::HandoverReply;
use crate::wire::relay::LOAD_PATH;
use crate::wire::relay::LoadReply;
use crate::wire::relay::LoadRequest;
use crate::wire::relay::OwnedReplica;
use crate::wire::relay::PUBLISHED_PATH;
use crate::wire::relay::REPEATED_USES_PATH;
use crate::wire::relay::RepeatedUses;
use crate::wire::relay::ReplicaWorkload;
use crate::wire::relay::TURN_END_PATH;
use crate::wire::relay::TURN_PATH;
use crate::wire::relay::TurnRequest;
use crate::wire::relay::USE_PATH;
use crate::wire::relay::UseNotice;
use crate::wire::relay::ViewDigests;
use crate::wire::send_permit::PERMIT_END_PATH;
use crate::wire::send_permit::PERMIT_PATH;
use crate::wire::stream_origin::STREAM_ORIGIN_PATH;
use crate::wire::transfer::PIECE_PATH;

/// Interval between rounds of exchanges.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(350);
/// Shortest interval between rounds, for changes of the published state.
const MIN_EXCHANGE_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of a call in which the peer has nothing to wait for.
pub const PEER_CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Time by which a call outlasts the load or turn that the peer waits for.
const WAIT_MARGIN: Duration = Duration::from_millis(100);

/// Runs rounds of exchanges until the process ends.
pub async fn run(node: Arc<Node>) {
    loop {
        let now = node.now();
        node.peers().set_role(node.addresses.fleet_role());
        let targets = node.peers().next_round(now);
        for addr in targets {
            tokio::spawn(exchange_with(Arc::clone(&node), addr));
        }
        drop_uses_of_dead_peers(&node);
        permits::drop_unneeded(&node);
        quotas::follow_fleet(&node);
        sleep(MIN_EXCHANGE_INTERVAL).await;
        tokio::select! {
            () = sleep(EXCHANGE_INTERVAL - MIN_EXCHANGE_INTERVAL) => {}
            () = node.exchange_wake.notified() => {}
        }
    }
}

/// Serves a call of another instance.
///
/// # Errors
///
/// `NotFound` for an unknown path, `Malformed` for a body that can't be decoded.
pub async fn serve(node: &Arc<Node>, path: &str, body: &[u8]) -> Result<Bytes> {
    match path {
        EXCHANGE_PATH => {
            let received: Exchange = decode(body)?;
            let receiver = node.peers().sender_of(&received.peers);
            apply_exchange(node, received, None);
            let config_proof = node.config_proof();
            encode(&Exchange { config_proof, ..build_exchange(node, &receiver) })
        }
        LOAD_PATH => {
            let request: LoadRequest = decode(body)?;
            encode(&loads::load_as_owner(node, &request).await)
        }
        HANDOVER_PATH => {
            let accepted = orders::accept_handover(node, decode(body)?);
            encode(&HandoverReply { accepted })
        }
        USE_PATH => {
            let notice: UseNotice = decode(body)?;
            let now = node.now();
            if let Some(owned) = node.owned().get_mut(&notice.replica) {
                owned.plan.on_use(now, &notice.key, &notice.news);
                if let Some(us) = notice.event_gap_us {
                    owned.pace.on_stream(now, Duration::from_micros(u64::from(us)));
                }
            }
            node.order_wake.notify_one();
            encode(&())
        }
        FAILURE_PATH => {
            let FailureNotice { replica, weight } = decode(body)?;
            let now = node.now();
            if let Some(known) = node.replicas().get_mut(&replica) {
                known
                    .on_failure(now, if weight.is_finite() { weight.clamp(0.0, 1.0) } else { 0.0 });
            }
            encode(&())
        }
        REPEATED_USES_PATH => {
            let RepeatedUses { user, use_serial, loads } = decode(body)?;
            apply_peer_workloads(node, &user, use_serial, &loads);
            encode(&())
        }
        TURN_PATH => encode(&turns::wait_as_owner(node, &decode(body)?).await),
        TURN_END_PATH => {
            turns::end_as_owner(node, &decode(body)?);
            encode(&())
        }
        PERMIT_PATH => encode(&permits::answer(node, &decode(body)?)),
        PERMIT_END_PATH => {
            node.permits.on_end(&decode(body)?);
            encode(&())
        }
        QUOTA_PATH => encode(&quotas::answer(node, &decode(body)?)),
        STREAM_ORIGIN_PATH => encode(&stream_origins::answer(node, &decode(body)?)),
        PIECE_PATH => encode(&node.transfers.answer(&decode(body)?)),
        PUBLISHED_PATH => encode(&published_exchange::changes_for(node, decode(body)?)),
        _ => Err(Error::new(ErrorKind::NotFound, format!("no such path: {path}"))),
    }
}

/// Asks the owner of a replica for a load; a failed call counts as not loaded.
pub async fn ask_owner_to_load(
    node: &Node,
    owner: &InstanceName,
    request: &LoadRequest,
) -> LoadReply {
    let Some(addr) = node.peers().addr_of(node.now(), owner) else {
        return LoadReply::unavailable();
    };
    let limit = Duration::from_millis(request.wait_ms) + WAIT_MARGIN;
    let reply: Result<LoadReply> = call_peer(node, addr, LOAD_PATH, request, limit).await;
    match reply {
        Ok(reply) => reply,
        Err(e) => {
            let subject = request.replica.as_str();
            record(&LogEvent::PeerFailed { what: "load", subject, detail: &e.to_string() });
            LoadReply::unavailable()
        }
    }
}

/// Waits for a long prompt's turn at the owner of a replica; a failed call ends the wait.
pub async fn wait_for_turn_at_owner(
    node: &Node,
    owner: &InstanceName,
    request: &TurnRequest,
    wait: Duration,
) {
    let Some(addr) = node.peers().addr_of(node.now(), owner) else { return };
    let limit = wait + WAIT_MARGIN;
    let reply: Result<bool> = call_peer(node, addr, TURN_PATH, request, limit).await;
    if let Err(e) = reply {
        let subject = request.turn.replica.as_str();
        record(&LogEvent::PeerFailed { what: "turn", subject, detail: &e.to_string() });
    }
}

/// Hands the ownership of a replica over to `successor`; returns whether it accepted.
pub async fn hand_over(node: &Node, successor: &InstanceName, handover: &Handover) -> bool {
    let Some(addr) = node.peers().addr_of(node.now(), successor) else { return false };
    let reply: Result<HandoverReply> =
        call_peer(node, addr, HANDOVER_PATH, handover, PEER_CALL_TIMEOUT).await;
    match reply {
        Ok(reply) => reply.accepted,
        Err(e) => {
            let subject = handover.replica.as_str();
            record(&LogEvent::PeerFailed { what: "handover", subject, detail: &e.to_string() });
            false
        }
    }
}

/// Drops the adapter uses of instances that are gone, so that they keep no adapter loaded.
fn drop_uses_of_dead_peers(node: &Node) {
    let now = node.now();
    let peers = node.peers();
    for owned in node.owned().values_mut() {
        owned.plan.retain_users(|user| !peers.is_gone(now, user));
    }
}

async fn exchange_with(node: Arc<Node>, addr: SocketAddr) {
    let receiver = node.peers().receiver_at(node.now(), addr);
    let message = build_exchange(&node, &receiver);
    let asked_at = boot_timestamp();
    let reply: Result<Exchange> =
        call_peer(&node, addr, EXCHANGE_PATH, &message, PEER_CALL_TIMEOUT).await;
    match reply {
        Ok(received) => {
            node.freshness.on_peer_proof(asked_at, received.config_proof);
            node.set_joined(Some(addr));
            let version = received.config_proof.map(|proof| proof.version);
            apply_exchange(&node, received, Some(addr));
            if version > node.freshness.version() {
                published_exchange::fetch_missing_config(node, addr).await;
            }
        }
        Err(e) => log::debug!("exchange with {addr} failed, left to a later round: {e}"),
    }
}

/// Calls another instance; the reply must be complete within `limit`.
///
/// # Errors
///
/// `PeerUnreachable` if there is no complete reply in time, `Malformed` if it can't be decoded.
pub async fn call_peer<M: Serialize, R: DeserializeOwned>(
    node: &Node,
    addr: SocketAddr,
    path: &str,
    message: &M,
    limit: Duration,
) -> Result<R> {
    edge::call_peer(&node.http, addr, path, message, limit).await
}

fn build_exchange(node: &Node, receiver: &Receiver) -> Exchange {
    let now = node.now();
    let hears_work = node.peers().hears_work(now, receiver);
    let strikes = node.crash_guard().active_strikes(now);
    let (crash_evidence, sound_parts) = node.prompt_guard().share(now);
    let limits = permits::news(node, receiver);
    Exchange {
        peers: node.peers().gossip(now, receiver),
        fence: node.highest_fence(),
        owned: if hears_work { owned_replicas(node) } else { Vec::new() },
        loads: if hears_work { own_workloads(node) } else { Vec::new() },
        use_serial: node.use_serial(),
        strikes: strikes.iter().map(|s| (s.fingerprint, s.count)).collect(),
        strike_ages_ms: strikes.iter().map(|s| s.age_ms).collect(),
        views: shared_views(node, now),
        leaving: node.replicas().recently_leaving(now),
        crash_evidence,
        sound_parts,
        limits,
        config_proof: None,
    }
}

/// What peers may ask this instance for: nothing unless they can call it.
fn shared_views(node: &Node, now: Timestamp) -> ViewDigests {
    match node.addresses.fleet_role() {
        FleetRole::Full => ViewDigests {
            operator: node.view(PublishedTopic::Operator).digest(now),
            replicas: node.view(PublishedTopic::Replicas).digest(now),
        },
        FleetRole::Limited | FleetRole::Observer => ViewDigests::default(),
    }
}

/// Replicas that this instance owns, and what they hold.
fn owned_replicas(node: &Node) -> Vec<OwnedReplica> {
    let all = node.owned();
    let held = all.iter().filter(|(_, owned)| owned.lease.is_held());
    held.map(|(replica, owned)| OwnedReplica {
        replica: replica.clone(),
        started_ms: owned.started_ms,
        models: owned.plan.held_models(),
    })
    .collect()
}

/// Work of this instance's requests, by replica.
pub fn own_workloads(node: &Node) -> Vec<ReplicaWorkload> {
    let replicas = node.replicas();
    replicas.all().filter_map(own_workload).collect()
}

/// Work of this instance's requests at a replica; `None` if there is none.
fn own_workload(replica: &Replica) -> Option<ReplicaWorkload> {
    (replica.own_workload.requests > 0).then(|| ReplicaWorkload {
        replica: replica.entry.name.clone(),
        load: replica.own_workload,
        in_use: replica.in_use().iter().map(|(key, count)| (key.clone(), *count)).collect(),
    })
}

/// Applies what a peer knows. `from` is the address at which the peer was called; `None` if it was
/// the peer that called.
fn apply_exchange(node: &Arc<Node>, received: Exchange, from: Option<SocketAddr>) {
    let now = node.now();
    let Some(sender) = received.peers.records.first().cloned() else { return };
    if sender.name == node.settings.instance {
        return;
    }
    node.peers().on_gossip(now, received.peers);
    node.on_fence_seen(received.fence);
    for owned in &received.owned {
        let preferred_owner = node.peers().preferred_owner(now, owned.replica.as_str());
        if preferred_owner.as_ref() != Some(&sender.name) {
            continue;
        }
        if let Some(known) = node.replicas().get_mut(&owned.replica)
            && known.entry.started_ms == owned.started_ms
        {
            known.on_owner_update(now, &owned.models);
        }
    }
    apply_peer_workloads(node, &sender.name, received.use_serial, &received.loads);
    for (replica, started_ms) in &received.leaving {
        if node.replicas().on_leaving(now, replica, *started_ms) {
            let (replica, by) = (replica.as_str(), sender.name.as_str());
            record(&LogEvent::ReplicaLeaving { replica, by });
        }
    }
    for news in &received.limits {
        permits::on_news(node, news, sender.name.as_str());
    }
    prompt_quarantine::on_peer_evidence(node, &received.crash_evidence, &received.sound_parts);
    let ages_ms = received.strike_ages_ms.into_iter().chain(std::iter::repeat(0));
    for ((fingerprint, count), age_ms) in received.strikes.into_iter().zip(ages_ms) {
        node.crash_guard().on_peer_strikes(now, &Strikes { fingerprint, count, age_ms });
    }
    let addr = from.unwrap_or(sender.addr);
    for (topic, digest) in [
        (PublishedTopic::Operator, received.views.operator),
        (PublishedTopic::Replicas, received.views.replicas),
    ] {
        let is_reader = node.peers().reads_published(now);
        published_exchange::on_peer_digest(node, topic, &digest, is_reader, addr);
    }
}

fn apply_peer_workloads(
    node: &Node,
    peer: &InstanceName,
    use_serial: u64,
    workloads: &[ReplicaWorkload],
) {
    let now = node.now();
    for work in workloads {
        if let Some(known) = node.replicas().get_mut(&work.replica) {
            known.on_peer_workload(now, peer, work.load, work.in_use.clone());
        }
        if let Some(owned) = node.owned().get_mut(&work.replica) {
            owned.plan.on_all_uses(now, peer, use_serial, &work.in_use);
        }
    }
}
