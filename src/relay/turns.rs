//! Turns in which a replica reads long prompts, granted by the replica's owner.
//!
//! The owner is the instance that gives the replica its orders. [`PromptTurns`] decides whose
//! turn it is; a prompt whose turn doesn't come in time is sent without one.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use super::exchange;
use super::node::Node;
use super::notices;
use crate::decide::traffic::PromptTurns;
use crate::decide::traffic::RequestNeeds;
use crate::decide::traffic::TurnId;
use crate::names::BackendName;
use crate::names::InstanceName;
use crate::names::Timestamp;
use crate::wire::relay::TurnRef;
use crate::wire::relay::TurnRequest;

/// Longest wait for a turn; then the prompt is sent without one.
const MAX_TURN_WAIT: Duration = Duration::from_millis(600);

/// A turn of a long prompt, or the wait for it; dropping this guard ends it.
pub struct PromptTurn {
    node: Arc<Node>,
    owner: InstanceName,
    turn_ref: TurnRef,
}

impl Drop for PromptTurn {
    fn drop(&mut self) {
        if self.owner == self.node.settings.instance {
            end_as_owner(&self.node, &self.turn_ref);
        } else {
            notices::notify_owner_of_turn_end(
                &self.node,
                self.owner.clone(),
                self.turn_ref.clone(),
            );
        }
    }
}

/// Waits for the turn of a prompt, which may be sent afterwards even if the turn didn't come.
///
/// `None` for short prompts, which need no turn, and for replicas that no instance owns.
pub async fn acquire(
    node: &Arc<Node>,
    replica: &BackendName,
    needs: &RequestNeeds,
) -> Option<PromptTurn> {
    let key = needs.key.clone()?;
    if !PromptTurns::is_needed(needs.prompt_tokens) {
        return None;
    }
    let owner = node.peers().preferred_owner(node.now(), replica.as_str())?;
    let me = node.settings.instance.clone();
    let id = TurnId { user: me.clone(), serial: node.next_use_serial() };
    let turn_ref = TurnRef { replica: replica.clone(), ticket: id };
    let turn =
        PromptTurn { node: Arc::clone(node), owner: owner.clone(), turn_ref: turn_ref.clone() };
    let (parts, tokens) = (needs.parts.clone(), needs.prompt_tokens);
    let request = TurnRequest { turn: turn_ref, key, parts, tokens };
    if owner == me {
        wait_as_owner(node, &request).await;
    } else {
        exchange::wait_for_turn_at_owner(node, &owner, &request, MAX_TURN_WAIT).await;
    }
    Some(turn)
}

/// Waits for a turn at a replica that this instance owns; returns whether it came.
pub async fn wait_as_owner(node: &Node, request: &TurnRequest) -> bool {
    let mut changes = node.turn_changes.subscribe();
    let deadline = node.now() + MAX_TURN_WAIT;
    loop {
        let now = node.now();
        let granted = try_as_owner(node, now, request);
        let Some(granted) = granted else { return false };
        let left = deadline.since(now);
        if granted || left.is_zero() {
            return granted;
        }
        tokio::select! {
            changed = changes.changed() => if changed.is_err() { return false },
            () = sleep(left) => {}
        }
    }
}

/// Tries to take a turn; `None` if this instance doesn't own the replica.
fn try_as_owner(node: &Node, now: Timestamp, request: &TurnRequest) -> Option<bool> {
    let TurnRequest { turn, key, parts, tokens } = request;
    let mut all = node.owned();
    let owned = all.get_mut(&turn.replica)?;
    let unread = tokens.saturating_sub(owned.prefixes.cached_prefix_tokens(key, parts));
    let granted = owned.turns.try_take_turn(now, &turn.ticket, unread);
    if granted {
        owned.prefixes.on_read(now, key, parts);
    }
    Some(granted)
}

/// Ends a turn at a replica that this instance owns.
pub fn end_as_owner(node: &Node, turn_ref: &TurnRef) {
    if let Some(owned) = node.owned().get_mut(&turn_ref.replica) {
        owned.turns.end(&turn_ref.ticket);
    }
    node.turn_changes.send_modify(|count| *count += 1);
}
