//! This instance's share of the retry budget that all instances have together.
//!
//! The budget of a service is a ratio of its requests plus a fixed allowance, in
//! a sliding window. The ratio applies to the requests seen here; the allowance
//! is divided by the most instances known of late, so that a cut-off instance
//! doesn't take the part of the others.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::names::ServiceName;
use crate::names::Timestamp;

/// Part of the budget that is used, as others may count a little differently.
const USED_PART: f64 = 0.7;

#[derive(Clone, Debug, Default)]
struct Window {
    requests: VecDeque<Timestamp>,
    retries: VecDeque<Timestamp>,
}

impl Window {
    fn forget(&mut self, before: Timestamp) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| *at < before) {
                times.pop_front();
            }
        }
    }
}

/// Retries that this instance may still send, for each service.
#[derive(Clone, Debug)]
pub struct RetryShare {
    ratio: f64,
    allowance: f64,
    window: Duration,
    windows: HashMap<ServiceName, Window>,
}

impl RetryShare {
    /// A budget of `ratio` times the requests plus `allowance`, in each `window`.
    pub fn new(ratio: f64, allowance: f64, window: Duration) -> Self {
        Self { ratio, allowance, window, windows: HashMap::new() }
    }

    /// Counts a request for a service.
    pub fn on_request(&mut self, now: Timestamp, service: &ServiceName) {
        self.window_of(now, service).requests.push_back(now);
    }

    /// Takes a retry out of the share; returns whether there was one left.
    pub fn take(&mut self, now: Timestamp, service: &ServiceName, instances: usize) -> bool {
        let (ratio, allowance) = (self.ratio, self.allowance);
        let window = self.window_of(now, service);
        let earned = ratio * window.requests.len() as f64 + allowance / instances.max(1) as f64;
        if (window.retries.len() + 1) as f64 > earned * USED_PART {
            return false;
        }
        window.retries.push_back(now);
        true
    }

    fn window_of(&mut self, now: Timestamp, service: &ServiceName) -> &mut Window {
        let before = now - self.window;
        let window = self.windows.entry(service.clone()).or_default();
        window.forget(before);
        window
    }
}
