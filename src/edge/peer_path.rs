//! Paths between entry instances.

/// Paths that instances call on each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerPath {
    /// A request for the owner of an engine.
    Dispatch,
    /// A submission for the instance that issued its ticket.
    Submit,
    /// What an instance knows of itself.
    Hello,
    /// A message to a panel member.
    Lease,
    /// Heartbeats and news.
    Gossip,
    /// The configuration in effect at a peer.
    Config,
    /// A message about requests that crash engines.
    Quarantine,
    /// State of an instance, for operators.
    Status,
    /// Decisions about a request, for operators.
    Explain,
    /// State of a submission, from the instance that issued its ticket.
    Outcome,
}

impl PeerPath {
    /// Every path.
    pub const ALL: [Self; 10] = [
        Self::Dispatch,
        Self::Submit,
        Self::Hello,
        Self::Lease,
        Self::Gossip,
        Self::Config,
        Self::Quarantine,
        Self::Status,
        Self::Explain,
        Self::Outcome,
    ];

    /// The path as in the request line.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Dispatch => "/peer/v1/dispatch",
            Self::Submit => "/peer/v1/submit",
            Self::Hello => "/peer/v1/hello",
            Self::Lease => "/peer/v1/lease",
            Self::Gossip => "/peer/v1/gossip",
            Self::Config => "/peer/v1/config",
            Self::Quarantine => "/peer/v1/quarantine",
            Self::Status => "/peer/v1/status",
            Self::Explain => "/peer/v1/explain",
            Self::Outcome => "/peer/v1/outcome",
        }
    }

    /// Reads a path.
    pub fn parse(path: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|known| known.as_str() == path)
    }
}
