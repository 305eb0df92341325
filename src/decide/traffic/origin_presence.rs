//! Whether a replica can be asked for its KV cache.

/// Whether a replica can be asked what its KV cache holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginPresence {
    /// It is listed.
    Listed,
    /// It is listed no more, but may still run.
    MayRun,
    /// It may still run, but its streams went on elsewhere if it doesn't answer.
    MayHaveEnded,
    /// It has ended.
    Ended,
}
