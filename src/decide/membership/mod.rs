//! Which entry instances are believed to be live.
//!
//! Each instance probes one member a second, in a shuffled round, and asks three
//! others to probe it when it doesn't answer. Messages carry a bounded amount of
//! news, so the bytes that an instance sends don't depend on the fleet's size.
//! A suspicion is refuted only by the member itself, with a higher epoch. A
//! process that was paused forgets what it believed and asks its peers again.

mod action;
mod beliefs;
mod core;
mod limits;
mod member;
mod news_queue;
mod probes;
mod protocol;
mod push_budget;

pub use action::MembershipAction;
pub use core::Identity;
pub use core::Membership;
pub use limits::JOIN_WAIT;
pub use limits::LISTING_WAIT;
pub use limits::MAX_NEWS_BYTES;
pub use limits::PAUSE_LIMIT;
pub use limits::PROBE_INTERVAL;
pub use limits::REJOIN_WAIT;
pub use member::Member;
