//! The instance that a message of gossip is for.

/// What is known of the instance that a message is for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Receiver {
    /// Whether it reads the compact form of heartbeats.
    pub reads_beats: bool,
    /// Whether it is in the same data centre.
    pub is_near: bool,
    /// Hash of the tags that it knows, if it has just told.
    pub roster: Option<u64>,
    /// Whether it asked for the records of all instances.
    pub needs_all_records: bool,
}
