//! Message exchange of the quorum leases that decide which instance owns an engine group.
//!
//! As a holder, this instance asks the panel of each group that it should own
//! for a lease, which a majority grants. As a panel member, it grants leases to
//! others. [`crate::decide::ownership`] makes both decisions.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use super::Node;
use super::owner_calls;
use crate::decide::ownership::Candidate;
use crate::decide::ownership::Claimant;
use crate::decide::ownership::GroupId;
use crate::decide::ownership::LeaseAction;
use crate::decide::ownership::LeaseGranter;
use crate::decide::ownership::LeaseHolder;
use crate::decide::ownership::LeaseMessage;
use crate::decide::ownership::LeaseReply;
use crate::decide::ownership::LeaseRequest;
use crate::decide::ownership::LeaseTiming;
use crate::decide::ownership::panel;
use crate::edge::PeerPath;
use crate::edge::PeerTarget;
use crate::edge::Reply;
use crate::edge::Request;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;
use crate::names::InstanceName;
use crate::names::Timestamp;
use crate::telemetry::Counter;
use crate::wire::frame;

/// Timeout of one lease message to a panel member.
const LEASE_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct State {
    granter: LeaseGranter,
    holders: BTreeMap<GroupId, LeaseHolder>,
    /// Candidates that `panels` was computed from.
    listed: Vec<Candidate>,
    panels: BTreeMap<GroupId, Vec<InstanceName>>,
}

/// Leases that this instance holds and those that it has granted as a panel member.
#[derive(Debug)]
pub struct Leases {
    timing: LeaseTiming,
    claimant: Claimant,
    state: Mutex<State>,
}

impl Leases {
    /// No lease held and none granted.
    pub fn new(claimant: Claimant) -> Self {
        let timing = LeaseTiming::default();
        let state = State {
            granter: LeaseGranter::new(timing),
            holders: BTreeMap::new(),
            listed: Vec::new(),
            panels: BTreeMap::new(),
        };
        Self { timing, claimant, state: Mutex::new(state) }
    }

    /// Terms and delays that lease times are computed from.
    pub fn timing(&self) -> &LeaseTiming {
        &self.timing
    }

    /// Checks that something may be sent to the group's engines; `now` must be read just before.
    ///
    /// # Errors
    ///
    /// `NotOwner` if the lease isn't held or could expire before the message arrives.
    pub fn may_act(&self, now: Timestamp, group: &GroupId) -> Result<()> {
        match self.lock().holders.get(group) {
            Some(holder) => holder.may_act(now),
            None => {
                Err(Error::new(ErrorKind::NotOwner, format!("group {group} was never leased here")))
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Requests, renews and releases leases; called each [`owner_calls::WATCH_INTERVAL`].
pub fn tick(node: &Arc<Node>) {
    let now = node.now();
    let groups: BTreeSet<GroupId> = node
        .backends(|known| known.all_live_engines().into_iter().filter_map(GroupId::of).collect());
    let live = node.live_candidates();
    let listed = node.listed_candidates();
    let own_name = &node.settings.instance;
    let mut state = node.leases.lock();
    state.granter.on_tick(now);
    refresh_panels(&mut state, now, own_name, &groups, listed);
    for group in &groups {
        let holder =
            || LeaseHolder::new(group.clone(), node.leases.claimant.clone(), node.leases.timing);
        state.holders.entry(group.clone()).or_insert_with(holder);
    }
    let State { holders, panels, .. } = &mut *state;
    for (group, holder) in holders {
        let panel = panels.get(group).map_or(&[][..], Vec::as_slice);
        let should_own =
            groups.contains(group) && group.preferred_owner(&live).as_ref() == Some(own_name);
        let actions = holder.on_tick(now, should_own, panel);
        run_actions(node, group, actions);
    }
}

/// Handles a foreign fence: the engines are taken over again, or the lease is given up.
pub fn on_fenced(node: &Arc<Node>, group: &GroupId) {
    let now = node.now();
    let mut state = node.leases.lock();
    let State { holders, panels, .. } = &mut *state;
    let panel = panels.get(group).map_or(&[][..], Vec::as_slice);
    if let Some(holder) = holders.get_mut(group) {
        let actions = holder.on_fenced(now, panel);
        run_actions(node, group, actions);
    }
}

/// Answers `POST /peer/v1/lease`.
///
/// # Errors
///
/// `Malformed` if the body isn't a lease message.
pub fn serve(node: &Node, req: &Request) -> Result<Reply> {
    let mut state = node.leases.lock();
    let reply = match frame::decode(&req.body)? {
        LeaseMessage::Ask(request) => Some(state.granter.on_request(node.now(), &request)),
        LeaseMessage::Release(release) => {
            state.granter.on_release(&release);
            None
        }
    };
    Ok(Reply::msgpack(&reply))
}

fn refresh_panels(
    state: &mut State,
    now: Timestamp,
    own_name: &InstanceName,
    groups: &BTreeSet<GroupId>,
    listed: Vec<Candidate>,
) {
    if state.listed == listed && state.panels.keys().eq(groups.iter()) {
        return;
    }
    state.panels = groups.iter().map(|group| (group.clone(), panel(group, &listed))).collect();
    state.listed = listed;
    let own_panels: BTreeSet<GroupId> = state
        .panels
        .iter()
        .filter(|(_, members)| members.contains(own_name))
        .map(|(group, _)| group.clone())
        .collect();
    state.granter.on_panels(now, &own_panels);
}

/// Runs lease actions in order; the caller holds the lock of the leases.
fn run_actions(node: &Arc<Node>, group: &GroupId, actions: Vec<LeaseAction>) {
    for action in actions {
        match action {
            LeaseAction::Acquired => {
                log::info!("lease of engine group {group} acquired; taking its engines over");
                node.metrics.count(Counter::LeaseGained);
                owner_calls::on_lease_acquired(node, group);
            }
            LeaseAction::Lost => {
                log::info!(
                    "lease of engine group {group} ended; sending nothing more to its engines"
                );
                node.metrics.count(Counter::LeaseLost);
                owner_calls::on_lease_lost(node, group);
            }
            LeaseAction::Ask { to, request } => {
                tokio::spawn(request_lease(Arc::clone(node), to, request));
            }
            LeaseAction::Release { to, release } => {
                let message = LeaseMessage::Release(release);
                let node = Arc::clone(node);
                tokio::spawn(async move { send_to_panel(&node, &to, &message).await });
            }
        }
    }
}

async fn request_lease(node: Arc<Node>, to: InstanceName, request: LeaseRequest) {
    let group = request.group.clone();
    let Some(reply) = send_to_panel(&node, &to, &LeaseMessage::Ask(request)).await else { return };
    let now = node.now();
    let mut state = node.leases.lock();
    if let Some(holder) = state.holders.get_mut(&group) {
        let actions = holder.on_reply(now, &to, &reply);
        run_actions(&node, &group, actions);
    }
}

/// Sends a message to a panel member, which may be this instance; `None` without a reply.
async fn send_to_panel(
    node: &Node,
    to: &InstanceName,
    message: &LeaseMessage,
) -> Option<LeaseReply> {
    if to == &node.settings.instance {
        let mut state = node.leases.lock();
        return match message {
            LeaseMessage::Ask(request) => Some(state.granter.on_request(node.now(), request)),
            LeaseMessage::Release(release) => {
                state.granter.on_release(release);
                None
            }
        };
    }
    let peer = node.membership(|members| members.get(to).map(PeerTarget::from))?;
    let call = node.clients.peer.call(&peer, PeerPath::Lease, message, LEASE_TIMEOUT).await;
    call.ok()?.ok()?
}
