//! One instance's share of the retry budget that a service has over all instances.
//!
//! The budget is a ratio of the service's requests plus a fixed allowance, in a sliding
//! window. The ratio applies to the requests that this instance has seen. The allowance is
//! divided by the most instances known lately, so that an instance that is cut off from the
//! others doesn't spend their part.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::names::ServiceName;
use crate::names::Timestamp;

/// Share of the budget that is spent, since other instances may count a little differently.
const USED_SHARE: f64 = 0.7;

#[derive(Clone, Debug, Default)]
struct Window {
    requests: VecDeque<Timestamp>,
    retries: VecDeque<Timestamp>,
}

impl Window {
    fn drop_before(&mut self, before: Timestamp) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| *at < before) {
                times.pop_front();
            }
        }
    }
}

/// Sliding windows of requests and retries, by service.
#[derive(Clone, Debug)]
pub struct RetryShare {
    ratio: f64,
    allowance: f64,
    window: Duration,
    windows: HashMap<ServiceName, Window>,
}

impl RetryShare {
    /// A budget of `ratio` times the requests plus `allowance` retries, in each `window`.
    pub fn new(ratio: f64, allowance: f64, window: Duration) -> Self {
        Self { ratio, allowance, window, windows: HashMap::new() }
    }

    /// Counts a request, which earns `ratio` of a retry.
    pub fn on_request(&mut self, now: Timestamp, service: &ServiceName) {
        self.window_of(now, service).requests.push_back(now);
    }

    /// Spends a retry; returns `false` if none is left. The allowance is divided by `instances`.
    pub fn try_take_retry(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        instances: usize,
    ) -> bool {
        let (ratio, allowance) = (self.ratio, self.allowance);
        let window = self.window_of(now, service);
        let earned = ratio * window.requests.len() as f64 + allowance / instances.max(1) as f64;
        if (window.retries.len() + 1) as f64 > earned * USED_SHARE {
            return false;
        }
        window.retries.push_back(now);
        true
    }

    fn window_of(&mut self, now: Timestamp, service: &ServiceName) -> &mut Window {
        let before = now - self.window;
        let window = self.windows.entry(service.clone()).or_default();
        window.drop_before(before);
        window
    }
}
