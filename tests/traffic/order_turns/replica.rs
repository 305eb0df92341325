//! A replica that counts its orders, and whose reports lag.

use std::collections::BTreeMap;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Longest time by which a report lags behind, in ms.
const REPORT_LAG_MS: u64 = 400;

/// A replica's answer to an order, with the status that stands for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// 200, not counted.
    HoldsAlready,
    /// 202, counted.
    Accepted,
    /// 202, not counted.
    Repeated,
    /// 409.
    Conflict,
}

/// An order as it arrives.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at: u64,
    pub holder: usize,
    pub answer: Answer,
}

#[derive(Clone, Debug, Default)]
pub struct Report {
    pub started_ms: u64,
    pub count: u64,
    pub loading: Vec<u32>,
}

#[derive(Default)]
pub struct Replica {
    started_ms: u64,
    count: u64,
    /// Adapters by the time at which their loads are done.
    loads: BTreeMap<u32, u64>,
    shown: Report,
    next_report: u64,
    pub arrivals: Vec<Arrival>,
}

impl Replica {
    pub fn order(&mut self, at: u64, holder: usize, expected: u64, key: u32, takes: u64) -> Answer {
        let answer = match self.loads.get(&key) {
            _ if expected != self.count => Answer::Conflict,
            Some(done_at) if *done_at <= at => Answer::HoldsAlready,
            Some(_) => Answer::Repeated,
            None => {
                self.count += 1;
                self.loads.insert(key, at + takes);
                Answer::Accepted
            }
        };
        self.arrivals.push(Arrival { at, holder, answer });
        answer
    }

    /// Makes a new report if it is time for one.
    pub fn update_report(&mut self, at: u64, rng: &mut ChaCha8Rng) {
        if at < self.next_report {
            return;
        }
        self.next_report = at + rng.random_range(0..REPORT_LAG_MS);
        let loading = self.loads.iter().filter(|(_, done_at)| **done_at > at);
        self.shown = Report {
            started_ms: self.started_ms,
            count: self.count,
            loading: loading.map(|(key, _)| *key).collect(),
        };
    }

    pub fn report(&self) -> Report {
        self.shown.clone()
    }

    pub fn restart(&mut self, at: u64) {
        self.started_ms = at;
        self.count = 0;
        self.loads.clear();
        self.next_report = at;
    }
}
