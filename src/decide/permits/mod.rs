//! Permits to load from a weight store: one issuer per store enforces its limits fleet-wide.
//!
//! The owner of an engine requests a permit from the issuer before each load.
//! Rendezvous hashing picks the instance that is the issuer; an owner that can't
//! reach it falls back to a static share of the store's rate, see [`StaticShare`].

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
