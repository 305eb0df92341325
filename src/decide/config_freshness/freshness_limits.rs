//! Limits on the age of the configuration.

use std::time::Duration;

/// Part of a limit that is kept back: durations that other processes measure are as wrong as their
/// clocks, whose rates are taken to differ by less than 3%, and ages are in whole milliseconds.
const CLOCK_MARGIN_PART: u32 = 20;
/// A proof is renewed once its age has reached this part of the shorter limit.
const RENEWAL_PART: u32 = 2;

/// How old a proof of the configuration may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessLimits {
    /// Time after which a revoked key must not be accepted; `None` if there is no such limit.
    pub revocation: Option<Duration>,
    /// Time within which a new configuration is known to every instance in touch.
    pub propagation: Duration,
}

impl FreshnessLimits {
    /// Age from which a proof is renewed.
    pub fn renewal_age(&self) -> Duration {
        self.shorter() / RENEWAL_PART
    }

    /// Time for which a version that a peer has may be missing before revoked keys may be accepted:
    /// an instance in touch hears of it within the propagation limit, and the rest of the
    /// revocation limit is left. `None` if there is no revocation limit.
    pub fn max_missing_time(&self) -> Option<Duration> {
        let rest = without_margin(self.revocation?).saturating_sub(self.propagation);
        Some(rest.min(self.propagation))
    }

    /// The shorter one of both limits.
    pub fn shorter(&self) -> Duration {
        self.revocation.map_or(self.propagation, |limit| limit.min(self.propagation))
    }
}

/// The age below which a proof counts for `limit`.
pub(super) fn without_margin(limit: Duration) -> Duration {
    limit - limit / CLOCK_MARGIN_PART
}
