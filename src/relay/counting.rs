//! Which instance counts what all instances use together, and how much of the fleet is seen here.

use super::node::Node;
use crate::decide::send_limits::FleetView;
use crate::send_permits::CountingInstance;

/// The instance that counts under `key`: the first in its rendezvous ranking.
pub fn counting_instance(node: &Node, key: &str) -> CountingInstance {
    let now = node.now();
    let mut peers = node.peers();
    match peers.preferred_owner(now, key) {
        Some(name) if name == node.settings.instance => CountingInstance::Own,
        Some(name) => match peers.addr_of(now, &name) {
            Some(addr) => CountingInstance::Peer(name, addr),
            None => CountingInstance::Unknown,
        },
        None => CountingInstance::Unknown,
    }
}

/// Instances that this one sees.
pub fn fleet_view(node: &Node) -> FleetView {
    let now = node.now();
    let peers = node.peers();
    FleetView { live: 1 + peers.live(now).count(), recent: peers.recent_count(now) }
}
