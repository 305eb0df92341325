//! Format of the published configuration: a root with the presets, and pages of adapters
//! that the root references by hash.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::names::AdapterName;
use crate::names::Generation;
use crate::names::ModelName;
use crate::names::PageName;
use crate::names::PresetName;
use crate::names::Version;

/// Largest value that the configuration service stores, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Root of the published configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Root {
    /// Generation; each publication has a higher one than the last.
    pub generation: Generation,
    /// Name of the preset in force.
    pub preset: PresetName,
    /// All presets by name.
    pub presets: BTreeMap<PresetName, Preset>,
    /// All pages of adapters.
    pub pages: Vec<PageRef>,
}

/// Reference to a page by its name and the hash of its content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PageRef {
    /// Name of the page.
    pub name: PageName,
    /// XXH3 (64 bits) of the page's bytes, hexadecimal.
    pub hash: String,
}

/// Set of settings that operators switch together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Preset {
    /// Weight of load stalls against batch efficiency, 0 to 100.
    #[serde(default = "Preset::default_stall_weight")]
    pub stall_weight: u8,
    /// Adapters that are kept loaded.
    #[serde(default)]
    pub pinned: Vec<AdapterName>,
    /// Default priority of requests to an adapter, 0 (low) to 9 (high); not every adapter has one.
    #[serde(default)]
    pub priorities: BTreeMap<AdapterName, u8>,
    /// Whether new completions are accepted.
    #[serde(default = "Preset::default_accepting")]
    pub accepting: bool,
}

impl Preset {
    fn default_stall_weight() -> u8 {
        50
    }

    fn default_accepting() -> bool {
        true
    }
}

/// One page of adapters.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Page {
    /// The page's adapters by name.
    pub adapters: BTreeMap<AdapterName, PublishedAdapter>,
}

/// One adapter as published.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublishedAdapter {
    /// Base model that the adapter belongs to.
    pub model: ModelName,
    /// Versions that callers may request.
    pub versions: Vec<Version>,
}

impl PublishedAdapter {
    /// The highest version; `None` if there are no versions.
    pub fn newest(&self) -> Option<Version> {
        self.versions.iter().max().copied()
    }
}
