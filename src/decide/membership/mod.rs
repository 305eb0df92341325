//! Failure detection and gossip among the entry instances, after the SWIM protocol.
//!
//! Decides which entry instances are alive, from the platform's list of instances
//! and from the messages that the instances exchange. Each instance probes one
//! member a second, in shuffled round-robin order, and asks three others to probe
//! it when it doesn't answer. Messages carry a bounded amount of updates,
//! so the bytes that an instance sends don't depend on the fleet's size. Only the
//! suspected member itself can refute a suspicion, with a higher epoch. A process
//! that was paused drops the status of every member and asks its peers again.

mod action;
mod core;
mod limits;
mod member;
mod member_updates;
mod probes;
mod protocol;
mod push_budget;
mod update_queue;

pub use action::MembershipAction;
pub use core::Identity;
pub use core::Membership;
pub use limits::JOIN_WAIT;
pub use limits::LISTING_WAIT;
pub use limits::MAX_UPDATE_BYTES;
pub use limits::PAUSE_LIMIT;
pub use limits::PROBE_INTERVAL;
pub use limits::REJOIN_WAIT;
pub use member::Member;
