//! Strikes against one request, as instances tell them to each other.

/// Strikes against the requests with one fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Strikes {
    /// Hash of path and body.
    pub fingerprint: u64,
    /// Number of strikes.
    pub count: u32,
    /// Time since the last one, in milliseconds; 0 if it isn't known.
    pub age_ms: u64,
}
