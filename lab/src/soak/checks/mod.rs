//! Checks of what callers and backend servers saw against what the system promises.
//!
//! Each check is a function of the record. Bounds in time hold only where no disruption excuses
//! what was seen; the promises on single requests always hold.

mod answers;
mod calm;
mod runs;
mod servers;
mod service;

use std::fmt;
use std::time::Duration;

pub use service::ServedShare;
pub use service::served_shares;

use super::Disruption;
use super::Record;

/// Rule that is broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// An attempt of a request that isn't idempotent ran more than once.
    Twice,
    /// A request ran although its answer promises that it did not.
    Refused,
    /// A request ran that no caller sent.
    Unasked,
    /// A caller got the response to another request, or a broken one that looks whole.
    Mixed,
    /// A stream has gaps, repetitions or events of two software versions.
    Order,
    /// A request ran at another service or with another adapter.
    Route,
    /// A request began on an outdated version of its adapter.
    Version,
    /// A request reached a server that had left.
    Drain,
    /// Two instances ordered one server's models.
    One,
    /// A server was ordered to load more than it holds.
    Limit,
    /// Too few requests are served after the last disruption.
    Recover,
    /// The record is not complete.
    Record,
}

/// Something that was seen and must not be.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Rule that it breaks.
    pub rule: Rule,
    /// When, from the start of the soak.
    pub at: Duration,
    /// What was seen.
    pub detail: String,
}

impl Violation {
    fn new(rule: Rule, at: Duration, detail: String) -> Self {
        Self { rule, at, detail }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {:.3} s: {}", self.rule, self.at.as_secs_f64(), self.detail)
    }
}

/// All that the record shows against the promises, by time. Service must be back in the time between
/// the last disruption and `calm_until`.
pub fn check(record: &Record, disruptions: &[Disruption], calm_until: Duration) -> Vec<Violation> {
    let seen = record.seen();
    let mut violations = runs::check(&seen, disruptions);
    violations.extend(answers::check(&seen));
    violations.extend(servers::check(&seen, disruptions));
    violations.extend(service::check(&seen, disruptions, calm_until));
    if seen.omitted > 0 {
        let detail = format!("{} entries were not kept", seen.omitted);
        violations.push(Violation::new(Rule::Record, Duration::ZERO, detail));
    }
    violations.sort_by_key(|violation| violation.at);
    violations
}
