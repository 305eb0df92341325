//! How slow a replica is, compared with the others of its service.

use std::time::Duration;

/// Weight of a new replica's pace in the moving average.
const TYPICAL_WEIGHT: f64 = 0.05;
/// Slowness below which a replica counts as typical: estimates from a few streams differ by as much.
const MIN_SLOWNESS: f64 = 1.3;
/// Highest slowness: a replica that only stalled for a while isn't to be avoided at any price.
const MAX_SLOWNESS: f64 = 4.0;

/// Exponential moving average of the paces of a service's replicas.
#[derive(Clone, Copy, Debug, Default)]
pub struct TypicalPace {
    event_gap_s: Option<f64>,
}

impl TypicalPace {
    /// Adds the pace of some replica.
    pub fn on_replica(&mut self, event_gap: Duration) {
        let sample = event_gap.as_secs_f64();
        let typical = self.event_gap_s.unwrap_or(sample);
        self.event_gap_s = Some(typical + (sample - typical) * TYPICAL_WEIGHT);
    }

    /// Factor by which work takes longer at a replica with this pace than at a typical one; 1 for
    /// one that isn't slow or whose pace isn't known.
    pub fn slowness(&self, event_gap: Option<Duration>) -> f64 {
        let (Some(gap), Some(typical)) = (event_gap, self.event_gap_s) else { return 1.0 };
        let slowness = gap.as_secs_f64() / typical.max(f64::EPSILON);
        if slowness < MIN_SLOWNESS { 1.0 } else { slowness.min(MAX_SLOWNESS) }
    }
}
