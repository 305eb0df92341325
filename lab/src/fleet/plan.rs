//! What a fleet consists of.

use std::collections::BTreeMap;

use tamaracklead::names::AdapterName;
use tamaracklead::names::DataCentre;
use tamaracklead::names::ModelName;
use tamaracklead::names::PresetName;
use tamaracklead::names::Version;
use tamaracklead::wire::listing::FencingMode;
use tamaracklead::wire::published::Page;
use tamaracklead::wire::published::Preset;
use tamaracklead::wire::published::PublishedAdapter;

/// What a fleet consists of.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Name of the deployment.
    pub deployment: &'static str,
    /// Base model of its adapters.
    pub model: ModelName,
    /// Data centres.
    pub data_centres: Vec<DataCentre>,
    /// How many entry instances.
    pub entries: usize,
    /// How many engines.
    pub engines: usize,
    /// How many desks.
    pub desks: usize,
    /// Adapter slots of each engine.
    pub slots: u32,
    /// Batch of each engine.
    pub batch: u32,
    /// Time between tokens, in milliseconds.
    pub token_ms: u64,
    /// Time that a desk's call takes, in milliseconds.
    pub desk_delay_ms: u64,
    /// Loads a second of the weight store.
    pub store_rate: u64,
    /// What engines do with old fencing numbers.
    pub fencing: FencingMode,
    /// How many adapters are published.
    pub adapters: u32,
}

impl FleetPlan {
    /// A small fleet in the shape of Nakhla's.
    pub fn nakhla() -> Self {
        Self {
            deployment: "Nakhla",
            model: ModelName::new("draft-model"),
            data_centres: ["cairo-a", "cairo-b", "cairo-c", "cairo-d"].map(DataCentre::new).into(),
            entries: 3,
            engines: 4,
            desks: 2,
            slots: 4,
            batch: 8,
            token_ms: 3,
            desk_delay_ms: 20,
            store_rate: 30,
            fencing: FencingMode::Refuse,
            adapters: 200,
        }
    }

    /// A small fleet in the shape of Pamoja's.
    pub fn pamoja() -> Self {
        Self {
            deployment: "Pamoja",
            model: ModelName::new("draw-model"),
            data_centres: ["kenya-a", "kenya-b", "kenya-c"].map(DataCentre::new).into(),
            engines: 3,
            fencing: FencingMode::Ignore,
            store_rate: 20,
            ..Self::nakhla()
        }
    }

    /// The data centre of the instance with this number.
    pub fn data_centre(&self, number: usize) -> DataCentre {
        self.data_centres[number % self.data_centres.len()].clone()
    }

    /// Name of the adapter with this number.
    pub fn adapter(number: u32) -> AdapterName {
        AdapterName::new(&format!("adapter-{number:04}"))
    }

    /// The page that publishes every adapter with versions 1 and 2.
    pub fn page(&self) -> Page {
        let published =
            PublishedAdapter { model: self.model.clone(), versions: vec![Version(1), Version(2)] };
        let adapters =
            (1..=self.adapters).map(|number| (Self::adapter(number), published.clone())).collect();
        Page { adapters }
    }

    /// The presets that are published.
    pub fn presets(&self) -> BTreeMap<PresetName, Preset> {
        let ordinary = Preset {
            stall_weight: 50,
            pinned: Vec::new(),
            priorities: BTreeMap::new(),
            accepting: true,
        };
        let peak = Preset { stall_weight: 90, ..ordinary.clone() };
        BTreeMap::from([(PresetName::new("ordinary"), ordinary), (PresetName::new("peak"), peak)])
    }
}
