//! Permits to send to replicas that name a limit for all instances together.
//!
//! Each instance counts the sends to the replicas for which it is the first in their rendezvous
//! ranking; [`crate::decide::send_limits`] decides. [`SendPermits`] asks the counting instance of a
//! replica, answers such asks, and falls back on a share of this instance's own while the counting
//! instance can't be reached.

mod counting_instance;
mod permit;
mod permits;
mod send_target;
mod unresponsive_peers;

pub use counting_instance::CountingInstance;
pub use permit::PermitSource;
pub use permit::SendPermit;
pub use permits::SendPermits;
pub use send_target::SendTarget;
pub use unresponsive_peers::UnresponsivePeers;
