//! The configuration in effect: which generations are applied and which refused.
//!
//! A generation only grows. A lower one is never applied, and the same number
//! with other content is refused, so neither a stale service nor a stale peer
//! can take an instance back.

mod snapshot;
mod state;

pub use snapshot::Snapshot;
pub use state::ConfigState;
pub use state::Offer;
