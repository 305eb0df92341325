//! What happens in one run of the model.

use crate::account_load::AccountLoad;

/// Failure of instances, times in ms.
#[derive(Clone, Copy, Debug)]
pub enum Failure {
    /// The process ends and isn't started again.
    Killed { instance: usize, at: u64 },
    /// The process is suspended.
    Paused { instance: usize, from: u64, until: u64 },
    /// The first third of the instances reaches only itself.
    ThirdCutOff { from: u64, until: u64 },
    /// All processes end and start again.
    AllRestarted { at: u64, down_ms: u64 },
}

/// One run.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub instances: usize,
    pub loads: Vec<AccountLoad>,
    pub run_ms: u64,
    pub failures: Vec<Failure>,
    /// Time at which all limits are multiplied by a factor.
    pub limits_change: Option<(u64, f64)>,
    /// Longest time until a failure is noticed; each pair of instances has a time of its own.
    pub notice_ms: u64,
}

impl Plan {
    pub fn new(seed: u64, instances: usize, loads: Vec<AccountLoad>) -> Self {
        Self {
            seed,
            instances,
            loads,
            run_ms: 30_000,
            failures: Vec::new(),
            limits_change: None,
            notice_ms: 2_000,
        }
    }
}
