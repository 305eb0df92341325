//! Reference to one version of an adapter.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use super::AdapterName;
use super::Version;

/// One version of one adapter, displayed as `adapter@version`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AdapterRef {
    /// Name of the adapter.
    pub adapter: AdapterName,
    /// Version of the adapter.
    pub version: Version,
}

impl AdapterRef {
    /// Refers to `version` of `adapter`.
    pub fn new(adapter: AdapterName, version: Version) -> Self {
        Self { adapter, version }
    }
}

impl fmt::Display for AdapterRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.adapter, self.version)
    }
}
