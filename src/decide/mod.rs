//! Every decision of the system, as deterministic state machines without I/O.
//!
//! The present time is an argument, the same events give the same actions, and
//! nothing here uses a clock, a socket, a thread or unseeded randomness. Fuzz
//! tests and experiments drive these types directly; [`crate::daemon`] drives
//! them from the network.

pub mod accounts;
pub mod admission;
pub mod audit;
pub mod backends;
pub mod buffers;
pub mod config;
pub mod config_freshness;
pub mod connections;
pub mod convergence;
pub mod demand;
pub mod dispatch_failure;
pub mod drain;
pub mod echo;
pub mod engine;
pub mod fleet;
pub mod line_limit;
pub mod listening;
pub mod membership;
pub mod ownership;
pub mod permits;
pub mod quarantine;
pub mod quotas;
pub mod reach;
pub mod readiness;
pub mod reads;
pub mod rendezvous;
pub mod repeat_schedule;
pub mod replay_window;
pub mod resend;
pub mod resource_limits;
pub mod retry_budget;
pub mod routing;
pub mod send_limits;
pub mod start_wait;
pub mod submissions;
pub mod takeover;
pub mod token_bucket;
pub mod traffic;
pub mod transfer;
