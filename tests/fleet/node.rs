//! One simulated instance: its decisions, its drifting clock, and what the oracle recorded.

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

/// One process of an instance; a restart replaces it.
#[derive(Debug)]
pub struct Node {
    pub index: usize,
    pub view: FleetView,
    pub incarnation: u64,
    pub started: u64,
    /// Rate of the instance's clock: 970 to 1030 thousandths of virtual time.
    pub clock_rate_permille: u64,
    pub alive: bool,
    pub frozen_until: u64,
    pub partition_group: u8,
    /// Virtual time of the last fault that affected the instance; may lie ahead while it's frozen.
    pub last_fault: u64,
    pub oracle_record: OracleRecord,
}

/// What the oracle recorded about one incarnation.
#[derive(Clone, Debug, Default)]
pub struct OracleRecord {
    pub applied: Option<ConfigId>,
    pub refused_work: BTreeSet<LeavingBackend>,
    /// Since when the instance has been asking its peers for the configuration; `None` once ready.
    pub rejoining_since: Option<u64>,
    /// Index, incarnation and generation of the instances that it could reach when it began to ask.
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
        let view = FleetView::new(Timestamp::ZERO, identity, incarnation.wrapping_mul(0x9e37_79b9));
        Self {
            index,
            view,
            incarnation,
            started,
            clock_rate_permille: 970 + (incarnation * 7) % 61,
            alive: true,
            frozen_until: 0,
            partition_group: 0,
            last_fault: started,
            oracle_record: OracleRecord::default(),
        }
    }

    /// The instance's own clock at a virtual time.
    pub fn clock(&self, world: u64) -> Timestamp {
        Timestamp::from_micros(world.saturating_sub(self.started) * self.clock_rate_permille / 1000)
    }

    pub fn is_running(&self, world: u64) -> bool {
        self.alive && world >= self.frozen_until
    }

    pub fn generation(&self) -> Option<u64> {
        self.view.config().generation().map(|generation| generation.0)
    }
}

pub fn name(index: usize) -> InstanceName {
    InstanceName::new(&format!("entry-{index}"))
}

pub fn addr(index: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 10_000 + index as u16))
}
