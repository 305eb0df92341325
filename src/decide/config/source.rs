//! Sources of a configuration.

use std::fmt;

use crate::names::InstanceName;

/// A source that roots and pages are read from.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConfigSource {
    /// The configuration service.
    Service,
    /// Another entry instance.
    Peer(InstanceName),
}

impl fmt::Display for ConfigSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Service => f.write_str("the configuration service"),
            Self::Peer(name) => write!(f, "instance {:?}", name.as_str()),
        }
    }
}
