//! How a new owner takes an engine over, and what it may rely on afterwards.
//!
//! [`TakeoverState`] fences the engine, waits until nothing that an earlier owner sent
//! can still arrive, and then asks the engine what it runs. Until that answer
//! nothing is sent. [`OwnedEngine`] joins it with the engine's queue and slots.

mod fence_outcome;
mod number;
mod owned;
mod owned_action;
mod query;
mod sent;
mod takeover_state;

pub use fence_outcome::FenceOutcome;
pub use number::chosen_by;
pub use number::next_number;
pub use owned::OwnedEngine;
pub use owned_action::OwnedAction;
pub use query::Query;
pub use sent::Sent;
pub use takeover_state::TakeoverState;
