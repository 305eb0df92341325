//! Upper bounds on the calls that a fleet makes to the configuration service.

use std::time::Duration;

use super::Backoff;
use super::readers::reader_count;
use super::service_reads::POLL_INTERVAL;
use super::service_reads::POLL_JITTER;
use super::service_reads::WATCH_WAIT;

/// Size of a fleet and rate of change of its configuration, from which the bounds follow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallBudget {
    /// Number of entry instances.
    pub instances: usize,
    /// Number of data centres.
    pub data_centres: usize,
    /// Publications per second.
    pub changes_per_second: f64,
    /// Pages that each publication changes.
    pub pages_per_change: f64,
}

impl CallBudget {
    /// Number of instances that watch the service.
    pub fn readers(&self) -> usize {
        reader_count(self.instances, self.data_centres)
    }

    /// Upper bound on calls per second while the service answers, long polls included.
    ///
    /// A long poll ends at its timeout or with a change; every instance also polls
    /// now and then; a change costs each reader the root and the changed pages.
    pub fn calls_per_second(&self) -> f64 {
        let readers = self.readers() as f64;
        let watches = readers / WATCH_WAIT.as_secs_f64();
        let min_poll_interval = POLL_INTERVAL.as_secs_f64() * (1.0 - POLL_JITTER);
        let polls = self.instances as f64 / min_poll_interval;
        let changes = readers * self.changes_per_second * (1.0 + self.pages_per_change);
        watches + polls + changes
    }

    /// Calls per second once the service has been failing for long.
    ///
    /// Only readers retry before their next poll.
    pub fn failing_calls_per_second(&self) -> f64 {
        let min_poll_interval = POLL_INTERVAL.as_secs_f64() * (1.0 - POLL_JITTER);
        let polls = self.instances as f64 / min_poll_interval;
        self.readers() as f64 / Backoff::mean_max_delay().as_secs_f64() + polls
    }

    /// Upper bound on concurrent long polls.
    pub fn waiting_watches(&self) -> usize {
        self.readers()
    }

    /// Time within which every instance polls at least once.
    pub fn max_poll_interval() -> Duration {
        POLL_INTERVAL.mul_f64(1.0 + POLL_JITTER)
    }
}
