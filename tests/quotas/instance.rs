//! One instance of the model.

use std::collections::HashMap;
use std::collections::VecDeque;

use tamaracklead::decide::quotas::QuotaBalance;
use tamaracklead::decide::quotas::QuotaCounter;
use tamaracklead::decide::send_limits::FleetView;
use tamaracklead::names::InstanceName;
use tamaracklead::names::Timestamp;

/// Request of a caller.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    pub account: usize,
    pub cost: u64,
    pub arrived_us: u64,
}

/// State of one process, and its clock.
pub struct Instance {
    pub name: InstanceName,
    pub counter: QuotaCounter,
    pub balances: HashMap<usize, QuotaBalance>,
    pub waiting: HashMap<usize, VecDeque<Request>>,
    pub fleet: FleetView,
    /// Instance that counts each group, as this one sees it.
    pub counting: Vec<usize>,
    /// Number of the process, which changes with a restart.
    pub process: u32,
    /// What its monotonic clock is behind virtual time: its start and the time of its pauses.
    pub behind_us: u64,
}

impl Instance {
    pub fn new(name: &str, now_us: u64, process: u32) -> Self {
        Self {
            name: InstanceName::new(name),
            counter: QuotaCounter::new(Timestamp::ZERO),
            balances: HashMap::new(),
            waiting: HashMap::new(),
            fleet: FleetView { live: 1, recent: 1 },
            counting: Vec::new(),
            process,
            behind_us: now_us,
        }
    }

    pub fn clock(&self, now_us: u64) -> Timestamp {
        Timestamp::from_micros(now_us - self.behind_us)
    }
}
