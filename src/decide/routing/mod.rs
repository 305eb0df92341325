//! Which engine serves a request.
//!
//! The homes of an adapter are the first engines in its rendezvous order, so
//! every instance finds them without a message. Among its homes a request goes
//! where the least waiting is expected by what is known of each engine.

mod choice;
mod homes;

pub use choice::choose;
pub use choice::expected_cost;
pub use homes::first_homes;
pub use homes::homes;
