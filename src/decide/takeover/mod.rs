//! How a new owner takes an engine over, with fencing numbers (fencing tokens).
//!
//! [`TakeoverState`] raises the engine's fencing number, waits until nothing that an
//! earlier owner sent can still take effect, and then asks the engine what it runs.
//! Until that report neither orders nor dispatches are sent. [`OwnedEngine`]
//! combines it with the engine's scheduler.

mod engine_query;
mod fence_outcome;
mod fencing_number;
mod owned;
mod owned_action;
mod takeover_state;
mod unresolved_message;

pub use engine_query::EngineQuery;
pub use fence_outcome::FenceOutcome;
pub use fencing_number::next_fencing_number;
pub use fencing_number::was_chosen_by;
pub use owned::OwnedEngine;
pub use owned_action::OwnedAction;
pub use takeover_state::TakeoverState;
pub use unresolved_message::UnresolvedMessage;
