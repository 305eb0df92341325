//! Shares of requests that are served, and whether service is back after the last disruption.

use std::time::Duration;

use super::super::Disruption;
use super::super::record::RequestOutcome;
use super::super::record::Seen;
use super::Rule;
use super::Violation;

/// Time after the last disruption from which service must be as before.
const RECOVERY_TIME: Duration = Duration::from_secs(2);
/// Time from the first request until the adapters are loaded.
const WARM_UP: Duration = Duration::from_secs(2);
/// Share of the calm beginning's service that must be there again.
const RECOVERED_PART: f64 = 0.95;
/// Requests below which a share says nothing.
const MIN_REQUESTS: usize = 20;
/// Length of the windows whose shares are reported.
const WINDOW: Duration = Duration::from_secs(1);
/// Windows reported after each return.
const WINDOWS_AFTER_RETURN: u32 = 5;

/// Share of the requests sent in a window that are served.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServedShare {
    /// Start of the window.
    pub from: Duration,
    /// End of the window.
    pub to: Duration,
    /// Requests sent.
    pub requests: usize,
    /// Of these, served.
    pub served: usize,
}

impl ServedShare {
    fn new(outcomes: &[RequestOutcome], from: Duration, to: Duration) -> Self {
        let sent: Vec<&RequestOutcome> =
            outcomes.iter().filter(|outcome| (from..to).contains(&outcome.sent)).collect();
        let served = sent.iter().filter(|outcome| outcome.is_served).count();
        Self { from, to, requests: sent.len(), served }
    }

    /// The time from [`WARM_UP`] after the first request to the first disruption.
    fn calm_beginning(outcomes: &[RequestOutcome], first_disruption: Duration) -> Self {
        let first_sent = outcomes.iter().map(|outcome| outcome.sent).min().unwrap_or_default();
        let is_uncut = |outcome: &&RequestOutcome| outcome.ended < first_disruption;
        let uncut: Vec<RequestOutcome> = outcomes.iter().filter(is_uncut).copied().collect();
        Self::new(&uncut, first_sent + WARM_UP, first_disruption)
    }

    /// The share, 0 to 1; `None` if there are too few requests.
    pub fn share(&self) -> Option<f64> {
        let is_enough = self.requests >= MIN_REQUESTS;
        is_enough.then(|| self.served as f64 / self.requests as f64)
    }
}

/// Checks that service is back after the last disruption, from the requests sent before `until`. The
/// calm beginning counts once adapters are loaded, with the requests that no disruption cut.
pub fn check(seen: &Seen, disruptions: &[Disruption], until: Duration) -> Option<Violation> {
    let first = disruptions.iter().map(|disruption| disruption.at).min()?;
    let last = disruptions.iter().map(|disruption| disruption.until).max()?;
    let before = ServedShare::calm_beginning(&seen.outcomes, first);
    let from = last + RECOVERY_TIME;
    let after = ServedShare::new(&seen.outcomes, from, until);
    let (share_before, share_after) = (before.share()?, after.share()?);
    if share_after >= share_before * RECOVERED_PART {
        return None;
    }
    let detail = format!(
        "{} of {} requests are served, and {} of {} in the calm beginning",
        after.served, after.requests, before.served, before.requests
    );
    Some(Violation::new(Rule::Recover, from, detail))
}

/// Shares of the calm beginning and of the first seconds after each of these returns of instances.
pub fn served_shares(
    seen: &Seen,
    disruptions: &[Disruption],
    returns: &[Disruption],
) -> Vec<ServedShare> {
    let first = disruptions.iter().map(|disruption| disruption.at).min().unwrap_or(Duration::MAX);
    let mut shares = vec![ServedShare::calm_beginning(&seen.outcomes, first)];
    for disruption in returns {
        shares.extend((0..WINDOWS_AFTER_RETURN).map(|number| {
            let from = disruption.until + WINDOW * number;
            ServedShare::new(&seen.outcomes, from, from + WINDOW)
        }));
    }
    shares
}
