//! The replica that a permit is for.

use std::time::Duration;

use crate::decide::send_limits::FleetView;
use crate::decide::send_limits::LimitNews;
use crate::decide::send_limits::PermitAsk;
use crate::decide::send_limits::PermitId;

/// What a permit is asked for, as this instance knows it.
#[derive(Clone, Debug)]
pub struct SendTarget {
    /// The replica and its limits.
    pub limits: LimitNews,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Requests of the sender that run there.
    pub running: u32,
    /// Time after which the request has ended in any case.
    pub expires_in: Duration,
    /// How much of the fleet this instance sees.
    pub fleet: FleetView,
}

impl SendTarget {
    /// The ask for a permit within a part of the limits.
    pub fn ask(&self, id: &PermitId, share: f64) -> PermitAsk {
        PermitAsk {
            id: id.clone(),
            limits: self.limits.limits.part(share),
            slots: (f64::from(self.slots) * share) as u32,
            running: self.running,
            expires_in: self.expires_in,
        }
    }

    /// Whether the replica fails after too many rejections, so that nothing may be sent uncounted.
    pub fn limits_rejections(&self) -> bool {
        self.limits.limits.max_rejections.is_some()
    }
}
