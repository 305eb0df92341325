//! How long a request may wait before it is sent, and when a refused caller may retry.
//!
//! Under heavy load every adapter slot is in use. A request that keeps waiting then mostly
//! waits in vain, and keeps its caller from retrying while there is time; so it is refused
//! early, with the time in which a slot becomes free.

use std::time::Duration;

/// Pause before replicas are checked again when none accepts requests.
pub const REPLICA_CHECK_INTERVAL: Duration = Duration::from_millis(40);
/// Longest total wait of a request for a replica that accepts requests.
const MAX_REPLICA_WAIT: Duration = Duration::from_millis(600);
/// Longest total wait of a request for its adapter to be loaded.
const MAX_LOAD_WAIT: Duration = Duration::from_millis(1000);
/// Longest wait of a request for owners that don't know yet what their replicas hold.
const MAX_HOLDER_WAIT: Duration = Duration::from_millis(400);
/// Interval at which such owners are asked again.
const HOLDER_CHECK_INTERVAL: Duration = Duration::from_millis(60);
/// Time after which the caller of a refused request may retry.
pub const RETRY_AFTER: Duration = Duration::from_millis(1000);

/// Time that one request has spent waiting, by what it waited for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WaitBudget {
    waited_for_replica: Duration,
    waited_for_load: Duration,
    loads: u32,
}

impl WaitBudget {
    /// Charges a wait for a replica; returns the pause, at most `left`, or `None` if the request is
    /// to be refused.
    pub fn charge_replica_wait(&mut self, left: Duration) -> Option<Duration> {
        self.waited_for_replica += REPLICA_CHECK_INTERVAL;
        (self.waited_for_replica <= MAX_REPLICA_WAIT).then(|| REPLICA_CHECK_INTERVAL.min(left))
    }

    /// Charges the wait for the end of a pause of all replicas; returns `false` if it takes longer
    /// than the budget or the time `left`, so that the request is to be refused.
    pub fn charge_pause(&mut self, pause: Duration, left: Duration) -> bool {
        self.waited_for_replica += pause;
        self.waited_for_replica <= MAX_REPLICA_WAIT && pause < left
    }

    /// Time after which the caller of a request that can't be served for `wait` may retry: up to a
    /// quarter later by `spread`, a hash, so that callers don't return together.
    pub fn retry_after(wait: Duration, spread: u64) -> Duration {
        wait + wait.mul_f64((spread % 1000) as f64 / 4000.0)
    }

    /// Longest wait, at most `left`, for a load that begins now; `None` if the request is to be
    /// refused.
    pub fn load_wait_limit(&self, left: Duration) -> Option<Duration> {
        let limit = MAX_LOAD_WAIT.saturating_sub(self.waited_for_load).min(left);
        (!limit.is_zero()).then_some(limit)
    }

    /// Time to wait for orders that may be given in `wait`. As long as not `all_known` of the replicas
    /// that were asked for, one may turn out to hold the adapter, so that it is shorter for a while.
    pub fn orders_wait(&self, wait: Duration, all_known: bool) -> Duration {
        if all_known || self.waited_for_load >= MAX_HOLDER_WAIT {
            return wait;
        }
        wait.min(HOLDER_CHECK_INTERVAL)
    }

    /// Charges a wait for a load; returns the pause before the replicas are looked at again.
    ///
    /// The first look follows at once. If the replica that is said to hold the adapter isn't chosen
    /// then, since it holds an older version or fails, asking on without a pause would only cost
    /// processor time.
    pub fn charge_load_wait(&mut self, waited: Duration) -> Duration {
        let pause = if self.loads == 0 { Duration::ZERO } else { REPLICA_CHECK_INTERVAL };
        self.loads += 1;
        self.waited_for_load += waited + pause;
        pause
    }
}
