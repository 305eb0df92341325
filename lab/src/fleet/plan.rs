//! Sizes and settings of a fleet of real processes.

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

/// Sizes and settings of a fleet.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Name of the deployment that it resembles.
    pub deployment: &'static str,
    /// Base model of all engines and adapters.
    pub model: ModelName,
    /// Data centres, over which processes are spread in turn.
    pub data_centres: Vec<DataCentre>,
    /// Number of entry instances.
    pub entries: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of desks.
    pub desks: usize,
    /// Adapter slots of each engine.
    pub slots: u32,
    /// Most requests that each engine runs at once.
    pub batch: u32,
    /// Time between tokens of an engine that runs one request, in milliseconds.
    pub token_ms: u64,
    /// Duration of a call to a desk, in milliseconds.
    pub desk_delay_ms: u64,
    /// Loads a second that the weight store starts.
    pub store_rate: u64,
    /// How engines treat orders with outdated fencing numbers.
    pub fencing: FencingMode,
    /// Number of published adapters.
    pub adapters: u32,
}

impl FleetPlan {
    /// A small fleet that resembles Nakhla's.
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

    /// A small fleet that resembles Pamoja's; its engines ignore fencing numbers.
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

    /// Data centre of the process with this index of its kind.
    pub fn data_centre(&self, number: usize) -> DataCentre {
        self.data_centres[number % self.data_centres.len()].clone()
    }

    /// Name of the adapter with this number, from 1.
    pub fn adapter(number: u32) -> AdapterName {
        AdapterName::new(&format!("adapter-{number:04}"))
    }

    /// The configuration page with all adapters, each in versions 1 and 2.
    pub fn page(&self) -> Page {
        let published =
            PublishedAdapter { model: self.model.clone(), versions: vec![Version(1), Version(2)] };
        let adapters =
            (1..=self.adapters).map(|number| (Self::adapter(number), published.clone())).collect();
        Page { adapters }
    }

    /// Published presets: `ordinary`, and `peak`, which weighs load stalls more.
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
