//! What a quota counts.

/// Unit of a quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CostUnit {
    /// Each request costs 1.
    Requests,
    /// A request costs its prompt tokens and the most tokens that it may generate.
    Tokens,
}
