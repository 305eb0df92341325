//! One complete generation of the published configuration.

use std::collections::BTreeMap;
use std::collections::HashMap;

use bytes::Bytes;
use xxhash_rust::xxh3::xxh3_64;

use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;
use crate::names::AdapterName;
use crate::names::AdapterRef;
use crate::names::Generation;
use crate::names::ModelName;
use crate::names::PageName;
use crate::wire::caller::VersionChoice;
use crate::wire::gossip::ConfigId;
use crate::wire::published::Page;
use crate::wire::published::PageRef;
use crate::wire::published::Preset;
use crate::wire::published::PublishedAdapter;
use crate::wire::published::Root;

/// One generation: its root, its pages as published, and an index of its adapters.
#[derive(Clone, Debug)]
pub struct Snapshot {
    id: ConfigId,
    root: Root,
    root_bytes: Bytes,
    pages: BTreeMap<PageName, Bytes>,
    adapters: HashMap<AdapterName, PublishedAdapter>,
    preset: Preset,
}

impl Snapshot {
    /// Checks a root and its pages and builds the snapshot.
    ///
    /// # Errors
    ///
    /// `ConfigRefused` if the root can't be parsed, a page is missing, has the wrong
    /// hash or can't be parsed, or the preset in force isn't among the presets.
    pub fn assemble(root_bytes: Bytes, pages: BTreeMap<PageName, Bytes>) -> Result<Self> {
        let root = Self::parse_root(&root_bytes)?;
        let preset = root.presets.get(&root.preset).cloned().ok_or_else(|| {
            refused(format!("preset {:?} in force is not published", root.preset.as_str()))
        })?;
        let mut adapters = HashMap::new();
        for page_ref in &root.pages {
            let name = page_ref.name.as_str();
            let bytes = pages
                .get(&page_ref.name)
                .ok_or_else(|| refused(format!("page {name:?} is missing")))?;
            if Self::hash(bytes) != page_ref.hash {
                return Err(refused(format!("page {name:?} does not match its hash")));
            }
            let page: Page = serde_json::from_slice(bytes)
                .map_err(|e| refused(format!("page {name:?}: {e}")))?;
            adapters.extend(page.adapters);
        }
        let id = Self::id_of(&root, &root_bytes);
        Ok(Self { id, root, root_bytes, pages, adapters, preset })
    }

    /// Parses a root.
    ///
    /// # Errors
    ///
    /// `ConfigRefused` if the bytes aren't a valid root.
    pub fn parse_root(bytes: &[u8]) -> Result<Root> {
        serde_json::from_slice(bytes).map_err(|e| refused(format!("root: {e}")))
    }

    /// Hash of published bytes, in the form that roots carry: XXH3 as 16 hex digits.
    pub fn hash(bytes: &[u8]) -> String {
        format!("{:016x}", xxh3_64(bytes))
    }

    /// Generation of the snapshot.
    pub fn generation(&self) -> Generation {
        self.root.generation
    }

    /// Generation and root hash, which identify the content.
    pub fn id(&self) -> ConfigId {
        self.id
    }

    /// Identity of the content whose root is `root`, published as `bytes`.
    pub fn id_of(root: &Root, bytes: &[u8]) -> ConfigId {
        ConfigId { generation: root.generation, root_hash: xxh3_64(bytes) }
    }

    /// Bytes of a page; `None` unless the snapshot holds it with the same hash.
    pub fn page(&self, wanted: &PageRef) -> Option<&Bytes> {
        let held = self.root.pages.iter().any(|page| page == wanted);
        held.then(|| self.pages.get(&wanted.name)).flatten()
    }

    /// The parsed root.
    pub fn root(&self) -> &Root {
        &self.root
    }

    /// The root's bytes as published.
    pub fn root_bytes(&self) -> &Bytes {
        &self.root_bytes
    }

    /// The pages' bytes as published.
    pub fn pages(&self) -> &BTreeMap<PageName, Bytes> {
        &self.pages
    }

    /// The preset in force.
    pub fn preset(&self) -> &Preset {
        &self.preset
    }

    /// Number of published adapters.
    pub fn adapter_count(&self) -> usize {
        self.adapters.len()
    }

    /// Base model of an adapter; `None` if it isn't published.
    pub fn model_of(&self, adapter: &AdapterName) -> Option<&ModelName> {
        self.adapters.get(adapter).map(|published| &published.model)
    }

    /// Resolves a caller's version choice to one published version of an adapter.
    ///
    /// # Errors
    ///
    /// `UnknownAdapter` if the adapter isn't published, `UnknownVersion` if the version isn't.
    pub fn resolve(&self, adapter: &AdapterName, choice: VersionChoice) -> Result<AdapterRef> {
        let published = self.adapters.get(adapter).ok_or_else(|| {
            let detail = format!("adapter {:?} is not published", adapter.as_str());
            Error::new(ErrorKind::UnknownAdapter, detail)
        })?;
        let version = match choice {
            VersionChoice::Newest => published.newest(),
            VersionChoice::Exact(version) => {
                published.versions.contains(&version).then_some(version)
            }
        };
        version.map(|version| AdapterRef::new(adapter.clone(), version)).ok_or_else(|| {
            let wanted = match choice {
                VersionChoice::Newest => "no version".to_owned(),
                VersionChoice::Exact(version) => format!("no version {version}"),
            };
            let detail = format!("adapter {:?} has {wanted}", adapter.as_str());
            Error::new(ErrorKind::UnknownVersion, detail)
        })
    }
}

fn refused(detail: String) -> Error {
    Error::new(ErrorKind::ConfigRefused, detail)
}
