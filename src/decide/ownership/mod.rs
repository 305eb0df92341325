//! Which instance owns an engine, and for how long.
//!
//! Engines are owned in groups. The preferred owner of a group asks a small
//! panel of instances for a lease; a majority of the panel grants it, in memory.
//! Each instance computes groups, panels and preferred owners alike from the
//! list, so nothing is elected, stored or configured.
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
