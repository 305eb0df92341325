//! Which engine serves a request.
//!
//! The homes of an adapter are the first engines in its rendezvous order, so
//! every instance finds them without a message. Among its homes a request goes
//! where the least waiting is expected by what is known of each engine.

mod choice;
mod engine_ranking;

pub use choice::choose_engine;
pub use choice::expected_cost;
pub use engine_ranking::rank_engines;
pub use engine_ranking::top_ranked_engines;
