//! Quarantine of requests that crash engines (poison requests).
//!
//! A request is identified by its [`Fingerprint`], also when it is sent again.
//! Whatever ran on an engine when its incarnation ended gets a [`Strike`], which is
//! spread to every instance. With one strike a request runs alone on its engine;
//! with two it is refused until its strikes expire. `docs/design/quarantine.md`
//! states the bounds.

mod decision;
mod fingerprint;
mod message;
mod permit_reply;
mod route;
mod run_permits;
mod strike;
mod strike_table;

pub use decision::QuarantineDecision;
pub use fingerprint::Fingerprint;
pub use message::QuarantineMessage;
pub use message::QuarantineReply;
pub use permit_reply::PermitReply;
pub use route::first_engine;
pub use route::home_instance;
pub use run_permits::FirstEngineCheck;
pub use run_permits::RunPermits;
pub use strike::Clearance;
pub use strike::Strike;
pub use strike_table::StrikeTable;
