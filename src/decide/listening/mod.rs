//! Addresses that a process listens on: what is missing, when it is tried again, and what the process
//! does meanwhile.
//!
//! What holds an address is mostly not of this system and ends by itself: an earlier process that still
//! shuts down, a connection of another program that got the port from the system, and for a minute after
//! its end the rest of such a connection. A process that ended for it would only be started again, so it
//! works with the addresses that it has. Only an address that the machine doesn't have, or may not use,
//! ends the process.
//!
//! [`Listening`] holds the state of each address, [`FleetRole`] what the instance may do for others.

mod address_state;
mod after_failure;
mod bind_failure;
mod fleet_role;
mod listen_address;
mod process_addresses;

pub use after_failure::AfterBindFailure;
pub use bind_failure::BindFailure;
pub use fleet_role::FleetRole;
pub use listen_address::ListenAddress;
pub use process_addresses::Listening;
