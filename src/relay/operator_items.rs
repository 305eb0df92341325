//! Applies the operator's items of the published state: configuration and declared versions.

use std::net::SocketAddr;
use std::sync::Arc;

use super::OddItem;
use super::PublishedTopic;
use super::log_event::LogEvent;
use super::log_event::record;
use super::node::Node;
use super::published::record_odd;
use super::start_step::StartStep;
use crate::decide::traffic::PublishedEvent;
use crate::decide::traffic::PublishedItem;

const TOPIC: PublishedTopic = PublishedTopic::Operator;

/// Applies a change of the operator's items, which was taken from the instance `from` or read from
/// the store; always `true`, since peers need all of them.
pub fn apply(node: &Node, event: &PublishedEvent, from: Option<SocketAddr>) -> bool {
    let PublishedEvent::Written(item) = event else { return true };
    node.transfers.hold(&item.value);
    take_config(node, item, from);
    match node.protocol.decode_version(item) {
        Ok(Some((key, version))) => {
            let now = node.now();
            record(&LogEvent::VersionDeclared { adapter: &key.label(), version });
            node.versions().on_declared(now, key, version);
            node.order_wake.notify_one();
        }
        Ok(None) => {}
        Err(error) => record_odd(node, TOPIC, &OddItem::undecodable(item, &error)),
    }
    true
}

/// Takes a configuration of a higher version; an item that is something else is ignored.
pub fn take_config(node: &Node, item: &PublishedItem, from: Option<SocketAddr>) {
    match node.protocol.decode_config(item) {
        Ok(Some(config)) => {
            let version = config.version;
            let current = node.current_config();
            let before = current.as_ref().map_or(0, |current| current.version);
            if version > before || current.is_none() {
                let (rev, size) = (item.rev, item.value.len());
                let from = from.map(|addr| addr.to_string());
                let lacks_for = node.view(TOPIC).lacks_for(node.now());
                let lacked_ms = lacks_for.map(|time| time.as_millis());
                let from = from.as_deref();
                record(&LogEvent::ConfigTaken { version, before, rev, size, from, lacked_ms });
                let is_first = current.is_none();
                let config = match current {
                    Some(current) => config.after(&current),
                    None => config,
                };
                node.config.send_replace(Some(Arc::new(config)));
                node.config_item.send_replace(Some(item.clone()));
                node.freshness.on_applied(version);
                if is_first {
                    StartStep::Configured { version }.record(node.now());
                }
            }
        }
        Ok(None) => {}
        Err(error) => {
            node.freshness.on_undecodable();
            record_odd(node, TOPIC, &OddItem::undecodable(item, &error));
        }
    }
}
