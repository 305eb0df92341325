//! One entry instance: carries events into the decisions and actions out of them.
//!
//! State stands in shards, each under its own lock: the fleet (members,
//! configuration, backend servers), the used tickets, and one shard for each engine. No lock is held across an await.

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
mod fleet;
mod in_flight;
mod leases;
mod node;
mod operator_api;
mod outcomes;
mod owner_calls;
mod quarantine;
mod report;
mod route;
mod run;
mod submissions;
mod surface;

pub use clock::Clock;
pub use node::Node;
pub use route::CallerRoute;
pub use route::OperatorRoute;
pub use run::run;
pub use surface::Surface;
