//! Routing: which engine serves a request for an adapter.
//!
//! The candidates are the first engines in the adapter's rendezvous order, which
//! every instance computes alike without exchanging messages. Among them
//! [`choose_engine`] picks the one with the least expected cost, from the owners'
//! summaries of slots, queue and batch.

mod choice;
mod engine_ranking;

pub use choice::choose_engine;
pub use choice::expected_cost;
pub use engine_ranking::rank_engines;
pub use engine_ranking::top_ranked_engines;
