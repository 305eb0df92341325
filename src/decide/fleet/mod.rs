//! One instance's view of the fleet: its members, configuration and backend servers.
//!
//! [`FleetView`] combines the decisions of [`super::membership`], [`super::config`] and
//! [`super::backends`]: gossip among the members carries the generations in effect and
//! the leaving backend servers. After a pause of the process it asks the peers, the
//! configuration service and the platform again.

mod action;
mod core;
mod listing_reads;

pub use action::FleetAction;
pub use core::FleetView;
pub use listing_reads::LISTING_INTERVAL;
pub use listing_reads::SLOW_LISTING_INTERVAL;
