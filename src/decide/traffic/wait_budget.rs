//! How long a request waits before it is sent, and when its caller may come back.
//!
//! On a heavy day every place for an adapter is in use. A request that waits on then
//! mostly waits in vain, and keeps its caller from trying again while there's time; so
//! it is refused soon, with the time in which a place comes free.

use std::time::Duration;

/// Pause before replicas are looked at again when none takes work.
pub const NOBODY_PAUSE: Duration = Duration::from_millis(40);
/// Longest time for which a request waits for a replica that takes work.
const NOBODY_LIMIT: Duration = Duration::from_millis(600);
/// Longest time for which a request waits for its adapter.
const LOAD_LIMIT: Duration = Duration::from_millis(1000);
/// Time after which the caller of a refused request may come back.
pub const RETRY_AFTER: Duration = Duration::from_millis(1000);

/// The time that a request has waited before it was sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WaitBudget {
    for_replica: Duration,
    for_load: Duration,
}

impl WaitBudget {
    /// Waits for a replica once more; the pause, or `None` if the request is given up.
    pub fn wait_for_replica(&mut self, left: Duration) -> Option<Duration> {
        self.for_replica += NOBODY_PAUSE;
        (self.for_replica <= NOBODY_LIMIT).then(|| NOBODY_PAUSE.min(left))
    }

    /// Longest wait for a load that begins now, or `None` if the request is given up.
    pub fn load_wait_limit(&self, left: Duration) -> Option<Duration> {
        let limit = LOAD_LIMIT.saturating_sub(self.for_load).min(left);
        (!limit.is_zero()).then_some(limit)
    }

    /// Notes a wait for a load.
    pub fn on_load_wait(&mut self, waited: Duration) {
        self.for_load += waited;
    }
}
