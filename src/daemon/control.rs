//! Control loop of membership, configuration and the instance list.
//!
//! One task ticks [`crate::decide::fleet::FleetView`] and runs the actions that
//! it returns. Each gossip message, read and long poll is a task of its own,
//! whose result is the next event.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::MissedTickBehavior;

use super::Node;
use crate::decide::config::ConfigAction;
use crate::decide::config::ConfigSource;
use crate::decide::config::ServiceHealth;
use crate::decide::config::ServiceReply;
use crate::decide::config::WATCH_WAIT;
use crate::decide::drain::DrainInput;
use crate::decide::fleet::FleetAction;
use crate::edge::PeerPath;
use crate::edge::PeerTarget;
use crate::edge::Reply;
use crate::edge::Request;
use crate::error::Result;
use crate::names::BackendName;
use crate::names::Generation;
use crate::names::Incarnation;
use crate::names::InstanceName;
use crate::telemetry::Counter;
use crate::wire::frame;
use crate::wire::gossip::ConfigReply;
use crate::wire::gossip::ConfigRequest;
use crate::wire::gossip::Gossip;
use crate::wire::gossip::GossipReply;
use crate::wire::published::PageRef;

/// Interval at which the decisions get the current time.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Time within which a peer must answer a gossip message.
const GOSSIP_TIMEOUT: Duration = Duration::from_secs(1);
/// Time within which a peer must return a configuration root or page.
const PEER_READ_TIMEOUT: Duration = Duration::from_secs(3);

/// Runs the control loop; never returns.
pub async fn run(node: Arc<Node>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let now = node.now();
        let actions = node.fleet_mut(|fleet| fleet.tick(now));
        run_actions(&node, actions);
    }
}

/// Tells all peers at once that this instance is draining.
pub fn announce_drain(node: &Arc<Node>) {
    let now = node.now();
    let actions = node.fleet_mut(|fleet| fleet.set_draining(now));
    run_actions(node, actions);
}

/// Handles a backend server's own statement that it is leaving.
pub fn on_backend_leaving(node: &Arc<Node>, name: &BackendName, incarnation: Option<Incarnation>) {
    let now = node.now();
    let actions = node.fleet_mut(|fleet| fleet.on_leaving_from_backend(now, name, incarnation));
    run_actions(node, actions);
}

/// Answers `POST /peer/v1/gossip`.
///
/// # Errors
///
/// `Malformed` if the body isn't a gossip message.
pub fn serve_gossip(node: &Arc<Node>, req: &Request) -> Result<Reply> {
    let message: Gossip = frame::decode(&req.body)?;
    let now = node.now();
    let (reply, actions) = node.fleet_mut(|fleet| fleet.on_gossip(now, message));
    run_actions(node, actions);
    Ok(Reply::msgpack(&reply))
}

/// Answers `POST /peer/v1/config` with the root or the requested page.
///
/// # Errors
///
/// `Malformed` if the body isn't a configuration request.
pub fn serve_config(node: &Node, req: &Request) -> Result<Reply> {
    let read: ConfigRequest = frame::decode(&req.body)?;
    let bytes = node.config(|config| config.serve(read.page.as_ref()));
    let text = bytes.and_then(|bytes| String::from_utf8(bytes.to_vec()).ok());
    Ok(Reply::msgpack(&ConfigReply { text }))
}

fn run_actions(node: &Arc<Node>, actions: Vec<FleetAction>) {
    for action in actions {
        match action {
            FleetAction::Gossip { to, addr, call, message } => {
                let peer = PeerTarget { name: to, addr };
                tokio::spawn(send_gossip(Arc::clone(node), peer, call, message));
            }
            FleetAction::Config(action) => run_config_action(node, action),
            FleetAction::ReadListing => {
                tokio::spawn(read_listing(Arc::clone(node)));
            }
            FleetAction::LeavingBackend(leaving) => {
                log::info!("backend server {} is leaving; it gets no new work", leaving.name);
            }
            FleetAction::Topic(update) => log::debug!("gossip update: {update:?}"),
            FleetAction::PauseDetected => {
                log::warn!(
                    "the process was paused; refusing new work until its peers have answered"
                );
            }
            FleetAction::Superseded => {
                log::error!("another process runs as {}; shutting down", node.settings.instance);
                let limit = node.settings.shutdown.hard_limit;
                node.drain_input(DrainInput::Requested { limit });
            }
        }
    }
}

