//! HTTP paths for calls between entry instances.

/// HTTP path of a call between entry instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerPath {
    /// Passes a request to the owner of its engine.
    Dispatch,
    /// Passes a submission to the instance that issued its ticket.
    Submit,
    /// Exchanges the instances' own states.
    Hello,
    /// Lease message to a member of a panel.
    Lease,
    /// Probe of the gossip protocol, with updates.
    Gossip,
    /// Reads the configuration in effect at a peer.
    Config,
    /// Message about requests that crash engines.
    Quarantine,
    /// Reads the state of an instance, for operators.
    Status,
    /// Reads the decisions about a request, for operators.
    Explain,
    /// Reads the state of a submission from the instance that issued its ticket.
    Outcome,
}

impl PeerPath {
    /// All paths.
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

    /// The path as it stands in the request line.
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

    /// Finds the variant for a request's path; `None` if there is none.
    pub fn parse(path: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|known| known.as_str() == path)
    }
}
