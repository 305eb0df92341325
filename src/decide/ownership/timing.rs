//! Durations that leases depend on.

use std::time::Duration;

use crate::wire::listing::FencingMode;

/// Durations that leases depend on; they must be equal on all instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTiming {
    /// How long a granter keeps a grant; the holder relies on it for [`Self::holder_term`] only.
    pub term: Duration,
    /// Time within which a change of the list of instances reaches every one that still grants.
    pub max_list_delay: Duration,
    /// Time after which a message to an engine has arrived or never will arrive.
    pub max_message_delay: Duration,
}

impl LeaseTiming {
    /// How long a holder may rely on a grant.
    ///
    /// A tenth less than the granter's term covers clocks whose rates differ by
    /// 5% each: 0.9 / 0.95 is less than 1 / 1.05.
    pub fn holder_term(&self) -> Duration {
        self.term * 9 / 10
    }

    /// Time between renewals; two of them may be lost before the lease runs out.
    pub fn renewal(&self) -> Duration {
        self.term / 4
    }

    /// How long a new or restarted panel member grants nothing: a grant that it doesn't know of may
    /// still hold.
    ///
    /// Engines that refuse old fencing numbers are safe without this wait.
    pub fn abstention(&self, fencing: FencingMode) -> Duration {
        match fencing {
            FencingMode::Refuse => Duration::ZERO,
            FencingMode::Ignore => self.term + self.max_list_delay,
        }
    }
}

impl Default for LeaseTiming {
    fn default() -> Self {
        Self {
            term: Duration::from_secs(4),
            max_list_delay: Duration::from_secs(4),
            max_message_delay: Duration::from_millis(500),
        }
    }
}
