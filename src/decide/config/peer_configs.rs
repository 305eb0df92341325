//! Configurations that peers report to be in effect there.

use std::collections::BTreeMap;

use crate::names::InstanceName;
use crate::wire::gossip::ConfigId;

/// The latest report of each peer.
#[derive(Clone, Debug, Default)]
pub struct PeerConfigs {
    held: BTreeMap<InstanceName, ConfigId>,
}

impl PeerConfigs {
    /// Records a peer's report; `None` forgets the peer.
    pub fn set(&mut self, peer: &InstanceName, config: Option<ConfigId>) {
        match config {
            Some(id) => self.held.insert(peer.clone(), id),
            None => self.held.remove(peer),
        };
    }

    /// Forgets a peer's report.
    pub fn forget(&mut self, peer: &InstanceName) {
        self.held.remove(peer);
    }

    /// Forgets all reports.
    pub fn clear(&mut self) {
        self.held.clear();
    }

    /// The highest reported content that passes `wanted`; of equal generations the higher hash.
    pub fn highest(&self, wanted: impl Fn(&ConfigId) -> bool) -> Option<ConfigId> {
        self.held.values().copied().filter(wanted).max()
    }

    /// Peers that report `id` in effect.
    pub fn holders(&self, id: ConfigId) -> Vec<InstanceName> {
        let of_id = self.held.iter().filter(|(_, held)| **held == id);
        of_id.map(|(peer, _)| peer.clone()).collect()
    }
}
