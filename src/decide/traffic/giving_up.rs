//! When an owner that should no longer own a replica gives it up.

use std::time::Duration;

/// Time on top of the lease for which a replica taken over isn't handed over again.
const HANDOVER_MARGIN: Duration = Duration::from_secs(1);

/// State of a replica that its owner should give up.
#[derive(Clone, Copy, Debug)]
pub struct GivingUp {
    /// Length of the lease on the replica's orders.
    pub lease: Duration,
    /// Time since it was taken over.
    pub owned_for: Duration,
    /// Whether the lease on its orders is held.
    pub is_held: bool,
    /// Whether another instance should own it.
    pub has_successor: bool,
    /// Whether a call to it is pending.
    pub has_pending_call: bool,
    /// Whether this instance shuts down.
    pub is_draining: bool,
}

impl GivingUp {
    /// Whether giving it up is put off: with a successor and a held lease, while a call to the
    /// replica is pending and, unless this instance shuts down, while the replica was taken over
    /// only just now.
    pub fn is_put_off(&self) -> bool {
        let lasted = self.owned_for >= self.lease + HANDOVER_MARGIN;
        let may_hand_over = lasted || self.is_draining;
        self.has_successor && self.is_held && (self.has_pending_call || !may_hand_over)
    }
}
