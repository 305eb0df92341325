//! An address that an instance lacks.

use std::fmt;
use std::fmt::Display;
use std::fmt::Formatter;
use std::net::SocketAddr;

use serde::Serialize;
use serde::Serializer;

/// An address of the settings that isn't bound; its text is `PURPOSE IP:PORT`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnboundAddress {
    /// What it is for.
    pub purpose: &'static str,
    /// The address.
    pub addr: SocketAddr,
}

impl Display for UnboundAddress {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.purpose, self.addr)
    }
}

impl Serialize for UnboundAddress {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}
