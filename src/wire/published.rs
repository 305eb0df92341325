//! The published configuration: a small root and pages of adapters.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::names::AdapterName;
use crate::names::Generation;
use crate::names::ModelName;
use crate::names::PageName;
use crate::names::PresetName;
use crate::names::Version;

/// Largest value that the configuration service holds, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Root of the published configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Root {
    /// Generation; each publication has a higher one.
    pub generation: Generation,
    /// Name of the preset in force.
    pub preset: PresetName,
    /// Every preset by name.
    pub presets: BTreeMap<PresetName, Preset>,
    /// Every page of adapters.
    pub pages: Vec<PageRef>,
}

/// Reference to a page and the hash of its bytes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PageRef {
    /// Name of the page.
    pub name: PageName,
    /// XXH3 (64 bits) of the page's bytes, hexadecimal.
    pub hash: String,
}

/// Settings that operators switch as one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Preset {
    /// Weight of load stalls against batch efficiency, 0 to 100.
    #[serde(default = "Preset::default_stall_weight")]
    pub stall_weight: u8,
    /// Adapters that are kept loaded.
    #[serde(default)]
    pub pinned: Vec<AdapterName>,
    /// Priority of adapters that have one of their own, 0 (low) to 9 (high).
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
    /// Versions that callers may ask for.
    pub versions: Vec<Version>,
}

impl PublishedAdapter {
    /// The highest version.
    pub fn newest(&self) -> Option<Version> {
        self.versions.iter().max().copied()
    }
}
