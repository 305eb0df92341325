//! Limits that replicas name for all instances together, and who may send within them.
//!
//! A replica names in its responses the rate of requests that it takes from all instances, or that
//! it fails if it has to turn too many requests away. [`LimitKnowledge`] is what one instance knows
//! of that. As long as a replica names a limit, each send to it needs a permit of one instance, the
//! first in the replica's rendezvous ranking, whose [`SendCounter`] counts the sends of all. That
//! counter starts without any allowance, so that a change of the counting instance doesn't let
//! the replica get more, and permits only the part of a limit that corresponds to the part of the fleet
//! which its instance sees. An instance that can't reach it has a small share of a rate by itself.

mod concurrency_limit;
mod fleet_view;
mod limit_knowledge;
mod limit_news;
mod named_limits;
mod permit_ask;
mod permit_id;
mod send_counter;
mod send_rate;
mod verdict;

pub use concurrency_limit::ConcurrencyLimit;
pub use fleet_view::FleetView;
pub use limit_knowledge::LimitKnowledge;
pub use limit_news::LimitNews;
pub use named_limits::NamedLimits;
pub use permit_ask::PermitAsk;
pub use permit_id::PermitId;
pub use send_counter::SendCounter;
pub use send_rate::SendRate;
pub use verdict::Verdict;
