//! Times in which a disruption excuses what is late.

use std::time::Duration;

use super::super::Disruption;
use super::super::DisruptionKind;

/// Time after the end of a disruption until its instances count as in touch again.
pub const CONTACT: Duration = Duration::from_secs(2);

/// Whether no disruption of instances, their links or the store touches the time from `from` to `to`
/// or the [`CONTACT`] before it.
pub fn is_calm(disruptions: &[Disruption], from: Duration, to: Duration) -> bool {
    let excuses = |kind| match kind {
        DisruptionKind::Kill
        | DisruptionKind::Terminate
        | DisruptionKind::Suspend
        | DisruptionKind::Link(_)
        | DisruptionKind::TakenAddress
        | DisruptionKind::Store(_) => true,
        DisruptionKind::Reload
        | DisruptionKind::Replicas(_)
        | DisruptionKind::ConfigChange
        | DisruptionKind::OddItems => false,
    };
    !disruptions.iter().any(|d| excuses(d.kind) && d.at <= to && d.until + CONTACT >= from)
}

/// Whether instances were resumed or links healed shortly before a time, or are stopped or disturbed.
pub fn is_thawing(disruptions: &[Disruption], at: Duration) -> bool {
    let thaws = |kind| matches!(kind, DisruptionKind::Suspend | DisruptionKind::Link(_));
    disruptions.iter().any(|d| thaws(d.kind) && d.at <= at && d.until + CONTACT >= at)
}
