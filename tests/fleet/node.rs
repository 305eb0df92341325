//! One instance of the tests: a decision core with a clock and an oracle's notes.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use tamaracklead::decide::fleet::FleetView;
use tamaracklead::decide::membership::Identity;
use tamaracklead::names::DataCentre;
use tamaracklead::names::Incarnation;
use tamaracklead::names::InstanceName;
use tamaracklead::names::Timestamp;
use tamaracklead::wire::gossip::ConfigId;
use tamaracklead::wire::gossip::LeavingBackend;

/// One instance.
#[derive(Debug)]
pub struct Node {
    pub index: usize,
    pub core: FleetView,
    pub incarnation: u64,
    pub started: u64,
    /// Speed of the instance's clock in thousandths.
    pub rate: u64,
    pub alive: bool,
    pub frozen_until: u64,
    pub group: u8,
    /// World time of the last fault that touched the instance.
    pub disturbed: u64,
    pub seen: Seen,
}

/// What the oracle has seen of one incarnation.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub applied: Option<ConfigId>,
    pub refused_work: BTreeSet<LeavingBackend>,
    /// Since when the instance has been asking its peers.
    pub asking_since: Option<u64>,
    /// Index and generation of the instances that were up when it began to ask.
    pub holders: Vec<(usize, u64, u64)>,
}

impl Node {
    pub fn new(index: usize, incarnation: u64, started: u64, data_centres: usize) -> Self {
        let identity = Identity {
            name: name(index),
            peer_addr: addr(index),
            data_centre: DataCentre::new(&format!("dc-{}", index % data_centres)),
            incarnation: Incarnation(incarnation),
        };
        let core = FleetView::new(Timestamp::ZERO, identity, incarnation.wrapping_mul(0x9e37_79b9));
        Self {
            index,
            core,
            incarnation,
            started,
            rate: 970 + (incarnation * 7) % 61,
            alive: true,
            frozen_until: 0,
            group: 0,
            disturbed: started,
            seen: Seen::default(),
        }
    }

    /// The instance's own clock at a time of the world.
    pub fn clock(&self, world: u64) -> Timestamp {
        Timestamp::from_micros(world.saturating_sub(self.started) * self.rate / 1000)
    }

    pub fn runs(&self, world: u64) -> bool {
        self.alive && world >= self.frozen_until
    }

    pub fn generation(&self) -> Option<u64> {
        self.core.config().generation().map(|generation| generation.0)
    }
}

pub fn name(index: usize) -> InstanceName {
    InstanceName::new(&format!("entry-{index}"))
}

pub fn addr(index: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 10_000 + index as u16))
}