fn run_config_action(node: &Arc<Node>, action: ConfigAction) {
    match action {
        ConfigAction::ReadServiceRoot { call, after } => {
            tokio::spawn(read_service_root(Arc::clone(node), call, after));
        }
        ConfigAction::ReadPeerRoot { from } => {
            tokio::spawn(read_peer_root(Arc::clone(node), from));
        }
        ConfigAction::ReadPage { from, page } => {
            tokio::spawn(read_page(Arc::clone(node), from, page));
        }
        ConfigAction::Applied(snapshot) => {
            node.metrics.count(Counter::ConfigApplied);
            let preset = &snapshot.root().preset;
            log::info!("generation {} is in effect, with preset {preset}", snapshot.generation());
        }
        ConfigAction::Conflict { ours, theirs, from } => {
            node.metrics.count(Counter::ConfigRefused);
            log::error!(
                "{from} holds other content of generation {} ({:016x}, here {:016x}); publish a higher one",
                ours.generation,
                theirs.root_hash,
                ours.root_hash
            );
        }
        ConfigAction::Refused(error) => {
            node.metrics.count(Counter::ConfigRefused);
            log::error!("{error}");
        }
        ConfigAction::ServiceChanged(health) => log_service_health(health),
    }
}

fn log_service_health(health: ServiceHealth) {
    match health {
        ServiceHealth::Current => {
            log::info!("the configuration service is reachable and up to date")
        }
        ServiceHealth::Stale => log::warn!("the configuration service shows an old generation"),
        ServiceHealth::Unreachable => log::warn!("the configuration service doesn't answer"),
    }
}

async fn send_gossip(node: Arc<Node>, peer: PeerTarget, call: u64, message: Gossip) {
    let client = &node.clients.peer;
    let reply = client.call(&peer, PeerPath::Gossip, &message, GOSSIP_TIMEOUT);
    let reply: Option<GossipReply> = reply.await.ok().and_then(Result::ok);
    let now = node.now();
    let actions = node.fleet_mut(|fleet| fleet.on_gossip_reply(now, &peer.name, call, reply));
    run_actions(&node, actions);
}

async fn read_listing(node: Arc<Node>) {
    let listing = node.clients.listing.read().await.ok();
    let now = node.now();
    let actions = node.fleet_mut(|fleet| fleet.on_listing(now, listing));
    run_actions(&node, actions);
}

async fn read_service_root(node: Arc<Node>, call: u64, after: Option<Generation>) {
    let client = &node.clients.config;
    let reply = match after {
        None => client.root().await.map(Some),
        Some(after) => client.watch(after, WATCH_WAIT).await,
    };
    let reply = match reply {
        Ok(Some(bytes)) => ServiceReply::Root(bytes),
        Ok(None) => ServiceReply::Unchanged,
        Err(_) => ServiceReply::Failed,
    };
    let now = node.now();
    let actions = node.fleet_mut(|fleet| fleet.on_service_reply(now, call, reply));
    run_actions(&node, actions);
}

async fn read_peer_root(node: Arc<Node>, from: InstanceName) {
    let bytes = request_peer_config(&node, &from, None).await;
    let now = node.now();
    let actions = node.fleet_mut(|fleet| fleet.on_peer_root(now, &from, bytes));
    run_actions(&node, actions);
}

async fn read_page(node: Arc<Node>, from: ConfigSource, page: PageRef) {
    let bytes = match &from {
        ConfigSource::Service => node.clients.config.page(&page.name).await.ok(),
        ConfigSource::Peer(peer) => request_peer_config(&node, peer, Some(page.clone())).await,
    };
    let now = node.now();
    let actions = node.fleet_mut(|fleet| fleet.on_page(now, &from, &page, bytes));
    run_actions(&node, actions);
}

async fn request_peer_config(
    node: &Node,
    peer: &InstanceName,
    page: Option<PageRef>,
) -> Option<Bytes> {
    let target = node.membership(|members| members.get(peer).map(PeerTarget::from))?;
    let read = ConfigRequest { page };
    let client = &node.clients.peer;
    let reply = client.call(&target, PeerPath::Config, &read, PEER_READ_TIMEOUT);
    let reply: ConfigReply = reply.await.ok()?.ok()?;
    reply.text.map(Bytes::from)
}
