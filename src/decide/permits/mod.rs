//! Permits to load from the weight store: one holder a store keeps its limits fleet-wide.
//!
//! The owner of an engine asks the holder before each load. Rendezvous hashing
//! names the holder; an owner that can't reach it uses a static share of the rate
//! instead, see [`StaticShare`].

mod issuer;
mod limits;
mod permit_key;
mod static_share;
mod urgency;

pub use issuer::PermitIssuer;
pub use limits::StoreLimits;
pub use permit_key::PermitKey;
pub use static_share::StaticShare;
pub use urgency::Urgency;
