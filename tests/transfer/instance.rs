//! One instance of the model.

use std::collections::VecDeque;
use std::net::SocketAddr;

use tamaracklead::decide::transfer::Fetch;
use tamaracklead::decide::transfer::FetchTurn;
use tamaracklead::decide::transfer::Serving;
use tamaracklead::names::Timestamp;

/// Versions that an instance keeps.
const KEPT_VERSIONS: usize = 5;

/// One instance: its links, its core and what it has.
#[derive(Clone, Debug)]
pub struct Instance {
    pub addr: SocketAddr,
    pub bytes_per_us: f64,
    /// Processor time that a call of one core-microsecond takes, in µs.
    pub core_factor: f64,
    pub process: u32,
    pub uplink_free: f64,
    pub downlink_free: f64,
    pub core_free: f64,
    pub cut_until: f64,
    pub is_disturbed: bool,
    /// Versions that it has, the newest last.
    pub held: VecDeque<usize>,
    pub fetch: Option<Fetch>,
    /// Serial number of the call that is awaited; an answer to another one comes too late.
    pub call: u64,
    /// Whether the transfer waits until an instance may be asked.
    pub is_waiting: bool,
    pub turn: FetchTurn,
    pub serving: Serving,
    pub last_gossip: f64,
    pub is_gossip_due: bool,
    pub is_reading: bool,
    pub sent: usize,
}

impl Instance {
    pub fn new(index: usize, mbps: u32, core_factor: f64) -> Self {
        let addr = SocketAddr::from(([10, 0, (index >> 8) as u8, index as u8], 1));
        Self {
            addr,
            bytes_per_us: f64::from(mbps) / 8.0,
            core_factor,
            process: 0,
            uplink_free: 0.0,
            downlink_free: 0.0,
            core_free: 0.0,
            cut_until: 0.0,
            is_disturbed: false,
            held: VecDeque::from([0]),
            fetch: None,
            call: 0,
            is_waiting: false,
            turn: FetchTurn::default(),
            serving: Serving::new(mbps),
            last_gossip: 0.0,
            is_gossip_due: false,
            is_reading: false,
            sent: 0,
        }
    }

    pub fn newest(&self) -> Option<usize> {
        self.held.back().copied()
    }

    /// Takes a version unless it has a newer one.
    pub fn take(&mut self, version: usize) -> bool {
        if self.newest() >= Some(version) {
            return false;
        }
        self.held.push_back(version);
        if self.held.len() > KEPT_VERSIONS {
            self.held.pop_front();
        }
        true
    }

    /// Forgets everything, as a new process does.
    pub fn restart(&mut self, mbps: u32) {
        self.process += 1;
        self.held.clear();
        self.fetch = None;
        self.turn = FetchTurn::default();
        self.serving = Serving::new(mbps);
        self.is_reading = false;
    }
}

/// A time of the model as the decisions take it.
pub fn timestamp(now: f64) -> Timestamp {
    Timestamp::from_micros(now as u64)
}
