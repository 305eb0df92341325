//! A replica that counts its orders, and whose reports lag.

use std::collections::BTreeMap;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Longest time by which a report lags behind, in ms.
const REPORT_LAG_MS: u64 = 400;
/// Stands for the base model among the adapters.
pub const MODEL: u32 = 0;

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

/// An order to load an adapter, or the base model.
#[derive(Clone, Copy, Debug)]
pub struct Order {
    pub holder: usize,
    pub fence: u64,
    pub expected: u64,
    pub key: u32,
}

/// An order as it arrives.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at: u64,
    pub holder: usize,
    pub fence: u64,
    pub answer: Answer,
}

#[derive(Clone, Debug, Default)]
pub struct Report {
    pub started_ms: u64,
    pub count: u64,
    pub loading: Vec<u32>,
    /// Whether it holds the base model.
    pub has_model: bool,
    /// Whether it loads the base model.
    pub is_busy: bool,
}

#[derive(Default)]
pub struct Replica {
    started_ms: u64,
    count: u64,
    /// Adapters by the time at which their loads are done.
    loads: BTreeMap<u32, u64>,
    /// When the load of the base model is done; `None` before it is ordered.
    model_done_at: Option<u64>,
    shown: Report,
    next_report: u64,
    pub arrivals: Vec<Arrival>,
}

impl Replica {
    /// A replica that holds its base model.
    pub fn new() -> Self {
        Self { model_done_at: Some(0), ..Self::default() }
    }

    /// Carries out an order, the load of an adapter or of the base model, which takes `takes` ms.
    pub fn order(&mut self, at: u64, order: &Order, takes: u64) -> Answer {
        let answer = if order.key == MODEL {
            self.load_model(at, order.expected, takes)
        } else {
            self.load_adapter(at, order, takes)
        };
        self.arrivals.push(Arrival { at, holder: order.holder, fence: order.fence, answer });
        answer
    }

    /// A load of the base model that is in progress or done is answered whatever count is expected.
    fn load_model(&mut self, at: u64, expected: u64, takes: u64) -> Answer {
        match self.model_done_at {
            Some(done_at) if done_at <= at => Answer::HoldsAlready,
            Some(_) => Answer::Repeated,
            None if expected != self.count => Answer::Conflict,
            None => {
                self.count += 1;
                self.model_done_at = Some(at + takes);
                Answer::Accepted
            }
        }
    }

    fn load_adapter(&mut self, at: u64, order: &Order, takes: u64) -> Answer {
        let Order { expected, key, .. } = *order;
        match self.loads.get(&key) {
            _ if expected != self.count => Answer::Conflict,
            Some(done_at) if *done_at <= at => Answer::HoldsAlready,
            Some(_) => Answer::Repeated,
            None => {
                self.count += 1;
                self.loads.insert(key, at + takes);
                Answer::Accepted
            }
        }
    }

    /// When it started, in ms.
    pub fn started_ms(&self) -> u64 {
        self.started_ms
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
            has_model: self.model_done_at.is_some_and(|done_at| done_at <= at),
            is_busy: self.model_done_at.is_some_and(|done_at| done_at > at),
        };
    }

    pub fn report(&self) -> Report {
        self.shown.clone()
    }

    pub fn restart(&mut self, at: u64) {
        self.started_ms = at;
        self.count = 0;
        self.loads.clear();
        self.model_done_at = None;
        self.next_report = at;
    }
}
