//! Changes of the published state that instances take from each other.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::PublishedTopic;
use super::exchange::PEER_CALL_TIMEOUT;
use super::exchange::call_peer;
use super::log_event::LogEvent;
use super::log_event::record;
use super::node::Node;
use super::operator_items;
use super::published;
use crate::decide::traffic::PublishedEvent;
use crate::decide::traffic::ViewChanges;
use crate::error::Result;
use crate::wire::relay::PUBLISHED_PATH;
use crate::wire::relay::PublishedPart;
use crate::wire::relay::PublishedRequest;

/// Time for which a version must be missing to be asked for by itself; the changes of the published
/// state bring it sooner unless the store was restored.
const CONFIG_FETCH_DELAY: Duration = Duration::from_millis(600);

/// Asks a peer for the changes of a topic that this instance lacks.
pub async fn fetch(node: Arc<Node>, topic: PublishedTopic, addr: SocketAddr) {
    let part = match topic {
        PublishedTopic::Operator => PublishedPart::Operator,
        PublishedTopic::Replicas => PublishedPart::Replicas,
    };
    let request = {
        let view = node.view(topic);
        PublishedRequest { part, after: view.as_of(), era: view.era() }
    };
    let reply: Result<ViewChanges> =
        call_peer(&node, addr, PUBLISHED_PATH, &request, PEER_CALL_TIMEOUT).await;
    match reply {
        Ok(changes) => published::apply_peer_changes(&node, topic, changes),
        Err(e) => {
            let (what, subject) = ("published state", addr.to_string());
            record(&LogEvent::PeerFailed { what, subject: &subject, detail: &e.to_string() });
        }
    }
}

/// The changes of a topic that a peer asks for.
pub fn changes_for(node: &Node, request: PublishedRequest) -> ViewChanges {
    let topic = match request.part {
        PublishedPart::Operator => PublishedTopic::Operator,
        PublishedPart::Replicas => PublishedTopic::Replicas,
        PublishedPart::Config => return config_in_effect(node),
    };
    let now = node.now();
    let changes = node.view(topic).changes_after(now, request.era, request.after);
    let after_outage = published::is_after_outage(now, node.view(topic).outage_ended());
    ViewChanges { after_outage, ..changes }
}

/// Asks a peer for its configuration in effect if it has named a higher version than this
/// instance's for a while: a store that was restored doesn't have it.
pub async fn fetch_missing_config(node: Arc<Node>, addr: SocketAddr) {
    if node.freshness.missing_for().is_none_or(|time| time < CONFIG_FETCH_DELAY) {
        return;
    }
    let request = PublishedRequest { part: PublishedPart::Config, after: None, era: 0 };
    let reply: Result<ViewChanges> =
        call_peer(&node, addr, PUBLISHED_PATH, &request, PEER_CALL_TIMEOUT).await;
    match reply {
        Ok(changes) => {
            for event in &changes.events {
                if let PublishedEvent::Written(item) = event {
                    operator_items::take_config(&node, item);
                }
            }
        }
        Err(e) => {
            let (what, subject) = ("configuration", addr.to_string());
            record(&LogEvent::PeerFailed { what, subject: &subject, detail: &e.to_string() });
        }
    }
}

fn config_in_effect(node: &Node) -> ViewChanges {
    let item = node.config_item.borrow().clone();
    let events = item.into_iter().map(PublishedEvent::Written).collect();
    ViewChanges { events, ..ViewChanges::default() }
}
