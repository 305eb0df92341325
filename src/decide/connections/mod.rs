//! Which connections of callers are kept when more are opened than there is room for, and how fast a
//! connection is read that brings nothing.

mod caller_places;
mod connection_id;
mod connection_phase;
mod content_allowance;
mod place;

pub use caller_places::CallerPlaces;
pub use connection_id::ConnectionId;
pub use connection_phase::ConnectionPhase;
pub use content_allowance::ContentAllowance;
pub use place::Place;
