//! Recent demand of one account at one instance.

use std::time::Duration;

use crate::names::Timestamp;

/// Time constant over which past requests are forgotten.
const MEMORY: Duration = Duration::from_secs(2);

/// Exponentially weighted rates of requests and of their cost, refused requests included.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandEstimate {
    requests: f64,
    cost: f64,
    at: Timestamp,
}

impl DemandEstimate {
    /// Counts a request.
    pub fn add(&mut self, now: Timestamp, cost: u64) {
        self.fade(now);
        self.requests += 1.0;
        self.cost += cost as f64;
    }

    /// Requests per second.
    pub fn requests_per_s(&mut self, now: Timestamp) -> f64 {
        self.fade(now);
        self.requests / MEMORY.as_secs_f64()
    }

    /// Cost per second.
    pub fn cost_per_s(&mut self, now: Timestamp) -> f64 {
        self.fade(now);
        self.cost / MEMORY.as_secs_f64()
    }

    /// Mean cost of a request; 0 without any.
    pub fn mean_cost(&self) -> f64 {
        if self.requests > 0.0 { self.cost / self.requests } else { 0.0 }
    }

    fn fade(&mut self, now: Timestamp) {
        let factor = (-now.since(self.at).as_secs_f64() / MEMORY.as_secs_f64()).exp();
        self.requests *= factor;
        self.cost *= factor;
        self.at = self.at.max(now);
    }
}
