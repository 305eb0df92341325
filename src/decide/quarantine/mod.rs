//! Requests that crash engines.
//!
//! A request is known by its [`Fingerprint`]. What ran on an engine when its
//! incarnation ended gets a [`Strike`], which is spread to every instance. With
//! one strike a request runs alone on its engine; with two it is refused for a
//! time. `docs/design/quarantine.md` states the bounds.

mod book;
mod fingerprint;
mod message;
mod permit_reply;
mod permits;
mod route;
mod strike;
mod verdict;

pub use book::QuarantineBook;
pub use fingerprint::Fingerprint;
pub use message::QuarantineMessage;
pub use message::QuarantineReply;
pub use permit_reply::PermitReply;
pub use permits::FirstEngine;
pub use permits::Permits;
pub use route::first_engine;
pub use route::home;
pub use strike::Clearance;
pub use strike::Strike;
pub use verdict::Verdict;
