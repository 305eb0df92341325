//! How much of the fleet an instance sees, and which part of a limit follows from that.

/// Instances that one instance sees, itself included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetView {
    /// Those that are live.
    pub live: usize,
    /// Those that were part of the fleet lately.
    pub recent: usize,
}

impl FleetView {
    /// Part of a limit that a counting instance permits. Those that it doesn't see may be cut off and
    /// count for themselves, so that the parts of all sides add up to the limit.
    pub fn counted_share(self) -> f64 {
        self.live.max(1) as f64 / self.recent.max(self.live).max(1) as f64
    }

    /// Part of a limit that one instance may use by itself.
    pub fn own_share(self) -> f64 {
        1.0 / self.recent.max(1) as f64
    }
}
