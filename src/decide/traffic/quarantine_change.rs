//! Change of the quarantine of a prompt part, for the log.

/// A part that was quarantined or released.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineChange {
    /// Id of the prompt part.
    pub part: u64,
    /// Whether it is quarantined now.
    pub quarantined: bool,
    /// Weight of its crashes.
    pub score: u32,
}
