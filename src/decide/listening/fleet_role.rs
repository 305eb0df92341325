//! What an instance does in the fleet while others can or can't call it.

/// Role of an instance in the fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FleetRole {
    /// Others call it and rely on it.
    #[default]
    Full,
    /// Others know it and its requests, but can't call it: it isn't one on which they rely, and gives
    /// orders only if nobody else can.
    Limited,
    /// It learns from others and tells nobody of itself, and gives no orders: another process may run
    /// under its name.
    Observer,
}
