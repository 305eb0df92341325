//! The entry instance as a process: feeds events to the decisions and runs their actions.
//!
//! [`crate::decide`] is free of I/O; this module connects it with listeners,
//! clients and the clock. State is split into shards, each under its own lock:
//! the fleet (members, configuration, backend servers), the tickets, the leases,
//! the quarantine, and one shard for each engine. No lock is held across an
//! await.

mod access;
mod clients;
mod clock;
mod completion_answer;
mod completions;
mod control;
mod dispatches;
mod drain;
mod engine_shard;
mod engine_shards;
mod explain;
mod fleet_queries;
mod in_flight;
mod leases;
mod listener_kind;
mod node;
mod operator_api;
mod outcomes;
mod owner_calls;
mod quarantine;
mod report;
mod route;
mod run;
mod submissions;

pub use clock::Clock;
pub use listener_kind::ListenerKind;
pub use node::Node;
pub use route::CallerRoute;
pub use route::OperatorRoute;
pub use run::run;
