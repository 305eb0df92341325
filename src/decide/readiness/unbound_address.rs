//! An address that an instance lacks.

use std::net::SocketAddr;

use serde::Serialize;

/// An address of the settings that isn't bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct UnboundAddress {
    /// What it is for.
    pub purpose: &'static str,
    /// The address; `None` if it is no longer in the settings.
    pub addr: Option<SocketAddr>,
}
