//! Whether an instance reaches the replicas of a service, and through which other one it goes if not.
//!
//! [`ServiceReach`] tells from the connections that could or couldn't be made whether the instance is
//! cut off from a service. Its peers are told, and requests go through one of those that aren't,
//! which [`PassOnPeers`] chooses. A request is passed on once: an instance that is cut off itself
//! refuses it.

mod pass_on_peers;
mod service_reach;

pub use pass_on_peers::PassOnCandidate;
pub use pass_on_peers::PassOnPeers;
pub use service_reach::ServiceReach;
