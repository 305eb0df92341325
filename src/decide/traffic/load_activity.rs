//! What a replica's report shows of loads in progress.

/// Loads in progress at a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadActivity {
    /// None.
    Idle,
    /// Of adapters.
    Adapters,
    /// Of a base model, during which the replica takes no other order.
    Model,
}
