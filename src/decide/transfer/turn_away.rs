//! Answer to a receiver that isn't served now.

use std::net::SocketAddr;
use std::time::Duration;

/// When a receiver that isn't served now may ask again, and who else has the value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TurnAway {
    /// Time after which it may be served here.
    pub retry_in: Duration,
    /// Instances that have the value.
    pub holders: Vec<SocketAddr>,
}
