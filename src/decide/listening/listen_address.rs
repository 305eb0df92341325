//! The addresses of a process, by what they are for.

/// Address that a process listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ListenAddress {
    /// For callers' requests.
    Caller,
    /// For readiness checks.
    Ready,
    /// For calls of other instances.
    Peer,
    /// For datagrams of other instances.
    Datagrams,
    /// For scrapers of metrics.
    Metrics,
}

impl ListenAddress {
    /// All of them.
    pub const ALL: [Self; 5] =
        [Self::Caller, Self::Ready, Self::Peer, Self::Datagrams, Self::Metrics];

    /// Name in the log, in metrics and in the body of a readiness check.
    pub fn name(self) -> &'static str {
        match self {
            Self::Caller => "caller",
            Self::Ready => "ready",
            Self::Peer => "peer",
            Self::Datagrams => "datagrams",
            Self::Metrics => "metrics",
        }
    }
}
