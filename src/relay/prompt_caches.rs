//! Asks replicas which of them hold a request's prompt in their KV caches.

use std::time::Duration;

use futures_util::future::join_all;
use tokio::time::timeout;

use super::node::Node;
use super::permits;
use super::replica_call::call_replica_at;
use crate::decide::traffic::CacheAnswer;
use crate::decide::traffic::OriginPresence;
use crate::decide::traffic::PossibleOrigin;
use crate::decide::traffic::PromptPart;
use crate::names::Timestamp;

/// Longest wait for their answers.
const ANSWER_TIME: Duration = Duration::from_millis(400);

/// What replicas hold of a part; none is asked that was asked a moment ago for another request.
pub async fn ask(
    node: &Node,
    replicas: Vec<PossibleOrigin>,
    part: &PromptPart,
) -> Vec<CacheAnswer> {
    if timeout(ANSWER_TIME, refresh(node, &replicas)).await.is_err() {
        log::debug!("not all KV caches were listed in time");
    }
    let listings = node.cache_listings();
    let now = node.now();
    let answer = |replica: PossibleOrigin| {
        let holding = listings.holding(now, &replica, part.id);
        replica.answer(holding)
    };
    replicas.into_iter().filter_map(answer).collect()
}

/// Gets the listings that are missing or old. One request does so at a time, so that those that wait
/// meanwhile find what it got.
async fn refresh(node: &Node, replicas: &[PossibleOrigin]) {
    let _turn = node.cache_listing_turn.lock().await;
    join_all(missing(node, replicas).into_iter().map(|replica| list(node, replica))).await;
}

/// The replicas that can be asked and of which there is no recent listing.
fn missing<'a>(node: &Node, replicas: &'a [PossibleOrigin]) -> Vec<&'a PossibleOrigin> {
    let now = node.now();
    let listings = node.cache_listings();
    let is_missing = |replica: &&PossibleOrigin| {
        replica.presence != OriginPresence::Ended && !listings.is_recent(now, replica)
    };
    replicas.iter().filter(is_missing).collect()
}

/// Gets the listing of one replica; without an answer the one that is known stays.
async fn list(node: &Node, replica: &PossibleOrigin) {
    let asked_at = node.now();
    if !may_be_asked(node, replica, asked_at) {
        return;
    }
    let parts = read_listing(node, replica).await;
    node.cache_listings().on_listing(replica, asked_at, parts.as_deref());
}

fn may_be_asked(node: &Node, replica: &PossibleOrigin, now: Timestamp) -> bool {
    let name = &replica.name;
    let is_paused = node.replicas().get(name).is_some_and(|known| known.is_paused(now));
    !is_paused && permits::allows_control_call(node, name)
}

/// The parts that a replica lists; `None` if it doesn't answer.
async fn read_listing(node: &Node, replica: &PossibleOrigin) -> Option<Vec<PromptPart>> {
    let PossibleOrigin { name, addr, started_ms, .. } = replica;
    let call = node.protocol.cache_listing_call(name);
    let reply = call_replica_at(node, name, *addr, *started_ms, call).await?;
    if !reply.status.is_success() {
        log::debug!("{name} doesn't list its KV cache: status {}", reply.status);
        return None;
    }
    let parts = match reply.read_body_within(ANSWER_TIME).await {
        Ok(body) => node.protocol.decode_cache_listing(&body).map_err(|e| e.to_string()),
        Err(failure) => Err(failure.detail),
    };
    parts.inspect_err(|e| log::debug!("listing of the KV cache of {name} not read: {e}")).ok()
}
