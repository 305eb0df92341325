//! Addresses that a process listens on: what is missing, when it is tried again, and what the process
//! does meanwhile.
//!
//! What holds an address is mostly not of this system and ends by itself: an earlier process that still
//! shuts down, a connection of another program that got the port from the system, and for a minute after
//! its end the rest of such a connection. An address that the machine doesn't have may come with its
//! interface. A process that ended for one would only be started again, and its callers would miss it
//! where it serves without that address, so it works with those that it has.
//!
//! [`Listening`] holds the state of each address, [`FleetRole`] what the instance may do for others.

mod address_state;
mod bind_failure;
mod bind_retry;
mod fleet_role;
mod listen_address;
mod process_addresses;

pub use bind_failure::BindFailure;
pub use bind_retry::BindRetry;
pub use fleet_role::FleetRole;
pub use listen_address::ListenAddress;
pub use process_addresses::Listening;
