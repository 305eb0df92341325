//! Which peer says that it holds which configuration.

use std::collections::BTreeMap;

use crate::names::InstanceName;
use crate::wire::gossip::ConfigId;

/// The latest claim of each peer.
#[derive(Clone, Debug, Default)]
pub struct Claims {
    held: BTreeMap<InstanceName, ConfigId>,
}

impl Claims {
    /// Records what a peer says of itself.
    pub fn set(&mut self, peer: &InstanceName, claim: Option<ConfigId>) {
        match claim {
            Some(id) => self.held.insert(peer.clone(), id),
            None => self.held.remove(peer),
        };
    }

    /// Forgets a peer.
    pub fn forget(&mut self, peer: &InstanceName) {
        self.held.remove(peer);
    }

    /// Forgets every peer.
    pub fn clear(&mut self) {
        self.held.clear();
    }

    /// The highest claim that passes `wanted`; of equal generations the higher hash.
    pub fn highest(&self, wanted: impl Fn(&ConfigId) -> bool) -> Option<ConfigId> {
        self.held.values().copied().filter(wanted).max()
    }

    /// Peers that claim `id`.
    pub fn holders(&self, id: ConfigId) -> Vec<InstanceName> {
        let of_id = self.held.iter().filter(|(_, held)| **held == id);
        of_id.map(|(peer, _)| peer.clone()).collect()
    }
}
