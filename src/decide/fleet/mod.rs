//! What one instance knows of the fleet: its members, its configuration, its backend servers.
//!
//! [`FleetView`] joins the decisions of [`super::membership`], [`super::config`] and
//! [`super::backends`]: members pass on generations and leaving backend servers,
//! and a pause of the process makes all three ask again.

mod action;
mod core;
mod listing_reads;

pub use action::FleetAction;
pub use core::FleetView;
pub use listing_reads::LISTING_INTERVAL;
pub use listing_reads::SLOW_LISTING_INTERVAL;
