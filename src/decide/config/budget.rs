//! How many calls the fleet makes to the configuration service.

use std::time::Duration;

use super::Backoff;
use super::readers::reader_count;
use super::service_reads::CHECK_INTERVAL;
use super::service_reads::CHECK_JITTER;
use super::service_reads::WATCH_WAIT;

/// Size of a fleet and how fast its configuration changes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallBudget {
    /// Entry instances.
    pub instances: usize,
    /// Data centres.
    pub data_centres: usize,
    /// Publications in a second.
    pub changes_per_second: f64,
    /// Pages that one publication changes.
    pub pages_per_change: f64,
}

impl CallBudget {
    /// Instances that watch the service.
    pub fn readers(&self) -> usize {
        reader_count(self.instances, self.data_centres)
    }

    /// Most calls in a second while the service answers, waiting watches included.
    ///
    /// A watch ends by time or by a change; every instance also makes its slow
    /// check; a change costs each reader its root and the changed pages.
    pub fn calls_per_second(&self) -> f64 {
        let readers = self.readers() as f64;
        let watches = readers / WATCH_WAIT.as_secs_f64();
        let shortest_check = CHECK_INTERVAL.as_secs_f64() * (1.0 - CHECK_JITTER);
        let checks = self.instances as f64 / shortest_check;
        let changes = readers * self.changes_per_second * (1.0 + self.pages_per_change);
        watches + checks + changes
    }

    /// Calls in a second while the service has been failing for long.
    ///
    /// Only readers call again before their slow check.
    pub fn failing_calls_per_second(&self) -> f64 {
        let shortest_check = CHECK_INTERVAL.as_secs_f64() * (1.0 - CHECK_JITTER);
        let checks = self.instances as f64 / shortest_check;
        self.readers() as f64 / Backoff::lasting_pause().as_secs_f64() + checks
    }

    /// Most watches that wait at the same time.
    pub fn waiting_watches(&self) -> usize {
        self.readers()
    }

    /// Time within which every instance has made its slow check.
    pub fn slowest_check() -> Duration {
        CHECK_INTERVAL.mul_f64(1.0 + CHECK_JITTER)
    }
}
