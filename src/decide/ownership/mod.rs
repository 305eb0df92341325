//! Which instance owns an engine, and for how long: leases granted by a quorum.
//!
//! Engines are leased in groups. The preferred owner of a group asks a small
//! panel of instances for a lease; a majority of the panel grants it for a limited
//! time and remembers the grant in memory only. Each instance computes groups,
//! panels and preferred owners alike from the list of instances, by rendezvous
//! hashing, so nothing is elected, stored or configured.
//! `docs/design/ownership.md` weighs the alternatives and states the bounds.

mod candidate;
mod granter;
mod group;
mod holder;
mod lease_action;
mod message;
mod panel;
mod timing;

pub use candidate::Candidate;
pub use granter::LeaseGranter;
pub use group::GroupId;
pub use holder::LeaseHolder;
pub use lease_action::LeaseAction;
pub use message::Claimant;
pub use message::LeaseMessage;
pub use message::LeaseRelease;
pub use message::LeaseReply;
pub use message::LeaseRequest;
pub use panel::PANEL_SIZE;
pub use panel::majority;
pub use panel::panel;
pub use timing::LeaseTiming;
